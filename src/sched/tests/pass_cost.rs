//! Full workers: how much is looked at while tasks wait, as that is what an owner of many
//! workers spends its processor time on.

use super::world::{World, job, lasting, step};
use crate::sched::message::RunOutcome;
use crate::sched::spec::StepSpec;

const WORKERS: u16 = 40;
/// Milliseconds of a run in which nothing finds room.
const SPAN: u64 = 500;

/// Returns workers that lasting tasks fill, each of which has run for a while.
fn full() -> World {
    let mut world = World::new(WORKERS);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("last", job(vec![lasting(u32::from(WORKERS) * 4, 1_000)]));
    world.run(5_000);
    assert_eq!(world.running().len(), usize::from(WORKERS) * 4);
    world
}

/// Returns the workers looked at in a pass of placing, as a multiple of all.
fn looks(world: &mut World) -> f64 {
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
fn tasks_of_a_step_that_fit_nowhere_are_one_look_at_all_workers_and_one_for_victims() {
    let mut world = full();
    // Too wide for what stopping one lasting task frees, so that nothing gives way.
    world.submit("wide", job(vec![step(30, 3_000)]));
    let looks = looks(&mut world);
    assert!(looks <= 2.0, "{looks}");
    assert!(world.starts.iter().all(|s| !s.0.starts_with("wide")));
}

#[test]
fn fillers_that_wait_are_one_look_for_each_step() {
    let mut world = full();
    let filler = StepSpec {
        best_effort: true,
        label: "r1".into(),
        resources: crate::sched::spec::Resources {
            cpu: 1_000,
            memory: 9_999,
            gpu: 0,
        },
        ..step(30, 1_000)
    };
    world.submit("fill", job(vec![filler]));
    let looks = looks(&mut world);
    assert!(looks <= 1.0, "{looks}");
}
