//! Tests of admission control: which jobs are refused at once.

use super::world::{SETTINGS, World, job, lasting, step};
use crate::sched::job::{Job, JobState};
use crate::sched::message::{Answer, JobRequest};
use crate::sched::owner::OwnerSettings;
use crate::sched::spec::StepSpec;

/// Returns a step that needs a worker with a label.
fn labelled(label: &str) -> StepSpec {
    StepSpec {
        label: label.into(),
        ..step(1, 1_000)
    }
}

fn is_refused(world: &World, ticket: u64) -> bool {
    matches!(world.answers.get(&ticket), Some(Answer::Refused(_)))
}

#[test]
fn a_job_that_no_worker_could_hold_is_refused_at_once() {
    let mut world = World::new(3);
    let wide = world.submit("wide", job(vec![step(1, 1_000), step(1, 4_001)]));
    let label = world.submit("label", job(vec![labelled("nowhere")]));
    assert!(is_refused(&world, wide) && is_refused(&world, label));
    world.run(5_000);
    assert!(world.starts.is_empty(), "a refused job never runs");
}

#[test]
fn a_job_is_accepted_once_a_worker_could_hold_it() {
    let mut world = World::new(1);
    world.add_worker("large", 200);
    let large = &mut world.workers.get_mut("large").expect("worker").listing;
    large.capacity.cpu = 8_000;
    large.labels.push("fast".into());
    world.send_directory();
    world.run(50);
    let wide = world.submit("wide", job(vec![step(1, 8_000)]));
    let label = world.submit("label", job(vec![labelled("fast")]));
    world.run(3_000);
    assert!(!is_refused(&world, wide) && !is_refused(&world, label));
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn a_job_that_has_to_wait_for_resources_is_accepted() {
    let mut world = World::new(1);
    world.submit("full", job(vec![lasting(1, 4_000)]));
    world.run(100);
    let waiting = world.submit("waits", job(vec![step(1, 4_000)]));
    world.run(100);
    assert_eq!(world.answers.get(&waiting), Some(&Answer::Accepted));
}

#[test]
fn no_job_is_refused_as_too_large_while_no_worker_is_known() {
    let mut world = World::new(0);
    let ticket = world.submit("early", job(vec![step(1, 99_000)]));
    world.run(100);
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted));
}

#[test]
fn jobs_are_refused_sooner_once_a_commit_has_failed() {
    let mut world = World::new(1);
    world.submit("j0", job(vec![step(1, 1_000)]));
    world.run(30);
    world.store_down = true;
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(740);
    let late = world.submit("j2", job(vec![step(1, 1_000)]));
    assert!(is_refused(&world, late), "0.8 s after the last commit");
    world.store_down = false;
    world.run(1_000);
    let after_outage = world.submit("j3", job(vec![step(1, 1_000)]));
    world.run(100);
    assert_eq!(world.answers.get(&after_outage), Some(&Answer::Accepted));
    assert!(world.starts.iter().all(|s| !s.0.starts_with("j2")));
}

/// Otherwise the callers wait until the owner is replaced, and then learn only that their jobs may
/// have been accepted.
#[test]
fn jobs_that_no_commit_holds_are_refused_once_the_store_is_away() {
    let mut world = World::new(2);
    world.submit("before", job(vec![step(1, 1_000)]));
    world.run(30);
    world.store_down = true;
    let sent = world.submit("sent", job(vec![step(1, 1_000)]));
    world.run(10);
    let waiting = world.submit("waiting", job(vec![step(2, 1_000)]));
    world.run(650);
    assert!(is_refused(&world, waiting));
    assert_eq!(world.answers.get(&sent), None, "the commit may take effect");
    world.store_down = false;
    world.run(3_000);
    assert!(
        world
            .starts
            .iter()
            .all(|start| !start.0.starts_with("waiting"))
    );
    assert_eq!(world.answers.get(&sent), Some(&Answer::Accepted));
    let again = world.submit("waiting", job(vec![step(2, 1_000)]));
    world.run(3_000);
    assert_eq!(world.answers.get(&again), Some(&Answer::Accepted));
    assert_eq!(world.job_state("waiting"), Some(JobState::Completed));
}

/// A new owner reads the directory page by page, and the larger workers may be on a later one.
#[test]
fn no_job_is_refused_as_too_large_before_the_whole_directory_is_read() {
    let mut world = World::new(0);
    world.owner.directory_read = false;
    world.add_worker("w0", 100);
    world.send_listing("w0");
    world.run(50);
    let early = world.submit("early", job(vec![step(1, 8_000)]));
    world.run(50);
    assert_eq!(world.answers.get(&early), Some(&Answer::Accepted));
    world.send_directory();
    let late = world.submit("late", job(vec![step(1, 8_000)]));
    assert!(is_refused(&world, late));
}

/// Large jobs may use half of the memory for jobs, so that a crowd of them locks out no small one.
#[test]
fn large_jobs_without_room_are_refused_and_small_ones_are_accepted() {
    let mut world = World::new(1);
    let settings = OwnerSettings {
        job_memory: 1 << 20,
        ..SETTINGS
    };
    world.owner.change_settings(settings);
    let large = || job(vec![step(400, 1_000)]);
    let tickets: Vec<u64> = (0..6)
        .map(|n| world.submit(&format!("large{n}"), large()))
        .collect();
    let small = world.submit("small", job(vec![step(4, 1_000)]));
    world.run(100);
    let fitting = settings.job_memory / 2 / Job::memory(&large());
    for (ticket, number) in tickets.iter().zip(0..) {
        assert_eq!(is_refused(&world, *ticket), number >= fitting, "{number}");
    }
    assert_eq!(world.answers.get(&small), Some(&Answer::Accepted));
    for n in 0..fitting {
        world.request(JobRequest::Cancel(format!("large{n}").into()));
    }
    world.run(20_000);
    assert_eq!(world.owner.job_bytes, 0, "jobs that are over take nothing");
    let again = world.submit("again", large());
    world.run(100);
    assert_eq!(world.answers.get(&again), Some(&Answer::Accepted));
}
