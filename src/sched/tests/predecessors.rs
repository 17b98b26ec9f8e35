//! Tests of what a new owner concludes from its predecessor's row.

use super::world::{SETTINGS, owner_row};
use crate::sched::journal::OwnerRow;
use crate::sched::predecessors::{PredecessorState, owners_to_notify};
use crate::sched::worker::max_lease_duration;

#[test]
fn the_row_shows_whether_earlier_owners_may_extend_leases() {
    let row = owner_row(1);
    let released = OwnerRow {
        released: true,
        ..row.clone()
    };
    let unsettled = OwnerRow {
        settled: false,
        ..released.clone()
    };
    let other = owner_row(2);
    let again = OwnerRow {
        name: row.name.clone(),
        ..owner_row(2)
    };
    let namesake = OwnerRow {
        address: ([127, 0, 0, 2], 1).into(),
        ..again.clone()
    };
    let moved = OwnerRow {
        address: ([127, 0, 0, 2], 1).into(),
        ..other.clone()
    };
    let state = |before, own| PredecessorState::from_row(before, own);
    assert_eq!(state(None, &other), PredecessorState::Absent);
    assert_eq!(state(Some(&released), &moved), PredecessorState::Ended);
    assert_eq!(state(Some(&row), &again), PredecessorState::Ended);
    assert_eq!(state(Some(&row), &namesake), PredecessorState::MayServe);
    assert_eq!(state(Some(&row), &other), PredecessorState::MayServe);
    assert_eq!(state(Some(&row), &moved), PredecessorState::MayServe);
    assert_eq!(
        state(Some(&unsettled), &other),
        PredecessorState::EarlierMayServe
    );
    assert!(PredecessorState::Absent.all_ended() && PredecessorState::Ended.all_ended());
    assert!(
        !PredecessorState::MayServe.all_ended() && !PredecessorState::EarlierMayServe.all_ended()
    );
}

#[test]
fn lease_end_covers_leases_of_earlier_owners() {
    let (now, lease) = (7_000, max_lease_duration(SETTINGS.lease_length));
    let end = |state: PredecessorState| state.lease_end(&SETTINGS, now) - now;
    assert_eq!(end(PredecessorState::Absent), 0);
    assert_eq!(end(PredecessorState::Ended), lease);
    assert_eq!(
        end(PredecessorState::MayServe),
        SETTINGS.max_unconfirmed + lease
    );
    assert_eq!(
        end(PredecessorState::EarlierMayServe),
        SETTINGS.max_unconfirmed + lease
    );
}

/// A box became the owner, failed to load, and became the owner again. It found its own row
/// before it and notified only itself. The earlier owner and its followers, cut off from the
/// store, went on and refused every job. The log of the failure:
///
/// ```text
/// event=predecessor-ended epoch=3 owner=box-3 last=false
/// ```
#[test]
fn an_owner_that_replaces_its_own_row_notifies_the_owner_that_served_before() {
    let (served, own) = (owner_row(1), owner_row(3));
    let failed = OwnerRow {
        name: own.name.clone(),
        settled: false,
        ..owner_row(2)
    };
    let notified = owners_to_notify(Some(failed), Some(served.clone()), &own);
    assert_eq!(notified, [(served, false)]);
}

#[test]
fn an_ended_owner_is_not_notified() {
    let (served, own) = (owner_row(1), owner_row(2));
    let notified = owners_to_notify(Some(served.clone()), Some(served.clone()), &own);
    assert_eq!(notified, [(served.clone(), true)]);
    let released = OwnerRow {
        released: true,
        ..served.clone()
    };
    assert_eq!(owners_to_notify(Some(released), Some(served), &own), []);
    assert_eq!(owners_to_notify(None, None, &own), []);
}

/// A replacement machine was given the name of a box that still ran, and started first. It took
/// the running owner's leases for ended.
#[test]
fn an_owner_on_another_machine_of_the_same_name_may_still_serve() {
    let served = owner_row(1);
    let own = OwnerRow {
        name: served.name.clone(),
        address: ([127, 0, 0, 2], 1).into(),
        ..owner_row(2)
    };
    let notified = owners_to_notify(Some(served.clone()), None, &own);
    assert_eq!(notified, [(served, true)]);
}

/// A commit that makes a box the owner may take effect after the box has given it up as lost. The
/// box finds its own row then, and must not take the owner before that for an ended one.
#[test]
fn an_owners_row_that_was_stored_late_settles_nothing() {
    let served = owner_row(1);
    let own = owner_row(2);
    let settled = |before: &OwnerRow, own: &OwnerRow| {
        PredecessorState::from_row(Some(before), own).all_ended()
    };
    let late = OwnerRow {
        settled: settled(&served, &own),
        ..own.clone()
    };
    let again = OwnerRow {
        name: own.name.clone(),
        ..owner_row(3)
    };
    for next in [again, owner_row(3)] {
        let state = PredecessorState::from_row(Some(&late), &next);
        assert_eq!(state, PredecessorState::EarlierMayServe, "{}", next.name);
        assert!(!settled(&late, &next), "{}", next.name);
    }
}
