//! What earlier owners may still do to workers when a new owner begins.

use super::journal::OwnerRow;
use super::owner::OwnerSettings;
use super::worker::max_lease_duration;
use crate::utils::clock::Millis;

/// The state of earlier owners, in ascending order of what they may still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PredecessorState {
    /// There was no earlier owner.
    Absent,
    /// The last owner has ended; the leases that it granted expire.
    Ended,
    /// The last owner may still extend leases, until it learns that it was replaced.
    MayServe,
    /// An owner before the last one may still extend leases.
    EarlierMayServe,
}

impl PredecessorState {
    /// Returns the state of earlier owners when the owner of the row `own` replaces that of the
    /// row `before`. A box that replaces itself has already ended its earlier term.
    pub fn from_row(before: Option<&OwnerRow>, own: &OwnerRow) -> Self {
        match before {
            None => Self::Absent,
            Some(row) if !row.settled => Self::EarlierMayServe,
            Some(row) if row.released || row.is_from_box(&own.name, own.address) => Self::Ended,
            Some(_) => Self::MayServe,
        }
    }

    /// Returns true when no earlier owner can extend a lease.
    pub fn all_ended(self) -> bool {
        self <= Self::Ended
    }

    /// Returns when all leases granted by earlier owners have certainly ended, for a new
    /// owner that begins at `now`.
    pub fn lease_end(self, settings: &OwnerSettings, now: Millis) -> Millis {
        match self {
            Self::Absent => now,
            Self::Ended => now + max_lease_duration(settings.lease_length),
            Self::MayServe | Self::EarlierMayServe => {
                now + settings.max_unconfirmed + max_lease_duration(settings.lease_length)
            }
        }
    }
}

/// Returns the owners on other boxes that a new owner notifies of its epoch, each with true
/// when no other owner could still act: the owner `before` it in the store, and the owner
/// that its box `followed` last.
///
/// A box whose first load failed finds its own row before it. If it notified that row's owner
/// only, an earlier owner that is cut off from the store would go on serving, with its
/// followers.
pub fn owners_to_notify(
    before: Option<OwnerRow>,
    followed: Option<OwnerRow>,
    own: &OwnerRow,
) -> Vec<(OwnerRow, bool)> {
    let state = PredecessorState::from_row(before.as_ref(), own);
    if state < PredecessorState::MayServe {
        return Vec::new();
    }
    let stored = before.as_ref().map(|b| (b.name.clone(), b.epoch));
    let followed = followed.filter(|f| Some((f.name.clone(), f.epoch)) != stored);
    let before = before.map(|b| (b, state == PredecessorState::MayServe));
    let all = before.into_iter().chain(followed.map(|f| (f, false)));
    let others =
        all.filter(|(row, _)| !row.is_from_box(&own.name, own.address) && row.epoch < own.epoch);
    others.collect()
}
