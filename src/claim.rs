//! Ownership of cells: claims, releases and the rows that record the owners.
//!
//! A cell is the workers of one rack, or a dedup shard without workers. Its row holds the owner's
//! incarnation and an epoch that grows with each change of owner. A cell may be claimed when it has
//! no owner or the owner's row in the table is gone. The commit expects that row to be absent, so
//! that a stale view can't take a cell from a live box.

mod assignment;
mod state;

#[cfg(test)]
mod tests;

pub use assignment::{LiveBox, assign};
pub use state::{Claims, OwnedCell};

use serde::{Deserialize, Serialize};

use crate::utils::Name;

/// Prefix of the keys of cell rows in the table.
pub const PREFIX: &str = "cell/";
/// Prefix that the names of dedup shards have among the names of cells.
pub const DEDUP_PREFIX: &str = "guard/";

/// Row of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRow {
    /// Owning incarnation; none after a release without a new owner.
    pub owner: Option<Name>,
    /// Epoch of the ownership; each new owner has a higher one.
    pub epoch: u64,
}

/// Row of a cell with its version in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedCell {
    /// Name of the cell.
    pub cell: Name,
    /// Version of the row.
    pub version: u64,
    /// Content of the row.
    pub row: CellRow,
}

/// Action that the claims request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the rows of all cells.
    Read,
    /// Write the row of a cell, expecting that the old owner's box row is absent and the own one
    /// present.
    Claim {
        /// Name of the cell.
        cell: Name,
        /// Version that the row must have; 0 expects that there is none.
        expect: u64,
        /// Old owner, whose box row must be absent.
        old: Option<Name>,
        /// New content.
        row: CellRow,
    },
    /// Write the row of a released cell, with the box to which the cell is assigned as the owner or
    /// without an owner.
    Release {
        /// Name of the cell.
        cell: Name,
        /// Version that the row must have.
        expect: u64,
        /// New content.
        row: CellRow,
    },
    /// This box now owns the cell under this epoch.
    Acquired {
        /// Name of the cell.
        cell: Name,
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// This box no longer owns the cell.
    Lost {
        /// Name of the cell.
        cell: Name,
    },
}
