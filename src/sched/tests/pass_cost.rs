//! Tests of how many workers a placement pass examines while all are full. Owners of many workers
//! spend most of their processor time on these passes.

use super::world::{World, job, lasting, step};
use crate::sched::message::RunOutcome;
use crate::sched::spec::StepSpec;

/// Number of workers.
const WORKERS: u16 = 40;
/// Milliseconds for which passes are observed; no task is placed meanwhile.
const SPAN: u64 = 500;

/// Returns a world whose workers are full of lasting tasks that have run for a while.
fn full_world() -> World {
    let mut world = World::new(WORKERS);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("last", job(vec![lasting(u32::from(WORKERS) * 4, 1_000)]));
    world.run(5_000);
    assert_eq!(world.running().len(), usize::from(WORKERS) * 4);
    world
}

/// Returns the mean number of times that each worker is examined in a placement pass.
fn examinations(world: &mut World) -> f64 {
    let (before, mut passes) = (world.owner.workers_examined, 0);
    for _ in 0..SPAN {
        let next = world.owner.next_pass;
        world.run(1);
        passes += u32::from(world.owner.next_pass != next);
    }
    assert!(passes > 0);
    (world.owner.workers_examined - before) as f64 / f64::from(WORKERS) / f64::from(passes)
}

#[test]
fn a_step_that_fits_nowhere_examines_workers_once_to_place_and_once_for_victims() {
    let mut world = full_world();
    // The tasks need more than one lasting task holds, so that none is preempted.
    world.submit("wide", job(vec![step(30, 3_000)]));
    let examinations = examinations(&mut world);
    assert!(examinations <= 2.0, "{examinations}");
    assert!(world.starts.iter().all(|s| !s.0.starts_with("wide")));
}

#[test]
fn waiting_best_effort_tasks_examine_workers_once_per_step() {
    let mut world = full_world();
    let best_effort = StepSpec {
        best_effort: true,
        label: "r1".into(),
        resources: crate::sched::spec::Resources {
            cpu: 1_000,
            memory: 9_999,
            gpu: 0,
        },
        ..step(30, 1_000)
    };
    world.submit("fill", job(vec![best_effort]));
    let examinations = examinations(&mut world);
    assert!(examinations <= 1.0, "{examinations}");
}
