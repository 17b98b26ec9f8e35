//! Becoming the owner: the commit, the load and the word to the owner before.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use super::commits::commit;
use super::lead::{Message, now};
use super::member::{PING, STORE_PAUSE, adopt, read_owner, store_failed};
use super::pings;
use super::shared::{PART, Seen, Shared};
use super::watch::READ;
use crate::harm::Known;
use crate::platform::store::StoreError;
use crate::sched::job::JobRow;
use crate::sched::journal::{
    BELIEF_TABLE, JOB_TABLE, Journal, OWNER_KEY, OWNER_TABLE, OwnerRow, PRESSURE_KEY, SPEC_TABLE,
};
use crate::sched::legacy::Legacy;
use crate::sched::message::{Write, Written};
use crate::sched::owner::{Kept, Owner};
use crate::sched::spec::JobSpec;
use crate::sched::succession;
use crate::table::{Row, decode, encode};
use crate::utils::Name;
use crate::utils::clock::{self, Millis};

/// Milliseconds for the commit that makes a box the owner.
const ACQUIRE: Millis = 600;

/// What the store holds of earlier owners' work.
#[derive(Default)]
pub(super) struct Stored {
    pub kept: Vec<Kept>,
    /// Ids of jobs whose rows can't be read.
    pub unreadable: Vec<Name>,
    /// What they learned of pressure between images.
    pub known: Vec<Known>,
}

/// Writes this box into the owner's row, if it is as it was seen.
pub async fn acquire(shared: &Rc<Shared>, before: Option<Seen>) {
    let settings = &shared.settings;
    let row = OwnerRow {
        name: settings.name.clone(),
        life: shared.life,
        address: settings.rpc,
        epoch: before.as_ref().map_or(0, |b| b.row.epoch) + 1,
        seq: 0,
        settled: Legacy::of(before.as_ref().map(|b| &b.row), &settings.name).settled(),
        released: false,
        cores: succession::wanted(settings.cores, before.as_ref().map(|b| &b.row)),
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

/// Loads what the store holds and goes on with it; `sent` is when the commit
/// that made this box the owner was sent.
async fn take_over(
    shared: &Rc<Shared>,
    row: OwnerRow,
    version: u64,
    sent: Millis,
    before: Option<Seen>,
) {
    let epoch = row.epoch;
    let Some(stored) = load_until(shared, epoch, sent + succession::LOADING).await else {
        // Somebody else may be the owner by now.
        return shared.see(None);
    };
    if replaced(shared, &row).await {
        return;
    }
    let (bounds, now) = (shared.bounds(), now());
    let legacy = Legacy::of(before.as_ref().map(|b| &b.row), &row.name);
    let inherited = legacy.lease_end(&bounds, now.steady);
    let took = now.steady - sent;
    log::info!(target: "owner", "event=owner-begins epoch={epoch} jobs={} unreadable={} load_ms={took}", stored.kept.len(), stored.unreadable.len());
    shared.see(Some(Seen {
        row: row.clone(),
        version,
        since: sent,
    }));
    let journal = Journal::new(row, version, sent);
    let mut owner = Owner::new(bounds, journal, stored.kept, inherited, now);
    owner.distrust(stored.unreadable);
    owner.recall(stored.known);
    shared.lead(Message::Begin(Box::new(owner), epoch));
    if let Some(before) = before.filter(|_| legacy == Legacy::Owner) {
        monoio::spawn(tell_predecessor(shared.clone(), before.row, epoch));
    }
}

/// Returns true when another box became the owner while this one loaded: what was
/// read may be torn by its writes, 165 jobs without a specification on a played day.
async fn replaced(shared: &Shared, row: &OwnerRow) -> bool {
    match read_owner(shared).await {
        Ok(Some(seen)) if seen.row.same_owner(row) => false,
        Ok(seen) => {
            log::info!(target: "owner", "event=replaced-loading epoch={}", row.epoch);
            adopt(shared, seen);
            true
        }
        Err(e) => {
            // The first commit finds out.
            log::info!(target: "owner", "event=owner-unread epoch={} cause=\"{e}\"", row.epoch);
            false
        }
    }
}

/// Loads what the store holds; none when that has failed until `end`.
async fn load_until(shared: &Shared, epoch: u64, end: Millis) -> Option<Stored> {
    loop {
        match load(shared).await {
            Ok(stored) => return Some(stored),
            Err(e) => {
                log::warn!(target: "owner", "event=load-failed epoch={epoch} cause=\"{e}\"");
                sleep(Duration::from_millis(STORE_PAUSE)).await;
            }
        }
        if clock::now() > end {
            return None;
        }
    }
}

/// Tells the owner before that it has ended, until it has answered so.
async fn tell_predecessor(shared: Rc<Shared>, before: OwnerRow, epoch: u64) {
    while shared.leading().is_none_or(|e| e == epoch) {
        let request = pings::request(&shared, epoch);
        if let Ok(reply) = pings::call(&shared, &before, request).await
            && (!reply.owner || reply.epoch >= epoch)
        {
            log::info!(target: "owner", "event=predecessor-ended epoch={epoch} owner={}", before.name);
            return shared.lead(Message::PredecessorEnded(epoch));
        }
        sleep(Duration::from_millis(PING)).await;
    }
}

/// Reads the jobs and what owners learned.
async fn load(shared: &Shared) -> Result<Stored, StoreError> {
    let specs = shared.store.read(SPEC_TABLE, PART, READ).await?;
    let rows = shared.store.read(JOB_TABLE, PART, READ).await?;
    let beliefs = shared.store.read(BELIEF_TABLE, PART, READ).await?;
    let known = beliefs.rows.iter().find(|r| &*r.key == PRESSURE_KEY);
    Ok(Stored {
        known: known.and_then(decode).unwrap_or_default(),
        ..jobs(&specs.rows, &rows.rows)
    })
}

/// Returns the jobs out of their rows, and the ids of those that can't be read.
pub(super) fn jobs(specs: &[Row], rows: &[Row]) -> Stored {
    let specs: HashMap<&Name, &Row> = specs.iter().map(|row| (&row.key, row)).collect();
    let mut stored = Stored::default();
    for row in rows {
        let spec: Option<JobSpec> = specs.get(&row.key).and_then(|spec| decode(spec));
        let state: Option<JobRow> = decode(row);
        let id = row.key.clone();
        match (spec, state) {
            (Some(spec), Some(row)) => stored.kept.push(Kept { id, spec, row }),
            (spec, state) => {
                let (spec, state) = (spec.is_some(), state.is_some());
                log::error!(target: "owner", "job={id} event=unreadable spec={spec} state={state}");
                stored.unreadable.push(id);
            }
        }
    }
    stored
}
