//! Follows the owner, and takes its place when it is gone.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use monoio::time::{sleep, timeout};

use super::commits::commit;
use super::lead::Message;
use super::shared::{PART, Seen, Shared};
use super::watch::READ;
use crate::harm::Known;
use crate::platform::store::StoreError;
use crate::proto::cluster_client::ClusterClient;
use crate::proto::{PingReply, PingRequest};
use crate::rpc::client::CallError;
use crate::sched::job::JobRow;
use crate::sched::journal::{
    BELIEF_TABLE, JOB_TABLE, Journal, OWNER_KEY, OWNER_TABLE, OwnerRow, PRESSURE_KEY, SPEC_TABLE,
};
use crate::sched::message::{Write, Written};
use crate::sched::owner::{Kept, Now, Owner};
use crate::sched::spec::JobSpec;
use crate::sched::worker::lease_span;
use crate::table::{Row, decode, encode};
use crate::utils::clock::{self, Millis};
use crate::utils::hash::stable;

/// Milliseconds between two pings of the owner.
const PING: Millis = 200;
/// Milliseconds for the answer to a ping: a hundred round trips.
const PONG: Millis = 350;
/// Milliseconds during which the owner's row must stand still before a box
/// that can't reach the owner takes its place; the owner writes it each 300.
const STILL: Millis = 420;
/// Milliseconds without a commit after which an owner that can be reached is
/// replaced, when the store serves another box.
const UNCONFIRMED: Millis = 1_500;
/// Longest extra wait of a box, in milliseconds, so that not all try at once.
const STAGGER: u64 = 120;
/// Pause after a call to the store that failed.
const STORE_PAUSE: Millis = 250;
/// Milliseconds for the commit that makes a box the owner.
const ACQUIRE: Millis = 600;

/// Runs until the process ends.
pub async fn run(shared: Rc<Shared>, mut nudged: UnboundedReceiver<()>) {
    loop {
        if shared.leading().is_none() && !shared.stopping() {
            watch_owner(&shared).await;
        }
        let pause = Duration::from_millis(PING);
        // Time passing is as good a reason to look as a nudge.
        let _ = timeout(pause, nudged.next()).await;
        while nudged.try_recv().is_ok() {}
    }
}

/// Looks once whether the owner is there; takes its place when it is not.
async fn watch_owner(shared: &Rc<Shared>) {
    let Some(seen) = shared.owner() else {
        match read_owner(shared).await {
            Ok(None) => acquire(shared, None).await,
            Ok(seen) => adopt(shared, seen),
            Err(e) => store_failed(&e).await,
        }
        return;
    };
    let own = seen.row.name == shared.settings.name;
    if own || seen.row.released {
        return replace(shared, &seen, 0).await;
    }
    match ping(shared, &seen.row).await {
        Ok(reply) => {
            take_config(shared, &reply);
            if !reply.owner || reply.epoch != seen.row.epoch {
                refresh(shared).await;
            } else if reply.confirmed > UNCONFIRMED {
                replace(shared, &seen, STILL).await;
            }
        }
        Err(e) => {
            log::info!(target: "member", "event=owner-silent owner={} cause=\"{e}\"", seen.row.name);
            replace(shared, &seen, STILL).await;
        }
    }
}

fn take_config(shared: &Shared, reply: &PingReply) {
    if !reply.config.is_empty() {
        let row = Row {
            key: crate::platform::config::KEY.into(),
            version: reply.config_row,
            value: reply.config.clone(),
        };
        shared.configure(row, "peer");
    }
}

async fn store_failed(e: &StoreError) {
    log::debug!(target: "member", "event=owner-unread cause=\"{e}\"");
    sleep(Duration::from_millis(STORE_PAUSE)).await;
}

/// Reads the owner's row.
pub(super) async fn read_owner(shared: &Shared) -> Result<Option<Seen>, StoreError> {
    let page = shared.store.read(OWNER_TABLE, PART, READ).await?;
    let row = page.rows.iter().find(|r| &*r.key == OWNER_KEY);
    Ok(row.and_then(|row| {
        Some(Seen {
            row: decode(row)?,
            version: row.version,
        })
    }))
}

