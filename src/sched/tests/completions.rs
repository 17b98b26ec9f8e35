//! Tests of completions that workers report in unusual ways.

use super::world::{World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::{Report, RunOutcome};

/// Returns a world of one worker whose tasks end one after another while it can't be reached, so
/// that one report lists all their completions.
fn ended_while_unreachable() -> World {
    let mut world = World::new(1);
    world.script = |task, _| {
        let index = task.rsplit('.').next().and_then(|i| i.parse().ok());
        (300 + index.unwrap_or(0), RunOutcome::Done)
    };
    world.submit("j", job(vec![step(4, 1_000)]));
    world.run(100);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.run(500);
    world
}

/// Lets the worker of `ended_while_unreachable` report, and checks that no task runs again.
fn assert_runs_once(mut world: World) {
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.run(5_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.starts.len(), 4, "{:?}", world.starts);
    assert_eq!(world.job_state("j"), Some(JobState::Completed));
}

/// The owner passed over a completion whose number was below one that was listed before it, and
/// acknowledged both. The task was then missing from the worker and started again.
#[test]
fn a_completion_listed_after_a_higher_one_is_not_lost() {
    let mut world = ended_while_unreachable();
    let worker = world.workers.get_mut("w0").expect("worker");
    worker.edit_report = |report| report.ended.reverse();
    assert_runs_once(world);
}

/// Lists the second task of `ended_while_unreachable` as ended in an unknown way.
fn hide_outcome(report: &mut Report) {
    let second = |task: &str| task == "j.0.0.1";
    let ended = report.ended.iter_mut().filter(|e| second(&e.task));
    ended.for_each(|e| e.outcome = RunOutcome::Unknown);
}

/// Lists the second task of `ended_while_unreachable` in a row that does not decode.
fn garble_row(report: &mut Report) {
    let listed = report.ended.len();
    report.ended.retain(|e| &*e.task != "j.0.0.1");
    report.unreadable = listed - report.ended.len();
}

/// The worker forgot the completion with the next one that was acknowledged. Its task was missing
/// from the worker, so it ran again.
#[test]
fn a_completion_that_does_not_decode_is_not_acknowledged_and_its_task_stays_placed() {
    for edit in [hide_outcome, garble_row] {
        let mut world = ended_while_unreachable();
        let worker = world.workers.get_mut("w0").expect("worker");
        worker.edit_report = edit;
        worker.disconnected = false;
        world.run(10_000);
        assert_eq!(world.starts.len(), 4, "{:?}", world.starts);
        assert_eq!(world.job_state("j"), Some(JobState::Running));
        // Neither this owner nor the next one lets the worker forget it.
        world.take_over(14_500);
        world.run(20_000);
        assert!(world.workers["w0"].holds_end_of("j.0.0.1"));
        assert_eq!(world.starts.len(), 4, "{:?}", world.starts);
        world.restart("w0");
        world.send_directory();
        world.run(5_000);
        assert_eq!(world.starts.len(), 5, "its incarnation has ended");
        assert_eq!(world.job_state("j"), Some(JobState::Completed));
        assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    }
}

/// While a worker may not forget completions, each of its answers comes at once, and those of
/// further runs might not fit into its reports.
#[test]
fn a_worker_that_holds_completions_is_polled_at_a_low_rate_and_not_filled_up() {
    let mut world = ended_while_unreachable();
    let worker = world.workers.get_mut("w0").expect("worker");
    worker.edit_report = hide_outcome;
    worker.disconnected = false;
    world.script = |_, _| (20, RunOutcome::Done);
    for number in 0..100 {
        world.submit(&format!("more-{number}"), job(vec![step(4, 100)]));
    }
    world.run(30_000);
    let held = world.workers["w0"].held_ends();
    assert!((250..300).contains(&held), "{held} completions are held");
    let polls = world.polls;
    world.run(3_000);
    let polls = world.polls - polls;
    assert!((5..=12).contains(&polls), "{polls} polls in 3 s");
}

/// An owner that could not decode a job's row acknowledged the ends of its runs. For the next owner,
/// which could, they were missing from the worker, and all tasks ran again.
#[test]
fn completions_of_an_unreadable_job_are_kept_for_an_owner_that_can_read_it() {
    let mut world = World::new(1);
    world.submit("torn", job(vec![step(3, 1_000)]));
    world.run(300);
    world.torn.insert("torn".into());
    world.take_over(14_500);
    world.run(3_000);
    world.submit("whole", job(vec![step(3, 1_000)]));
    world.run(3_000);
    assert_eq!(world.job_state("whole"), Some(JobState::Completed));
    world.torn.clear();
    world.take_over(14_500);
    world.run(5_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.starts.len(), 6, "{:?}", world.starts);
    assert_eq!(world.job_state("torn"), Some(JobState::Completed));
    assert_eq!(world.workers["w0"].held_ends(), 0);
}

/// The lease of a worker without known tasks is not extended, so the runs of a job that an owner
/// could not decode ended with it, though a later owner might have continued them.
#[test]
fn runs_of_an_unreadable_job_go_on() {
    let mut world = World::new(1);
    world.script = |_, _| (60_000, RunOutcome::Done);
    world.submit("torn", job(vec![step(3, 1_000)]));
    world.run(300);
    world.torn.insert("torn".into());
    world.take_over(14_500);
    world.run(20_000);
    assert_eq!(world.running().len(), 3);
    world.torn.clear();
    world.take_over(14_500);
    world.run(45_000);
    assert_eq!(world.job_state("torn"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 3, "{:?}", world.starts);
}
