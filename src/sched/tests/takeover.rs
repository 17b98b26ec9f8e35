//! Tests of takeovers: what a new owner does about runs and jobs of its predecessor.

use super::world::{World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::{Answer, JobRequest, RunOutcome};
use crate::sched::spec::StepSpec;

/// Milliseconds until leases of the previous owner have certainly expired.
const INHERITED: u64 = 14_000;

#[test]
fn runs_continue_under_the_next_owner() {
    let mut world = World::new(3);
    world.script = |_, _| (3_000, RunOutcome::Done);
    world.submit("j1", job(vec![step(4, 1_000)]));
    world.run(500);
    world.take_over(INHERITED);
    world.run(3_500);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn an_owner_that_releases_the_cell_starts_no_runs() {
    let mut world = World::new(2);
    world.script = |_, _| (200, RunOutcome::Done);
    world.submit("before", job(vec![step(8, 1_000), after(step(8, 1_000))]));
    world.run(100);
    world.owner.release(world.clock());
    let started = world.starts.len();
    world.submit("after", job(vec![step(8, 1_000)]));
    world.run(5_000);
    assert!(world.owner.is_released());
    assert_eq!(world.starts.len(), started, "{:?}", world.starts);
    // The next owner keeps the active runs and starts the remaining tasks.
    world.take_over(INHERITED);
    world.run(20_000);
    assert_eq!(world.job_state("before"), Some(JobState::Completed));
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn an_owner_that_releases_the_cell_extends_no_lease() {
    let mut world = World::new(2);
    world.script = |_, _| (30_000, RunOutcome::Done);
    world.submit("j1", job(vec![step(4, 1_000)]));
    world.run(500);
    world.owner.release(world.clock());
    world.run(6_000);
    assert!(world.running().is_empty(), "all leases have expired");
}

/// Returns the step with a dependency on the first step.
fn after(step: StepSpec) -> StepSpec {
    StepSpec {
        depends_on: vec![0],
        ..step
    }
}

#[test]
fn a_task_on_an_unreachable_worker_restarts_only_after_all_leases_expired() {
    let mut world = World::new(2);
    world.script = |_, _| (30_000, RunOutcome::Done);
    world.submit("j1", job(vec![step(2, 1_000)]));
    world.run(500);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.take_over(INHERITED);
    world.run(INHERITED - 500);
    assert_eq!(world.starts.len(), 2);
    world.run(2_500);
    assert_eq!(world.starts.len(), 3, "the leases have expired");
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn a_notice_that_the_predecessor_ended_shortens_the_wait() {
    let mut world = World::new(2);
    world.script = |_, _| (30_000, RunOutcome::Done);
    world.submit("j1", job(vec![step(2, 1_000)]));
    world.run(500);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.take_over(INHERITED);
    let now = crate::sched::owner::Now {
        steady: world.now,
        wall: world.now,
    };
    world.owner.record_predecessor_end(now);
    world.run(7_000);
    assert_eq!(world.starts.len(), 3);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn an_accepted_job_survives_a_takeover() {
    let mut world = World::new(2);
    let ticket = world.submit("j1", job(vec![step(2, 1_000)]));
    while !world.answers.contains_key(&ticket) {
        world.run(1);
    }
    world.take_over(INHERITED);
    world.run(2_500);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
}

#[test]
fn a_job_with_unreadable_rows_is_in_doubt_and_never_accepted_again() {
    let mut world = World::new(1);
    world.owner.mark_unreadable(vec!["torn".into()]);
    let shown = world.request(JobRequest::Show("torn".into()));
    let again = world.submit("torn", job(vec![step(1, 1_000)]));
    let cancel = world.request(JobRequest::Cancel("torn".into()));
    world.run(500);
    for ticket in [shown, again, cancel] {
        assert_eq!(world.answers[&ticket], Answer::InDoubt);
    }
    assert!(world.starts.is_empty());
}
