//! Tests of halls that are cordoned and uncordoned while tasks wait, run and fail in them.

use std::collections::BTreeSet;

use super::world::{World, job, lasting, queue, step};
use crate::sched::job::JobState;
use crate::sched::message::{Answer, JobRequest, RunOutcome};
use crate::sched::spec::StepSpec;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Upper bound of the milliseconds from a cordon to the arrival of the last start that was sent
/// before it. An order takes one millisecond, and no start is sent after the cordon.
const ORDER_DELAY: Millis = 10;

/// Returns a world of `workers` workers, every second of them in hall `h2`.
fn two_halls(workers: u16) -> World {
    let mut world = World::new(0);
    for number in 0..workers {
        let id = format!("w{number}");
        world.add_worker(&id, 100 + number);
        if number % 2 == 1 {
            world.workers.get_mut(&*id).expect("worker").listing.hall = "h2".into();
        }
    }
    world.send_directory();
    world.run(50);
    world
}

/// Returns the tasks that were started in a hall since a time.
fn started_in(world: &World, hall: &str, from: Millis) -> Vec<String> {
    let in_hall = |id: &Name| &*world.workers[id].listing.hall == hall;
    let starts = world.starts.iter();
    let starts = starts.filter(|(_, _, worker, at)| *at >= from && in_hall(worker));
    starts.map(|(task, ..)| task.clone()).collect()
}

/// Returns the halls in which tasks of a job run.
fn halls_of(world: &World, id: &str) -> BTreeSet<Name> {
    let running = world.running().into_iter();
    let of_job = running.filter(|(task, _)| task.starts_with(id));
    of_job
        .map(|(_, w)| world.workers[&w].listing.hall.clone())
        .collect()
}

/// Submits short jobs for `span` ms; they use more than half of the capacity.
fn submit_load(world: &mut World, name: &str, span: Millis) {
    for number in 0..span / 100 {
        world.submit(&format!("{name}{number}"), job(vec![step(3, 500)]));
        world.run(100);
    }
}

#[test]
fn nothing_starts_in_a_cordoned_hall_until_it_is_uncordoned() {
    let mut world = two_halls(4);
    submit_load(&mut world, "before", 2_000);
    assert!(!started_in(&world, "h2", 0).is_empty());
    world.cordon(&["h2"]);
    let from = world.now + ORDER_DELAY;
    submit_load(&mut world, "during", 6_000);
    assert_eq!(started_in(&world, "h2", from), Vec::<String>::new());
    assert!(
        !started_in(&world, "h", from).is_empty(),
        "other halls are still used"
    );
    world.cordon(&[]);
    let from = world.now;
    submit_load(&mut world, "after", 2_000);
    assert!(!started_in(&world, "h2", from).is_empty());
}

#[test]
fn runs_in_a_cordoned_hall_go_on() {
    let mut world = two_halls(2);
    world.script = |_, _| (8_000, RunOutcome::Done);
    world.submit("a", job(vec![step(8, 1_000)]));
    world.submit("l", job(vec![lasting(2, 0)]));
    world.run(1_000);
    let before = world.running();
    world.cordon(&["h2"]);
    world.run(3_000);
    assert_eq!(world.running(), before);
    world.run(6_000);
    assert_eq!(world.job_state("a"), Some(JobState::Completed));
    let starts = world.starts.iter().filter(|s| s.0.starts_with('a'));
    assert_eq!(starts.count(), 8, "no task runs again");
}

/// The hall is cordoned while the placement is being stored.
#[test]
fn a_start_that_was_not_sent_yet_is_withdrawn() {
    let mut world = two_halls(2);
    world.script = |_, _| (20_000, RunOutcome::Done);
    world.submit("a", job(vec![step(8, 1_000)]));
    world.cordon(&["h2"]);
    world.run(3_000);
    assert_eq!(started_in(&world, "h2", 0), Vec::<String>::new());
    assert_eq!(halls_of(&world, "a"), ["h".into()].into());
}

#[test]
fn tasks_that_fail_or_end_in_a_cordoned_hall_start_again_elsewhere() {
    let mut world = two_halls(4);
    world.script = |task, run| match (task.starts_with('l'), run) {
        (true, 1) => (1_500, RunOutcome::Done),
        (true, _) => (60_000, RunOutcome::Done),
        (false, 1) => (1_000, RunOutcome::Failed),
        (false, _) => (1_000, RunOutcome::Done),
    };
    world.submit("l", job(vec![lasting(4, 1_000)]));
    world.submit("f", job(vec![step(6, 500), step(4, 500)]));
    world.run(500);
    world.cordon(&["h2"]);
    let from = world.now + ORDER_DELAY;
    world.run(8_000);
    assert_eq!(started_in(&world, "h2", from), Vec::<String>::new());
    assert_eq!(world.job_state("f"), Some(JobState::Completed));
    assert_eq!(halls_of(&world, "l"), ["h".into()].into());
    assert_eq!(world.running().len(), 4);
}

