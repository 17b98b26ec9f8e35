//! Tests of a box whose machine is suspended: its timers stop, while leases still expire.

use super::world::{SETTINGS, World, job, lasting, step};
use crate::sched::job::JobState;
use crate::sched::message::{Action, CommitOutcome, Event, Reply, Report, RunOutcome};
use crate::sched::owner::Now;

/// Returns a world of three workers that run six tasks of 9 s and three lasting tasks.
fn world() -> World {
    let mut world = World::new(3);
    world.script = |task, _| match task.starts_with('a') {
        true => (9_000, RunOutcome::Done),
        false => (600_000, RunOutcome::Done),
    };
    world.submit("a", job(vec![step(6, 500)]));
    world.submit("b", job(vec![lasting(3, 500)]));
    world.run(1_000);
    assert_eq!(world.running().len(), 9);
    world
}

#[test]
fn runs_outlast_a_short_suspension() {
    let mut world = world();
    world.suspend(2_000);
    world.run(6_000);
    assert_eq!(world.starts.len(), 9, "no task was started again");
    assert_eq!(world.running().len(), 9);
}

#[test]
fn tasks_whose_leases_ended_meanwhile_run_again_without_overlap() {
    let mut world = world();
    world.suspend(6_000);
    world.run(5_900);
    assert!(world.running().is_empty(), "all leases have ended");
    world.run(13_000);
    assert_eq!(world.job_state("a"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 18);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn the_lease_of_an_unreachable_worker_ends_by_real_time() {
    let mut world = world();
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.run(1_000);
    world.suspend(3_000);
    world.run(20_000);
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.run(20_000);
    assert_eq!(world.job_state("a"), Some(JobState::Completed));
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// An owner that the store does not confirm must not extend leases: its successor relies on this
/// rule. The limit is in real time and includes the time in which the machine was suspended.
#[test]
fn an_owner_that_resumes_on_an_old_confirmation_extends_and_starts_nothing() {
    let mut world = world();
    let later = world.now + SETTINGS.max_unconfirmed + 100;
    let resumed = Now {
        steady: later,
        wall: later,
    };
    let actions = world.owner.handle_event(Event::Tick, resumed);
    for action in actions {
        match action {
            Action::Poll(poll) => assert_eq!(poll.lease, None, "{poll:?}"),
            Action::Start(start) => panic!("{start:?}"),
            _ => {}
        }
    }
}

/// The answer to a commit lies in the socket while the box is suspended, and so does the answer to
/// a poll, which makes the worker seem to answer when it is handled first.
#[test]
fn a_start_whose_commit_was_confirmed_too_long_ago_is_withdrawn() {
    let mut world = World::new(1);
    world.run(500);
    world.submit("late", job(vec![step(1, 500)]));
    while world.owner.journal.next_due().is_some() {
        world.run(1);
    }
    let poll = world.last_polls["w0"].clone();
    let report = Report {
        clock: world.now,
        boot: Some(1),
        ..Report::default()
    };
    let later = world.now + SETTINGS.max_unconfirmed + 100;
    let resumed = Now {
        steady: later,
        wall: later,
    };
    let (number, stored) = (world.last_commit, CommitOutcome::Done(world.version + 1));
    let answers = [
        Event::Polled(poll, Reply::Ok(report)),
        Event::CommitEnded(number, stored),
    ];
    let handled = answers.map(|event| world.owner.handle_event(event, resumed));
    let started = |action: &Action| matches!(action, Action::Start(_));
    assert!(!handled.iter().flatten().any(started), "{handled:?}");
}