fn adopt(shared: &Shared, seen: Option<Seen>) {
    if let Some(seen) = &seen {
        let before = shared.owner();
        if before.is_none_or(|b| b.row.epoch != seen.row.epoch) {
            let row = &seen.row;
            log::info!(target: "member", "event=owner owner={} epoch={} version={}", row.name, row.epoch, seen.version);
        }
    }
    shared.see(seen);
}

/// Reads the owner's row again.
async fn refresh(shared: &Shared) {
    match read_owner(shared).await {
        Ok(seen) => adopt(shared, seen),
        Err(e) => store_failed(&e).await,
    }
}

/// Takes the place of an owner whose row stands still for so many milliseconds.
async fn replace(shared: &Rc<Shared>, seen: &Seen, still: Millis) {
    refresh(shared).await;
    let Some(first) = shared.owner() else {
        return;
    };
    // A box that was replaced finds its successor here, and follows it.
    let vacant = first.row.released || first.row.name == shared.settings.name;
    let unchanged = first.row.epoch == seen.row.epoch;
    if (still == 0 && !vacant) || (still > 0 && !unchanged) {
        return;
    }
    let stagger = stable(&[&shared.settings.name]) % STAGGER;
    if still > 0 {
        sleep(Duration::from_millis(still + stagger)).await;
    }
    let current = shared.owner();
    let same = current.is_some_and(|c| c.row.epoch == first.row.epoch);
    if same && shared.leading().is_none() && !shared.stopping() {
        acquire(shared, Some(first)).await;
    }
}

/// Writes this box into the owner's row, if it is as it was seen.
async fn acquire(shared: &Rc<Shared>, before: Option<Seen>) {
    let settings = &shared.settings;
    let row = OwnerRow {
        name: settings.name.clone(),
        life: shared.life,
        address: settings.rpc,
        epoch: before.as_ref().map_or(0, |b| b.row.epoch) + 1,
        seq: 0,
        settled: Legacy::of(before.as_ref().map(|b| &b.row), &settings.name) <= Legacy::Leases,
        released: false,
    };
    let write = Write {
        table: OWNER_TABLE,
        key: OWNER_KEY.into(),
        value: Some(encode(&row)),
    };
    let version = before.as_ref().map_or(0, |b| b.version);
    let sent = clock::now();
    match commit(shared, version, &[write], ACQUIRE).await {
        Written::Done(version) => take_over(shared, row, version, sent, before).await,
        written => {
            log::info!(target: "member", "event=not-acquired epoch={} outcome={}", row.epoch, label(&written));
            match read_owner(shared).await {
                Ok(Some(seen)) if seen.row.same_owner(&row) => {
                    let (row, version) = (seen.row, seen.version);
                    take_over(shared, row, version, sent, before).await;
                }
                Ok(seen) => adopt(shared, seen),
                Err(e) => store_failed(&e).await,
            }
        }
    }
}

fn label(written: &Written) -> &'static str {
    match written {
        Written::Done(_) => "done",
        Written::Conflict(_) => "conflict",
        Written::NotDone => "not-done",
        Written::Unknown => "unknown",
    }
}

/// What earlier owners may still do to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Legacy {
    /// There was none.
    Nothing,
    /// The last one has ended; its leases run out.
    Leases,
    /// The last one may still extend leases, until it hears of its end.
    Owner,
    /// One before the last one may.
    Chain,
}

impl Legacy {
    fn of(before: Option<&OwnerRow>, name: &str) -> Self {
        match before {
            None => Self::Nothing,
            Some(row) if !row.settled => Self::Chain,
            Some(row) if row.released || &*row.name == name => Self::Leases,
            Some(_) => Self::Owner,
        }
    }
}

