//! Failover: when a box replaces the owner of its cell, and which box should be the owner.
//!
//! The owner's work grows with workers and tasks, and boxes differ in cores. The owner should
//! be a box with the most cores: one with few cores would soon be too busy to answer pings, and
//! one owner after the other would be replaced.

use std::net::SocketAddr;

use super::journal::OwnerRow;
use crate::utils::clock::Millis;

/// Milliseconds that a box with fewer cores than an owner should have waits longer before it
/// replaces the owner: the time of a larger box's commit and its staggered start.
const SMALLER_BOX_DELAY: Millis = 300;
/// Milliseconds that a box which the owner's row does not list waits longer: the staggered start and
/// the commit of those that it lists.
const UNLISTED_BOX_DELAY: Millis = 200;
/// Shortest term of an owner, in milliseconds, before it releases the cell for a box with more
/// cores. Without it, a box that keeps leaving and coming back would move the cell each time.
const MIN_TERM: Millis = 3_000;

/// Milliseconds without a further page after which a loading owner is replaced: one lost read
/// of a page and its retry, 1,500 each, and the pause between them.
const LOAD_STALL_LIMIT: Millis = 3_500;
/// Milliseconds without an answer to pings after which a loading owner is replaced. It does
/// not write its row while it loads, so without this limit one lost ping would end its load.
const LOAD_SILENCE_LIMIT: Millis = 1_000;
/// Milliseconds after which a box that answers that it is not the owner is replaced, although
/// its row does not say that it released the cell.
const NOT_OWNER_LIMIT: Millis = 2_000;
/// Milliseconds without a commit after which an owner that answers pings is replaced by a box
/// that the store answers quickly.
const UNCONFIRMED_LIMIT: Millis = 800;
/// The same for a box that the store answers slowly: the owner's commits may only be slow as well.
const SLOW_UNCONFIRMED_LIMIT: Millis = 1_500;
/// A read that takes less than this many milliseconds shows that the store is not slow; a read
/// usually takes 5.
pub const FAST_READ: Millis = 60;
/// Milliseconds for which the owner's row must be unchanged before a box replaces an owner
/// that seems to have failed; a serving owner writes its row every 300.
const UNCHANGED_ROW_TIME: Millis = 420;
/// Milliseconds by which the clocks of two boxes may drift apart during that time.
const CLOCK_DRIFT: Millis = 20;

/// A box's answer to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pong {
    /// The box is the owner and serves.
    Serves {
        /// Epoch of the owner.
        epoch: u64,
        /// Milliseconds since the store last confirmed the owner.
        confirmed: Millis,
    },
    /// The box has become the owner and loads the cell's state from the store.
    Loads {
        /// Epoch of the owner.
        epoch: u64,
        /// Number of pages loaded so far.
        pages: u64,
        /// Thousandths of cores of the box.
        cores: u32,
    },
    /// The box is not the owner.
    Idle,
}

/// Last observed progress of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerProgress {
    /// When the owner was first seen, last served, or last loaded a further page.
    pub at: Millis,
    /// Number of pages loaded by then; `None` if the owner was not loading.
    pub pages: Option<u64>,
}

/// Why an owner is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverCause {
    /// The owner does not answer.
    Silent,
    /// The owner answers, but the store has not confirmed it for this many milliseconds.
    Unconfirmed(Millis),
    /// The owner is loading, and this box has more cores.
    Weaker,
    /// The owner does not serve and has made no progress in loading for too long.
    Stuck,
}

/// What a box does about the owner that it follows, with the owner's latest progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// The owner serves: keep following it.
    Follow(OwnerProgress),
    /// The owner does not serve: read its row, which shows whether it released the cell or
    /// another box replaced it.
    CheckRow(OwnerProgress),
    /// Replace the owner.
    Replace(TakeoverCause),
}

