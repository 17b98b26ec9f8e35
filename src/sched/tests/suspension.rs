//! A box whose machine is suspended: its timers stand, and time goes on.

use super::world::{BOUNDS, World, job, lasting, step};
use crate::sched::job::JobState;
use crate::sched::message::{Action, Event, RunOutcome};
use crate::sched::owner::Now;

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
fn what_runs_outlasts_a_short_suspension() {
    let mut world = world();
    world.suspend(2_000);
    world.run(6_000);
    assert_eq!(world.starts.len(), 9, "nothing was started again");
    assert_eq!(world.running().len(), 9);
}

#[test]
fn what_lapsed_meanwhile_runs_once_more_and_once_at_a_time() {
    let mut world = world();
    world.suspend(6_000);
    world.run(5_900);
    assert!(world.running().is_empty(), "all leases have ended");
    world.run(13_000);
    assert_eq!(world.shown("a"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 18);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn a_worker_that_was_cut_off_meanwhile_is_waited_for_by_true_time() {
    let mut world = world();
    world.workers.get_mut("w0").expect("worker").cut = true;
    world.run(1_000);
    world.suspend(3_000);
    world.run(20_000);
    world.workers.get_mut("w0").expect("worker").cut = false;
    world.run(20_000);
    assert_eq!(world.shown("a"), Some(JobState::Completed));
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

/// Its successor counts on it that an owner without a confirmation extends no lease, by the
/// time that has passed and not by the time that it was awake.
#[test]
fn an_owner_that_wakes_extends_and_starts_nothing_on_an_old_confirmation() {
    let mut world = world();
    let later = world.now + BOUNDS.max_unconfirmed + 100;
    let woken = Now {
        steady: later,
        wall: later,
    };
    let actions = world.owner.handle_event(Event::Tick, woken);
    for action in actions {
        match action {
            Action::Poll(hold) => assert_eq!(hold.lease, None, "{hold:?}"),
            Action::Start(start) => panic!("{start:?}"),
            _ => {}
        }
    }
}
