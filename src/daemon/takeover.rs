//! Makes this box the owner: commits its row, loads the stored state, and notifies the
//! predecessor.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monoio::time::sleep;

use super::commits::commit_if_version;
use super::message::Message;
use super::owner_row::{READ_TIMEOUT, STORE_PAUSE, adopt_owner, pause_after_failure, read_owner};
use super::pings::{self, PING_INTERVAL};
use super::shared::{KnownOwner, Loading, STORE_PART, Shared, now};
use crate::interference::PairEstimate;
use crate::platform::store::{PAGE, Page};
use crate::proto::PingRequest;
use crate::sched::failover::{self, OwnerProgress};
use crate::sched::fences::next_epoch;
use crate::sched::job::JobRow;
use crate::sched::journal::{
    ESTIMATES_TABLE, INTERFERENCE_KEY, JOB_TABLE, Journal, LEARNED_KEY, OWNER_KEY, OWNER_TABLE,
    OwnerRow, SPEC_TABLE,
};
use crate::sched::message::{CommitOutcome, Write};
use crate::sched::owner::{Owner, StoredJob};
use crate::sched::predecessors::{
    PredecessorState, inherited_followers, inherited_span, owners_to_notify,
};
use crate::sched::spec::JobSpec;
use crate::table::{Row, decode, encode};
use crate::utils::Name;
use crate::utils::clock::{self, Millis};

/// Timeout in milliseconds of the commit that makes a box the owner.
const ACQUIRE_TIMEOUT: Millis = 600;
/// Milliseconds without an answer of the store after which a loading owner gives up: boxes that
/// the store serves have taken its place by then.
const LOAD_TIMEOUT: Millis = 4_000;

/// The state that earlier owners left in the store.
#[derive(Default)]
pub(super) struct StoredState {
    /// Jobs with their specifications and states.
    pub jobs: Vec<StoredJob>,
    /// Ids of jobs whose rows do not decode.
    pub unreadable: Vec<Name>,
    /// Learned interference between images.
    pub interference: Vec<PairEstimate>,
    /// Row of the learned run times and worker speeds.
    pub learned: Option<Bytes>,
}

/// Writes this box into the owner's row if that row is still `before`, and takes over if the
/// write took effect.
pub async fn acquire_cell(shared: &Rc<Shared>, before: Option<KnownOwner>) {
    let settings = &shared.settings;
    let replaced = before.as_ref().map(|known| &known.row);
    let mut row = OwnerRow {
        name: settings.name.clone(),
        incarnation: shared.incarnation,
        address: settings.rpc,
        epoch: next_epoch(replaced.map_or(0, |row| row.epoch)),
        seq: 0,
        settled: false,
        inherited: None,
        followers: inherited_followers(replaced, settings.rpc),
        released: false,
        cores: failover::wanted_cores(settings.cores, replaced),
    };
    row.settled = PredecessorState::from_row(replaced, &row).all_ended();
    row.inherited = Some(inherited_span(replaced, &row, &shared.owner_settings()));
    let version = before.as_ref().map_or(0, |b| b.version);
    // From here on the predecessor may be replaced, so this box confirms it no more.
    shared.confirmations().bar(version);
    let sent = clock::now();
    match commit_if_version(shared, version, &[owner_write(&row)], ACQUIRE_TIMEOUT).await {
        CommitOutcome::Done(version) => take_over(shared, row, version, sent, before).await,
        outcome => {
            log::info!(target: "member", "event=not-acquired epoch={} outcome={}", row.epoch, outcome_label(&outcome));
            match read_owner(shared).await {
                Ok(Some(known)) if known.row.is_same_owner(&row) => {
                    let (row, version) = (known.row, known.version);
                    take_over(shared, row, version, sent, before).await;
                }
                Ok(known) => adopt_owner(shared, known),
                Err(e) => pause_after_failure(&e).await,
            }
        }
    }
}

/// Returns the outcome as logged.
fn outcome_label(outcome: &CommitOutcome) -> &'static str {
    match outcome {
        CommitOutcome::Done(_) => "done",
        CommitOutcome::Conflict(_) => "conflict",
        CommitOutcome::NotDone => "not-done",
        CommitOutcome::Unknown => "unknown",
        CommitOutcome::Refused => "refused",
    }
}