#[test]
fn gangs_and_best_effort_tasks_avoid_a_cordoned_hall() {
    let mut world = two_halls(4);
    world.cordon(&["h"]);
    let gang = StepSpec {
        gang: true,
        ..step(6, 1_000)
    };
    let best_effort = StepSpec {
        best_effort: true,
        ..step(4, 500)
    };
    let from = world.now;
    world.submit("g", job(vec![gang]));
    world.submit("c", job(vec![best_effort]));
    world.run(4_000);
    assert_eq!(started_in(&world, "h", from), Vec::<String>::new());
    assert_eq!(world.job_state("g"), Some(JobState::Completed));
    assert_eq!(world.job_state("c"), Some(JobState::Completed));
}

/// A run was preempted to free resources in the hall before the hall was cordoned.
#[test]
fn a_reservation_in_a_cordoned_hall_is_replaced_by_one_elsewhere() {
    let mut world = two_halls(2);
    world.script = |_, _| (60_000, RunOutcome::Done);
    let (low, high) = (5, 0);
    world.submit_with_priority("low", job(vec![step(2, 4_000)]), low);
    world.run(4_000);
    assert_eq!(world.running().len(), 2);
    world.submit_with_priority("high", job(vec![step(1, 4_000)]), high);
    world.run(15);
    let reserved = world.owner.reservations.values().next().cloned();
    let reserved = reserved.expect("a run is preempted");
    let hall = world.workers[&reserved].listing.hall.clone();
    world.cordon(&[&*hall]);
    world.run(4_000);
    assert_eq!(started_in(&world, &hall, 5_000), Vec::<String>::new());
    assert!(
        world
            .running()
            .iter()
            .any(|(task, _)| task.starts_with("high"))
    );
}

#[test]
fn jobs_run_in_the_last_open_hall_and_wait_once_it_is_cordoned() {
    let mut world = two_halls(6);
    world.workers.get_mut("w5").expect("worker").listing.hall = "h3".into();
    world.send_directory();
    world.cordon(&["h", "h2", "nowhere"]);
    world.submit("a", job(vec![step(4, 1_000)]));
    world.run(500);
    assert_eq!(halls_of(&world, "a"), ["h3".into()].into());
    world.cordon(&["h", "h2", "h3"]);
    let from = world.now + ORDER_DELAY;
    let ticket = world.submit("b", job(vec![step(4, 1_000)]));
    world.run(4_000);
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted));
    assert_eq!(world.job_state("b"), Some(JobState::Queued));
    assert!(world.starts.iter().all(|s| s.3 < from));
    world.cordon(&["h"]);
    world.run(2_000);
    assert_eq!(world.job_state("b"), Some(JobState::Completed));
}

/// The only hall with the label that the job needs is cordoned, and may be uncordoned later.
#[test]
fn a_job_that_fits_only_in_a_cordoned_hall_waits() {
    let mut world = two_halls(2);
    let labels = &mut world.workers.get_mut("w1").expect("worker").listing.labels;
    labels.push("fast".into());
    world.send_directory();
    world.cordon(&["h2"]);
    let fast = StepSpec {
        label: "fast".into(),
        ..step(2, 500)
    };
    let ticket = world.submit("a", job(vec![fast]));
    world.run(3_000);
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted));
    assert!(world.starts.is_empty());
    world.cordon(&[]);
    world.run(2_500);
    assert_eq!(world.job_state("a"), Some(JobState::Completed));
}

#[test]
fn a_worker_that_is_listed_later_is_cordoned_with_its_hall() {
    let mut world = two_halls(2);
    world.cordon(&["h2"]);
    let from = world.now;
    world.add_worker("late", 300);
    world.workers.get_mut("late").expect("worker").listing.hall = "h2".into();
    world.send_directory();
    world.run(100);
    world.submit("a", job(vec![step(8, 1_000)]));
    world.run(3_000);
    assert_eq!(started_in(&world, "h2", from), Vec::<String>::new());
    assert_eq!(world.job_state("a"), Some(JobState::Completed));
}

#[test]
fn an_owner_that_does_not_know_the_cordons_starts_nothing() {
    let mut world = two_halls(2);
    world.script = |task, _| match task.starts_with("old") {
        true => (60_000, RunOutcome::Done),
        false => (500, RunOutcome::Done),
    };
    world.submit("old", job(vec![lasting(2, 500)]));
    world.run(500);
    world.cordon(&["h2"]);
    world.cordons_withheld = true;
    world.take_over(0);
    let from = world.now + ORDER_DELAY;
    let ticket = world.submit("new", job(vec![step(4, 500)]));
    world.run(2_000);
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted));
    assert!(
        world.starts.iter().all(|s| s.3 < from),
        "unknown cordons must not count as none"
    );
    assert_eq!(world.running().len(), 2, "runs go on");
    world.cordon(&["h2"]);
    world.run(3_000);
    assert_eq!(world.job_state("new"), Some(JobState::Completed));
    assert_eq!(started_in(&world, "h2", from), Vec::<String>::new());
}

#[test]
fn jobs_in_cordoned_halls_can_be_cancelled() {
    let mut world = two_halls(2);
    world.submit_to(queue(), "l", job(vec![lasting(4, 1_000)]));
    world.run(500);
    world.cordon(&["h", "h2"]);
    world.request(JobRequest::Cancel("l".into()));
    world.run(1_500);
    assert!(world.running().is_empty(), "{:?}", world.running());
}
