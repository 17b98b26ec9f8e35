//! Tests of workers that leave, disappear and return.

use super::world::{CALL_TIMEOUT, World, job, lasting, step};
use crate::sched::job::JobState;
use crate::sched::message::{DirectoryEntry, Event, RunOutcome};
use crate::sched::spec::StepSpec;

/// Milliseconds of silence after which a worker's directory entry lapses: three heartbeats.
const LISTING_LAPSE: u64 = 3_300;

/// Lists a worker as leaving; it stays for at least `min_stay` milliseconds.
fn leave(world: &mut World, id: &str, min_stay: u64) {
    let worker = world.workers.get_mut(id).expect("worker");
    worker.listing.leaving = true;
    worker.listing.min_stay = min_stay;
    world.send_listing(id);
}

/// Removes the directory entry of a worker.
fn unlist(world: &mut World, id: &str) {
    let entry = (id.into(), DirectoryEntry::Removed);
    world.handle(Event::DirectoryChanged(vec![entry]));
}

/// Returns a world of two workers that run one task of 12 s each and an idle one, long after the
/// owner began.
fn two_busy_workers() -> World {
    let mut world = World::new(2);
    world.script = |_, _| (12_000, RunOutcome::Done);
    world.run(6_000);
    world.submit("j1", job(vec![step(2, 3_000)]));
    world.run(500);
    assert_eq!(world.running().len(), 2);
    world.add_worker("w2", 102);
    world.send_directory();
    world.run(100);
    world
}

/// Cuts a worker off until a poll has had no answer, for less time than an entry needs to lapse.
fn miss_a_poll(world: &mut World, id: &str) {
    world.workers.get_mut(id).expect("worker").disconnected = true;
    world.run(CALL_TIMEOUT + 200);
}

/// Reconnects and lists all workers, and asserts that each task has run once.
fn assert_nothing_was_given_up(mut world: World) {
    let workers = world.workers.values_mut();
    workers.for_each(|w| w.disconnected = false);
    world.run(2_000);
    world.send_directory();
    world.run(14_000);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.starts.len(), 2, "{:?}", world.starts);
    assert_eq!(world.job_state("j1"), Some(JobState::Completed));
}

/// The entry is missing in a full read as well, and one poll has just had no answer.
#[test]
fn a_worker_that_lost_its_entry_and_announced_nothing_keeps_its_runs() {
    let mut world = two_busy_workers();
    unlist(&mut world, "w0");
    world.run(500);
    miss_a_poll(&mut world, "w0");
    let others = world.workers.values().filter(|w| &*w.listing.id != "w0");
    let entries = others.map(|w| {
        (
            w.listing.id.clone(),
            DirectoryEntry::Listed(w.listing.clone()),
        )
    });
    let directory = entries.collect();
    world.handle(Event::Directory(directory));
    assert_nothing_was_given_up(world);
}

/// Its entry lapses because it is cut off from the store, not because it has ended.
#[test]
fn a_leaving_worker_that_loses_its_entry_and_misses_a_poll_keeps_its_runs() {
    let mut world = two_busy_workers();
    leave(&mut world, "w0", 30_000);
    world.run(500);
    miss_a_poll(&mut world, "w0");
    unlist(&mut world, "w0");
    assert_nothing_was_given_up(world);
}

/// A firewall refuses connections to it, and its entry lapses after three heartbeats.
#[test]
fn a_leaving_worker_that_is_cut_off_and_refuses_connections_keeps_its_runs() {
    let mut world = two_busy_workers();
    world.faults.refused_cuts = true;
    leave(&mut world, "w0", 30_000);
    world.run(500);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.run(LISTING_LAPSE);
    unlist(&mut world, "w0");
    // Its lease has not ended yet.
    world.run(500);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    assert_eq!(world.starts.len(), 2, "{:?}", world.starts);
}

#[test]
fn tasks_of_a_worker_that_left_as_announced_run_elsewhere_at_once() {
    for unlisted_first in [false, true] {
        let mut world = two_busy_workers();
        leave(&mut world, "w0", 500);
        world.run(700);
        if unlisted_first {
            unlist(&mut world, "w0");
        }
        world.run(300);
        world.workers.remove("w0");
        if !unlisted_first {
            world.run(300);
            unlist(&mut world, "w0");
        }
        world.run(500);
        assert_eq!(world.running().len(), 2, "{unlisted_first}");
        assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    }
}

