//! Tasks that crash the workers that start them.
//!
//! Some tasks brought down each worker that started them, and workers fell silent 200 times
//! in 100 s. The owner put such a task back among those that wait whenever the life of its
//! worker ended, as it did with all that ran there, and gave it the next worker: nothing was
//! counted but runs that a worker reports as failed, and one that is gone reports nothing.
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
use crate::sched::job::JobState;
use crate::sched::message::RunOutcome;
use crate::sched::message::{DirectoryEntry, Event};
use crate::sched::spec::StepSpec;
use crate::utils::clock::Millis;

/// Milliseconds after its start at which such a task crashed its worker.
const AT_ONCE: Millis = 10;

/// Returns a world whose workers run a lasting job, and a job of three tasks the first of
/// which crashes its worker.
fn world(after: Millis) -> World {
    let mut world = World::new(6);
    world.script = |task, _| match task.starts_with("beside") {
        true => (600_000, RunOutcome::Done),
        false => (1_000, RunOutcome::Done),
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
    assert_eq!(world.shown("bad"), Some(JobState::Failed));
    assert_eq!(world.shown("beside"), Some(JobState::Running));
    assert_eq!(world.running().len(), 12, "all of the other job is at work");
}

#[test]
fn tasks_begun_beside_it_go_on() {
    let mut world = world(AT_ONCE);
    for number in 0..6 {
        world.submit(&format!("good-{number}"), job(vec![step(4, 300)]));
    }
    world.run(40_000);
    assert_eq!(world.shown("bad"), Some(JobState::Failed));
    for number in 0..6 {
        let id = format!("good-{number}");
        assert_eq!(world.shown(&id), Some(JobState::Completed), "{id}");
    }
    assert_eq!(world.running().len(), 12);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

/// A worker may be back only after its lease has ended, or not at all: then it may as well
/// be out of reach, and more of them are needed to tell.
#[test]
fn a_crash_counts_when_no_other_life_comes_in_time() {
    for back in [9_000, 600_000] {
        let mut world = world(AT_ONCE);
        world.crashes.back = back;
        world.run(60_000);
        let crashes = world.crashes.under("bad.0.0.0");
        assert!(crashes <= 4, "one start after the third crash: {crashes}");
        assert_eq!(
            world.shown("bad"),
            Some(JobState::Failed),
            "back after {back}"
        );
    }
}

/// Workers that are cut off run on. A task is not given up for them, though it was just
/// started there each time.
#[test]
fn workers_out_of_reach_have_not_crashed() {
    let mut world = World::new(6);
    world.script = |_, _| (4_000, RunOutcome::Done);
    world.submit("j", job(vec![step(1, 500)]));
    for _ in 0..3 {
        world.run(20);
        let on = world.running()[0].1.clone();
        world.workers.get_mut(&on).expect("worker").cut = true;
        world.run(5_300);
    }
    world.run(10_000);
    assert_eq!(
        world.shown("j"),
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
    let crashes = world.crashes.under("bad.0.0.0");
    assert!(crashes <= 5, "two starts after the third crash: {crashes}");
    assert_eq!(world.shown("bad"), Some(JobState::Failed));
}

#[test]
fn counts_outlast_the_owner() {
    let mut world = world(AT_ONCE);
    for _ in 0..4 {
        world.run(5_000);
        world.take_over(0);
    }
    world.run(20_000);
    let crashes = world.crashes.under("bad.0.0.0");
    assert!(crashes <= 3, "{:?}", world.crashes.all);
    assert_eq!(world.shown("bad"), Some(JobState::Failed));
    assert_eq!(world.shown("beside"), Some(JobState::Running));
}

/// Each owner ends while the worker is away, so that none sees it crash.
#[test]
fn crashes_that_no_owner_has_seen_count_as_well() {
    let mut world = world(AT_ONCE);
    let mut owners = 1;
    while world.shown("bad") != Some(JobState::Failed) {
        if world.crashes.under("bad.0.0.0") >= owners {
            world.take_over(0);
            owners += 1;
        }
        world.run(50);
        assert!(world.now < 60_000, "it is given up in the end");
    }
    let crashes = world.crashes.under("bad.0.0.0");
    assert!(crashes <= 5, "two starts after the third crash: {crashes}");
}

#[test]
fn a_task_is_not_given_up_for_crashes_that_it_has_nothing_to_do_with() {
    let mut world = World::new(3);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("long", job(vec![lasting(6, 500)]));
    for _ in 0..8 {
        world.run(14_000);
        let worker = world.workers.keys().next().expect("a worker").clone();
        world.crash(&worker);
    }
    world.run(8_000);
    assert_eq!(world.shown("long"), Some(JobState::Running));
    assert_eq!(world.running().len(), 6);
}

#[test]
fn a_worker_that_leaves_as_it_said_has_not_crashed() {
    let mut world = World::new(2);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("j", job(vec![step(2, 500)]));
    world.run(500);
    for _ in 0..5 {
        let on = world.running()[0].1.clone();
        let worker = world.workers.get_mut(&on).expect("worker");
        worker.listing.leaving = true;
        let entry = DirectoryEntry::Listed(worker.listing.clone());
        world.step(Event::DirectoryChanged(vec![(on.clone(), entry)]));
        world.crash(&on);
        world.run(6_000);
    }
    assert_eq!(world.shown("j"), Some(JobState::Running));
}

/// Each worker that turns a start away as unfit gets nothing for a while, so a task that
/// none can read took all of them out of use: 52 starts in 10 s, and other work waited.
#[test]
fn a_task_that_no_worker_can_read_does_not_take_them_out_of_use() {
    let mut world = World::new(4);
    world.workers.values_mut().for_each(|w| w.unfit = true);
    world.submit("bad", job(vec![step(1, 500)]));
    world.run(10_000);
    assert!(world.unfit_starts <= 5, "{} starts", world.unfit_starts);
    world.submit("good", job(vec![step(8, 1_500)]));
    world.run(1_500);
    assert_eq!(world.shown("good"), Some(JobState::Completed));
    world.workers.values_mut().for_each(|w| w.unfit = false);
    world.run(20_000);
    assert_eq!(world.shown("bad"), Some(JobState::Completed));
}

/// A worker may list a task that its job does not have: one of an earlier job with the same
/// id, say. An owner that ends by that is followed by another that reads the same.
#[test]
fn a_task_that_its_job_does_not_have_ends_no_owner() {
    let mut world = World::new(1);
    world.script = |_, _| (5_000, RunOutcome::Done);
    world.submit("j", job(vec![step(1, 500)]));
    world.run(500);
    for task in ["j.0.0.7", "j.0.3.0", "j.4.0.0"] {
        world.sneak("w0", task, 2);
        world.run(100);
        world.sneak("w0", task, 5_000);
    }
    world.run(20_000);
    assert!(world.running().is_empty(), "{:?}", world.running());
    assert_eq!(world.shown("j"), Some(JobState::Completed));
}

#[test]
fn a_gang_one_of_whose_members_crashes_its_workers_is_given_up() {
    let mut world = World::new(6);
    world.script = |_, _| (60_000, RunOutcome::Done);
    world.crashes.by_task.insert("g.0.0.1".into(), AT_ONCE);
    let gang = StepSpec {
        gang: true,
        ..step(4, 2_000)
    };
    world.submit("g", job(vec![gang]));
    world.run(30_000);
    assert_eq!(world.crashes.all.len(), 2, "{:?}", world.crashes.all);
    assert_eq!(world.shown("g"), Some(JobState::Failed));
}

/// Suspects take a quarter of the workers at most; other work goes on.
#[test]
fn many_suspects_are_tried_a_few_at_a_time() {
    let mut world = World::new(8);
    for number in 0..8 {
        let id = format!("bad-{number}");
        world.crashes.by_task.insert(format!("{id}.0.0.0"), AT_ONCE);
        world.submit(&id, job(vec![step(1, 2_500)]));
    }
    world.run(3_300);
    assert_eq!(
        world.crashes.all.len(),
        8,
        "each worker started one of them"
    );
    world.run(200);
    while world.crashes.all.len() < 16 {
        world.run(10);
        assert!(world.workers.len() >= 6, "two of eight are away at most");
        assert!(world.now < 60_000, "all are tried in the end");
    }
    world.run(5_000);
    for number in 0..8 {
        let id = format!("bad-{number}");
        assert_eq!(world.shown(&id), Some(JobState::Failed), "{id}");
    }
}

/// A third of the workers starts again every three seconds, and another owner takes over
/// each time or does not. The tasks there are hit by that again and again, some just after
/// their start, and are none of the cause.
#[test]
fn tasks_are_not_given_up_where_many_workers_start_again_at_once() {
    for replaced in [false, true] {
        start_many_again(replaced);
    }
}

fn start_many_again(replaced: bool) {
    let mut world = World::new(12);
    world.script = |task, _| match task.starts_with("lasting") {
        true => (600_000, RunOutcome::Done),
        false => (4_000, RunOutcome::Done),
    };
    world.submit("lasting", job(vec![lasting(6, 500)]));
    for wave in 0..12 {
        world.submit(&format!("j{wave}"), job(vec![step(20, 1_000)]));
        world.run(3_000);
        for place in 0..4 {
            let id = format!("w{}", (wave * 5 + place * 3) % 12);
            world.restart(&id);
        }
        match replaced {
            true => world.take_over(0),
            false => world.list(),
        }
    }
    world.run(30_000);
    for wave in 0..12 {
        let id = format!("j{wave}");
        assert_eq!(world.shown(&id), Some(JobState::Completed), "{id}");
    }
    assert_eq!(world.running().len(), 6);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}