/// Loads the stored state and starts the owner with it; `sent` is when the commit that made
/// this box the owner was sent.
async fn take_over(
    shared: &Rc<Shared>,
    row: OwnerRow,
    version: u64,
    sent: Millis,
    before: Option<KnownOwner>,
) {
    let (epoch, acquired) = (row.epoch, clock::now());
    shared.set_loading(Some(Loading { epoch, pages: 0 }));
    let Some(stored) = load_state(shared, epoch).await else {
        if shared.is_stopping() && shared.is_loading(epoch) {
            release_cell(shared, row, version).await;
        }
        shared.set_loading(None);
        // Another box may be the owner by now.
        return shared.forget_owner(epoch);
    };
    let Some(confirmed) = confirm_ownership(shared, &row).await else {
        return shared.set_loading(None);
    };
    let (settings, now) = (shared.owner_settings(), now());
    let span = row.inherited.unwrap_or_default();
    let inherited = acquired + span;
    let took = now.steady - sent;
    let listed = before
        .as_ref()
        .is_some_and(|b| b.row.followers.contains(&row.address));
    log::info!(target: "owner", "event=owner-begins epoch={epoch} jobs={} unreadable={} load_ms={took} inherited_ms={span} listed={listed}", stored.jobs.len(), stored.unreadable.len());
    shared.set_owner(Some(KnownOwner {
        row: row.clone(),
        version,
        progress: OwnerProgress {
            at: now.steady,
            pages: None,
        },
    }));
    // The journal starts from `confirmed`, not from the commit that made this box the owner:
    // after a long load, that commit is so old that the owner would count as cut off from the
    // store as soon as it serves.
    let owner_row = row.clone();
    let journal = Journal::new(row, version, confirmed);
    let mut owner = Owner::new(settings, journal, stored.jobs, inherited, now);
    owner.mark_unreadable(stored.unreadable);
    owner.import_interference(stored.interference);
    if let Some(row) = stored.learned {
        owner.import_learned(&row);
    }
    shared.send_to_owner(Message::Begin(Box::new(owner), epoch, took));
    let notice = pings::takeover_notice(shared, &owner_row, version);
    let before = before.map(|b| b.row);
    for (row, last) in owners_to_notify(before, shared.last_followed(), &owner_row) {
        let call = notify_predecessor(shared.clone(), row, notice.clone(), last);
        monoio::spawn(call);
    }
}

/// Releases the cell before the load is complete, so that other boxes need not wait for an owner
/// that will never serve.
async fn release_cell(shared: &Shared, row: OwnerRow, version: u64) {
    let released = OwnerRow {
        released: true,
        ..row
    };
    let outcome =
        commit_if_version(shared, version, &[owner_write(&released)], ACQUIRE_TIMEOUT).await;
    log::info!(target: "owner", "event=stops-loading epoch={} outcome={}", released.epoch, outcome_label(&outcome));
}

/// Returns the write that stores an owner's row.
fn owner_write(row: &OwnerRow) -> Write {
    Write {
        table: OWNER_TABLE,
        key: OWNER_KEY.into(),
        value: Some(encode(row)),
    }
}

/// Returns the time at which the store confirmed that this box still is the owner, or `None` if
/// another box became the owner during the load, or the row could not be read.
///
/// Writes of another owner may have made the loaded state inconsistent, such as jobs without a
/// specification; and a box that knows of a later owner must not extend leases.
async fn confirm_ownership(shared: &Shared, row: &OwnerRow) -> Option<Millis> {
    let since = clock::now();
    while clock::now() <= since + LOAD_TIMEOUT {
        let asked = clock::now();
        match read_owner(shared).await {
            Ok(known) => {
                let own = known.as_ref().is_some_and(|s| s.row.is_same_owner(row));
                if own && shared.is_loading(row.epoch) {
                    return Some(asked);
                }
                log::info!(target: "owner", "event=replaced-loading epoch={}", row.epoch);
                adopt_owner(shared, known);
                return None;
            }
            Err(e) => {
                log::info!(target: "owner", "event=owner-unread epoch={} cause=\"{e}\"", row.epoch);
                sleep(Duration::from_millis(STORE_PAUSE)).await;
            }
        }
    }
    shared.forget_owner(row.epoch);
    None
}

