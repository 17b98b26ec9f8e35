//! Follows the owner, and takes its place when it is gone.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use monoio::time::{sleep, timeout};

use super::owner_row::{adopt, read_owner, store_failed};
use super::pings::{self, PING};
use super::shared::{KnownOwner, Shared};
use super::takeover::acquire;
use crate::platform::config;
use crate::proto::PingReply;
use crate::sched::failover::{self, Assessment};
use crate::sched::journal::OwnerRow;
use crate::table::Row;
use crate::utils::clock::{self, Millis};
use crate::utils::hash::stable;

/// Milliseconds between two pings of a box that has fewer cores than owners should:
/// others take the owner's place before it, and each ping is work for the owner.
const PING_WEAKER: Millis = 600;
/// Longest extra wait of a box, in milliseconds, so that not all try at once.
const STAGGER: u64 = 120;
/// Runs until the process ends.
pub async fn run(shared: Rc<Shared>, mut nudged: UnboundedReceiver<()>) {
    loop {
        // A box that stops follows the owner for its open connections.
        if shared.local_epoch().is_none() {
            watch_owner(&shared).await;
        }
        let pause = Duration::from_millis(pause(&shared));
        match shared.owner().is_some_and(|s| s.life.pages.is_some()) {
            // Callers that wait nudge each 40 ms, and each ping slows a load.
            true => sleep(pause).await,
            // Time passing is as good a reason to look as a nudge.
            false => drop(timeout(pause, nudged.next()).await),
        }
        while nudged.try_recv().is_ok() {}
    }
}

/// Returns the milliseconds until the next look.
fn pause(shared: &Shared) -> Millis {
    let weaker =
        |seen: KnownOwner| failover::weaker_box_delay(shared.settings.cores, &seen.row) > 0;
    match shared.owner().is_some_and(weaker) {
        true => PING_WEAKER,
        false => PING,
    }
}

/// Looks once whether the owner is there; takes its place when it is not.
async fn watch_owner(shared: &Rc<Shared>) {
    let Some(seen) = shared.owner() else {
        if told_by_others(shared).await {
            return;
        }
        match read_owner(shared).await {
            Ok(None) if shared.is_stopping() => {}
            Ok(None) => acquire(shared, None).await,
            Ok(seen) => adopt(shared, seen),
            Err(e) => store_failed(&e).await,
        }
        return;
    };
    if vacant(shared, &seen.row) {
        return replace(shared, &seen).await;
    }
    let pong = match pings::ping(shared, &seen.row).await {
        Ok(reply) => {
            take_config(shared, &reply);
            if reply.later_row > 0 {
                // The one that it follows knows better; it is asked from the next look on.
                return pings::take_owner(shared, reply.later, reply.later_row);
            }
            Some(pings::pong(&reply))
        }
        Err(e) => {
            log::info!(target: "member", "event=owner-silent owner={} cause=\"{e}\"", seen.row.name);
            None
        }
    };
    let (cores, epoch, now) = (shared.settings.cores, seen.row.epoch, clock::now());
    match failover::assess_owner(cores, epoch, seen.life, pong, now) {
        Assessment::Follow(life) => shared.set_liveness(epoch, life),
        Assessment::CheckRow(life) => {
            shared.set_liveness(epoch, life);
            look(shared).await;
        }
        Assessment::Replace(cause) => {
            let quiet = now.saturating_sub(seen.life.at);
            log::info!(target: "member", "event=owner-suspected owner={} epoch={epoch} cause={cause:?} pong={pong:?} quiet_ms={quiet}", seen.row.name);
            replace(shared, &seen).await;
        }
    }
}

/// Returns true when nobody holds the cell by an owner's row: it was given up, or
/// written by this box, which does not serve.
fn vacant(shared: &Shared, row: &OwnerRow) -> bool {
    row.released || row.name == shared.settings.name
}

/// Reads the row of an owner that does not serve, and takes its place if it has given
/// the cell up.
async fn look(shared: &Rc<Shared>) {
    if told_by_others(shared).await || !refresh(shared).await {
        return;
    }
    if let Some(seen) = shared.owner().filter(|s| vacant(shared, &s.row)) {
        succeed(shared, seen).await;
    }
}

/// Asks other boxes for the next owner where the store does not serve this box; true when
/// one is known now.
async fn told_by_others(shared: &Shared) -> bool {
    let epoch = shared.owner().map_or(0, |seen| seen.row.epoch);
    !shared.store_serves() && pings::ask_others(shared, epoch).await
}

/// Takes in the configuration that the owner hands on.
fn take_config(shared: &Shared, reply: &PingReply) {
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
async fn refresh(shared: &Shared) -> bool {
    match read_owner(shared).await {
        Ok(seen) => {
            adopt(shared, seen);
            true
        }
        Err(e) => {
            store_failed(&e).await;
            false
        }
    }
}

/// Takes the place of an owner, unless another box has done so.
async fn replace(shared: &Rc<Shared>, before: &KnownOwner) {
    if told_by_others(shared).await || !refresh(shared).await {
        return;
    }
    let same = |s: &KnownOwner| s.row.epoch == before.row.epoch;
    if let Some(seen) = shared.owner().filter(|s| vacant(shared, &s.row) || same(s)) {
        succeed(shared, seen).await;
    }
}

/// Takes the place of an owner that has given the cell up, or whose row as just read
/// stands still.
async fn succeed(shared: &Rc<Shared>, seen: KnownOwner) {
    if shared.is_stopping() {
        return;
    }
    let stagger = stable(&[&shared.settings.name]) % STAGGER;
    let vacant = vacant(shared, &seen.row);
    let pause = failover::takeover_delay(shared.settings.cores, &seen.row, vacant, stagger);
    if pause > 0 {
        sleep(Duration::from_millis(pause)).await;
    }
    let current = shared.owner();
    let same = current.is_some_and(|c| c.row.epoch == seen.row.epoch);
    if same && shared.local_epoch().is_none() && !shared.is_stopping() {
        acquire(shared, Some(seen)).await;
    }
}
