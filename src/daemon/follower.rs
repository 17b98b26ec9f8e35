//! Follows the owner, and takes its place when it is gone.

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
use crate::sched::failover::{self, Assessment};
use crate::sched::journal::OwnerRow;
use crate::table::Row;
use crate::utils::clock::{self, Millis};
use crate::utils::hash::stable;

/// Milliseconds between two pings of a box that has fewer cores than owners should:
/// others take the owner's place before it, and each ping is work for the owner.
const WEAKER_PING_INTERVAL: Millis = 600;
/// Longest extra wait of a box, in milliseconds, so that not all try at once.
const STAGGER: u64 = 120;
/// Runs until the process ends.
pub async fn run(shared: Rc<Shared>, mut nudged: UnboundedReceiver<()>) {
    loop {
        // A box that stops follows the owner for its open connections.
        if shared.local_epoch().is_none() {
            check_owner(&shared).await;
        }
        let pause = Duration::from_millis(check_interval(&shared));
        match shared.owner().is_some_and(|s| s.progress.pages.is_some()) {
            // Callers that wait nudge each 40 ms, and each ping slows a load.
            true => sleep(pause).await,
            // Time passing is as good a reason to look as a nudge.
            false => drop(timeout(pause, nudged.next()).await),
        }
        while nudged.try_recv().is_ok() {}
    }
}

/// Returns the milliseconds until the next look.
fn check_interval(shared: &Shared) -> Millis {
    let weaker =
        |seen: KnownOwner| failover::weaker_box_delay(shared.settings.cores, &seen.row) > 0;
    match shared.owner().is_some_and(weaker) {
        true => WEAKER_PING_INTERVAL,
        false => PING_INTERVAL,
    }
}

/// Looks once whether the owner is there; takes its place when it is not.
async fn check_owner(shared: &Rc<Shared>) {
    let Some(seen) = shared.owner() else {
        if peers_know_later_owner(shared).await {
            return;
        }
        match read_owner(shared).await {
            Ok(None) if shared.is_stopping() => {}
            Ok(None) => acquire_cell(shared, None).await,
            Ok(seen) => adopt_owner(shared, seen),
            Err(e) => pause_after_failure(&e).await,
        }
        return;
    };
    if is_vacant(shared, &seen.row) {
        return replace_owner(shared, &seen).await;
    }
    let pong = match pings::ping(shared, &seen.row).await {
        Ok(reply) => {
            apply_reply_config(shared, &reply);
            if reply.later_row > 0 {
                // The one that it follows knows better; it is asked from the next look on.
                return pings::follow_later_owner(shared, reply.later, reply.later_row);
            }
            Some(pings::to_pong(&reply))
        }
        Err(e) => {
            log::info!(target: "member", "event=owner-silent owner={} cause=\"{e}\"", seen.row.name);
            None
        }
    };
    let (cores, epoch, now) = (shared.settings.cores, seen.row.epoch, clock::now());
    match failover::assess_owner(cores, epoch, seen.progress, pong, now) {
        Assessment::Follow(progress) => shared.set_progress(epoch, progress),
        Assessment::CheckRow(progress) => {
            shared.set_progress(epoch, progress);
            take_if_vacant(shared).await;
        }
        Assessment::Replace(cause) => {
            let quiet = now.saturating_sub(seen.progress.at);
            log::info!(target: "member", "event=owner-suspected owner={} epoch={epoch} cause={cause:?} pong={pong:?} quiet_ms={quiet}", seen.row.name);
            replace_owner(shared, &seen).await;
        }
    }
}

/// Returns true when nobody holds the cell by an owner's row: it was given up, or
/// written by this box, which does not serve.
fn is_vacant(shared: &Shared, row: &OwnerRow) -> bool {
    row.released || row.name == shared.settings.name
}

/// Reads the row of an owner that does not serve, and takes its place if it has given
/// the cell up.
async fn take_if_vacant(shared: &Rc<Shared>) {
    if peers_know_later_owner(shared).await || !refresh_owner(shared).await {
        return;
    }
    if let Some(seen) = shared.owner().filter(|s| is_vacant(shared, &s.row)) {
        take_cell(shared, seen).await;
    }
}

/// Asks other boxes for the next owner where the store does not serve this box; true when
/// one is known now.
async fn peers_know_later_owner(shared: &Shared) -> bool {
    let epoch = shared.owner().map_or(0, |seen| seen.row.epoch);
    !shared.store_serves() && pings::query_peers(shared, epoch).await
}

/// Takes in the configuration that the owner hands on.
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

/// Reads the owner's row again; false when the store did not answer.
async fn refresh_owner(shared: &Shared) -> bool {
    match read_owner(shared).await {
        Ok(seen) => {
            adopt_owner(shared, seen);
            true
        }
        Err(e) => {
            pause_after_failure(&e).await;
            false
        }
    }
}

/// Takes the place of an owner, unless another box has done so.
async fn replace_owner(shared: &Rc<Shared>, before: &KnownOwner) {
    if peers_know_later_owner(shared).await || !refresh_owner(shared).await {
        return;
    }
    let same = |s: &KnownOwner| s.row.epoch == before.row.epoch;
    if let Some(seen) = shared
        .owner()
        .filter(|s| is_vacant(shared, &s.row) || same(s))
    {
        take_cell(shared, seen).await;
    }
}

/// Takes the place of an owner that has given the cell up, or whose row as just read
/// stands still.
async fn take_cell(shared: &Rc<Shared>, seen: KnownOwner) {
    if shared.is_stopping() {
        return;
    }
    let stagger = stable(&[&shared.settings.name]) % STAGGER;
    let vacant = is_vacant(shared, &seen.row);
    let pause = failover::takeover_delay(shared.settings.cores, &seen.row, vacant, stagger);
    if pause > 0 {
        sleep(Duration::from_millis(pause)).await;
    }
    let current = shared.owner();
    let same = current.is_some_and(|c| c.row.epoch == seen.row.epoch);
    if same && shared.local_epoch().is_none() && !shared.is_stopping() {
        acquire_cell(shared, Some(seen)).await;
    }
}
