//! Tests of lasting tasks that take turns on workers with capacity for only some of them.

use std::collections::BTreeMap;

use super::world::{World, job, lasting, step};
use crate::sched::message::RunOutcome;
use crate::utils::clock::Millis;

/// Number of workers, each with four processors.
const WORKERS: u16 = 12;
/// Lasting tasks with three processors, each of a job of its own.
const LARGE_TASKS: u32 = 2;
/// Lasting tasks with one processor, each of a job of its own.
const SMALL_TASKS: u32 = 4 * WORKERS as u32 - 3 * LARGE_TASKS;
/// Time in milliseconds within which the platform requires a lasting task to run again.
const RESTART_LIMIT: Millis = 6_000;
/// Milliseconds after a loss of workers in which the limit does not hold: their leases end within
/// 5 s, and the platform then allows 7 s.
const DISTURBANCE: Millis = 12_000;
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
    world.run(500);
    for number in 0..SMALL_TASKS {
        world.submit(&format!("small{number}"), job(vec![lasting(1, 1_000)]));
    }
    world.run(4_000);
    let all = LARGE_TASKS + SMALL_TASKS;
    assert_eq!(world.running().len(), all as usize);
    world
}

/// Removes the workers that run tasks whose name starts with `prefix`, without notice.
fn lose_workers(world: &mut World, prefix: &str) {
    let running = world.running().into_iter();
    for (_, id) in running.filter(|(task, _)| task.starts_with(prefix)) {
        world.workers.remove(&id);
    }
    world.send_directory();
}

/// Loses the workers of the tasks whose name starts with `lost`, and runs the world for `span` ms
/// with a job of short tasks each half second. Returns the longest time in which a lasting task
/// did not run, after `DISTURBANCE`, and that task.
fn longest_absence(world: &mut World, lost: &str, span: Millis) -> (Millis, String) {
    let mut last_run: BTreeMap<String, Millis> = BTreeMap::new();
    for (task, _) in world.running() {
        last_run.insert(task, world.now);
    }
    lose_workers(world, lost);
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

/// A task that needs the resources of several runs was never started again.
#[test]
fn lasting_tasks_that_do_not_all_fit_take_turns_within_the_limit() {
    let mut world = full_world();
    let (absence, task) = longest_absence(&mut world, "large", 40_000);
    assert!(absence <= RESTART_LIMIT, "{task} away for {absence} ms");
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert!(world.overcommits.is_empty(), "{:?}", world.overcommits);
}

/// The order of the waiting tasks did not depend on how long they had waited, so that some took
/// turns with each other and others were never started again.
#[test]
fn the_lasting_task_that_has_been_away_longest_is_placed_first() {
    let mut world = World::new(2);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("first", job(vec![lasting(1, 3_000)]));
    world.submit("second", job(vec![lasting(1, 2_000)]));
    world.run(2_000);
    lose_workers(&mut world, "first");
    world.run(1_000);
    lose_workers(&mut world, "second");
    world.run(8_000);
    let order = world.owner.placement_order();
    let tasks: Vec<_> = order
        .into_iter()
        .flat_map(|entry| world.owner.waiting_tasks(entry))
        .map(|key| world.owner.task_name(key))
        .collect();
    assert_eq!(tasks, ["first.0.0.0", "second.0.0.0"]);
}

/// Six tasks at most got the place of another one in a placement pass, however many waited and
/// however far apart the passes were.
#[test]
fn all_lasting_tasks_that_are_due_to_restart_preempt_others_in_one_pass() {
    let mut world = full_world();
    let ids: Vec<_> = world.workers.keys().step_by(4).cloned().collect();
    for id in ids {
        world.workers.remove(&id);
    }
    world.send_directory();
    while world.owner.reservations.is_empty() {
        world.run(1);
        assert!(world.now < 20_000, "no task is preempted");
    }
    let left = world.workers.len();
    assert_eq!(world.owner.reservations.len(), left);
}
