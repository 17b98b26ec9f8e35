//! Lease of a box, and the promises that extend it while the table is unavailable.
//!
//! Each incarnation of a box has one row in the table, which it renews by compare-and-set. It may
//! act for its cells until its lease ends, which counts from the *sending* of the last confirmed
//! renewal. The row lists a few successors. After the end of the lease the box may still act while
//! an unexpired promise not to take over is held from every listed successor. Only a listed
//! successor declares a box dead, by deleting its row; after the longest outage any box may. A
//! restarted box declares its own earlier incarnation dead at once.

mod state;

#[cfg(test)]
mod tests;

pub use state::Lease;

use serde::{Deserialize, Serialize};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Prefix of the keys of box rows in the table.
pub const PREFIX: &str = "box/";
/// Number of successors in the row of a box.
pub const SUCCESSOR_COUNT: usize = 2;

/// Durations of leases and promises, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimings {
    /// Duration of a lease, from the sending of its renewal.
    pub length: Millis,
    /// Time that other boxes wait after the end of a lease, for slow sends and clock drift.
    pub margin: Millis,
    /// Duration of a promise, from the sending of the request for it.
    pub promise: Millis,
    /// Longest time after the end of its lease for which a box acts by promises. After it any box
    /// may take over.
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

/// Row of a box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRow {
    /// Incarnation: the name and a number that is new at each start.
    pub id: Name,
    /// Name of the box in its settings.
    pub name: Name,
    /// Address for other boxes, as IP:port.
    pub rpc: Name,
    /// Hall of the box.
    pub hall: Name,
    /// Incarnations that may declare the box dead.
    pub successors: Vec<Name>,
    /// Number of renewals.
    pub beat: u64,
}

/// Row of a box with its version in the table.
#[derive(Clone, Debug)]
pub struct VersionedBox {
    /// Version of the row.
    pub version: u64,
    /// Content of the row.
    pub row: BoxRow,
}

/// Outcome of a write to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// The write took no effect, as a row did not have the expected version.
    Conflict,
    /// The write was not sent, so it took no effect.
    NotSent,
    /// The outcome is unknown: the write may have taken effect or may do so later.
    Unknown,
}

/// Action that a lease requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the own row; `expect` 0 expects that there is none.
    Renew {
        /// Version that the row must have.
        expect: u64,
        /// New content.
        row: BoxRow,
    },
    /// Read the rows of all boxes.
    Read,
    /// Delete the row of a box that is considered dead.
    DeclareDead {
        /// Incarnation of the box.
        id: Name,
        /// Version that the row must have.
        version: u64,
    },
    /// The own row was deleted: stop acting and start again as a new incarnation.
    Deposed,
}
