//! Pings the owner from a box that is not the owner, and takes over when the owner fails or
//! has released the cell.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use monoio::time::{sleep, timeout};

use super::owner_row::{adopt_owner, pause_after_failure, read_owner};
use super::pings::{self, PING_INTERVAL};
use super::shared::{KnownOwner, Shared};
use super::takeover::acquire_cell;
use crate::platform::config;
use crate::proto::PingReply;
use crate::sched::failover::{self, Assessment, TakeoverCause};
use crate::sched::journal::OwnerRow;
use crate::table::Row;
use crate::utils::clock::{self, Millis};
use crate::utils::hash::stable;

/// Milliseconds between two pings from a box with fewer cores than the owner's row asks for.
/// Larger boxes take over before it does, and each ping costs the owner work.
const SMALLER_BOX_PING_INTERVAL: Millis = 600;
/// Longest extra delay in milliseconds before a takeover; it differs by box, so that not all
/// boxes try at once.
const STAGGER: u64 = 120;
/// The same in milliseconds for a cell that has had no owner, when all boxes start at once.
const FIRST_STAGGER: u64 = 400;

/// Checks the owner again and again while this box is not the owner, until the process ends;
/// a message on `checks` asks for a check at once.
pub async fn run(shared: Rc<Shared>, mut checks: UnboundedReceiver<()>) {
    loop {
        // A stopping box still needs the owner, for requests on its open connections.
        if shared.local_epoch().is_none() {
            check_owner(&shared).await;
        }
        let pause = Duration::from_millis(check_interval(&shared));
        match shared.owner().is_some_and(|s| s.progress.pages.is_some()) {
            // While the owner loads, waiting requests ask for a check every 40 ms, and each ping
            // slows the load.
            true => sleep(pause).await,
            // A timeout is handled like a message: both lead to a check.
            false => drop(timeout(pause, checks.next()).await),
        }
        while checks.try_recv().is_ok() {}
    }
}

/// Pings the owner while calls to the store hold up the check of it, until the process ends. Without
/// the store the owner extends leases for as long as each follower confirms it.
pub async fn keep_confirming(shared: Rc<Shared>) {
    loop {
        sleep(Duration::from_millis(PING_INTERVAL)).await;
        if shared.local_epoch().is_some() || shared.loading().is_some() {
            continue;
        }
        let due = |epoch| shared.confirmations().is_due(epoch, clock::now());
        if let Some(known) = shared.owner().filter(|known| due(known.row.epoch)) {
            // The next check assesses the owner.
            let _ = pings::ping_owner(&shared, &known.row).await;
        }
    }
}

/// Returns the milliseconds until the next check of the owner.
fn check_interval(shared: &Shared) -> Millis {
    let smaller =
        |known: KnownOwner| failover::smaller_box_delay(shared.settings.cores, &known.row) > 0;
    match shared.owner().is_some_and(smaller) {
        true => SMALLER_BOX_PING_INTERVAL,
        false => PING_INTERVAL,
    }
}

/// Checks the owner once: finds it if none is known, else pings it, and takes over if needed.
async fn check_owner(shared: &Rc<Shared>) {
    let Some(known) = shared.owner() else {
        if learn_later_owner_from_peers(shared).await {
            return;
        }
        match read_owner(shared).await {
            Ok(None) if shared.is_stopping() => {}
            Ok(None) => acquire_first(shared).await,
            Ok(known) => adopt_owner(shared, known),
            Err(e) => pause_after_failure(&e).await,
        }
        return;
    };
    if is_vacant(shared, &known.row) {
        return replace_owner(shared, &known, None).await;
    }
    let pong = match pings::ping_owner(shared, &known.row).await {
        Ok(reply) => {
            apply_reply_config(shared, &reply);
            if reply.later_row > 0 {
                // The pinged box knows a later owner; the next check pings that one.
                return pings::follow_later_owner(shared, reply.later, reply.later_row);
            }
            Some(pings::to_pong(&reply))
        }
        Err(e) => {
            log::info!(target: "member", "event=owner-silent owner={} cause=\"{e}\"", known.row.name);
            None
        }
    };
    let (cores, epoch, now) = (shared.settings.cores, known.row.epoch, clock::now());
    match failover::assess_owner(cores, epoch, known.progress, pong, now) {
        Assessment::Follow(progress) => {
            shared.set_progress(epoch, progress);
            if !shared.confirmations().permits(known.version) && shared.store_serves() {
                refresh_owner(shared).await;
            }
        }
        Assessment::CheckRow(progress) => {
            shared.set_progress(epoch, progress);
            acquire_if_vacant(shared).await;
        }
        Assessment::Replace(cause) => {
            let quiet = now.saturating_sub(known.progress.at);
            log::info!(target: "member", "event=owner-suspected owner={} epoch={epoch} cause={cause:?} pong={pong:?} quiet_ms={quiet}", known.row.name);
            replace_owner(shared, &known, Some(cause)).await;
        }
    }
}

