//! Which box owns which cell.
//!
//! A cell is the workers of one rack, or a dedup shard without workers. Its
//! row names the owner's incarnation and an epoch that grows with each change
//! of owner. A cell may be claimed when its owner's row is gone; the commit
//! expects just that, so that no stale view can take a cell from a live box.

mod assignment;
mod state;

#[cfg(test)]
mod tests;

pub use assignment::{Host, plan};
pub use state::{Claims, Mine};

use serde::{Deserialize, Serialize};

use crate::utils::Name;

/// Prefix of the rows of cells in the table.
pub const PREFIX: &str = "cell/";
/// Prefix of the names of dedup shards among the cells.
pub const DEDUP_PREFIX: &str = "guard/";

/// The row of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRow {
    /// Owning incarnation; none after a release.
    pub owner: Option<Name>,
    /// Grows by one with each claim.
    pub epoch: u64,
}

/// A row of a cell with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedCell {
    /// Name of the cell.
    pub cell: Name,
    /// Version of the row.
    pub version: u64,
    /// Contents of the row.
    pub row: CellRow,
}

/// What the claims ask to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the rows of all cells.
    Read,
    /// Write the row of a cell, expecting the old owner's row gone and the
    /// own present.
    Claim {
        /// Name of the cell.
        cell: Name,
        /// Version the row must have; 0 expects its absence.
        expect: u64,
        /// Owner whose row must be gone.
        old: Option<Name>,
        /// New contents.
        row: CellRow,
    },
    /// Write the row of a cell that is given up: to the box that should have
    /// it, or without an owner.
    Release {
        /// Name of the cell.
        cell: Name,
        /// Version the row must have.
        expect: u64,
        /// New contents.
        row: CellRow,
    },
    /// The cell is now owned under this epoch.
    Won {
        /// Name of the cell.
        cell: Name,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// The cell is no longer owned.
    Lost {
        /// Name of the cell.
        cell: Name,
    },
}
