//! Which box should own the cell: one with as many cores as there are.
//!
//! The owner's work grows with workers and tasks, and boxes are uneven. On a box
//! of 0.12 cores an owner of 490 workers answered no pings any more within a
//! second, and 7 owners followed each other on a calm day.

use super::journal::OwnerRow;
use crate::utils::clock::Millis;

/// Milliseconds that a box with fewer cores than owners should have leaves to others
/// before it takes the owner's place: their commit, and what spreads their tries.
const WEAKER: Millis = 300;
/// Milliseconds that an owner stays before it makes way for a box with more
/// cores, so that a box that comes and goes does not move the cell each time.
const SETTLE: Millis = 3_000;

/// Milliseconds without a sign of life after which an owner that answers and does not
/// serve is replaced: the longest that it waits for one page of what it loads, and some
/// more.
const STUCK: Millis = 2_000;
/// Milliseconds without a commit after which an owner that can be reached is
/// replaced, when the store serves another box.
const UNCONFIRMED: Millis = 1_500;
/// Milliseconds during which the owner's row must stand still before a box that takes
/// it for lost takes its place; an owner that serves writes it each 300.
const STILL: Millis = 420;

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
pub struct Life {
    /// When it was first seen, last served, or last came closer to it.
    pub at: Millis,
    /// Pages that it had loaded then.
    pub pages: u64,
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
pub enum Verdict {
    /// It is well, with this sign of life.
    Follow(Life),
    /// It loads, and nothing has changed yet.
    Wait,
    /// It does not serve: its row tells whether it gave the cell up.
    Look,
    /// Its place is to be taken.
    Replace(Cause),
}

/// Returns what a box with `own` thousandths of cores does about the owner of `epoch`
/// that answered a ping so, none for no answer.
pub fn judge(own: u32, epoch: u64, last: Life, pong: Option<Pong>, now: Millis) -> Verdict {
    let stuck = now > last.at + STUCK;
    match pong {
        None => Verdict::Replace(Cause::Silent),
        Some(Pong::Serves {
            epoch: served,
            confirmed,
        }) if served == epoch => match confirmed > UNCONFIRMED {
            true => Verdict::Replace(Cause::Unconfirmed),
            false => Verdict::Follow(Life { at: now, ..last }),
        },
        Some(Pong::Loads {
            epoch: loaded,
            pages,
            cores,
        }) if loaded == epoch => match pages != last.pages {
            _ if own > cores => Verdict::Replace(Cause::Weaker),
            true => Verdict::Follow(Life { at: now, pages }),
            false if stuck => Verdict::Replace(Cause::Stuck),
            false => Verdict::Wait,
        },
        Some(_) if stuck => Verdict::Replace(Cause::Stuck),
        Some(_) => Verdict::Look,
    }
}

/// Returns the milliseconds that a box with this many thousandths of cores lets pass
/// before it takes the place of the owner of a row; nobody holds a `vacant` one.
pub fn pause(cores: u32, before: &OwnerRow, vacant: bool, stagger: Millis) -> Millis {
    let still = match vacant {
        true => 0,
        false => STILL + stagger,
    };
    still + wait(cores, before)
}

/// Returns the milliseconds that a box with this many thousandths of cores waits
/// longer than others before it takes the place of an owner.
pub fn wait(cores: u32, before: &OwnerRow) -> Millis {
    match cores < before.cores {
        true => WEAKER,
        false => 0,
    }
}

/// Returns the thousandths of cores that owners should have, as the row of a new
/// one tells: most that any owner had.
///
/// Were it the new one's own, a weak box that took the place of a strong one would
/// be followed by other weak ones: one of 0.12 cores loads 600 jobs in 2.4 s, is
/// replaced meanwhile, and 26 owners followed each other so on a played day.
pub fn wanted(own: u32, before: Option<&OwnerRow>) -> u32 {
    before.map_or(own, |row| row.cores.max(own))
}

/// Returns true when an owner that began at `began` makes way for a box with
/// more cores that the store serves.
pub fn makes_way(own: u32, other: u32, began: Millis, now: Millis) -> bool {
    other > own && now >= began + SETTLE
}
