//! What a new owner may conclude from the row of the one before.

use super::world::{BOUNDS, owner_row};
use crate::sched::journal::OwnerRow;
use crate::sched::legacy::Legacy;
use crate::sched::worker::lease_span;

#[test]
fn only_an_owner_that_has_ended_extends_no_leases() {
    let row = owner_row(1);
    let released = OwnerRow {
        released: true,
        ..row.clone()
    };
    let unsettled = OwnerRow {
        settled: false,
        ..released.clone()
    };
    assert_eq!(Legacy::of(None, "b"), Legacy::Nothing);
    assert_eq!(Legacy::of(Some(&released), "b"), Legacy::Leases);
    assert_eq!(Legacy::of(Some(&row), &row.name), Legacy::Leases);
    assert_eq!(Legacy::of(Some(&row), "b"), Legacy::Owner);
    assert_eq!(Legacy::of(Some(&unsettled), "b"), Legacy::Chain);
    assert!(Legacy::Nothing.settled() && Legacy::Leases.settled());
    assert!(!Legacy::Owner.settled() && !Legacy::Chain.settled());
}

#[test]
fn leases_of_earlier_owners_are_waited_for() {
    let (now, lease) = (7_000, lease_span(BOUNDS.lease));
    let end = |legacy: Legacy| legacy.lease_end(&BOUNDS, now) - now;
    assert_eq!(end(Legacy::Nothing), 0);
    assert_eq!(end(Legacy::Leases), lease);
    assert_eq!(end(Legacy::Owner), BOUNDS.unconfirmed + lease);
    assert_eq!(end(Legacy::Chain), BOUNDS.unconfirmed + lease);
}
