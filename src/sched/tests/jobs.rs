//! Tests of jobs from their submission to their end.

use super::world::{Faults, World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::{Answer, JobRequest, RunOutcome};

#[test]
fn steps_run_in_order_and_the_end_is_shown_once_stored() {
    let mut world = World::new(2);
    let second = crate::sched::spec::StepSpec {
        depends_on: vec![0],
        ..step(2, 1_000)
    };
    let ticket = world.submit("j1", job(vec![step(3, 1_000), second]));
    world.run(30);
    assert_eq!(world.answers[&ticket], Answer::Accepted);
    world.run(900);
    assert_eq!(world.starts.len(), 3, "the second step waits");
    world.run(200);
    assert_eq!(world.starts.len(), 5);
    assert_eq!(world.job_state("j1"), Some(JobState::Running));
    world.run(1_200);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
}

#[test]
fn jobs_are_neither_confirmed_nor_started_before_they_are_stored() {
    let mut world = World::new(2);
    world.store_down = true;
    let ticket = world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(800);
    assert!(!world.answers.contains_key(&ticket));
    assert!(world.starts.is_empty());
    world.store_down = false;
    world.run(1_500);
    assert_eq!(world.answers[&ticket], Answer::Accepted);
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn new_jobs_are_refused_at_once_during_a_store_outage() {
    let mut world = World::new(1);
    world.store_down = true;
    world.run(3_000);
    let ticket = world.submit("j1", job(vec![step(1, 1_000)]));
    assert!(matches!(world.answers[&ticket], Answer::Refused(_)));
    world.store_down = false;
    world.run(3_000);
    assert!(world.starts.is_empty(), "a refused job never runs");
}

#[test]
fn a_repeated_submission_creates_one_job() {
    let mut world = World::new(2);
    let first = world.submit("j1", job(vec![step(2, 1_000)]));
    let second = world.submit("j1", job(vec![step(2, 1_000)]));
    world.run(100);
    let third = world.submit("j1", job(vec![step(2, 1_000)]));
    for ticket in [first, second, third] {
        assert_eq!(world.answers[&ticket], Answer::Accepted);
    }
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn a_commit_whose_answer_is_lost_is_resolved_and_answered() {
    let mut world = World::new(2);
    world.faults = Faults {
        lost_commit_replies: 0.6,
        ..Faults::default()
    };
    let ticket = world.submit("j1", job(vec![step(2, 1_000)]));
    world.run(8_000);
    assert_eq!(world.answers[&ticket], Answer::Accepted);
    world.faults = Faults::default();
    world.run(6_000);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut world = World::new(2);
    world.submit("j1", job(vec![step(4, 1_000)]));
    world.run(200);
    assert_eq!(world.running().len(), 4);
    let ticket = world.request(JobRequest::Cancel("j1".into()));
    world.run(300);
    assert_eq!(world.answers[&ticket], Answer::Cancelled);
    assert!(world.running().is_empty());
    assert_eq!(world.job_state("j1"), Some(JobState::Cancelled));
    world.run(3_000);
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut world = World::new(3);
    world.script = |_, _| (100, RunOutcome::Failed);
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(3_000);
    assert_eq!(world.starts.len(), 3, "one run for each allowed failure");
    assert_eq!(world.job_state("j1"), Some(JobState::Failed));
}

#[test]
fn a_failed_task_is_retried_on_another_worker() {
    let mut world = World::new(3);
    world.script = |_, run| {
        (
            100,
            if run == 1 {
                RunOutcome::Failed
            } else {
                RunOutcome::Done
            },
        )
    };
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(1_000);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
    assert_ne!(world.starts[0].2, world.starts[1].2);
}

#[test]
fn a_start_without_an_answer_is_stopped_before_the_next() {
    let mut world = World::new(3);
    world.faults = Faults {
        delayed_calls: 1.0,
        ..Faults::default()
    };
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(300);
    world.faults = Faults::default();
    world.run(20_000);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn workers_are_never_given_more_than_their_capacity() {
    let mut world = World::new(2);
    world.submit("j1", job(vec![step(30, 1_500)]));
    for _ in 0..100 {
        world.run(50);
        for id in ["w0", "w1"] {
            let running = world.running().into_iter().filter(|(_, w)| &**w == id);
            assert!(
                running.count() <= 2,
                "a capacity of 4,000 holds two tasks of 1,500"
            );
        }
    }
}

#[test]
fn a_job_without_steps_or_with_a_cycle_is_refused_with_its_errors() {
    let mut world = World::new(1);
    let empty = world.submit("j1", job(vec![]));
    let cycle = crate::sched::spec::StepSpec {
        depends_on: vec![0],
        ..step(0, 1_000)
    };
    let cycle = world.submit("j2", job(vec![cycle]));
    assert!(matches!(&world.answers[&empty], Answer::Invalid(text) if text.contains("step")));
    assert!(matches!(&world.answers[&cycle], Answer::Invalid(text) if text.contains("; ")));
}

#[test]
fn a_job_counts_as_waiting_until_a_worker_begins_it() {
    let mut world = World::new(1);
    world.workers.get_mut("w0").expect("worker").full = true;
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(300);
    // The placement is stored, and the owner ends before the start.
    world.take_over(0);
    world.run(300);
    let count = world.request(JobRequest::Count("q".into()));
    assert_eq!(world.answers[&count], Answer::Waiting(1));
    assert_eq!(world.job_state("j1"), Some(JobState::Queued));
    world.workers.get_mut("w0").expect("worker").full = false;
    world.run(1_200);
    let count = world.request(JobRequest::Count("q".into()));
    assert_eq!(world.answers[&count], Answer::Waiting(0));
}
