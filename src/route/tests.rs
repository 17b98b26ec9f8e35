//! Tests of the choice of a cell.

use super::*;

fn load(cell: &str, epoch: u64, free: u32) -> Load {
    Load {
        cell: cell.into(),
        epoch,
        free,
        queued: 0,
        cores: 0,
        largest: Shape::default(),
    }
}

fn peer() -> Option<SocketAddr> {
    Some(SocketAddr::from(([127, 0, 0, 1], 9)))
}

#[test]
fn the_cell_with_most_room_is_chosen_and_its_load_kept_current() {
    let mut router = Router::new("h".into(), 1);
    router.report(
        0,
        &"a".into(),
        None,
        vec![load("h/1", 1, 2), load("h/2", 1, 4)],
    );
    let chosen: Vec<Name> = (0..6).filter_map(|_| router.choose(&[])).collect();
    let second = chosen.iter().filter(|c| &***c == "h/2").count();
    assert_eq!(second, 4, "{chosen:?}");
}

#[test]
fn a_cell_that_was_tried_is_not_chosen_again() {
    let mut router = Router::new("h".into(), 1);
    router.report(
        0,
        &"a".into(),
        peer(),
        vec![load("h/1", 1, 9), load("h/2", 1, 0)],
    );
    assert_eq!(router.choose(&["h/1".into()]).as_deref(), Some("h/2"));
    assert_eq!(router.choose(&["h/1".into(), "h/2".into()]), None);
}

#[test]
fn an_old_owner_does_not_take_a_cell_back() {
    let mut router = Router::new("h".into(), 1);
    router.report(5, &"new".into(), peer(), vec![load("h/1", 2, 1)]);
    router.report(6, &"old".into(), peer(), vec![load("h/1", 1, 9)]);
    assert_eq!(router.view("h/1").map(|v| &*v.owner), Some("new"));
}

#[test]
fn silent_owners_are_forgotten() {
    let mut router = Router::new("h".into(), 1);
    router.report(5, &"a".into(), peer(), vec![load("h/1", 1, 1)]);
    router.report(9, &"b".into(), peer(), vec![load("h/2", 1, 1)]);
    router.forget(6);
    assert!(router.view("h/1").is_none());
    assert!(router.view("h/2").is_some());
}

#[test]
fn a_cell_that_its_owner_denies_is_not_chosen_until_it_is_reported() {
    let mut router = Router::new("h".into(), 1);
    assert!(!router.seen());
    router.report(0, &"a".into(), None, vec![load("h/r0", 1, 8)]);
    router.drop_cell("h/r0");
    assert_eq!(router.choose(&[]), None);
    assert!(router.seen());
    router.report(1, &"b".into(), None, vec![load("h/r0", 2, 8)]);
    assert_eq!(router.choose(&[]).as_deref(), Some("h/r0"));
}
