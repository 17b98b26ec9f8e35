//! Tasks that crash the workers that start them.
//!
//! Two tasks of a played day brought down each worker that started them, 200 times in 100 s.
//! The owner put them back among those that wait whenever the life of a worker ended, as it
//! did with all that ran there, and gave them the next worker: nothing was counted but runs
//! that a worker reports as failed, and one that is gone reports nothing.
//!
//! ```text
//! 25.806 task=A run=6 event=start worker=i-97 job_age_ms=16626
//! 25.818 worker=i-97 event=silent reply=Lost
//! 29.154 worker=i-97 event=over reason=another-life
//! 29.171 task=A run=7 event=start worker=i-b5 job_age_ms=19990
//! ```
//!
//! The four tasks begun beside run 6 were in their sixth run as well, by no fault of theirs.

use super::world::{World, job, lasting, step};
use crate::sched::job::Shown;
use crate::sched::message::How;
use crate::utils::clock::Millis;

/// Milliseconds after its start at which a task of the played day crashed its worker.
const AT_ONCE: Millis = 10;

/// Returns a world whose workers run a lasting job, and a job of three tasks the first of
/// which crashes its worker.
fn world(after: Millis) -> World {
    let mut world = World::new(6);
    world.script = |task, _| match task.starts_with("beside") {
        true => (600_000, How::Done),
        false => (1_000, How::Done),
    };
    world.submit("beside", job(vec![lasting(12, 500)]));
    world.run(3_000);
    world.crashes.by_task.insert("bad.0.0.0".into(), after);
    world.submit("bad", job(vec![step(3, 500)]));
    world
}

fn starts(world: &World, task: &str) -> usize {
    world.starts.iter().filter(|s| s.0 == task).count()
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up_after_two() {
    let mut world = world(AT_ONCE);
    world.run(40_000);
    assert_eq!(starts(&world, "bad.0.0.0"), 2, "{:?}", world.crashes.all);
    assert_eq!(world.shown("bad"), Some(Shown::Failed));
    assert_eq!(world.shown("beside"), Some(Shown::Running));
    assert_eq!(world.running().len(), 12, "all of the other job is at work");
}
