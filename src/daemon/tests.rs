//! Tests of the parts of the daemon.

mod change_of_owner;
mod confirmations;
mod inbox;
mod many_boxes;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::mpsc;

use super::downtime::Downtime;
use super::frontend::Doubt;
use super::history::decode_page;
use super::inbox::Inbox;
use super::peer_addresses::PeerAddresses;
use super::shared::{KnownOwner, Shared};
use super::takeover::decode_jobs;
use super::term::Term;
use crate::metrics::{self, OwnerEndLabel};
use crate::options::daemon;
use crate::sched::failover::OwnerProgress;
use crate::sched::history::HistoryRow;
use crate::sched::job::{Job, Outcome, Queue};
use crate::sched::journal::{Journal, OwnerRow};
use crate::sched::mechanisms::Mechanisms;
use crate::sched::owner::{Now, Owner, OwnerSettings, StoredJob};
use crate::sched::spec::{JobSpec, StepSpec};
use crate::table::{Row, encode};

/// Held by tests that begin or end a term, as all terms of a process share its metrics.
static TERMS: Mutex<()> = Mutex::new(());

/// Returns the guard of a test that begins or ends a term.
fn lock_terms() -> MutexGuard<'static, ()> {
    TERMS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a row of the store with a key and a value.
fn row(key: &str, value: bytes::Bytes) -> Row {
    Row {
        key: key.into(),
        version: 1,
        value,
    }
}

fn queue() -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 1,
        stretch: 1_000,
        slack: 0,
        advised: false,
    }
}

#[test]
fn a_job_whose_rows_do_not_decode_is_listed_as_unreadable() {
    let spec = JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    let job = Job::new("good".into(), spec.clone(), queue(), 5);
    let state = encode(&job.row);
    let specs = [row("good", encode(&spec)), row("torn", encode(&spec))];
    let rows = [
        row("good", state.clone()),
        row("torn", "{\"queue\":".into()),
        row("alone", state),
    ];
    let stored = decode_jobs(&specs, &rows);
    let ids: Vec<&str> = stored.jobs.iter().map(|job| &*job.id).collect();
    assert_eq!(ids, ["good"]);
    assert_eq!(stored.unreadable, ["torn".into(), "alone".into()]);
}

/// Returns the owner row of a box that serves under an epoch.
fn owner_row(epoch: u64) -> OwnerRow {
    OwnerRow {
        name: "a".into(),
        incarnation: 1,
        address: ([127, 0, 0, 1], 1).into(),
        epoch,
        seq: 0,
        settled: true,
        inherited: Some(0),
        followers: Vec::new(),
        released: false,
        cores: 0,
    }
}

/// Returns an owner of one job whose row was written at `now`.
fn owner(now: u64) -> Owner {
    let row = owner_row(7);
    let settings = OwnerSettings {
        row_bytes: 65_536,
        job_memory: usize::MAX,
        lease_length: 4_000,
        longest_lease: 4_000,
        max_unconfirmed: 10_000,
        max_breach: 4_000,
        far_factor: 2.0,
        drain_time: 2_000,
        heartbeat: 1_100,
        retention: 60_000,
        mechanisms: Mechanisms::ON,
    };
    let spec = JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    let stored = StoredJob {
        id: "j".into(),
        row: Job::new("j".into(), spec.clone(), queue(), 5).row,
        spec,
    };
    let at = Now {
        steady: now,
        wall: now,
    };
    Owner::new(settings, Journal::new(row, 1, now), vec![stored], now, at)
}

#[test]
fn the_gauges_of_an_owner_are_cleared_at_the_end_of_its_term() {
    let _terms = lock_terms();
    let metrics = metrics::get();
    let ends = metrics
        .owner_ends
        .get_or_create(&OwnerEndLabel { reason: "deposed" });
    let ends_before = ends.get();
    let mut owner = owner(1_000);
    let mut term = Term::begin(7, 300, 1_300);
    term.record_lateness(250, 1_400);
    owner.release(Now {
        steady: 2_400,
        wall: 2_400,
    });
    term.update_gauges(&owner, 2_500);
    term.update_gauges(&owner, 3_000);
    let gauges = || {
        [
            metrics.owner_epoch.get(),
            metrics.jobs.get(),
            metrics.waiting_tasks.get(),
            metrics.unconfirmed_time.get(),
            metrics.loop_delay.get(),
            metrics.release_time.get(),
        ]
    };
    assert_eq!(gauges(), [7, 1, 1, 2_000, 250, 500]);
    term.end(&owner, "deposed", 3_100);
    assert_eq!(gauges(), [0; 6]);
    assert_eq!(
        metrics.load_time.get(),
        300,
        "the time of the last load stays"
    );
    assert_eq!(ends.get() - ends_before, 1);
}

