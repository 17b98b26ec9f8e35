//! Tests of completions that workers report in unusual ways.

use super::world::{World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::RunOutcome;

/// Returns a world of one worker whose tasks end one after another while it can't be reached, so
/// that one report lists all their completions.
fn ended_while_unreachable() -> World {
    let mut world = World::new(1);
    world.script = |task, _| {
        let index = task.rsplit('.').next().and_then(|i| i.parse().ok());
        (300 + index.unwrap_or(0), RunOutcome::Done)
    };
    world.submit("j", job(vec![step(4, 1_000)]));
    world.run(100);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.run(500);
    world
}

/// Lets the worker of `ended_while_unreachable` report, and checks that no task runs again.
fn assert_runs_once(mut world: World) {
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.run(5_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.starts.len(), 4, "{:?}", world.starts);
    assert_eq!(world.job_state("j"), Some(JobState::Completed));
}

/// The owner passed over a completion whose number was below one that was listed before it, and
/// acknowledged both. The task was then missing from the worker and started again.
#[test]
fn a_completion_listed_after_a_higher_one_is_not_lost() {
    let mut world = ended_while_unreachable();
    let worker = world.workers.get_mut("w0").expect("worker");
    worker.edit_report = |report| report.ended.reverse();
    assert_runs_once(world);
}