/// Acquires a cell that has had no owner, unless another box does so first.
async fn acquire_first(shared: &Rc<Shared>) {
    let stagger = stable(&[&shared.settings.name]) % FIRST_STAGGER;
    sleep(Duration::from_millis(stagger)).await;
    match read_owner(shared).await {
        Ok(None) => acquire_cell(shared, None).await,
        Ok(known) => adopt_owner(shared, known),
        Err(e) => pause_after_failure(&e).await,
    }
}

/// Returns true when no box holds the cell by this owner's row: the owner has released the
/// cell, or the row is from this box, which is not serving.
pub(super) fn is_vacant(shared: &Shared, row: &OwnerRow) -> bool {
    row.released || row.is_from_box(&shared.settings.name, shared.settings.rpc)
}

/// Reads the owner's row again, and acquires the cell if the row is vacant.
async fn acquire_if_vacant(shared: &Rc<Shared>) {
    if learn_later_owner_from_peers(shared).await || !refresh_owner(shared).await {
        return;
    }
    if let Some(known) = shared.owner().filter(|s| is_vacant(shared, &s.row)) {
        acquire_after_delay(shared, known).await;
    }
}

/// Asks other boxes for a later owner if the store does not serve this box, and follows the latest;
/// returns true when one was found.
async fn learn_later_owner_from_peers(shared: &Shared) -> bool {
    let epoch = shared.owner().map_or(0, |known| known.row.epoch);
    !shared.store_serves() && pings::query_peers(shared, epoch).await
}

/// Applies the configuration that a ping's reply carries, if any.
fn apply_reply_config(shared: &Shared, reply: &PingReply) {
    if !reply.config.is_empty() {
        let row = Row {
            key: config::KEY.into(),
            version: reply.config_row,
            value: reply.config.clone(),
        };
        shared.apply_config(row, "peer");
    }
}

/// Reads the owner's row from the store; returns false when that failed.
async fn refresh_owner(shared: &Shared) -> bool {
    match read_owner(shared).await {
        Ok(known) => {
            adopt_owner(shared, known);
            true
        }
        Err(e) => {
            pause_after_failure(&e).await;
            false
        }
    }
}

/// Takes over from the owner `before`, unless another box has done so, or the owner is suspected
/// only because the store is slow. `cause` is `None` when the cell is vacant.
pub(super) async fn replace_owner(
    shared: &Rc<Shared>,
    before: &KnownOwner,
    cause: Option<TakeoverCause>,
) {
    if learn_later_owner_from_peers(shared).await {
        return;
    }
    let asked = clock::now();
    if !refresh_owner(shared).await {
        return;
    }
    let took = clock::now() - asked;
    if cause.is_some_and(|cause| !failover::should_replace(cause, took)) {
        log::info!(target: "member", "event=owner-kept owner={} epoch={} cause={cause:?} read_ms={took}", before.row.name, before.row.epoch);
        return;
    }
    let same = |s: &KnownOwner| s.row.epoch == before.row.epoch;
    if let Some(known) = shared
        .owner()
        .filter(|s| is_vacant(shared, &s.row) || same(s))
    {
        acquire_after_delay(shared, known).await;
    }
}

/// Acquires the cell after this box's takeover delay, unless a later owner is known by then. The
/// commit fails if the owner has written its row since it was read, so only a vacant row or one
/// that no longer changes is replaced.
async fn acquire_after_delay(shared: &Rc<Shared>, known: KnownOwner) {
    if shared.is_stopping() {
        return;
    }
    let stagger = stable(&[&shared.settings.name]) % STAGGER
        + failover::unlisted_box_delay(shared.settings.rpc, &known.row);
    let vacant = is_vacant(shared, &known.row);
    let pause = failover::takeover_delay(shared.settings.cores, &known.row, vacant, stagger);
    if pause > 0 {
        sleep(Duration::from_millis(pause)).await;
        // Every box that suspects the owner waits here. The store carries out the commits to the
        // cell one after the other, so those that must fail would hold up the next owner's.
        if !refresh_owner(shared).await {
            return;
        }
    }
    let same = shared.owner().is_some_and(|c| c.version == known.version);
    if same && shared.local_epoch().is_none() && !shared.is_stopping() {
        acquire_cell(shared, Some(known)).await;
    }
}