/// Returns what a box with `own` thousandths of cores does about the owner of `epoch`.
/// `last` is the owner's last observed progress, and `pong` its answer to a ping, if any.
pub fn assess_owner(
    own: u32,
    epoch: u64,
    last: OwnerProgress,
    pong: Option<Pong>,
    now: Millis,
) -> Assessment {
    let quiet = now.saturating_sub(last.at);
    match pong {
        Some(Pong::Serves {
            epoch: served,
            confirmed,
        }) if served == epoch => assess_serving(confirmed, now),
        Some(Pong::Loads {
            epoch: loaded,
            pages,
            cores,
        }) if loaded == epoch => assess_loading(own > cores, pages, last, now),
        None if last.pages.is_some() && quiet <= LOAD_SILENCE_LIMIT => Assessment::CheckRow(last),
        None => Assessment::Replace(TakeoverCause::Silent),
        Some(_) if quiet > NOT_OWNER_LIMIT => Assessment::Replace(TakeoverCause::Stuck),
        Some(_) => Assessment::CheckRow(last),
    }
}

fn assess_serving(confirmed: Millis, now: Millis) -> Assessment {
    if confirmed > UNCONFIRMED_LIMIT {
        return Assessment::Replace(TakeoverCause::Unconfirmed(confirmed));
    }
    Assessment::Follow(OwnerProgress {
        at: now,
        pages: None,
    })
}

fn assess_loading(smaller: bool, pages: u64, last: OwnerProgress, now: Millis) -> Assessment {
    if smaller {
        return Assessment::Replace(TakeoverCause::Weaker);
    }
    if last.pages != Some(pages) {
        return Assessment::CheckRow(OwnerProgress {
            at: now,
            pages: Some(pages),
        });
    }
    match now > last.at + LOAD_STALL_LIMIT {
        true => Assessment::Replace(TakeoverCause::Stuck),
        false => Assessment::CheckRow(last),
    }
}

/// Returns true when a box that suspects the owner for this reason replaces it, given that it has
/// just read the owner's row from the store in `took` milliseconds.
pub fn should_replace(cause: TakeoverCause, took: Millis) -> bool {
    match cause {
        TakeoverCause::Unconfirmed(confirmed) => {
            took < FAST_READ || confirmed > SLOW_UNCONFIRMED_LIMIT
        }
        _ => true,
    }
}

/// Returns the thousandths of cores that a box announces to the owner, which may release the
/// cell for a larger box. A box that is stopping, or that the store does not serve, announces 0:
/// a release for it would leave the cell without an owner.
pub fn offered_cores(cores: u32, store_serves: bool, stopping: bool) -> u32 {
    match store_serves && !stopping {
        true => cores,
        false => 0,
    }
}

/// Returns the milliseconds that a box with this many thousandths of cores waits before it
/// replaces the owner of the row `before`. A `vacant` cell has no owner any more.
pub fn takeover_delay(cores: u32, before: &OwnerRow, vacant: bool, stagger: Millis) -> Millis {
    let delay = match vacant {
        true => 0,
        false => UNCHANGED_ROW_TIME + stagger,
    };
    delay + smaller_box_delay(cores, before)
}

/// Returns the milliseconds that a box at this address waits longer than the listed followers of the
/// owner before it replaces it. A listed one waits much less for the owner's leases.
pub fn unlisted_box_delay(address: SocketAddr, before: &OwnerRow) -> Millis {
    match before.followers.is_empty() || before.followers.contains(&address) {
        true => 0,
        false => UNLISTED_BOX_DELAY,
    }
}

/// Returns true while no other box can have replaced an owner whose last successful commit was
/// sent at `confirmed`.
pub fn holds_cell(confirmed: Millis, now: Millis) -> bool {
    now < confirmed + UNCHANGED_ROW_TIME - CLOCK_DRIFT
}

/// Returns the milliseconds that a box with this many thousandths of cores waits longer than
/// larger boxes before it replaces the owner.
pub fn smaller_box_delay(cores: u32, before: &OwnerRow) -> Millis {
    match cores < before.cores {
        true => SMALLER_BOX_DELAY,
        false => 0,
    }
}

/// Returns the thousandths of cores that a new owner's row asks of owners: the most that any
/// owner had.
///
/// If the row asked only for the new owner's own cores, a small box that replaced a large one
/// would be followed by other small boxes, each replaced while it still loads.
pub fn wanted_cores(own: u32, before: Option<&OwnerRow>) -> u32 {
    before.map_or(own, |row| row.cores.max(own))
}

/// Returns true when an owner with `own` thousandths of cores, whose term began at `began`,
/// should release the cell for a box with `other` thousandths of cores.
pub fn should_release_to(own: u32, other: u32, began: Millis, now: Millis) -> bool {
    other > own && now >= began + MIN_TERM
}
