//! Tests of swaps of serving tasks between workers.

use super::world::{World, job, lasting, step};
use crate::sched::message::RunOutcome;
use crate::sched::spec::{JobSpec, Resources, StepSpec};
use crate::sched::worker::ImageShares;

/// Returns a job of one serving task of an image; two of them fill a worker.
fn serving(image: &str) -> JobSpec {
    job(vec![StepSpec {
        image: image.into(),
        latency_target: 100,
        ..lasting(1, 1_900)
    }])
}

/// Returns a job of more best-effort tasks than fit into the memory of the workers.
fn best_effort() -> JobSpec {
    let resources = Resources {
        cpu: 100,
        memory: 4_000,
        gpu: 0,
    };
    job(vec![StepSpec {
        best_effort: true,
        image: "filler".into(),
        resources,
        ..step(40, 100)
    }])
}

/// Returns a world of two workers that each run one serving task of either image. Best-effort
/// tasks interfere with the images by these factors, and many of them wait.
fn mixed_world(factors: [f64; 2]) -> World {
    let mut world = World::new(2);
    world.script = |task, _| match task.starts_with("blocker") {
        true => (500, RunOutcome::Done),
        false => (1_000_000, RunOutcome::Done),
    };
    world.submit("blocker", job(vec![step(1, 4_000)]));
    world.run(100);
    world.submit("even1", serving("even"));
    world.submit("odd1", serving("odd"));
    world.run(1_000);
    world.submit("even2", serving("even"));
    world.submit("odd2", serving("odd"));
    world.run(200);
    let mix: ImageShares = [("filler".into(), 0.2)].into();
    for _ in 0..50 {
        for (image, factor) in ["even", "odd"].into_iter().zip(factors) {
            let model = &mut world.owner.interference;
            model.learn(&image.into(), &mix, factor * 0.2, 0.0);
        }
    }
    assert_eq!(mixed_workers(&world), 2);
    world.submit("fillers", best_effort());
    world
}

/// Returns the number of workers that run serving tasks of both images.
fn mixed_workers(world: &World) -> usize {
    let runs = |prefix: &str, tasks: &[&String]| tasks.iter().any(|t| t.starts_with(prefix));
    let tasks = world.workers.values().map(|w| w.tasks().collect());
    let is_mixed = |tasks: &Vec<&String>| runs("even", tasks) && runs("odd", tasks);
    tasks.filter(is_mixed).count()
}

#[test]
fn tasks_that_tolerate_interference_are_brought_together_while_best_effort_tasks_wait() {
    let mut world = mixed_world([0.0, 4.0]);
    world.run(8_000);
    assert_eq!(mixed_workers(&world), 0);
    let running = world.running();
    let serving = running.iter().filter(|(t, _)| !t.starts_with("fill"));
    assert_eq!(
        serving.count(),
        4,
        "all serving tasks run again: {running:?}"
    );
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn tasks_with_equal_interference_are_not_swapped() {
    let mut world = mixed_world([4.0, 4.0]);
    let before = world.starts.iter().filter(|s| !s.0.starts_with("fill"));
    let before = before.count();
    world.run(8_000);
    let after = world.starts.iter().filter(|s| !s.0.starts_with("fill"));
    assert_eq!(after.count(), before);
}
