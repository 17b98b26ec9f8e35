//! Tests of leases that an owner extends while its followers confirm it, and of what the next
//! owner waits for.

use std::net::SocketAddr;

use super::world::{SETTINGS, World, job, lasting, owner_row};
use crate::sched::fences::next_epoch;
use crate::sched::followers::{CONFIRMATION_SPAN, Followers};
use crate::sched::journal::{Journal, OwnerRow};
use crate::sched::message::{CommitOutcome, RunOutcome, Write};
use crate::sched::worker::max_lease_duration;
use crate::utils::clock::Millis;

/// Address of the box that follows the owner in these tests, and its port.
const PORT: u16 = 2;
const FOLLOWER: SocketAddr = address(PORT);
/// Milliseconds between two pings.
const PING_INTERVAL: Millis = 200;
/// Milliseconds within which a task that could run does so, by the promise of the platform.
const START_TIME: Millis = 3_000;
/// Longest time in milliseconds from the last run of a lasting task to the next, by the same promise.
const MAX_AWAY: Millis = 6_000 + START_TIME;
const LONGEST: Millis = SETTINGS.max_unconfirmed;

const fn address(port: u16) -> SocketAddr {
    let ip = std::net::Ipv4Addr::LOCALHOST;
    SocketAddr::new(std::net::IpAddr::V4(ip), port)
}

/// Returns an owner's journal that lists `listed`, from time 0 on.
fn journal(listed: &[SocketAddr]) -> Journal {
    let row = OwnerRow {
        followers: listed.to_vec(),
        ..owner_row(1)
    };
    Journal::new(row, 1, 0)
}

/// Makes a commit at `now`, and returns the followers in its row.
fn commit(journal: &mut Journal, now: Millis, outcome: CommitOutcome) -> Vec<SocketAddr> {
    journal.mark_changed(1);
    let built = journal.build_commit(now, |_| Vec::new());
    let (number, _, writes) = built.expect("a commit is due");
    journal.resolve(number, outcome, now + 5);
    let value = writes.last().and_then(|write: &Write| write.value.clone());
    let row: OwnerRow = serde_json::from_slice(&value.expect("value")).expect("row");
    row.followers
}

/// Runs the world while the follower pings the owner and confirms it.
fn run_confirmed(world: &mut World, span: Millis) {
    let epoch = world.owner_epoch();
    let mut clock = 0;
    for _ in 0..span / PING_INTERVAL {
        clock = world.ping_owner(epoch, FOLLOWER, clock).unwrap_or(clock);
        world.run(PING_INTERVAL);
    }
}

/// Returns how many tasks run on a worker.
fn count_on(world: &World, worker: &str) -> usize {
    let running = world.running();
    running.iter().filter(|(_, on)| &**on == worker).count()
}

/// Returns a world with a follower and lasting tasks on worker `w0`, and room for them on `w1`.
fn world_with_follower() -> World {
    let mut world = World::new(1);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("lasting", job(vec![lasting(4, 1_000)]));
    run_confirmed(&mut world, 3_000);
    assert_eq!(world.running().len(), 4);
    world.add_worker("w1", 102);
    world.send_directory();
    run_confirmed(&mut world, 1_000);
    world
}

/// Number of jobs in `world_of_small_jobs`: so many that all workers would be isolated for a while,
/// as a worker is isolated for the suspects of one job.
const JOBS: usize = 144;

/// Returns a world of 24 workers, half full, that run jobs of one lasting task each.
fn world_of_small_jobs() -> World {
    let mut world = World::new(24);
    world.script = |_, _| (600_000, RunOutcome::Done);
    for number in 0..JOBS {
        world.submit(&format!("lasting{number}"), job(vec![lasting(1, 250)]));
    }
    run_confirmed(&mut world, 4_000);
    assert_eq!(world.running().len(), JOBS);
    world
}

