//! Tests of tasks that crash the workers on which they start.
//!
//! They guard against a task that crashes one worker after the other. The owner used to requeue
//! every task of a worker that was gone, and counted only runs that a worker reports as failed; a
//! crashed worker reports nothing. Such tasks crashed each worker that started them, 12 ms after
//! the start order, and workers became silent 200 times in 100 s. Tasks that ran beside them were
//! restarted five times through no fault of their own.

use super::world::{World, job, lasting, step};
use crate::sched::job::JobState;
use crate::sched::message::{DirectoryEntry, Event, RunOutcome};
use crate::sched::spec::StepSpec;
use crate::utils::clock::Millis;

/// Milliseconds from the start of a crashing task to the crash of its worker.
const CRASH_DELAY: Millis = 10;

/// Returns a world whose workers run a lasting job and a job of three tasks, the first of which
/// crashes its worker `after` milliseconds.
fn world(after: Millis) -> World {
    let mut world = World::new(6);
    world.script = |task, _| match task.starts_with("beside") {
        true => (600_000, RunOutcome::Done),
        false => (1_000, RunOutcome::Done),
    };
    world.submit("beside", job(vec![lasting(12, 500)]));
    world.run(3_000);
    world.crashes.crash_delays.insert("bad.0.0.0".into(), after);
    world.submit("bad", job(vec![step(3, 500)]));
    world
}

