//! Tests of answers that come from another address than that of the worker.

use super::world::{World, job, listing, step};
use crate::sched::job::JobState;
use crate::sched::message::{DirectoryEntry, Event, Poll, Refusal, Reply, Report, RunOutcome};
use crate::sched::worker::Listing;

/// Port of the worker whose answers are examined.
const PORT: u16 = 100;

/// Returns a world of two workers that run one task of 3 s each and have room for another.
fn two_busy_workers() -> World {
    let mut world = World::new(2);
    world.script = |_, _| (3_000, RunOutcome::Done);
    world.submit("j1", job(vec![step(2, 2_000)]));
    world.run(500);
    assert_eq!(world.running().len(), 2);
    world
}

/// Returns the poll of `w0` that has no answer yet.
fn open_poll(world: &World) -> Poll {
    world.last_polls["w0"].clone()
}

/// Moves `w0` with its runs to another port; the owner learns of it from the directory.
fn move_worker(world: &mut World) {
    let worker = world.workers.get_mut("w0").expect("worker");
    worker.listing.address.set_port(7_000);
}

/// Asserts that the two tasks run once, and to their ends.
fn assert_each_runs_once(mut world: World) {
    world.run(1_000);
    world.send_directory();
    world.run(4_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    let starts = world.starts.iter().filter(|s| s.0.starts_with("j1"));
    assert_eq!(starts.count(), 2, "{:?}", world.starts);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
}

#[test]
fn a_refusal_from_the_address_before_a_move_gives_up_no_run() {
    let mut world = two_busy_workers();
    let poll = open_poll(&world);
    move_worker(&mut world);
    world.send_directory();
    let refused = Reply::Refused(Refusal::Replaced);
    world.handle(Event::Polled(poll, refused));
    assert_each_runs_once(world);
}

#[test]
fn a_start_refused_at_the_address_before_a_move_gives_up_no_other_run() {
    let mut world = two_busy_workers();
    world.submit("j2", job(vec![step(2, 2_000)]));
    while world.last_starts["w0"].1.task.starts_with("j1") {
        world.run(1);
    }
    move_worker(&mut world);
    world.add_worker("w9", PORT);
    world.send_directory();
    assert_each_runs_once(world);
}

/// Returns a world with a new owner. The directory that it has read names the address of an earlier
/// incarnation of `w0`, where another worker answers now.
fn outdated_directory() -> World {
    let mut world = World::new(1);
    world.script = |_, _| (3_000, RunOutcome::Done);
    let before = world.workers["w0"].listing.clone();
    world.restart_as("w0", |l| l.address.set_port(7_000));
    world.add_worker("w1", 101);
    world.send_directory();
    world.run(500);
    world.submit("j1", job(vec![step(2, 2_500)]));
    world.run(500);
    assert_eq!(world.running().len(), 2);
    world.add_worker("w9", PORT);
    let worker = world.workers.get_mut("w0").expect("worker");
    let current = std::mem::replace(&mut worker.listing, before);
    world.take_over(14_500);
    world.workers.get_mut("w0").expect("worker").listing = current;
    world
}

#[test]
fn a_refusal_at_the_address_of_an_earlier_incarnation_gives_up_no_run_of_the_later_one() {
    assert_each_runs_once(outdated_directory());
}

#[test]
fn a_report_of_an_earlier_incarnation_gives_up_no_run_of_the_later_one() {
    let mut world = outdated_directory();
    let poll = open_poll(&world);
    let report = Report {
        boot: Some(1),
        ..Report::default()
    };
    world.handle(Event::Polled(poll, Reply::Ok(report)));
    assert_each_runs_once(world);
}

/// The entry of a new worker names another address than the one at which it was polled.
#[test]
fn a_first_report_replaces_no_worker_at_an_address_that_was_not_polled() {
    let mut world = two_busy_workers();
    world.add_worker("w9", 300);
    world.send_directory();
    world.workers.get_mut("w9").expect("worker").listing = listing("w9", PORT);
    world.send_listing("w9");
    assert_each_runs_once(world);
}

/// The entry of another writer, or one written late, names the address of a worker that runs on.
#[test]
fn an_entry_of_another_worker_with_a_later_start_gives_up_no_run() {
    let mut world = two_busy_workers();
    let entry = Listing {
        boot: Some(9),
        ..listing("w9", PORT)
    };
    let listed = DirectoryEntry::Listed(entry);
    world.handle(Event::DirectoryChanged(vec![("w9".into(), listed)]));
    assert_each_runs_once(world);
}