/// Guards against standing tasks of dead workers that wait for as long as any owner may go on
/// without the store, although their owner was lost for good.
#[test]
fn tasks_of_lost_workers_run_again_soon_after_their_owner_was_lost_as_well() {
    let mut world = world_with_follower();
    let epoch = world.owner_epoch();
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    run_confirmed(&mut world, 2_000);
    let lost = world.now;
    world.take_over_beside("next".into(), PORT);
    world.kill_earlier_owner(epoch);
    let limit = CONFIRMATION_SPAN + max_lease_duration(SETTINGS.lease_length) + START_TIME;
    world.run(limit);
    let (task, _, worker, at) = world.starts.last().expect("start");
    assert_eq!(&**worker, "w1", "{task} has not run again after {limit} ms");
    assert!(*at > lost);
    assert_eq!(count_on(&world, "w1"), 4, "{:?}", world.starts);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// Guards against a task that runs twice: its worker is out of reach of the next owner only, and
/// the owner before, which neither the store nor its successor reaches, goes on.
#[test]
fn a_follower_that_has_taken_over_waits_for_an_owner_that_goes_on() {
    for takeover in 0..10 {
        let mut world = world_with_follower();
        run_confirmed(&mut world, takeover * PING_INTERVAL);
        let epoch = world.owner_epoch();
        world.toggle_worker(next_epoch(epoch), "w0".into());
        world.toggle_store(epoch);
        run_confirmed(&mut world, 1_000);
        world.run(takeover * 20);
        world.take_over_beside("next".into(), PORT);
        world.run(CONFIRMATION_SPAN + 2 * max_lease_duration(SETTINGS.lease_length));
        assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
        assert_eq!(world.running().len(), 4, "they run elsewhere in the end");
    }
}

/// Guards against runs that are lost in an outage of the store although no other box could take
/// over, as all of them still confirm the owner.
#[test]
fn a_confirmed_owner_extends_leases_through_an_outage_of_the_store() {
    let mut world = world_with_follower();
    world.store_down = true;
    run_confirmed(&mut world, LONGEST - 500);
    world.store_down = false;
    run_confirmed(&mut world, 3_000);
    assert_eq!(world.starts.len(), 4, "no run was lost");
    assert_eq!(world.running().len(), 4);
}

/// Guards against leases that an owner extends after a follower, which has replaced it, relies on
/// their end.
#[test]
fn an_owner_without_the_store_stops_when_one_follower_is_silent() {
    let mut journal = journal(&[]);
    for now in (0..2_000).step_by(200) {
        journal.record_confirmation(FOLLOWER, now, now + 100);
        journal.record_confirmation(address(3), now, now + 100);
    }
    let listed = commit(&mut journal, 2_000, CommitOutcome::Done(2));
    assert_eq!(listed, [FOLLOWER, address(3)]);
    assert!(journal.may_extend_leases(LONGEST, 2_000 + CONFIRMATION_SPAN - 1));
    journal.record_confirmation(FOLLOWER, 3_400, 3_500);
    assert!(!journal.may_extend_leases(LONGEST, 2_000 + CONFIRMATION_SPAN));
    assert_eq!(journal.unconfirming(3_500), Some(address(3)));
    journal.record_confirmation(address(3), 3_400, 3_600);
    assert!(journal.may_extend_leases(LONGEST, 3_600));
    assert!(!journal.may_extend_leases(LONGEST, 3_400 + CONFIRMATION_SPAN));
}

/// Guards against a confirmation that counts from its late arrival.
#[test]
fn a_confirmation_counts_from_the_reading_that_it_returns() {
    let mut followers = Followers::new(&[], 0);
    followers.record_confirmation(FOLLOWER, 1_000, 4_000);
    assert!(!followers.all_confirm(4_000));
    followers.record_confirmation(FOLLOWER, 3_900, 4_000);
    followers.record_confirmation(FOLLOWER, 2_000, 4_100);
    assert!(followers.all_confirm(4_100), "the latest reading counts");
}

/// Guards against a follower that no longer counts although the stored row lists it still.
#[test]
fn a_silent_follower_counts_until_a_row_without_it_is_stored() {
    let mut journal = journal(&[FOLLOWER]);
    assert_eq!(
        commit(&mut journal, 100, CommitOutcome::Done(2)),
        [FOLLOWER]
    );
    assert!(commit(&mut journal, 5_000, CommitOutcome::Unknown).is_empty());
    assert_eq!(journal.unconfirming(5_100), Some(FOLLOWER));
    assert!(commit(&mut journal, 5_200, CommitOutcome::Done(3)).is_empty());
    assert_eq!(journal.unconfirming(5_300), None);
}

/// Guards against the same where the commit that lists the follower takes so long that the follower
/// is silent by its end.
#[test]
fn a_follower_that_falls_silent_during_a_commit_counts_until_the_next_one() {
    let mut journal = journal(&[FOLLOWER]);
    journal.mark_changed(1);
    let (number, ..) = journal.build_commit(1_900, |_| Vec::new()).expect("commit");
    journal.resolve(number, CommitOutcome::Done(2), 2_500);
    assert_eq!(journal.unconfirming(2_600), Some(FOLLOWER));
    assert!(commit(&mut journal, 2_700, CommitOutcome::Done(3)).is_empty());
    assert_eq!(journal.unconfirming(2_800), None);
}

/// Guards against a new follower that is forgotten again by each commit that was under way when it
/// became known.
#[test]
fn a_follower_that_becomes_known_during_a_commit_is_in_the_next_one() {
    let mut journal = journal(&[]);
    journal.mark_changed(1);
    let (number, ..) = journal.build_commit(100, |_| Vec::new()).expect("commit");
    journal.record_confirmation(FOLLOWER, 90, 101);
    journal.resolve(number, CommitOutcome::Done(2), 105);
    assert_eq!(
        commit(&mut journal, 200, CommitOutcome::Done(3)),
        [FOLLOWER]
    );
}

/// Guards against tasks that wait for their turn on an isolated worker: a new owner does not know for
/// how long runs had lasted that were lost before it began, and took each for the cause of a crash.
#[test]
fn tasks_of_many_workers_lost_before_a_takeover_are_no_suspects() {
    let mut world = world_of_small_jobs();
    let epoch = world.owner_epoch();
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    for id in ids.iter().step_by(2) {
        world.workers.get_mut(id).expect("worker").disconnected = true;
    }
    run_confirmed(&mut world, 1_000);
    world.take_over_beside("next".into(), PORT);
    world.kill_earlier_owner(epoch);
    world.run(CONFIRMATION_SPAN + max_lease_duration(SETTINGS.lease_length) + START_TIME);
    assert_eq!(world.running().len(), JOBS);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// Guards against lasting tasks that wait on full workers as if they had run until their leases
/// ended: the platform wants them back within 6 s of their last run, and allows 3 s more.
#[test]
fn the_time_away_of_a_lasting_task_counts_from_its_last_run() {
    let mut world = World::new(4);
    world.script = |_, _| (600_000, RunOutcome::Done);
    world.submit("lasting", job(vec![lasting(16, 1_000)]));
    run_confirmed(&mut world, 10_000);
    assert_eq!(world.running().len(), 16, "the workers are full");
    let epoch = world.owner_epoch();
    let running = world.running().into_iter();
    let lost: Vec<String> = running.filter(|r| &*r.1 == "w0").map(|r| r.0).collect();
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    run_confirmed(&mut world, 400);
    let (before, last_run) = (world.starts.len(), world.now);
    world.take_over_beside("next".into(), PORT);
    world.kill_earlier_owner(epoch);
    world.run(MAX_AWAY);
    let again: Vec<&String> = world.starts[before..].iter().map(|s| &s.0).collect();
    let waiting = lost.iter().filter(|task| !again.contains(task));
    assert_eq!(waiting.count(), 0, "{again:?} {} ms", world.now - last_run);
}

/// Guards against a wait for an earlier owner by a worker that refuses its orders: it has answered the
/// next one, whose fence is higher.
#[test]
fn a_worker_that_has_answered_waits_for_no_lease_of_an_earlier_owner() {
    let mut world = world_with_follower();
    let epoch = world.owner_epoch();
    world.toggle_store(epoch);
    world.take_over_beside("unlisted".into(), PORT + 1);
    world.run(1_000);
    world.workers.get_mut("w0").expect("worker").disconnected = true;
    world.run(max_lease_duration(SETTINGS.lease_length) + START_TIME);
    assert_eq!(count_on(&world, "w1"), 4, "{:?}", world.starts);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}

/// Guards against the same where the workers have restarted under their ids before the next owner
/// first reached them.
#[test]
fn tasks_of_many_workers_restarted_at_a_takeover_are_no_suspects() {
    let mut world = world_of_small_jobs();
    let epoch = world.owner_epoch();
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    for id in ids.iter().step_by(2) {
        world.restart(id);
    }
    world.take_over_beside("next".into(), PORT);
    world.kill_earlier_owner(epoch);
    world.run(START_TIME);
    assert_eq!(world.running().len(), JOBS);
    assert!(world.duplicates.is_empty(), "{:?}", world.duplicates);
}