/// Loads what the store holds and goes on with it.
async fn take_over(
    shared: &Rc<Shared>,
    row: OwnerRow,
    version: u64,
    sent: Millis,
    before: Option<Seen>,
) {
    let epoch = row.epoch;
    let (kept, known) = loop {
        match load(shared).await {
            Ok(kept) => break kept,
            Err(e) => {
                log::warn!(target: "owner", "event=load-failed epoch={epoch} cause=\"{e}\"");
                sleep(Duration::from_millis(STORE_PAUSE)).await;
            }
        }
        if clock::now() > sent + UNCONFIRMED {
            // Somebody else may be the owner by now.
            shared.see(None);
            return;
        }
    };
    let bounds = shared.bounds();
    let now = Now {
        steady: clock::now(),
        wall: clock::wall(),
    };
    let legacy = Legacy::of(before.as_ref().map(|b| &b.row), &row.name);
    let inherited = match legacy {
        Legacy::Nothing => now.steady,
        Legacy::Leases => now.steady + lease_span(bounds.lease),
        Legacy::Owner | Legacy::Chain => now.steady + bounds.unconfirmed + lease_span(bounds.lease),
    };
    let took = now.steady - sent;
    log::info!(target: "owner", "event=owner-begins epoch={epoch} jobs={} load_ms={took}", kept.len());
    shared.see(Some(Seen {
        row: row.clone(),
        version,
    }));
    let journal = Journal::new(row, version, sent);
    let mut owner = Owner::new(bounds, journal, kept, inherited, now);
    owner.recall(known);
    shared.lead(Message::Begin(Box::new(owner), epoch));
    if let Some(before) = before.filter(|_| legacy == Legacy::Owner) {
        monoio::spawn(tell_predecessor(shared.clone(), before.row, epoch));
    }
}

/// Tells the owner before that it has ended, until it has answered so.
async fn tell_predecessor(shared: Rc<Shared>, before: OwnerRow, epoch: u64) {
    while shared.leading().is_none_or(|e| e == epoch) {
        let request = request(&shared, epoch);
        if let Ok(reply) = call(&shared, &before, request).await
            && (!reply.owner || reply.epoch >= epoch)
        {
            log::info!(target: "owner", "event=predecessor-ended epoch={epoch} owner={}", before.name);
            return shared.lead(Message::PredecessorEnded(epoch));
        }
        sleep(Duration::from_millis(PING)).await;
    }
}

async fn load(shared: &Shared) -> Result<(Vec<Kept>, Vec<Known>), StoreError> {
    let specs = shared.store.read(SPEC_TABLE, PART, READ).await?;
    let rows = shared.store.read(JOB_TABLE, PART, READ).await?;
    let mut specs: std::collections::HashMap<_, JobSpec> = specs
        .rows
        .iter()
        .filter_map(|row| Some((row.key.clone(), decode(row)?)))
        .collect();
    let jobs = rows.rows.iter().filter_map(|row| {
        let state: JobRow = decode(row)?;
        let Some(spec) = specs.remove(&row.key) else {
            log::error!(target: "owner", "job={} event=job-without-description", row.key);
            return None;
        };
        Some(Kept {
            id: row.key.clone(),
            spec,
            row: state,
        })
    });
    let kept = jobs.collect();
    let beliefs = shared.store.read(BELIEF_TABLE, PART, READ).await?;
    let known = beliefs.rows.iter().find(|r| &*r.key == PRESSURE_KEY);
    Ok((kept, known.and_then(decode).unwrap_or_default()))
}

async fn ping(shared: &Shared, owner: &OwnerRow) -> Result<PingReply, CallError> {
    call(shared, owner, request(shared, owner.epoch)).await
}

fn request(shared: &Shared, epoch: u64) -> PingRequest {
    PingRequest {
        name: shared.settings.name.to_string(),
        epoch,
        config: shared.queues().version(),
    }
}

async fn call(
    shared: &Shared,
    owner: &OwnerRow,
    request: PingRequest,
) -> Result<PingReply, CallError> {
    let call = |c| async move { ClusterClient::new(c).ping(request).await };
    shared.channel(owner.address).call(PONG, call).await
}