#[test]
fn the_downtime_counts_from_the_last_answer_of_an_owner() {
    let downtime = Downtime::new(1_000);
    assert_eq!(
        downtime.duration(1_400),
        400,
        "no owner is known at the start"
    );
    downtime.record(true, 1_500);
    assert_eq!(downtime.duration(1_700), 0);
    downtime.record(false, 1_750);
    downtime.record(false, 2_000);
    assert_eq!(downtime.duration(2_100), 600);
    downtime.record(true, 2_200);
    assert_eq!(downtime.duration(2_300), 0);
}

#[test]
fn a_finished_job_whose_row_does_not_decode_is_listed_as_unreadable() {
    let finished = |outcome| HistoryRow { outcome, ended: 5 };
    let rows = [
        row("good", encode(&finished(Outcome::Failed))),
        row("open", encode(&finished(Outcome::Open))),
        row("torn", "{\"o\":".into()),
    ];
    let page = decode_page(&rows, true);
    assert_eq!(page.rows, [("good".into(), finished(Outcome::Failed))]);
    assert_eq!(page.unreadable, ["open".into(), "torn".into()]);
    assert!(page.last);
}

/// Returns the state of a box without a configuration, and the messages to its owner's task.
fn shared_with_messages() -> (Shared, Inbox) {
    shared_with_store(([127, 0, 0, 1], 4).into())
}

/// Returns the same for a box that uses the store at this address.
fn shared_with_store(store: SocketAddr) -> (Shared, Inbox) {
    let text = "[box]\nname = \"b\"\nhall = \"h1\"\nweb = \"127.0.0.1:1\"\n\
        admin = \"127.0.0.1:2\"\nrpc = \"127.0.0.1:3\"\n[platform]\nstore = \"127.0.0.1:4\"\n";
    let mut settings = daemon::parse("b.toml", text).expect("settings");
    settings.store = store;
    let (owner_sender, messages) = mpsc::unbounded();
    let (check_sender, _) = mpsc::unbounded();
    (
        Shared::new(settings, 1, owner_sender, check_sender),
        Inbox::new(messages),
    )
}

/// Returns the state of a box without a configuration.
fn shared_state() -> Shared {
    shared_with_messages().0
}

/// Guards against a box that forgets a later owner at the end of its own load: the later owner's
/// ping has aborted the load, and a box that the store refuses could not find that owner again.
#[test]
fn a_box_whose_load_fails_keeps_a_later_owner_that_it_was_told_of() {
    let shared = shared_state();
    let known_owner = |epoch| KnownOwner {
        row: owner_row(epoch),
        version: epoch,
        progress: OwnerProgress { at: 0, pages: None },
    };
    let known_epoch = || shared.owner().map(|s| s.row.epoch);
    shared.set_owner(Some(known_owner(6)));
    shared.forget_owner(7);
    assert_eq!(
        known_epoch(),
        None,
        "an owner before its own epoch is read anew from the store"
    );
    shared.set_owner(Some(known_owner(8)));
    shared.forget_owner(7);
    assert_eq!(known_epoch(), Some(8), "the later owner stays known");
}

#[test]
fn addresses_are_returned_in_rotation_and_the_latest_are_kept() {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    let mut addresses = PeerAddresses::default();
    assert!(addresses.needs_refresh(0), "no address is known");
    assert!(addresses.next_batch(address(1)).is_empty());
    (1..=10).for_each(|port| addresses.add(address(port)));
    addresses.add(address(10));
    let mut returned: Vec<_> = (0..3)
        .flat_map(|_| addresses.next_batch(address(5)))
        .collect();
    returned.sort();
    returned.dedup();
    let expected: Vec<_> = [3, 4, 6, 7, 8, 9, 10].map(address).into();
    assert_eq!(
        returned, expected,
        "the latest eight without the excluded address"
    );
    addresses.add_reply(&[], 1_000);
    assert!(
        addresses.needs_refresh(1_000),
        "an empty reply does not count as a refresh"
    );
    addresses.add_reply(&[address(1)], 1_000);
    assert!(!addresses.needs_refresh(5_999));
    assert!(addresses.needs_refresh(6_000));
}

/// Guards against a refusal that is called true although the owner that was asked first may have
/// stored the job, and against doubt that the next owner could end.
#[test]
fn only_the_answer_of_a_later_owner_ends_the_doubt_about_a_lost_one() {
    let mut doubt = Doubt::default();
    assert!(!doubt.is_open() && doubt.is_resolved_by(7));
    doubt.add(7);
    assert!(doubt.is_open());
    assert!(!doubt.is_resolved_by(6) && !doubt.is_resolved_by(7));
    assert!(doubt.is_resolved_by(8));
    doubt.add(5);
    assert!(!doubt.is_resolved_by(7), "the latest owner counts");
}
