//! Tests of gangs, whose tasks must run at the same time.

use super::world::{World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::RunOutcome;
use crate::sched::spec::StepSpec;

/// Returns a gang of tasks of which two fit on a worker.
fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, 2_000)
    }
}

#[test]
fn a_gang_waits_as_a_whole_when_one_member_does_not_fit() {
    let mut world = World::new(2);
    world.submit("gang", job(vec![gang(5)]));
    world.run(1_000);
    assert!(world.starts.is_empty(), "{:?}", world.starts);
    world.add_worker("w2", 102);
    world.send_directory();
    world.run(200);
    assert_eq!(world.starts.len(), 5);
}

#[test]
fn a_gang_that_loses_a_member_at_its_start_is_stopped_and_restarted_as_a_whole() {
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
        "all members share one run: {runs:?}"
    );
}

#[test]
fn the_completion_of_one_member_completes_its_gang() {
    let mut world = World::new(2);
    world.submit("gang", job(vec![gang(4)]));
    world.run(200);
    assert_eq!(world.running().len(), 4);
    // The members on the worker end, and their completions are never reported.
    world.run(600);
    world.workers.get_mut("w1").expect("worker").disconnected = true;
    world.run(12_000);
    assert_eq!(world.job_state("gang"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 4, "no member runs again");
}

#[test]
fn members_restart_from_one_checkpoint() {
    let mut world = World::new(2);
    world.script = |task, run| match (task.ends_with(".0"), run) {
        (true, 1) => (500, RunOutcome::Failed),
        _ => (5_000, RunOutcome::Done),
    };
    world
        .workers
        .values_mut()
        .for_each(|w| w.reports_checkpoints = true);
    world.submit("gang", job(vec![gang(4)]));
    world.run(4_000);
    assert_eq!(world.running().len(), 4);
    let checkpoints: Vec<_> = world.resumed_from.values().collect();
    assert_eq!(checkpoints.len(), 4);
    assert!(!checkpoints[0].is_empty());
    assert!(
        checkpoints.iter().all(|c| *c == checkpoints[0]),
        "{checkpoints:?}"
    );
}

#[test]
fn failures_of_all_members_count_towards_the_failure_of_the_job() {
    let mut world = World::new(2);
    world.script = |task, run| match task.ends_with(&format!(".{run}")) {
        true => (300, RunOutcome::Failed),
        false => (4_000, RunOutcome::Done),
    };
    world.submit("gang", job(vec![gang(4)]));
    world.run(12_000);
    assert_eq!(world.job_state("gang"), Some(JobState::Failed));
    let last = world.starts.iter().map(|s| s.1).max();
    assert_eq!(last, Some(3), "one run for each allowed failure");
}
