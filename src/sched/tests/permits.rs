//! Tests of queues whose steps may run only on workers that the advisor permits.

use super::world::{World, job, queue, step};
use crate::sched::job::{JobState, Queue};

/// Returns a queue whose tasks need permits.
fn advised() -> Queue {
    Queue {
        advised: true,
        ..queue()
    }
}

/// Returns a world whose workers require permits, which the advisor issues for some of them.
fn world(workers: u16, permitted: &[&str]) -> World {
    let mut world = World::new(workers);
    world
        .workers
        .values_mut()
        .for_each(|w| w.requires_permit = true);
    world.permitted = permitted.iter().map(|id| (*id).into()).collect();
    world
}

#[test]
fn tasks_start_with_a_permit_and_only_on_allowed_workers() {
    let mut world = world(6, &["w2", "w5"]);
    world.submit_to(advised(), "j1", job(vec![step(4, 1_000)]));
    world.run(300);
    assert_eq!(world.starts.len(), 4);
    let permitted = ["w2", "w5"];
    assert!(world.starts.iter().all(|s| permitted.contains(&&*s.2)));
    assert_eq!(
        world.advice_requests,
        [6],
        "one query for all tasks of a step"
    );
    world.run(1_500);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
}

#[test]
fn other_queues_query_no_permits() {
    let mut world = World::new(2);
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(1_500);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
    assert!(world.advice_requests.is_empty());
}

#[test]
fn an_expired_permit_is_queried_again() {
    let mut world = world(2, &["w1"]);
    world.submit_to(advised(), "j1", job(vec![step(12, 1_000)]));
    // Four tasks run at a time for a second each, so the last start after the first permits expire.
    world.run(4_500);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 12);
    assert!(
        world.advice_requests.len() >= 2,
        "{:?}",
        world.advice_requests
    );
    assert!(world.starts.iter().all(|s| &*s.2 == "w1"));
}

#[test]
fn further_workers_are_queried_until_some_are_allowed() {
    let mut world = world(70, &["w69"]);
    world.submit_to(advised(), "j1", job(vec![step(1, 1_000)]));
    world.run(2_000);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
    assert!(
        world.advice_requests.iter().all(|n| *n <= 30),
        "{:?}",
        world.advice_requests
    );
}

#[test]
fn a_step_whose_allowed_workers_are_full_does_not_block_others() {
    let mut world = world(2, &["w0"]);
    world.script = |_, _| (20_000, crate::sched::message::RunOutcome::Done);
    world.submit_to(advised(), "first", job(vec![step(4, 1_000)]));
    world.run(1_000);
    assert_eq!(world.running().len(), 4, "w0 is full");
    world.submit_to(advised(), "waits", job(vec![step(1, 1_000)]));
    world.run(300);
    world
        .workers
        .values_mut()
        .for_each(|w| w.requires_permit = false);
    world.submit("plain", job(vec![step(1, 1_000)]));
    world.run(300);
    let plain = world.starts.iter().find(|s| s.0.starts_with("plain"));
    assert!(plain.is_some_and(|s| &*s.2 == "w1"), "{:?}", world.starts);
}
