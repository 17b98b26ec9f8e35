//! The lease of a box, and the promises that carry it through an outage.
//!
//! Each running box (an incarnation) has one row in the table. It renews the
//! row by compare-and-set and may act for its cells until the lease counted
//! from the *sending* of the last confirmed renewal ends. The row lists a few
//! successors; past the end of the lease the box may still act while every
//! listed successor has promised, within the promise time, not to take over.
//! Only a listed successor declares a box dead, by deleting its row.

mod state;

#[cfg(test)]
mod tests;

pub use state::Lease;

use serde::{Deserialize, Serialize};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Prefix of the rows of boxes in the table.
pub const PREFIX: &str = "box/";
/// Number of successors that a box lists.
pub const SUCCESSORS: usize = 2;

/// Times of leases and promises, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimings {
    /// Time that a renewal is good for, from its sending.
    pub length: Millis,
    /// Time that others wait beyond the lease, for slow sends and clock drift.
    pub margin: Millis,
    /// Time that a promise is good for, from the sending of its question.
    pub promise: Millis,
    /// Longest time past its lease that a box acts by promises; any box may
    /// take over after that.
    pub outage: Millis,
}

impl Default for LeaseTimings {
    fn default() -> Self {
        Self {
            length: 10_000,
            margin: 2_000,
            promise: 5_000,
            outage: 7_200_000,
        }
    }
}

/// A box as its row tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRow {
    /// Incarnation: the name and a number that is new at each start.
    pub id: Name,
    /// Name from the settings.
    pub name: Name,
    /// Address for other boxes, IP:port.
    pub rpc: Name,
    /// Hall in which it stands.
    pub hall: Name,
    /// Incarnations that may take over.
    pub successors: Vec<Name>,
    /// Counts the renewals.
    pub beat: u64,
}

/// A row of a box with its version.
#[derive(Clone, Debug)]
pub struct VersionedBox {
    /// Version of the row.
    pub version: u64,
    /// Contents of the row.
    pub row: BoxRow,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Committed,
    /// It did not take effect, as an expectation failed.
    Conflict,
    /// It never left, and so took no effect.
    NotSent,
    /// It may take effect, now or later.
    Unknown,
}

/// What a lease asks to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the row; `expect` 0 expects its absence.
    Renew {
        /// Version the row must have.
        expect: u64,
        /// New contents.
        row: BoxRow,
    },
    /// Read the rows of all boxes.
    Read,
    /// Delete the row of a dead box that has this version.
    Declare {
        /// Incarnation that is dead.
        owner: Name,
        /// Version the row must have.
        version: u64,
    },
    /// The own row is gone: stop acting and start again as a new incarnation.
    Deposed,
}