/// Without an announcement, a refused connection may come from a firewall.
#[test]
fn tasks_of_an_unlisted_worker_that_announced_nothing_wait_for_its_lease() {
    let mut world = two_busy_workers();
    world.workers.remove("w0");
    unlist(&mut world, "w0");
    world.run(3_000);
    assert_eq!(world.starts.len(), 2);
    world.run(4_000);
    assert_eq!(world.running().len(), 2);
}

#[test]
fn lasting_tasks_leave_a_draining_worker_at_once() {
    let mut world = World::new(2);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("j1", job(vec![lasting(3, 1_000)]));
    world.run(200);
    leave(&mut world, "w0", 5_000);
    world.run(1_500);
    assert!(world.running().iter().all(|(_, w)| &**w == "w1"));
    assert_eq!(world.running().len(), 3);
}

#[test]
fn no_more_tasks_are_moved_at_once_than_the_step_allows() {
    let mut world = World::new(2);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    let step = StepSpec {
        max_disruptions: Some(1),
        max_per_worker: 2,
        ..lasting(4, 1_000)
    };
    world.submit("j1", job(vec![step]));
    world.run(1_500);
    assert_eq!(world.running().len(), 4);
    world.add_worker("w2", 200);
    world.send_directory();
    world.run(200);
    leave(&mut world, "w0", 30_000);
    for _ in 0..4_000 {
        world.run(1);
        assert!(world.running().len() >= 3);
    }
    assert!(world.running().iter().all(|(_, w)| &**w != "w0"));
}

