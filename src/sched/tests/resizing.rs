//! Tests of workers whose capacity shrinks and grows while they run tasks.

use super::world::{World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::{Answer, JobRequest, RunOutcome};
use crate::sched::spec::{Resources, StepSpec};

/// Returns a capacity of `cpu` thousandths of cores, with ample memory.
fn capacity(cpu: u64) -> Resources {
    Resources {
        cpu,
        memory: 10_000,
        gpu: 0,
    }
}

/// Returns a world with one worker and long runs.
fn world() -> World {
    let mut world = World::new(1);
    world.script = |_, _| (60_000, RunOutcome::Done);
    world
}

#[test]
fn a_worker_gets_only_tasks_that_fit_its_current_capacity() {
    let mut world = world();
    world.submit("a", job(vec![step(8, 500)]));
    world.run(500);
    assert_eq!(world.running().len(), 8);
    world.resize("w0", capacity(1_000));
    world.submit("b", job(vec![step(4, 500)]));
    world.run(2_000);
    assert_eq!(world.running().len(), 8, "running tasks continue");
    assert_eq!(world.job_state("b"), Some(JobState::Queued));
    world.resize("w0", capacity(6_000));
    world.run(500);
    assert_eq!(world.running().len(), 12);
    assert!(world.overcommits.is_empty(), "{:?}", world.overcommits);
}

/// The placement is being committed when the worker's capacity shrinks.
#[test]
fn a_start_that_no_longer_fits_is_withdrawn() {
    let mut world = world();
    world.submit("a", job(vec![step(6, 500)]));
    world.run(1);
    world.resize("w0", capacity(1_000));
    world.run(2_000);
    assert_eq!(world.running().len(), 2);
    assert!(world.overcommits.is_empty(), "{:?}", world.overcommits);
}

#[test]
fn tasks_that_are_being_stopped_still_hold_their_resources() {
    let mut world = world();
    world.submit("a", job(vec![step(4, 1_000)]));
    world.run(500);
    // Stops are answered, but without a report the tasks may still be running.
    world.request(JobRequest::Cancel("a".into()));
    world.run(5);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.submit("b", job(vec![step(4, 1_000)]));
    world.run(2_500);
    assert!(!world.starts.iter().any(|s| s.0.starts_with('b')));
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.run(6_000);
    assert_eq!(world.running().len(), 4);
    assert!(world.overcommits.is_empty(), "{:?}", world.overcommits);
}

/// A job that fits no worker is accepted if it has fit one before, as workers that have shrunk
/// may grow again.
#[test]
fn a_job_that_fit_before_the_worker_shrank_is_accepted_and_waits() {
    let mut world = world();
    world.resize("w0", capacity(1_000));
    let ticket = world.submit("a", job(vec![step(1, 3_000)]));
    world.run(1_000);
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted));
    assert!(world.running().is_empty());
    world.resize("w0", capacity(4_000));
    world.run(500);
    assert_eq!(world.running().len(), 1);
}

#[test]
fn a_gang_is_withdrawn_as_a_whole() {
    let mut world = World::new(2);
    world.script = |_, _| (60_000, RunOutcome::Done);
    let gang = StepSpec {
        gang: true,
        ..step(6, 1_000)
    };
    world.submit("g", job(vec![gang]));
    world.run(1);
    world.resize("w0", capacity(1_000));
    world.run(3_000);
    assert!(world.running().is_empty(), "{:?}", world.running());
    world.resize("w0", capacity(4_000));
    world.run(3_000);
    assert_eq!(world.running().len(), 6);
    assert!(world.overcommits.is_empty(), "{:?}", world.overcommits);
}
