//! Which box should own the cell: one with as many cores as there are.
//!
//! The owner's work grows with workers and tasks, and boxes are uneven: on a weak one it
//! would soon answer no pings any more, and owners would follow each other.

use super::journal::OwnerRow;
use crate::utils::clock::Millis;

/// Milliseconds that a box with fewer cores than owners should have leaves to others
/// before it takes the owner's place: their commit, and what spreads their tries.
const WEAKER: Millis = 300;
/// Milliseconds that an owner stays before it makes way for a box with more
/// cores, so that a box that comes and goes does not move the cell each time.
const SETTLE: Millis = 3_000;

/// Milliseconds without one more page after which an owner that loads is replaced: one
/// page that is lost and read again, 1,500 each, and the pause between.
const STUCK: Millis = 3_500;
/// Milliseconds without an answer after which an owner that loads is replaced. It writes
/// no row meanwhile, so that one lost ping would end its load.
const QUIET: Millis = 1_000;
/// Milliseconds after which an owner that served and answers that it is none is
/// replaced, where its row does not tell that it gave the cell up.
const GONE: Millis = 2_000;
/// Milliseconds without a commit after which an owner that can be reached is
/// replaced, when the store serves another box.
const UNCONFIRMED: Millis = 1_500;
/// Milliseconds during which the owner's row must stand still before a box that takes
/// it for lost takes its place; an owner that serves writes it each 300.
const STILL: Millis = 420;
/// Milliseconds by which clocks of two boxes may differ over that span.
const DRIFT: Millis = 20;

/// What a box answers to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pong {
    /// It is the owner of an epoch.
    Serves {
        /// The epoch.
        epoch: u64,
        /// Milliseconds since the store confirmed it.
        confirmed: Millis,
    },
    /// It has become the owner of an epoch, and loads what the store holds.
    Loads {
        /// The epoch.
        epoch: u64,
        /// Pages that the store has given it so far.
        pages: u64,
        /// Thousandths of cores that it has.
        cores: u32,
    },
    /// It is no owner.
    Idle,
}

/// How an owner fared when it was last heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerProgress {
    /// When it was first seen, last served, or last came closer to it.
    pub at: Millis,
    /// Pages that it had loaded then; none when it did not load.
    pub pages: Option<u64>,
}

/// Why an owner is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It does not answer.
    Silent,
    /// It answers, and the store has confirmed nothing of it for too long.
    Unconfirmed,
    /// It loads, and this box has more cores.
    Weaker,
    /// It does not serve, and came no closer to it for too long.
    Stuck,
}

/// What a box does about the owner that it follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// It is well, with this sign of life.
    Follow(OwnerProgress),
    /// It does not serve, with this last sign of life: its row tells whether it gave the
    /// cell up, or another box has taken its place.
    CheckRow(OwnerProgress),
    /// Its place is to be taken.
    Replace(Cause),
}

/// Returns what a box with `own` thousandths of cores does about the owner of `epoch`
/// that answered a ping so, none for no answer.
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
        None if last.pages.is_some() && quiet <= QUIET => Assessment::CheckRow(last),
        None => Assessment::Replace(Cause::Silent),
        Some(_) if quiet > GONE => Assessment::Replace(Cause::Stuck),
        Some(_) => Assessment::CheckRow(last),
    }
}

fn assess_serving(confirmed: Millis, now: Millis) -> Assessment {
    if confirmed > UNCONFIRMED {
        return Assessment::Replace(Cause::Unconfirmed);
    }
    Assessment::Follow(OwnerProgress {
        at: now,
        pages: None,
    })
}

fn assess_loading(weaker: bool, pages: u64, last: OwnerProgress, now: Millis) -> Assessment {
    if weaker {
        return Assessment::Replace(Cause::Weaker);
    }
    if last.pages != Some(pages) {
        return Assessment::CheckRow(OwnerProgress {
            at: now,
            pages: Some(pages),
        });
    }
    match now > last.at + STUCK {
        true => Assessment::Replace(Cause::Stuck),
        false => Assessment::CheckRow(last),
    }
}

/// Returns the thousandths of cores with which a box offers itself to a weaker owner: an
/// owner that made way for one that stops would give the cell to nobody.
pub fn offered_cores(cores: u32, served: bool, stopping: bool) -> u32 {
    match served && !stopping {
        true => cores,
        false => 0,
    }
}

/// Returns the milliseconds that a box with this many thousandths of cores lets pass
/// before it takes the place of the owner of a row; nobody holds a `vacant` one.
pub fn takeover_delay(cores: u32, before: &OwnerRow, vacant: bool, stagger: Millis) -> Millis {
    let still = match vacant {
        true => 0,
        false => STILL + stagger,
    };
    still + weaker_box_delay(cores, before)
}

/// Returns true while no other box can have taken the place of an owner that holds the cell
/// by a commit sent at `confirmed`.
pub fn holds_cell(confirmed: Millis, now: Millis) -> bool {
    now < confirmed + STILL - DRIFT
}

/// Returns the milliseconds that a box with this many thousandths of cores waits
/// longer than others before it takes the place of an owner.
pub fn weaker_box_delay(cores: u32, before: &OwnerRow) -> Millis {
    match cores < before.cores {
        true => WEAKER,
        false => 0,
    }
}

/// Returns the thousandths of cores that owners should have, as the row of a new
/// one tells: most that any owner had.
///
/// Were it the new one's own, a weak box that took the place of a strong one would
/// be followed by other weak ones, each replaced while it still loads.
pub fn wanted_cores(own: u32, before: Option<&OwnerRow>) -> u32 {
    before.map_or(own, |row| row.cores.max(own))
}

/// Returns true when an owner that began at `began` makes way for a box with
/// more cores that the store serves.
pub fn should_make_way(own: u32, other: u32, began: Millis, now: Millis) -> bool {
    other > own && now >= began + SETTLE
}