/// Returns how often a task was started.
fn count_starts(world: &World, task: &str) -> usize {
    world.starts.iter().filter(|s| s.0 == task).count()
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up_after_two() {
    let mut world = world(CRASH_DELAY);
    world.run(40_000);
    assert_eq!(
        count_starts(&world, "bad.0.0.0"),
        2,
        "{:?}",
        world.crashes.victims
    );
    assert_eq!(world.job_state("bad"), Some(JobState::Failed));
    assert_eq!(world.job_state("beside"), Some(JobState::Running));
    assert_eq!(world.running().len(), 12, "all tasks of the other job run");
}

#[test]
fn tasks_started_beside_a_crashing_task_complete() {
    let mut world = world(CRASH_DELAY);
    for number in 0..6 {
        world.submit(&format!("good-{number}"), job(vec![step(4, 300)]));
    }
    world.run(40_000);
    assert_eq!(world.job_state("bad"), Some(JobState::Failed));
    for number in 0..6 {
        let id = format!("good-{number}");
        assert_eq!(world.job_state(&id), Some(JobState::Completed), "{id}");
    }
    assert_eq!(world.running().len(), 12);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// A worker that restarts only after its lease has ended, or never, may just have been out of
/// reach. More such losses are therefore needed until the task is abandoned.
#[test]
fn a_crash_counts_when_the_worker_does_not_come_back_in_time() {
    for restart_delay in [9_000, 600_000] {
        let mut world = world(CRASH_DELAY);
        world.crashes.restart_delay = restart_delay;
        world.run(60_000);
        let crashes = world.crashes.count_with("bad.0.0.0");
        assert!(
            crashes <= 4,
            "more than one start after the third crash: {crashes} crashes"
        );
        assert_eq!(
            world.job_state("bad"),
            Some(JobState::Failed),
            "restart after {restart_delay} ms"
        );
    }
}

/// Workers that are cut off keep their runs. They are no reason to abandon a task, although it
/// had just been started there each time.
#[test]
fn workers_out_of_reach_do_not_count_as_crashed() {
    let mut world = World::new(6);
    world.script = |_, _| (4_000, RunOutcome::Done);
    world.submit("j", job(vec![step(1, 500)]));
    for _ in 0..3 {
        world.run(20);
        let id = world.running()[0].1.clone();
        world.workers.get_mut(&id).expect("worker").disconnected = true;
        world.run(5_300);
    }
    world.run(10_000);
    assert_eq!(
        world.job_state("j"),
        Some(JobState::Completed),
        "{:?}",
        world.starts
    );
    assert!(world.starts.len() > 3, "{:?}", world.starts);
}

#[test]
fn a_task_that_crashes_its_workers_after_some_seconds_is_given_up() {
    let mut world = world(5_000);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.run(60_000);
    let crashes = world.crashes.count_with("bad.0.0.0");
    assert!(
        crashes <= 5,
        "more than two starts after the third crash: {crashes} crashes"
    );
    assert_eq!(world.job_state("bad"), Some(JobState::Failed));
}

#[test]
fn crash_counts_survive_a_change_of_owner() {
    let mut world = world(CRASH_DELAY);
    for _ in 0..4 {
        world.run(5_000);
        world.take_over(0);
    }
    world.run(20_000);
    let crashes = world.crashes.count_with("bad.0.0.0");
    assert!(crashes <= 3, "{:?}", world.crashes.victims);
    assert_eq!(world.job_state("bad"), Some(JobState::Failed));
    assert_eq!(world.job_state("beside"), Some(JobState::Running));
}

/// Each owner is replaced while the worker is away, so that no owner sees the crash.
#[test]
fn crashes_that_no_owner_has_seen_are_counted() {
    let mut world = world(CRASH_DELAY);
    let mut owners = 1;
    while world.job_state("bad") != Some(JobState::Failed) {
        if world.crashes.count_with("bad.0.0.0") >= owners {
            world.take_over(0);
            owners += 1;
        }
        world.run(50);
        assert!(world.now < 60_000, "the task is not abandoned");
    }
    let crashes = world.crashes.count_with("bad.0.0.0");
    assert!(
        crashes <= 5,
        "more than two starts after the third crash: {crashes} crashes"
    );
}

#[test]
fn a_task_is_not_given_up_for_crashes_that_it_did_not_cause() {
    let mut world = World::new(3);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("long", job(vec![lasting(6, 500)]));
    for _ in 0..8 {
        world.run(14_000);
        let worker = world.workers.keys().next().expect("a worker").clone();
        world.crash(&worker);
    }
    world.run(8_000);
    assert_eq!(world.job_state("long"), Some(JobState::Running));
    assert_eq!(world.running().len(), 6);
}

#[test]
fn a_worker_that_announced_that_it_leaves_has_not_crashed() {
    let mut world = World::new(2);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("j", job(vec![step(2, 500)]));
    world.run(500);
    for _ in 0..5 {
        let id = world.running()[0].1.clone();
        let worker = world.workers.get_mut(&id).expect("worker");
        worker.listing.leaving = true;
        let entry = DirectoryEntry::Listed(worker.listing.clone());
        world.handle(Event::DirectoryChanged(vec![(id.clone(), entry)]));
        world.crash(&id);
        world.run(6_000);
    }
    assert_eq!(world.job_state("j"), Some(JobState::Running));
}

/// A worker that refuses a start as unfit gets no tasks for a while, so a task that no worker can
/// read blocked all workers: it was started 52 times in 10 s, while other tasks waited.
#[test]
fn a_task_that_no_worker_can_read_does_not_block_the_workers() {
    let mut world = World::new(4);
    world
        .workers
        .values_mut()
        .for_each(|w| w.rejects_bad_tasks = true);
    world.submit("bad", job(vec![step(1, 500)]));
    world.run(10_000);
    assert!(world.unfit_starts <= 5, "{} starts", world.unfit_starts);
    world.submit("good", job(vec![step(8, 1_500)]));
    world.run(1_500);
    assert_eq!(world.job_state("good"), Some(JobState::Completed));
    world
        .workers
        .values_mut()
        .for_each(|w| w.rejects_bad_tasks = false);
    world.run(20_000);
    assert_eq!(world.job_state("bad"), Some(JobState::Completed));
}

/// A worker may list a task that its job does not have, for example one of an earlier job with the
/// same id. An owner that crashed on such a report would be followed by one that reads the same.
#[test]
fn a_report_of_a_task_outside_its_job_does_not_crash_the_owner() {
    let mut world = World::new(1);
    world.script = |_, _| (5_000, RunOutcome::Done);
    world.submit("j", job(vec![step(1, 500)]));
    world.run(500);
    for task in ["j.0.0.7", "j.0.3.0", "j.4.0.0"] {
        world.start_unordered("w0", task, 2);
        world.run(100);
        world.start_unordered("w0", task, 5_000);
    }
    world.run(20_000);
    assert!(world.running().is_empty(), "{:?}", world.running());
    assert_eq!(world.job_state("j"), Some(JobState::Completed));
}

#[test]
fn a_gang_with_a_crashing_member_is_given_up() {
    let mut world = World::new(6);
    world.script = |_, _| (60_000, RunOutcome::Done);
    world
        .crashes
        .crash_delays
        .insert("g.0.0.1".into(), CRASH_DELAY);
    let gang = StepSpec {
        gang: true,
        ..step(4, 2_000)
    };
    world.submit("g", job(vec![gang]));
    world.run(30_000);
    assert_eq!(
        world.crashes.victims.len(),
        2,
        "{:?}",
        world.crashes.victims
    );
    assert_eq!(world.job_state("g"), Some(JobState::Failed));
}

/// At most a quarter of the workers runs suspects at a time, so that other tasks go on.
#[test]
fn many_suspects_are_started_a_few_at_a_time() {
    let mut world = World::new(8);
    for number in 0..8 {
        let id = format!("bad-{number}");
        world
            .crashes
            .crash_delays
            .insert(format!("{id}.0.0.0"), CRASH_DELAY);
        world.submit(&id, job(vec![step(1, 2_500)]));
    }
    world.run(3_300);
    assert_eq!(
        world.crashes.victims.len(),
        8,
        "each worker started one of them"
    );
    world.run(200);
    while world.crashes.victims.len() < 16 {
        world.run(10);
        assert!(
            world.workers.len() >= 6,
            "more than two of eight workers are away"
        );
        assert!(world.now < 60_000, "not all suspects were started again");
    }
    world.run(5_000);
    for number in 0..8 {
        let id = format!("bad-{number}");
        assert_eq!(world.job_state(&id), Some(JobState::Failed), "{id}");
    }
}

/// A third of the workers restarts every 3 s, with and without a change of owner each time. Tasks
/// lose their workers again and again, some just after their start, without being the cause.
#[test]
fn tasks_are_not_given_up_when_many_workers_restart_at_once() {
    for new_owner in [false, true] {
        restart_many_workers(new_owner);
    }
}

/// Runs the scenario of the test above; each wave of restarts ends with a new owner or with an
/// update of the directory.
fn restart_many_workers(new_owner: bool) {
    let mut world = World::new(12);
    world.script = |task, _| match task.starts_with("lasting") {
        true => (600_000, RunOutcome::Done),
        false => (4_000, RunOutcome::Done),
    };
    world.submit("lasting", job(vec![lasting(6, 500)]));
    for wave in 0..12 {
        world.submit(&format!("j{wave}"), job(vec![step(20, 1_000)]));
        world.run(3_000);
        for index in 0..4 {
            let id = format!("w{}", (wave * 5 + index * 3) % 12);
            world.restart(&id);
        }
        match new_owner {
            true => world.take_over(0),
            false => world.send_directory(),
        }
    }
    world.run(30_000);
    for wave in 0..12 {
        let id = format!("j{wave}");
        assert_eq!(world.job_state(&id), Some(JobState::Completed), "{id}");
    }
    assert_eq!(world.running().len(), 6);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}
