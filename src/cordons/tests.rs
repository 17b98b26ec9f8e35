//! Tests of what is known of halls, in any order of words.

use super::{Change, Cordons, Halls};

fn change(hall: &str, version: u64, cordoned: bool) -> Change {
    Change {
        hall: hall.into(),
        version,
        cordoned,
    }
}

fn halls(names: &[&str]) -> Option<Halls> {
    Some(names.iter().map(|n| (*n).into()).collect())
}

#[test]
fn nothing_is_known_before_a_read() {
    let mut cordons = Cordons::default();
    assert_eq!(cordons.halls(), None);
    cordons.change(change("h1", 5, true));
    assert_eq!(cordons.halls(), None, "others may be cordoned as well");
    cordons.read(6, vec![change("h1", 5, true)]);
    assert_eq!(cordons.halls(), halls(&["h1"]));
}

#[test]
fn a_read_that_is_behind_brings_nothing_back() {
    let mut cordons = Cordons::default();
    cordons.read(4, vec![change("h1", 3, true)]);
    cordons.change(change("h2", 8, true));
    cordons.change(change("h1", 9, false));
    cordons.read(7, vec![change("h1", 3, true)]);
    assert_eq!(cordons.halls(), halls(&["h2"]));
}

#[test]
fn a_row_that_went_while_nothing_was_heard_is_taken_back_by_a_read() {
    let mut cordons = Cordons::default();
    cordons.read(4, vec![change("h1", 3, true), change("h2", 4, true)]);
    cordons.read(9, vec![change("h2", 4, true)]);
    assert_eq!(cordons.halls(), halls(&["h2"]));
}

#[test]
fn a_hall_may_be_cordoned_again() {
    let mut cordons = Cordons::default();
    cordons.read(1, Vec::new());
    for version in 2..8 {
        cordons.change(change("h1", version, version % 2 == 0));
    }
    assert_eq!(cordons.halls(), halls(&[]));
    cordons.change(change("h1", 8, true));
    assert_eq!(cordons.halls(), halls(&["h1"]));
}

quickcheck::quickcheck! {
    /// Whatever order changes come in, the newest one of each hall holds.
    fn the_newest_change_holds(words: Vec<(u8, bool)>, turn: usize) -> bool {
        let mut changes: Vec<Change> = words
            .iter()
            .enumerate()
            .map(|(at, (hall, cordoned))| change(&format!("h{}", hall % 3), at as u64 + 1, *cordoned))
            .collect();
        let mut in_order = Cordons::default();
        in_order.read(0, Vec::new());
        let mut turned = in_order.clone();
        for change in changes.clone() {
            in_order.change(change);
        }
        let places = changes.len().max(1);
        changes.rotate_left(turn % places);
        for change in changes {
            turned.change(change);
        }
        in_order.halls() == turned.halls()
    }
}
