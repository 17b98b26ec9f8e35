//! Workers whose room shrinks and grows while they run.

use super::world::{World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::{Answer, JobRequest, RunOutcome};
use crate::sched::spec::{Resources, StepSpec};

/// Returns a room of so many thousandths of cores, with plenty of all else.
fn resources(cpu: u64) -> Resources {
    Resources {
        cpu,
        memory: 10_000,
        gpu: 0,
    }
}

/// Returns a world of one worker, which takes whatever it is told, and long runs.
fn world() -> World {
    let mut world = World::new(1);
    world.script = |_, _| (60_000, RunOutcome::Done);
    world
}

#[test]
fn a_worker_gets_what_fits_its_room_as_it_is() {
    let mut world = world();
    world.submit("a", job(vec![step(8, 500)]));
    world.run(500);
    assert_eq!(world.running().len(), 8);
    world.resize("w0", resources(1_000));
    world.submit("b", job(vec![step(4, 500)]));
    world.run(2_000);
    assert_eq!(world.running().len(), 8, "what runs goes on");
    assert_eq!(world.shown("b"), Some(JobState::Queued));
    world.resize("w0", resources(6_000));
    world.run(500);
    assert_eq!(world.running().len(), 12);
    assert!(world.excesses.is_empty(), "{:?}", world.excesses);
}

/// The placement is on its way to the store when the room shrinks.
#[test]
fn a_start_that_does_not_fit_any_more_is_withdrawn() {
    let mut world = world();
    world.submit("a", job(vec![step(6, 500)]));
    world.run(1);
    world.resize("w0", resources(1_000));
    world.run(2_000);
    assert_eq!(world.running().len(), 2);
    assert!(world.excesses.is_empty(), "{:?}", world.excesses);
}

#[test]
fn what_is_being_stopped_still_counts() {
    let mut world = world();
    world.submit("a", job(vec![step(4, 1_000)]));
    world.run(500);
    // Stops are answered, and no report comes: the runs may still be there.
    world.ask(JobRequest::Cancel("a".into()));
    world.run(5);
    world.workers.get_mut("w0").expect("worker").cut = true;
    world.submit("b", job(vec![step(4, 1_000)]));
    world.run(2_500);
    assert!(!world.starts.iter().any(|s| s.0.starts_with('b')));
    world.workers.get_mut("w0").expect("worker").cut = false;
    world.run(6_000);
    assert_eq!(world.running().len(), 4);
    assert!(world.excesses.is_empty(), "{:?}", world.excesses);
}

/// A job that fits no worker now is taken when one has had the room: it is known to
/// shrink, not to stay so.
#[test]
fn a_job_for_which_there_was_room_is_taken_and_waits() {
    let mut world = world();
    world.resize("w0", resources(1_000));
    let ticket = world.submit("a", job(vec![step(1, 3_000)]));
    world.run(1_000);
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted));
    assert!(world.running().is_empty());
    world.resize("w0", resources(4_000));
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
    world.resize("w0", resources(1_000));
    world.run(3_000);
    assert!(world.running().is_empty(), "{:?}", world.running());
    world.resize("w0", resources(4_000));
    world.run(3_000);
    assert_eq!(world.running().len(), 6);
    assert!(world.excesses.is_empty(), "{:?}", world.excesses);
}
