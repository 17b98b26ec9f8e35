//! What earlier owners may still do when a new one begins.

use super::journal::OwnerRow;
use super::owner::Bounds;
use super::worker::lease_span;
use crate::utils::clock::Millis;

/// What earlier owners may still do to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Legacy {
    /// There was none.
    Nothing,
    /// The last one has ended; its leases run out.
    Leases,
    /// The last one may still extend leases, until it hears of its end.
    Owner,
    /// One before the last one may.
    Chain,
}

impl Legacy {
    /// Returns what the owner of the row `before` may still do when the box
    /// `name` takes its place; a box that follows itself has ended that owner.
    pub fn of(before: Option<&OwnerRow>, name: &str) -> Self {
        match before {
            None => Self::Nothing,
            Some(row) if !row.settled => Self::Chain,
            Some(row) if row.released || &*row.name == name => Self::Leases,
            Some(_) => Self::Owner,
        }
    }

    /// Returns true when no earlier owner can extend a lease any more.
    pub fn settled(self) -> bool {
        self <= Self::Leases
    }

    /// Returns when leases given by earlier owners have certainly ended, where
    /// the new one begins at `now`.
    pub fn lease_end(self, bounds: &Bounds, now: Millis) -> Millis {
        match self {
            Self::Nothing => now,
            Self::Leases => now + lease_span(bounds.lease),
            Self::Owner | Self::Chain => now + bounds.unconfirmed + lease_span(bounds.lease),
        }
    }
}
