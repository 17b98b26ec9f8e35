//! What earlier owners may still do to workers when a new owner begins.

use std::net::SocketAddr;

use super::followers::CONFIRMATION_SPAN;
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
            Some(row) if has_ended(row, own) => Self::Ended,
            Some(_) => Self::MayServe,
        }
    }

    /// Returns true when no earlier owner can extend a lease.
    pub fn all_ended(self) -> bool {
        self <= Self::Ended
    }
}

/// Returns the milliseconds from the commit that replaced the row `before` by the row `own` within
/// which all leases granted by earlier owners end.
///
/// A predecessor whose end is not known extends leases for as long as its followers confirm it. A
/// listed follower confirms it no more once it has replaced it. For a box that is not listed, the
/// predecessor may go on for as long as any owner does without the store.
pub fn inherited_span(
    before: Option<&OwnerRow>,
    own: &OwnerRow,
    settings: &OwnerSettings,
) -> Millis {
    let Some(before) = before else {
        return 0;
    };
    let lease = max_lease_duration(settings.lease_length);
    let longest = settings.max_unconfirmed + lease;
    let last = match has_ended(before, own) {
        true => lease,
        false if before.followers.contains(&own.address) => longest.min(CONFIRMATION_SPAN + lease),
        false => longest,
    };
    let earlier = match before.settled {
        true => 0,
        false => before.inherited.unwrap_or(longest),
    };
    last.max(earlier)
}

/// Returns true when the owner of the row `before` extends no lease any more.
fn has_ended(before: &OwnerRow, own: &OwnerRow) -> bool {
    before.released || before.is_from_box(&own.name, own.address)
}

/// Returns the followers that a new owner takes over from its predecessor. They are listed from its
/// first row on, so that each of them can replace it at once.
pub fn inherited_followers(before: Option<&OwnerRow>, own: SocketAddr) -> Vec<SocketAddr> {
    let listed = before.iter().flat_map(|row| &row.followers);
    listed.filter(|a| **a != own).copied().collect()
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
