//! Tests of what a guard lets through.

use super::*;

const MEMORY: DedupTimings = DedupTimings {
    retention: 1_000,
    skew: 10,
};

#[test]
fn an_id_passes_once() {
    let mut guard = DedupShard::new(1, 5_000, MEMORY);
    let id: Name = "a".into();
    assert_eq!(guard.admit(5_000, &id, 4_990, 0), Admission::Fresh);
    assert_eq!(guard.admit(5_001, &id, 4_990, 0), Admission::Running);
    guard.ran(&id);
    assert_eq!(guard.admit(5_900, &id, 4_990, 0), Admission::Ran);
    guard.tick(6_100);
    assert!(guard.is_empty());
    assert_eq!(guard.admit(6_100, &id, 4_990, 0), Admission::TooOld);
}

#[test]
fn what_was_provably_not_run_may_come_again() {
    let mut guard = DedupShard::new(1, 5_000, MEMORY);
    let id: Name = "a".into();
    assert_eq!(guard.admit(5_000, &id, 4_990, 0), Admission::Fresh);
    guard.not_run(&id);
    assert_eq!(guard.admit(5_001, &id, 4_990, 0), Admission::Fresh);
}

#[test]
fn a_new_owner_does_not_know_what_came_before() {
    let mut guard = DedupShard::new(2, 5_000, MEMORY);
    assert_eq!(
        guard.admit(5_005, &"a".into(), 5_010, 0),
        Admission::Predates
    );
    let first = guard.admit(5_005, &"a".into(), 5_010, 5_015);
    assert_eq!(first, Admission::Fresh, "nobody let it through before");
    assert_eq!(guard.admit(5_020, &"b".into(), 5_011, 0), Admission::Fresh);
}

#[test]
fn a_request_from_the_future_is_refused() {
    let mut guard = DedupShard::new(1, 5_000, MEMORY);
    assert_eq!(guard.admit(5_000, &"a".into(), 5_011, 0), Admission::Future);
}