/// Sends `notice` to the predecessor's address until a box there answers that it does not serve
/// under an earlier epoch. If that box is the predecessor, and it was the `last` owner that could
/// still act, no owner before the notice's epoch acts from then on.
///
/// The notice names the new owner. If the store refuses the predecessor, it may refuse the
/// predecessor's followers as well, and these ask nobody else: without the notice they would
/// find no owner and refuse jobs for as long as the store refuses them.
pub(super) async fn notify_predecessor(
    shared: Rc<Shared>,
    before: OwnerRow,
    notice: PingRequest,
    last: bool,
) {
    let epoch = notice.epoch;
    while shared.local_epoch().is_none_or(|e| e == epoch) {
        if let Ok(reply) = pings::send_ping(&shared, before.address, notice.clone()).await
            && (!reply.owner || reply.epoch >= epoch)
        {
            let same_box = *reply.name == *before.name;
            log::info!(target: "owner", "event=predecessor-ended epoch={epoch} owner={} last={last} answered_by=\"{}\"", before.name, reply.name);
            if last && same_box {
                shared.send_to_owner(Message::PredecessorEnded(epoch));
            }
            return;
        }
        sleep(Duration::from_millis(PING_INTERVAL)).await;
    }
}

/// Reads the jobs and the learned interference. Returns `None` when the store does not serve
/// this box, the box stops, or a later owner is known.
async fn load_state(shared: &Shared, epoch: u64) -> Option<StoredState> {
    let specs = read_table(shared, epoch, SPEC_TABLE).await?;
    let rows = read_table(shared, epoch, JOB_TABLE).await?;
    let estimates = read_table(shared, epoch, ESTIMATES_TABLE).await?;
    let interference = estimates.iter().find(|r| &*r.key == INTERFERENCE_KEY);
    let learned = estimates.iter().find(|r| &*r.key == LEARNED_KEY);
    Some(StoredState {
        learned: learned.map(|row| row.value.clone()),
        interference: interference.and_then(decode).unwrap_or_default(),
        ..decode_jobs(&specs, &rows)
    })
}

/// Reads a table. Each page is retried by itself, so that every answer of the store advances the
/// load.
async fn read_table(shared: &Shared, epoch: u64, table: &str) -> Option<Vec<Row>> {
    let mut rows = Vec::new();
    let mut next = Some(String::new());
    while let Some(from) = next {
        let page = read_page(shared, epoch, table, &from).await?;
        let pages = shared.loading().filter(|l| l.epoch == epoch)?.pages + 1;
        shared.set_loading(Some(Loading { epoch, pages }));
        rows.extend(page.rows);
        next = page.next;
    }
    Some(rows)
}

/// Reads a page of a table, with retries; returns `None` after [`LOAD_TIMEOUT`] without success.
async fn read_page(shared: &Shared, epoch: u64, table: &str, from: &str) -> Option<Page> {
    let since = clock::now();
    while clock::now() <= since + LOAD_TIMEOUT && shared.is_loading(epoch) && !shared.is_stopping()
    {
        match shared
            .store
            .read_page(table, STORE_PART, from, PAGE, READ_TIMEOUT)
            .await
        {
            Ok(page) => return Some(page),
            Err(e) => {
                log::warn!(target: "owner", "event=load-failed epoch={epoch} table={table} cause=\"{e}\"");
                sleep(Duration::from_millis(STORE_PAUSE)).await;
            }
        }
    }
    None
}

/// Returns the jobs decoded from their rows, and the ids of those that do not decode.
pub(super) fn decode_jobs(specs: &[Row], rows: &[Row]) -> StoredState {
    let specs: HashMap<&Name, &Row> = specs.iter().map(|row| (&row.key, row)).collect();
    let mut stored = StoredState::default();
    for row in rows {
        let spec: Option<JobSpec> = specs.get(&row.key).and_then(|spec| decode(spec));
        let state: Option<JobRow> = decode(row);
        let id = row.key.clone();
        match (spec, state) {
            (Some(spec), Some(row)) => stored.jobs.push(StoredJob { id, spec, row }),
            (spec, state) => {
                let (spec, state) = (spec.is_some(), state.is_some());
                log::error!(target: "owner", "job={id} event=unreadable spec={spec} state={state}");
                stored.unreadable.push(id);
            }
        }
    }
    stored
}
