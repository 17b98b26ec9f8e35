//! Tests of the router's choice of a cell.

use super::*;

/// Returns the reported load of a cell.
fn load(cell: &str, epoch: u64, free_slots: u32) -> CellLoad {
    CellLoad {
        cell: cell.into(),
        epoch,
        free_slots,
        queued: 0,
        free_cores: 0,
        largest_worker: Shape::default(),
    }
}

fn peer() -> Option<SocketAddr> {
    Some(SocketAddr::from(([127, 0, 0, 1], 9)))
}

#[test]
fn the_cell_with_most_free_slots_is_chosen_and_own_requests_count() {
    let mut router = Router::new("h".into(), 1);
    router.update_owner(
        0,
        &"a".into(),
        None,
        vec![load("h/1", 1, 2), load("h/2", 1, 4)],
    );
    let chosen: Vec<Name> = (0..6).filter_map(|_| router.choose(&[])).collect();
    let second_cell_count = chosen.iter().filter(|c| &***c == "h/2").count();
    assert_eq!(second_cell_count, 4, "{chosen:?}");
}

#[test]
fn a_cell_that_was_tried_is_not_chosen_again() {
    let mut router = Router::new("h".into(), 1);
    router.update_owner(
        0,
        &"a".into(),
        peer(),
        vec![load("h/1", 1, 9), load("h/2", 1, 0)],
    );
    assert_eq!(router.choose(&["h/1".into()]).as_deref(), Some("h/2"));
    assert_eq!(router.choose(&["h/1".into(), "h/2".into()]), None);
}

#[test]
fn a_report_of_an_earlier_owner_is_ignored() {
    let mut router = Router::new("h".into(), 1);
    router.update_owner(5, &"new".into(), peer(), vec![load("h/1", 2, 1)]);
    router.update_owner(6, &"old".into(), peer(), vec![load("h/1", 1, 9)]);
    assert_eq!(router.view("h/1").map(|v| &*v.owner), Some("new"));
}

#[test]
fn cells_of_silent_owners_are_removed() {
    let mut router = Router::new("h".into(), 1);
    router.update_owner(5, &"a".into(), peer(), vec![load("h/1", 1, 1)]);
    router.update_owner(9, &"b".into(), peer(), vec![load("h/2", 1, 1)]);
    router.forget_before(6);
    assert!(router.view("h/1").is_none());
    assert!(router.view("h/2").is_some());
}

#[test]
fn a_removed_cell_is_not_chosen_until_it_is_reported_again() {
    let mut router = Router::new("h".into(), 1);
    assert!(!router.has_seen_cells());
    router.update_owner(0, &"a".into(), None, vec![load("h/r0", 1, 8)]);
    router.remove_cell("h/r0");
    assert_eq!(router.choose(&[]), None);
    assert!(router.has_seen_cells());
    router.update_owner(1, &"b".into(), None, vec![load("h/r0", 2, 8)]);
    assert_eq!(router.choose(&[]).as_deref(), Some("h/r0"));
}
