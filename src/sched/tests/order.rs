//! The order of starts.

use super::world::{World, job, step};
use crate::sched::spec::StepSpec;

#[test]
fn a_job_that_can_still_be_on_time_goes_before_a_hopeless_one() {
    let mut world = World::new(1);
    // Fills the worker, so that the next two wait.
    world.script = |task, _| {
        let span = if task.starts_with("full") { 9_000 } else { 500 };
        (span, crate::sched::message::How::Done)
    };
    world.submit("full", job(vec![step(1, 4_000)]));
    world.run(100);
    world.submit("old", job(vec![step(1, 4_000)]));
    world.run(8_000);
    world.submit("new", job(vec![step(1, 4_000)]));
    world.run(3_000);
    let order: Vec<&str> = world.starts.iter().map(|s| &s.0[..3]).collect();
    assert_eq!(order, ["ful", "new", "old"]);
}

#[test]
fn lasting_tasks_wait_behind_tasks_that_end() {
    let mut world = World::new(1);
    world.submit("full", job(vec![step(1, 4_000)]));
    world.run(100);
    let lasting = StepSpec {
        lasting: true,
        ..step(1, 4_000)
    };
    world.submit("last", job(vec![lasting]));
    world.run(50);
    world.submit("ends", job(vec![step(1, 4_000)]));
    world.run(2_500);
    let order: Vec<&str> = world.starts.iter().map(|s| &s.0[..4]).collect();
    assert_eq!(order, ["full", "ends", "last"]);
}
