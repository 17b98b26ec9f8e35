//! Gangs: tasks that only work together.

use super::world::{World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::RunOutcome;
use crate::sched::spec::StepSpec;

/// A gang of tasks of which two fit on a worker.
fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, 2_000)
    }
}

#[test]
fn a_gang_that_lacks_room_for_one_waits_as_a_whole() {
    let mut world = World::new(2);
    world.submit("gang", job(vec![gang(5)]));
    world.run(1_000);
    assert!(world.starts.is_empty(), "{:?}", world.starts);
    world.add_worker("w2", 102);
    world.list();
    world.run(200);
    assert_eq!(world.starts.len(), 5);
}

#[test]
fn a_gang_that_loses_a_member_at_its_start_is_stopped_and_starts_as_a_whole() {
    let mut world = World::new(2);
    world.script = |_, _| (5_000, RunOutcome::Done);
    world.workers.get_mut("w1").expect("worker").full = true;
    world.submit("gang", job(vec![gang(4)]));
    world.run(100);
    assert!(world.running().is_empty(), "{:?}", world.running());
    world.workers.get_mut("w1").expect("worker").full = false;
    world.run(3_000);
    assert_eq!(world.running().len(), 4);
    let runs: Vec<u32> = world.starts.iter().rev().take(4).map(|s| s.1).collect();
    assert!(
        runs.iter().all(|r| *r == runs[0]),
        "one run of all: {runs:?}"
    );
}

#[test]
fn one_end_of_a_gang_stands_for_all_its_members() {
    let mut world = World::new(2);
    world.submit("gang", job(vec![gang(4)]));
    world.run(200);
    assert_eq!(world.running().len(), 4);
    // Its members have ended, and nobody will ever tell.
    world.run(600);
    world.workers.get_mut("w1").expect("worker").cut = true;
    world.run(12_000);
    assert_eq!(world.shown("gang"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 4, "no member runs again");
}

#[test]
fn members_go_on_from_one_checkpoint() {
    let mut world = World::new(2);
    world.script = |task, run| match (task.ends_with(".0"), run) {
        (true, 1) => (500, RunOutcome::Failed),
        _ => (5_000, RunOutcome::Done),
    };
    world.workers.values_mut().for_each(|w| w.saves = true);
    world.submit("gang", job(vec![gang(4)]));
    world.run(4_000);
    assert_eq!(world.running().len(), 4);
    let saved: Vec<_> = world.resumed.values().collect();
    assert_eq!(saved.len(), 4);
    assert!(!saved[0].is_empty());
    assert!(saved.iter().all(|s| *s == saved[0]), "{saved:?}");
}

#[test]
fn a_gang_fails_its_job_after_as_many_failures_of_any_members() {
    let mut world = World::new(2);
    world.script = |task, run| match task.ends_with(&format!(".{run}")) {
        true => (300, RunOutcome::Failed),
        false => (4_000, RunOutcome::Done),
    };
    world.submit("gang", job(vec![gang(4)]));
    world.run(12_000);
    assert_eq!(world.shown("gang"), Some(JobState::Failed));
    let last = world.starts.iter().map(|s| s.1).max();
    assert_eq!(last, Some(3), "as often as the queue allows");
}
