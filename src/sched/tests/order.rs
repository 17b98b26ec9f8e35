//! The order of starts.

use super::world::{World, job, lasting, step};
use crate::sched::job::JobState;
use crate::sched::message::RunOutcome;
use crate::sched::spec::StepSpec;

#[test]
fn a_job_that_can_still_be_on_time_goes_before_a_hopeless_one() {
    let mut world = World::new(1);
    // Fills the worker, so that the next two wait.
    world.script = |task, _| {
        let span = if task.starts_with("full") { 9_000 } else { 500 };
        (span, RunOutcome::Done)
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
    world.submit("last", job(vec![lasting(1, 4_000)]));
    world.run(50);
    world.submit("ends", job(vec![step(1, 4_000)]));
    world.run(2_500);
    let order: Vec<&str> = world.starts.iter().map(|s| &s.0[..4]).collect();
    assert_eq!(order, ["full", "ends", "last"]);
}

#[test]
fn fillers_that_fit_nowhere_keep_no_others_from_starting() {
    let mut world = World::new(2);
    let filler = |label: &str| StepSpec {
        best_effort: true,
        label: label.into(),
        ..step(8, 500)
    };
    // It has the label and will leave, so it takes nothing new.
    world.add_worker("w9", 190);
    let listing = &mut world.workers.get_mut("w9").expect("worker").listing;
    listing.labels.push("nowhere".into());
    listing.leaving = true;
    listing.min_stay = 60_000;
    world.list();
    world.submit("first", job(vec![filler("nowhere")]));
    world.submit("second", job(vec![filler("")]));
    world.run(300);
    assert_eq!(world.running().len(), 8);
}

#[test]
fn a_lasting_task_that_failed_is_back_in_time_among_tasks_that_come_and_go() {
    let mut world = World::new(1);
    world.script = |task, run| match (task.starts_with("last"), run) {
        (true, 1) => (300, RunOutcome::Failed),
        (true, _) => (60_000, RunOutcome::Done),
        _ => (600, RunOutcome::Done),
    };
    world.submit("last", job(vec![lasting(1, 3_000)]));
    // Small tasks take each bit of room as it comes free.
    for number in 0..60 {
        world.submit(&format!("busy{number}"), job(vec![step(2, 1_000)]));
        world.run(100);
    }
    let again = world
        .starts
        .iter()
        .find(|s| s.0 == "last.0.0.0" && s.1 == 2);
    let (_, _, _, at) = again.expect("the lasting task runs again");
    assert!(*at < 1_000 + 300 + 5_000, "it started at {at}");
}

#[test]
fn a_task_that_ends_gets_the_room_of_one_that_lasts() {
    let mut world = World::new(4);
    world.script = |task, _| match task.starts_with("last") {
        true => (600_000, RunOutcome::Done),
        false => (600, RunOutcome::Done),
    };
    world.submit("last", job(vec![lasting(16, 1_000)]));
    world.run(4_000);
    assert_eq!(world.running().len(), 16, "they fill all workers");
    world.submit("ends", job(vec![step(1, 1_000)]));
    world.run(1_000);
    assert_eq!(world.shown("ends"), Some(JobState::Completed));
    world.run(3_000);
    assert_eq!(world.running().len(), 16, "all lasting tasks are back");
}

#[test]
fn lasting_tasks_that_gave_way_take_turns() {
    let mut world = World::new(6);
    world.script = |task, _| match task.starts_with("last") {
        true => (600_000, RunOutcome::Done),
        false => (700, RunOutcome::Done),
    };
    world.submit("last", job(vec![lasting(24, 1_000)]));
    world.run(4_000);
    let mut away: std::collections::BTreeMap<String, u64> = Default::default();
    for number in 0..200 {
        world.submit(&format!("ends{number}"), job(vec![step(1, 1_000)]));
        world.run(100);
        for index in 0..24 {
            let task = format!("last.0.0.{index}");
            let runs = world.running().iter().any(|(t, _)| *t == task);
            let spent = away.entry(task).or_insert(0);
            *spent = if runs { 0 } else { *spent + 100 };
            assert!(*spent < 5_000, "away for {spent} ms at round {number}");
        }
    }
    let ends = world.starts.iter().filter(|s| s.0.starts_with("ends"));
    let ends = ends.count();
    assert!(ends > 20, "{ends} tasks that end had a turn");
}

#[test]
fn few_lasting_tasks_are_away_for_others_at_once() {
    let mut world = World::new(6);
    world.script = |task, _| match task.starts_with("last") {
        true => (600_000, RunOutcome::Done),
        false => (4_000, RunOutcome::Done),
    };
    world.submit("last", job(vec![lasting(24, 1_000)]));
    world.run(4_000);
    world.submit("ends", job(vec![step(12, 1_000)]));
    for _ in 0..30 {
        world.run(100);
        let running = world.running();
        let lasting = running.iter().filter(|(t, _)| t.starts_with("last"));
        assert!(lasting.count() >= 22, "one in twelve may be away");
    }
}

#[test]
fn a_task_of_a_better_priority_takes_the_room_of_a_worse_one() {
    let mut world = World::new(1);
    world.script = |task, _| match task.starts_with("worse") {
        true => (20_000, RunOutcome::Done),
        false => (600, RunOutcome::Done),
    };
    world.submit_with_priority("worse", job(vec![step(4, 1_000)]), 2);
    world.run(4_000);
    world.submit_with_priority("better", job(vec![step(1, 1_000)]), 0);
    world.run(1_500);
    assert_eq!(world.shown("better"), Some(JobState::Completed));
    world.submit_with_priority("equal", job(vec![step(1, 1_000)]), 2);
    world.run(1_500);
    assert_eq!(world.shown("equal"), Some(JobState::Queued));
}

#[test]
fn a_filler_that_lasts_hides_no_run_that_could_give_way() {
    let mut world = World::new(1);
    world.script = |_, _| (60_000, RunOutcome::Done);
    let filler = StepSpec {
        best_effort: true,
        ..lasting(1, 500)
    };
    world.submit("filler", job(vec![filler]));
    world.submit_with_priority("low", job(vec![step(1, 4_000)]), 5);
    world.run(3_500);
    // Another lasting task is away, so none that lasts may give way.
    world.submit_with_priority("away", job(vec![lasting(1, 4_000)]), 9);
    let waits: Vec<_> = world.owner.ready.keys().copied().collect();
    world.owner.interrupted.extend(waits);
    world.submit("high", job(vec![step(1, 4_000)]));
    world.run(1_500);
    assert!(world.starts.iter().any(|s| s.0.starts_with("high")));
}

#[test]
fn what_is_nearly_done_ends_before_the_like_of_it_is_begun() {
    let mut world = World::new(1);
    world.script = |_, _| (1_000, RunOutcome::Done);
    // Both can be on time, and the second is due first by nothing but its id.
    world.submit(
        "old",
        job(vec![
            step(4, 1_000),
            StepSpec {
                depends_on: vec![0],
                ..step(4, 1_000)
            },
        ]),
    );
    world.run(500);
    for number in 0..3 {
        world.submit(&format!("new{number}"), job(vec![step(8, 1_000)]));
    }
    world.run(4_000);
    let place = |name: &str| world.starts.iter().position(|s| s.0.starts_with(name));
    let second = place("old.0.1").expect("its second step ran");
    let others = world.starts[..second]
        .iter()
        .filter(|s| s.0.starts_with("new"));
    assert_eq!(others.count(), 0, "{:?}", world.starts);
}

/// A burst of jobs of all sizes. The first wave of 16 tasks is that of the first job, as no
/// other is there yet; one more ends in time, and by due time alone that is of wide ones.
#[test]
fn in_a_burst_those_end_in_time_that_ask_least_for_their_worth() {
    let mut world = World::new(4);
    world.script = |_, _| (1_000, RunOutcome::Done);
    for number in 0..6 {
        world.submit(&format!("wide{number}"), job(vec![step(32, 1_000)]));
    }
    for number in 0..12 {
        world.submit(&format!("small{number}"), job(vec![step(4, 1_000)]));
    }
    // Twice the second that a job takes, and half a second.
    world.run(2_500);
    let done = |world: &mut World, name: &str, count: u32| {
        let ids = (0..count).map(|n| format!("{name}{n}"));
        ids.filter(|id| world.shown(id) == Some(JobState::Completed))
            .count()
    };
    let small = done(&mut world, "small", 12);
    assert_eq!(small, 16 / 4, "all that the second wave holds");
    world.run(20_000);
    assert_eq!(done(&mut world, "small", 12), 12);
    assert_eq!(
        done(&mut world, "wide", 6),
        6,
        "all that was accepted is done"
    );
}
