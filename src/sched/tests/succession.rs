//! Which box takes the place of an owner.

use super::world::owner_row;
use crate::sched::journal::OwnerRow;
use crate::sched::succession::{LOADING, interrupts, makes_way, wait, wanted};

#[test]
fn boxes_with_fewer_cores_leave_an_owners_place_to_others() {
    let before = OwnerRow {
        cores: 500,
        ..owner_row(1)
    };
    assert_eq!(wait(500, &before), 0);
    assert_eq!(wait(1_000, &before), 0);
    assert!(wait(120, &before) > 0);
}

#[test]
fn an_owner_makes_way_for_more_cores_once_it_has_settled() {
    assert!(!makes_way(500, 500, 1_000, 60_000));
    assert!(!makes_way(500, 0, 1_000, 60_000));
    assert!(!makes_way(120, 500, 1_000, 1_500));
    assert!(makes_way(120, 500, 1_000, 6_000));
}

#[test]
fn a_weak_owner_is_not_followed_by_weak_ones() {
    let strong = OwnerRow {
        cores: wanted(500, None),
        ..owner_row(1)
    };
    let weak = OwnerRow {
        cores: wanted(120, Some(&strong)),
        ..owner_row(2)
    };
    assert!(wait(120, &weak) > 0, "strong boxes go first again");
    assert_eq!(wait(500, &weak), 0);
}

#[test]
fn an_owner_that_does_not_serve_is_replaced_by_more_cores_or_after_a_while() {
    assert!(interrupts(500, 120, 0));
    assert!(!interrupts(500, 500, LOADING));
    assert!(!interrupts(120, 500, LOADING));
    assert!(interrupts(500, 500, LOADING + 1));
}