#[test]
fn tasks_of_a_silent_worker_run_elsewhere_once_its_lease_has_ended() {
    let mut world = World::new(2);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("j1", job(vec![lasting(2, 1_000)]));
    world.run(200);
    let lost = world.running().iter().filter(|(_, w)| &**w == "w0").count();
    assert!(lost > 0);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.run(12_000);
    let moved = world.running().iter().filter(|(_, w)| &**w == "w1").count();
    assert_eq!(moved, 2, "unanswered polls must not extend leases");
    assert_eq!(
        world.owner.lapsed_runs(),
        lost as u64,
        "each run counts once"
    );
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn a_listing_that_lapses_during_a_store_outage_moves_no_task() {
    let mut world = World::new(2);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("j1", job(vec![lasting(2, 1_000)]));
    world.run(200);
    world.store_down = true;
    world.run(3_000);
    world.store_down = false;
    world.handle(Event::Directory(Vec::new()));
    world.run(1_000);
    world.send_directory();
    world.run(5_000);
    assert_eq!(world.starts.len(), 2, "no task was moved");
}

#[test]
fn a_new_incarnation_at_an_address_ends_the_earlier_one() {
    let mut world = World::new(2);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("j1", job(vec![lasting(2, 1_000)]));
    world.run(200);
    world.workers.remove("w0");
    world.add_worker("w9", 100);
    let listing = world.workers["w9"].listing.clone();
    world.handle(Event::DirectoryChanged(vec![(
        "w9".into(),
        DirectoryEntry::Listed(listing),
    )]));
    world.run(300);
    assert_eq!(world.running().len(), 2);
    assert_eq!(world.job_state("j1"), Some(JobState::Running));
}

#[test]
fn a_worker_that_is_listed_again_takes_tasks_again() {
    let mut world = World::new(1);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("j0", job(vec![lasting(1, 1_000)]));
    world.run(6_000);
    world.handle(Event::DirectoryChanged(vec![(
        "w0".into(),
        DirectoryEntry::Removed,
    )]));
    world.submit("j1", job(vec![step(1, 1_000)]));
    world.run(1_000);
    let starts_before = world.starts.len();
    assert!(
        !world.starts.iter().any(|s| s.0.starts_with("j1")),
        "an unlisted worker may end soon"
    );
    world.send_directory();
    world.run(300);
    assert!(world.starts.len() > starts_before);
    assert!(world.starts.iter().any(|s| s.0.starts_with("j1")));
}

#[test]
fn a_worker_with_an_unusable_entry_keeps_its_runs() {
    let mut world = World::new(2);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("j0", job(vec![lasting(2, 1_000)]));
    world.run(300);
    let starts_before = world.starts.len();
    world.handle(Event::DirectoryChanged(vec![(
        "w0".into(),
        DirectoryEntry::Unusable,
    )]));
    world.submit("j1", job(vec![step(2, 1_000)]));
    world.run(500);
    let new = &world.starts[starts_before..];
    assert_eq!(new.len(), 2, "all run on the other worker");
    assert!(new.iter().all(|s| &*s.2 == "w1"));
    world.run(12_000);
    let running = world.running();
    assert!(running.iter().any(|(_, w)| &**w == "w0"), "its run goes on");
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
    world.send_directory();
    let starts_before = world.starts.len();
    world.submit("j2", job(vec![step(2, 1_000)]));
    world.run(500);
    assert!(world.starts[starts_before..].iter().any(|s| &*s.2 == "w0"));
}

#[test]
fn an_unusable_entry_without_a_known_worker_is_ignored() {
    let mut world = World::new(1);
    world.handle(Event::DirectoryChanged(vec![(
        "w7".into(),
        DirectoryEntry::Unusable,
    )]));
    world.submit("j0", job(vec![step(2, 1_000)]));
    world.run(500);
    assert!(world.starts.iter().all(|s| &*s.2 == "w0"));
    assert_eq!(world.owner.sizes().1, 1);
}

#[test]
fn a_silent_worker_with_an_unusable_entry_is_removed_and_its_tasks_run_elsewhere() {
    let mut world = World::new(2);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("j1", job(vec![lasting(2, 1_000)]));
    world.run(200);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.handle(Event::DirectoryChanged(vec![(
        "w0".into(),
        DirectoryEntry::Unusable,
    )]));
    world.run(12_000);
    let moved = world.running().iter().filter(|(_, w)| &**w == "w1").count();
    assert_eq!(moved, 2);
    assert_eq!(world.owner.sizes().1, 1);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

#[test]
fn unchanged_listings_trigger_no_placement() {
    let mut world = World::new(2);
    world.script = |_, _| (1_000_000, RunOutcome::Done);
    world.submit("j0", job(vec![lasting(2, 1_000)]));
    world.submit("j1", job(vec![step(40, 1_000)]));
    world.run(3_000);
    while !world.owner.saturated || world.now <= world.owner.next_pass {
        world.run(1);
    }
    let next = world.owner.next_pass;
    world.send_directory();
    assert_eq!(
        world.owner.next_pass, next,
        "unchanged listings trigger no placement"
    );
    let mut grown = world.workers["w0"].listing.clone();
    grown.capacity.cpu *= 2;
    world.handle(Event::DirectoryChanged(vec![(
        "w0".into(),
        DirectoryEntry::Listed(grown),
    )]));
    assert_ne!(
        world.owner.next_pass, next,
        "a larger capacity triggers a placement"
    );
}

/// The answer to a poll and the removal of the entry wait while the process of the owner is
/// stopped, and are handled in any order.
#[test]
fn an_answer_that_waited_while_the_owner_was_stopped_does_not_prove_a_leave() {
    for seed in 0..20 {
        let mut world = two_busy_workers();
        world.seed(seed);
        world.faults.refused_cuts = true;
        leave(&mut world, "w0", 30_000);
        world.run(500);
        world.stop_process(LISTING_LAPSE + 200);
        world.run(5);
        world.workers.get_mut("w0").expect("worker").disconnected = true;
        world.run(LISTING_LAPSE);
        let entry = ("w0".into(), DirectoryEntry::Removed);
        world.notify(Event::DirectoryChanged(vec![entry]));
        world.run(400);
        assert!(world.duplicates.is_empty(), "{seed} {:?}", world.duplicates);
        assert_eq!(world.starts.len(), 2, "{seed} {:?}", world.starts);
    }
}
