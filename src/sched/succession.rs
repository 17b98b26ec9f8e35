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

/// Longest that a new owner loads what the store holds, in milliseconds: boxes of
/// 0.12 cores took 2.4 s for 634 jobs.
pub const LOADING: Millis = 4_000;

/// Returns the milliseconds that a box with this many thousandths of cores waits
/// longer than others before it takes the place of an owner.
pub fn wait(cores: u32, before: &OwnerRow) -> Millis {
    match cores < before.cores {
        true => WEAKER,
        false => 0,
    }
}

/// Returns true when a box takes the place of one that became the owner and has
/// not served for `waited` milliseconds: it has fewer cores, or takes too long.
///
/// A box of 0.12 cores behind 10 Mbit/s loaded 1,200 jobs in vain for 8 s on a played
/// day, while boxes that load them in 0.4 s only asked it again and again.
pub fn interrupts(own: u32, other: u32, waited: Millis) -> bool {
    own > other || waited > LOADING
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
