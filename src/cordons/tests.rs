//! Tests of the list of cordoned halls, whose changes and reads arrive in any order.

use super::{CordonChange, Cordons, Halls};

fn change(hall: &str, version: u64, cordoned: bool) -> CordonChange {
    CordonChange {
        hall: hall.into(),
        version,
        cordoned,
    }
}

fn halls(names: &[&str]) -> Option<Halls> {
    Some(names.iter().map(|n| (*n).into()).collect())
}

#[test]
fn cordons_are_unknown_before_a_read() {
    let mut cordons = Cordons::default();
    assert_eq!(cordons.cordoned_halls(), None);
    cordons.apply_change(change("h1", 5, true));
    assert_eq!(
        cordons.cordoned_halls(),
        None,
        "other halls may be cordoned as well"
    );
    cordons.apply_snapshot(6, vec![change("h1", 5, true)]);
    assert_eq!(cordons.cordoned_halls(), halls(&["h1"]));
}

#[test]
fn an_outdated_read_does_not_undo_newer_changes() {
    let mut cordons = Cordons::default();
    cordons.apply_snapshot(4, vec![change("h1", 3, true)]);
    cordons.apply_change(change("h2", 8, true));
    cordons.apply_change(change("h1", 9, false));
    cordons.apply_snapshot(7, vec![change("h1", 3, true)]);
    assert_eq!(cordons.cordoned_halls(), halls(&["h2"]));
}

#[test]
fn a_read_removes_a_cordon_whose_removal_the_feed_missed() {
    let mut cordons = Cordons::default();
    cordons.apply_snapshot(4, vec![change("h1", 3, true), change("h2", 4, true)]);
    cordons.apply_snapshot(9, vec![change("h2", 4, true)]);
    assert_eq!(cordons.cordoned_halls(), halls(&["h2"]));
}

#[test]
fn a_hall_may_be_cordoned_again() {
    let mut cordons = Cordons::default();
    cordons.apply_snapshot(1, Vec::new());
    for version in 2..8 {
        cordons.apply_change(change("h1", version, version % 2 == 0));
    }
    assert_eq!(cordons.cordoned_halls(), halls(&[]));
    cordons.apply_change(change("h1", 8, true));
    assert_eq!(cordons.cordoned_halls(), halls(&["h1"]));
}

quickcheck::quickcheck! {
    /// The newest change of each hall counts in whichever order changes arrive.
    fn the_newest_change_counts(entries: Vec<(u8, bool)>, shift: usize) -> bool {
        let mut changes: Vec<CordonChange> = entries
            .iter()
            .enumerate()
            .map(|(at, (hall, cordoned))| change(&format!("h{}", hall % 3), at as u64 + 1, *cordoned))
            .collect();
        let mut in_order = Cordons::default();
        in_order.apply_snapshot(0, Vec::new());
        let mut rotated = in_order.clone();
        for change in changes.clone() {
            in_order.apply_change(change);
        }
        let count = changes.len().max(1);
        changes.rotate_left(shift % count);
        for change in changes {
            rotated.apply_change(change);
        }
        in_order.cordoned_halls() == rotated.cordoned_halls()
    }
}
