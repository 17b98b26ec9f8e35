//! Randomised simulations of owners whose processes are stopped for a while. What has arrived
//! meanwhile is handled in a drawn order.

use super::random::seeds;
use super::world::{Faults, SETTINGS, World, job, step};
use crate::sched::job::JobState;
use crate::sched::message::{DirectoryEntry, Event, RunOutcome};
use crate::sched::worker::{Listing, max_lease_duration};
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Stops of a process in one simulation.
const STOPS: u64 = 16;
/// Longest stop in milliseconds: longer than an owner may extend leases without the store.
const MAX_STOP: u64 = 11_000;
/// First of the ports to which workers move.
const FIRST_UNUSED_PORT: u16 = 1_000;
/// Number of these ports.
const UNUSED_PORTS: Millis = 60_000;
/// Milliseconds without faults at the end, in which all jobs have to end.
const RECOVERY_TIME: u64 = 30_000;

/// Returns a random worker, or `None` when the drawn index has no worker.
fn random_worker(world: &World, random: &mut Random) -> Option<Name> {
    let index = random.below(4) as usize;
    world.workers.keys().nth(index).cloned()
}

/// Sends the owner the removal of a worker's entry.
fn unlist(world: &mut World, id: Name) {
    let entry = vec![(id, DirectoryEntry::Removed)];
    world.notify(Event::DirectoryChanged(entry));
}

/// Moves a worker with its runs to another port; a new worker starts at its address. The owner
/// learns of both in either order.
fn move_worker(world: &mut World, id: &Name, new_first: bool) {
    let worker = world.workers.get_mut(id).expect("worker");
    let port = worker.listing.address.port();
    // No two workers are ever at one address.
    let moved = FIRST_UNUSED_PORT + (world.now % UNUSED_PORTS) as u16;
    worker.listing.address.set_port(moved);
    let other = format!("{id}-{}", world.now);
    world.add_worker(&other, port);
    match new_first {
        true => {
            world.send_listing(&other);
            world.send_listing(id);
        }
        false => world.send_directory(),
    }
}

/// Cuts a worker off from the owner and from the store, once it has announced that it leaves.
fn cut_off_leaving(world: &mut World, id: Name) {
    let worker = world.workers.get_mut(&id).expect("worker");
    worker.listing.leaving = true;
    worker.listing.min_stay = 5_000;
    world.send_listing(&id);
    world.workers.get_mut(&id).expect("worker").disconnected = true;
    unlist(world, id);
}

/// Sends the owner an entry that names the address of a worker and a later start than that of
/// the worker, which runs on.
fn claim_address(world: &mut World, id: &Name) {
    let entry = Listing {
        id: "claim".into(),
        boot: Some(world.now),
        ..world.workers[id].listing.clone()
    };
    let entry = ("claim".into(), DirectoryEntry::Listed(entry));
    world.notify(Event::DirectoryChanged(vec![entry]));
}

/// Applies a random change of a worker or of its directory entry.
fn change_worker(world: &mut World, random: &mut Random) {
    let Some(id) = random_worker(world, random) else {
        return;
    };
    let new_first = random.below(2) == 0;
    let worker = world.workers.get_mut(&id).expect("worker");
    match random.below(10) {
        0 | 1 => worker.disconnected = !worker.disconnected,
        2 => world.crash(&id),
        3 => unlist(world, id),
        4 => world.send_directory(),
        5 | 6 => cut_off_leaving(world, id),
        7 => claim_address(world, &id),
        _ => move_worker(world, &id, new_first),
    }
}

/// Reconnects and lists all workers.
fn restore_workers(world: &mut World) {
    for worker in world.workers.values_mut() {
        worker.disconnected = false;
        worker.listing.leaving = false;
    }
    world.send_directory();
}

/// Draws the faults of calls.
fn draw_faults(world: &mut World, random: &mut Random) {
    world.faults = Faults {
        lost_replies: 0.2 * random.unit(),
        delayed_calls: 0.1 * random.unit(),
        lost_commit_replies: 0.2 * random.unit(),
        ..world.faults
    };
}

/// Stops the owner's process for a drawn time, in which workers change and another box may take
/// over.
fn stop_owner(world: &mut World, random: &mut Random) {
    let longest = [5, 50, 1_500, 6_000, MAX_STOP][random.below(5) as usize];
    let span = 1 + random.below(longest);
    world.stop_process(span);
    for _ in 0..random.below(4) {
        world.run(1 + random.below(span / 4));
        change_worker(world, random);
    }
    if random.below(4) == 0 {
        let leases = SETTINGS.max_unconfirmed + max_lease_duration(SETTINGS.lease_length);
        world.replace_stopped_owner(leases);
    }
    world.run(span);
}

/// Returns the duration and the outcome of a run: up to 4 s, and every fifth one fails.
fn script(task: &str, run: u32) -> (Millis, RunOutcome) {
    let seed = task
        .bytes()
        .fold(u64::from(run), |hash, byte| hash * 31 + u64::from(byte));
    let drawn = Random::new(seed).below(4_000);
    match drawn % 5 {
        0 => (drawn, RunOutcome::Failed),
        _ => (drawn, RunOutcome::Done),
    }
}

/// Returns the errors of one simulation.
fn errors_of(seed: u64) -> Vec<String> {
    let mut random = Random::new(seed);
    let mut world = World::new(4);
    world.seed(seed ^ 1);
    world.faults.silent_ends = seed.is_multiple_of(2);
    world.script = script;
    for number in 0..STOPS {
        let spec = job(vec![step(1 + random.below(8) as u32, 1_000)]);
        world.submit(&format!("job-{number}"), spec);
        draw_faults(&mut world, &mut random);
        world.run(1 + random.below(400));
        change_worker(&mut world, &mut random);
        world.run(random.below(4));
        stop_owner(&mut world, &mut random);
        if random.below(2) == 0 {
            restore_workers(&mut world);
        }
    }
    world.faults = Faults::default();
    world.run(RECOVERY_TIME / 4);
    restore_workers(&mut world);
    world.run(RECOVERY_TIME);
    let mut errors = std::mem::take(&mut world.duplicates);
    for number in 0..STOPS {
        let id = format!("job-{number}");
        let shown = world.job_state(&id);
        if matches!(shown, Some(JobState::Queued | JobState::Running)) {
            errors.push(format!("{id} is {shown:?}"));
        }
    }
    errors
}

#[test]
fn no_task_runs_twice_when_what_arrived_during_a_stop_is_handled_in_any_order() {
    let failed: Vec<(u64, Vec<String>)> = seeds()
        .map(|seed| (seed, errors_of(seed)))
        .filter(|(_, errors)| !errors.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}
