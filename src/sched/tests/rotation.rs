//! Tests of lasting tasks that take turns on workers with capacity for only some of them.

use std::collections::BTreeMap;

use super::world::{World, job, lasting, step};
use crate::sched::message::RunOutcome;
use crate::utils::clock::Millis;

/// Number of workers, each with four processors.
const WORKERS: u16 = 10;
/// Lasting tasks with three processors, each of a job of its own.
const LARGE_TASKS: u32 = 7;
/// Lasting tasks with one processor, each of a job of its own.
const SMALL_TASKS: u32 = 18;
/// Time in milliseconds within which the platform requires a lasting task to run again.
const RESTART_LIMIT: Millis = 6_000;
/// Milliseconds after a failure in which the limit does not hold.
const DISTURBANCE: Millis = 7_000;
/// Milliseconds between two looks at the running tasks.
const SAMPLE_INTERVAL: Millis = 50;

/// Returns a world whose workers are full of lasting tasks.
fn full_world() -> World {
    let mut world = World::new(WORKERS);
    world.script = |task, _| match task.starts_with("short") {
        true => (400, RunOutcome::Done),
        false => (600_000, RunOutcome::Done),
    };
    for number in 0..LARGE_TASKS {
        world.submit(&format!("large{number}"), job(vec![lasting(1, 3_000)]));
    }
    for number in 0..SMALL_TASKS {
        world.submit(&format!("small{number}"), job(vec![lasting(1, 1_000)]));
    }
    world.run(4_000);
    let all = LARGE_TASKS + SMALL_TASKS;
    assert_eq!(world.running().len(), all as usize);
    world
}

/// Removes the first `count` workers without notice.
fn lose_workers(world: &mut World, count: usize) {
    let ids: Vec<_> = world.workers.keys().take(count).cloned().collect();
    for id in ids {
        world.workers.remove(&id);
    }
    world.send_directory();
}

/// Runs the world for `span` ms, with a job of short tasks each half second. Returns the longest
/// time in which a lasting task did not run, after `DISTURBANCE`, and that task.
fn longest_absence(world: &mut World, span: Millis) -> (Millis, String) {
    let mut last_run: BTreeMap<String, Millis> = BTreeMap::new();
    for (task, _) in world.running() {
        last_run.insert(task, world.now);
    }
    let from = world.now;
    let mut longest = (0, String::new());
    while world.now < from + span {
        if (world.now - from).is_multiple_of(500) {
            let id = format!("short{}", world.now);
            world.submit(&id, job(vec![step(2, 300)]));
        }
        world.run(SAMPLE_INTERVAL);
        for (task, _) in world.running() {
            last_run.insert(task, world.now);
        }
        if world.now < from + DISTURBANCE {
            continue;
        }
        let lasting = last_run.iter().filter(|(t, _)| !t.starts_with("short"));
        for (task, at) in lasting {
            longest = longest.max((world.now - at, task.clone()));
        }
    }
    longest
}

/// The order of the waiting tasks and the choice of preempted ones did not depend on how long they
/// had waited or run, so that some took turns with each other and others were never started again.
#[test]
fn lasting_tasks_that_do_not_all_fit_take_turns_within_the_limit() {
    let mut world = full_world();
    lose_workers(&mut world, 2);
    let (absence, task) = longest_absence(&mut world, 40_000);
    assert!(absence <= RESTART_LIMIT, "{task} away for {absence} ms");
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert!(world.overcommits.is_empty(), "{:?}", world.overcommits);
}
