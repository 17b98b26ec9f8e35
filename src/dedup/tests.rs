//! Tests of which requests a dedup shard admits.

use super::*;

const TIMINGS: DedupTimings = DedupTimings {
    retention: 1_000,
    skew: 10,
};

#[test]
fn an_id_is_admitted_once() {
    let mut shard = DedupShard::new(1, 5_000, TIMINGS);
    let id: Name = "a".into();
    assert_eq!(shard.admit(5_000, &id, 4_990, 0), Admission::Admitted);
    assert_eq!(shard.admit(5_001, &id, 4_990, 0), Admission::Running);
    shard.mark_ran(&id);
    assert_eq!(shard.admit(5_900, &id, 4_990, 0), Admission::Ran);
    shard.forget_expired(6_100);
    assert!(shard.is_empty());
    assert_eq!(shard.admit(6_100, &id, 4_990, 0), Admission::TooOld);
}

#[test]
fn a_request_that_did_not_run_is_admitted_again() {
    let mut shard = DedupShard::new(1, 5_000, TIMINGS);
    let id: Name = "a".into();
    assert_eq!(shard.admit(5_000, &id, 4_990, 0), Admission::Admitted);
    shard.mark_not_run(&id);
    assert_eq!(shard.admit(5_001, &id, 4_990, 0), Admission::Admitted);
}

#[test]
fn a_request_issued_before_the_ownership_predates_the_owner() {
    let mut shard = DedupShard::new(2, 5_000, TIMINGS);
    assert_eq!(
        shard.admit(5_005, &"a".into(), 5_010, 0),
        Admission::PredatesOwner
    );
    let sent_once = shard.admit(5_005, &"a".into(), 5_010, 5_015);
    assert_eq!(
        sent_once,
        Admission::Admitted,
        "the caller promised to send it only once"
    );
    assert_eq!(
        shard.admit(5_020, &"b".into(), 5_011, 0),
        Admission::Admitted
    );
}

#[test]
fn a_request_from_the_future_is_refused() {
    let mut shard = DedupShard::new(1, 5_000, TIMINGS);
    assert_eq!(
        shard.admit(5_000, &"a".into(), 5_011, 0),
        Admission::IssuedInFuture
    );
}

/// The id was forgotten when its first admission expired, and the resend was admitted as well.
#[test]
fn an_id_that_is_issued_again_after_it_did_not_run_is_remembered_for_the_whole_retention() {
    let mut shard = DedupShard::new(1, 5_000, TIMINGS);
    let id: Name = "a".into();
    assert_eq!(shard.admit(5_000, &id, 5_000, 0), Admission::Admitted);
    shard.mark_not_run(&id);
    assert_eq!(shard.admit(5_500, &id, 5_500, 0), Admission::Admitted);
    shard.mark_ran(&id);
    shard.forget_expired(6_100);
    assert_eq!(shard.admit(6_100, &id, 5_500, 0), Admission::Ran);
    shard.forget_expired(6_510);
    assert!(shard.is_empty());
}
