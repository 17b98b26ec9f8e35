//! What earlier owners may still do when a new one begins.

use super::journal::OwnerRow;
use super::owner::OwnerSettings;
use super::worker::max_lease_duration;
use crate::utils::clock::Millis;

/// What earlier owners may still do to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PredecessorState {
    /// There was none.
    Absent,
    /// The last one has ended; its leases run out.
    Ended,
    /// The last one may still extend leases, until it hears of its end.
    MayServe,
    /// One before the last one may.
    EarlierMayServe,
}

impl PredecessorState {
    /// Returns what the owner of the row `before` may still do when the box
    /// `name` takes its place; a box that follows itself has ended that owner.
    pub fn from_row(before: Option<&OwnerRow>, name: &str) -> Self {
        match before {
            None => Self::Absent,
            Some(row) if !row.settled => Self::EarlierMayServe,
            Some(row) if row.released || &*row.name == name => Self::Ended,
            Some(_) => Self::MayServe,
        }
    }

    /// Returns true when no earlier owner can extend a lease any more.
    pub fn all_ended(self) -> bool {
        self <= Self::Ended
    }

    /// Returns when leases given by earlier owners have certainly ended, where
    /// the new one begins at `now`.
    pub fn lease_end(self, bounds: &OwnerSettings, now: Millis) -> Millis {
        match self {
            Self::Absent => now,
            Self::Ended => now + max_lease_duration(bounds.lease_length),
            Self::MayServe | Self::EarlierMayServe => {
                now + bounds.max_unconfirmed + max_lease_duration(bounds.lease_length)
            }
        }
    }
}

/// Returns the owners in other boxes that a new one tells of itself, each with whether no
/// other could still act: the one `before` it by the store, and the one that its box
/// `followed` last.
///
/// A box whose first load failed finds its own row before it. Told to that alone, the owner
/// before went on unaware where the store had turned it away, and its followers with it.
pub fn predecessors(
    before: Option<OwnerRow>,
    followed: Option<OwnerRow>,
    own: &OwnerRow,
) -> Vec<(OwnerRow, bool)> {
    let state = PredecessorState::from_row(before.as_ref(), &own.name);
    if state < PredecessorState::MayServe {
        return Vec::new();
    }
    let known = before.as_ref().map(|b| (b.name.clone(), b.epoch));
    let followed = followed.filter(|f| Some((f.name.clone(), f.epoch)) != known);
    let before = before.map(|b| (b, state == PredecessorState::MayServe));
    let all = before.into_iter().chain(followed.map(|f| (f, false)));
    let others = all.filter(|(row, _)| row.name != own.name && row.epoch < own.epoch);
    others.collect()
}
