//! Tests of the fences of orders, and of orders that an owner's own fences make workers refuse.

use super::world::{Faults, World, job, lasting, step};
use crate::sched::fences::{Fences, next_epoch};
use crate::sched::job::JobState;
use crate::sched::message::{Event, Refusal, Reply, RunOutcome};

/// Returns the fence of the last poll of worker `w0`.
fn last_fence(world: &World) -> u64 {
    world.last_polls["w0"].fence
}

/// Loses the replies to all calls to workers for a second.
fn lose_replies(world: &mut World) {
    world.faults.lost_replies = 1.0;
    world.run(1_000);
    world.faults = Faults::default();
}

/// Submits a lasting task, so that polls extend the lease of its worker.
fn start_lasting_task(world: &mut World) {
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("lasting", job(vec![lasting(1, 1_000)]));
    world.run(500);
}

#[test]
fn fences_lie_above_those_of_the_owner_before_and_below_those_of_the_next() {
    let mut world = World::new(1);
    start_lasting_task(&mut world);
    let first = last_fence(&world);
    lose_replies(&mut world);
    world.run(1_000);
    let raised = last_fence(&world);
    assert!(0 < first && first < raised, "{first} {raised}");
    // An owner of the previous release has its epoch as its fence, one above the stored epoch.
    let previous_release = next_epoch(0) + 1;
    assert!(raised < previous_release);
    world.take_over(0);
    world.run(500);
    assert!(last_fence(&world) >= previous_release);
}

/// Without further fences, late orders would take effect.
#[test]
fn an_owner_without_further_fences_releases_the_cell() {
    let mut world = World::new(1);
    start_lasting_task(&mut world);
    world.owner.fences = Fences::new(last_fence(&world) + 1);
    lose_replies(&mut world);
    world.run(1_000);
    assert!(!world.owner.is_releasing(), "one fence was left");
    lose_replies(&mut world);
    world.run(500);
    assert!(world.owner.is_released());
    let (_, start) = world.last_starts["w0"].clone();
    world.submit("j", job(vec![step(1, 1_000)]));
    world.run(500);
    assert_eq!(world.last_starts["w0"].1, start, "it starts nothing");
    world.take_over(5_000);
    world.submit("j", job(vec![step(1, 1_000)]));
    world.run(6_000);
    assert_eq!(world.running().len(), 2);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// An order with the raised fence reached the worker before an open poll did. No later owner is
/// involved, so the worker is polled again at once and stays in use.
#[test]
fn a_poll_that_the_owners_own_fence_overtakes_is_repeated_at_once() {
    let mut world = World::new(1);
    start_lasting_task(&mut world);
    let (_, start) = world.last_starts["w0"].clone();
    let poll = world.last_polls["w0"].clone();
    let lost = Event::Started(start.key, start.run, start.incarnation, Reply::Lost);
    world.handle(lost);
    world.handle(Event::Polled(poll.clone(), Reply::Refused(Refusal::Fenced)));
    let next = &world.last_polls["w0"];
    assert_eq!(next.sent, world.now);
    assert!(next.fence > poll.fence && next.lease.is_some());
}

/// The answer to a poll with the raised fence lists the run, which goes on.
#[test]
fn a_start_that_was_carried_out_without_an_answer_needs_no_stop() {
    let mut world = World::new(1);
    world.script = |_, _| (2_000, RunOutcome::Done);
    world.faults.lost_replies = 1.0;
    world.submit("j", job(vec![step(4, 1_000)]));
    world.run(100);
    assert_eq!(world.running().len(), 4);
    world.faults = Faults::default();
    world.run(4_000);
    assert_eq!(world.job_state("j"), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 4, "{:?}", world.starts);
}

/// The answer to a poll with the raised fence does not list the run: the worker refuses its start
/// from then on, and the task runs again without waiting for the end of the lease.
#[test]
fn a_start_that_was_not_carried_out_is_repeated_after_the_next_report() {
    let mut world = World::new(1);
    world.script = |_, _| (300, RunOutcome::Done);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.submit("j", job(vec![step(1, 1_000)]));
    world.run(100);
    let (_, late) = world.last_starts["w0"].clone();
    world.workers.get_mut("w0").expect("worker").disconnected = false;
    world.run(2_000);
    assert_eq!(world.job_state("j"), Some(JobState::Completed));
    world.deliver_start(&late);
    world.run(1_000);
    assert_eq!(world.starts.len(), 1, "{:?}", world.starts);
}
