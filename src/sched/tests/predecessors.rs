//! Tests of what a new owner concludes from its predecessor's row.

use super::world::{SETTINGS, owner_row};
use crate::sched::followers::CONFIRMATION_SPAN;
use crate::sched::journal::OwnerRow;
use crate::sched::predecessors::{
    PredecessorState, inherited_followers, inherited_span, owners_to_notify,
};
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
    let lease = max_lease_duration(SETTINGS.lease_length);
    let own = owner_row(2);
    let span = |before: Option<&OwnerRow>| inherited_span(before, &own, &SETTINGS);
    let longest = SETTINGS.max_unconfirmed + lease;
    assert_eq!(span(None), 0, "there was no earlier owner");
    let served = owner_row(1);
    assert_eq!(span(Some(&served)), longest, "it may go on unconfirmed");
    let released = OwnerRow {
        released: true,
        ..served.clone()
    };
    assert_eq!(span(Some(&released)), lease, "it has ended");
    let earlier_release = OwnerRow {
        settled: false,
        inherited: None,
        ..released
    };
    assert_eq!(
        span(Some(&earlier_release)),
        longest,
        "one before may go on"
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

/// Guards against a wait for the longest time that any owner may go on, by a box whose silence ends
/// the leases of its predecessor much sooner.
#[test]
fn a_listed_follower_waits_only_until_its_last_confirmation_has_lapsed() {
    let lease = max_lease_duration(SETTINGS.lease_length);
    let own = OwnerRow {
        address: ([127, 0, 0, 1], 2).into(),
        ..owner_row(2)
    };
    let listing = |address| OwnerRow {
        followers: vec![([127, 0, 0, 1], 7).into(), address],
        ..owner_row(1)
    };
    let span = |before: &OwnerRow| inherited_span(Some(before), &own, &SETTINGS);
    assert_eq!(span(&listing(own.address)), CONFIRMATION_SPAN + lease);
    let other = listing(([127, 0, 0, 1], 3).into());
    assert_eq!(span(&other), SETTINGS.max_unconfirmed + lease);
    let followers = inherited_followers(Some(&listing(own.address)), own.address);
    assert_eq!(followers, [([127, 0, 0, 1], 7).into()]);
}

/// Guards against a chain of takeovers in which each owner waits anew for all owners before it, and
/// against one that forgets what the last one still waited for.
#[test]
fn what_an_owner_still_waits_for_is_handed_on_to_the_next_one() {
    let lease = max_lease_duration(SETTINGS.lease_length);
    let own = OwnerRow {
        address: ([127, 0, 0, 1], 2).into(),
        ..owner_row(3)
    };
    let before = |settled, left| OwnerRow {
        settled,
        inherited: Some(left),
        followers: vec![own.address],
        ..owner_row(2)
    };
    let span = |row: OwnerRow| inherited_span(Some(&row), &own, &SETTINGS);
    let listed = CONFIRMATION_SPAN + lease;
    assert_eq!(span(before(false, listed + 700)), listed + 700);
    assert_eq!(span(before(false, 20)), listed);
    assert_eq!(span(before(true, listed + 700)), listed);
}
