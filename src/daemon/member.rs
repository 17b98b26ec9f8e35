//! Follows the owner, and takes its place when it is gone.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use monoio::time::{sleep, timeout};

use super::pings;
use super::shared::{PART, Seen, Shared};
use super::takeover::acquire;
use super::watch::READ;
use crate::platform::config;
use crate::platform::store::StoreError;
use crate::proto::PingReply;
use crate::sched::journal::{OWNER_KEY, OWNER_TABLE};
use crate::sched::succession;
use crate::table::{Row, decode};
use crate::utils::clock::{self, Millis};
use crate::utils::hash::stable;

/// Milliseconds between two pings of the owner.
pub const PING: Millis = 200;
/// Milliseconds between two pings of a box that has fewer cores than owners should:
/// others take the owner's place before it, and each ping is work for the owner.
const PING_WEAKER: Millis = 600;
/// Milliseconds during which the owner's row must stand still before a box
/// that can't reach the owner takes its place; the owner writes it each 300.
const STILL: Millis = 420;
/// Milliseconds without a commit after which an owner that can be reached is
/// replaced, when the store serves another box.
const UNCONFIRMED: Millis = 1_500;
/// Longest extra wait of a box, in milliseconds, so that not all try at once.
const STAGGER: u64 = 120;
/// Milliseconds of the pause after a call to the store that failed.
pub const STORE_PAUSE: Millis = 250;

/// Runs until the process ends.
pub async fn run(shared: Rc<Shared>, mut nudged: UnboundedReceiver<()>) {
    loop {
        // A box that stops follows the owner for its open connections.
        if shared.leading().is_none() {
            watch_owner(&shared).await;
        }
        let pause = Duration::from_millis(pause(&shared));
        // Time passing is as good a reason to look as a nudge.
        let _ = timeout(pause, nudged.next()).await;
        while nudged.try_recv().is_ok() {}
    }
}

/// Returns the milliseconds until the next look.
fn pause(shared: &Shared) -> Millis {
    let weaker = |seen: Seen| succession::wait(shared.settings.cores, &seen.row) > 0;
    match shared.owner().is_some_and(weaker) {
        true => PING_WEAKER,
        false => PING,
    }
}

/// Looks once whether the owner is there; takes its place when it is not.
async fn watch_owner(shared: &Rc<Shared>) {
    let Some(seen) = shared.owner() else {
        match read_owner(shared).await {
            Ok(None) if shared.stopping() => {}
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
    match pings::ping(shared, &seen.row).await {
        Ok(reply) => {
            take_config(shared, &reply);
            if !reply.owner || reply.epoch != seen.row.epoch {
                not_serving(shared, &seen, reply.cores).await;
            } else if reply.confirmed > UNCONFIRMED {
                log::info!(target: "member", "event=owner-unconfirmed owner={} epoch={} silent_ms={}", seen.row.name, reply.epoch, reply.confirmed);
                replace(shared, &seen, STILL).await;
            }
        }
        Err(e) => {
            log::info!(target: "member", "event=owner-silent owner={} cause=\"{e}\"", seen.row.name);
            replace(shared, &seen, STILL).await;
        }
    }
}

/// Looks who is the owner when the box that the row names, with so many cores, does
/// not serve; takes its place if it had better not be waited for.
async fn not_serving(shared: &Rc<Shared>, seen: &Seen, cores: u32) {
    let waited = clock::now() - seen.since;
    if !succession::interrupts(shared.settings.cores, cores, waited) {
        return refresh(shared).await;
    }
    let row = &seen.row;
    log::info!(target: "member", "event=owner-loads owner={} epoch={} cores={cores} waited_ms={waited}", row.name, row.epoch);
    replace(shared, seen, STILL).await;
}

/// Takes in the configuration that the owner hands on.
fn take_config(shared: &Shared, reply: &PingReply) {
    if !reply.config.is_empty() {
        let row = Row {
            key: config::KEY.into(),
            version: reply.config_row,
            value: reply.config.clone(),
        };
        shared.configure(row, "peer");
    }
}

/// Lets some time pass after a failed call to the store.
pub async fn store_failed(e: &StoreError) {
    log::debug!(target: "member", "event=owner-unread cause=\"{e}\"");
    sleep(Duration::from_millis(STORE_PAUSE)).await;
}

/// Reads the owner's row.
pub async fn read_owner(shared: &Shared) -> Result<Option<Seen>, StoreError> {
    let page = shared.store.read(OWNER_TABLE, PART, READ).await?;
    let row = page.rows.iter().find(|r| &*r.key == OWNER_KEY);
    Ok(row.and_then(|row| {
        Some(Seen {
            row: decode(row)?,
            version: row.version,
            since: clock::now(),
        })
    }))
}

/// Follows the owner that the store names.
pub fn adopt(shared: &Shared, mut seen: Option<Seen>) {
    if let Some(seen) = &mut seen {
        let before = shared.owner();
        match before.filter(|b| b.row.epoch == seen.row.epoch) {
            Some(before) => seen.since = before.since,
            None => {
                let row = &seen.row;
                log::info!(target: "member", "event=owner owner={} epoch={} version={} unserved_ms={}", row.name, row.epoch, seen.version, shared.unserved());
            }
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
    if shared.stopping() {
        return;
    }
    let stagger = match still {
        0 => 0,
        _ => stable(&[&shared.settings.name]) % STAGGER,
    };
    let weaker = succession::wait(shared.settings.cores, &first.row);
    let pause = still + stagger + weaker;
    if pause > 0 {
        sleep(Duration::from_millis(pause)).await;
    }
    let current = shared.owner();
    let same = current.is_some_and(|c| c.row.epoch == first.row.epoch);
    if same && shared.leading().is_none() && !shared.stopping() {
        acquire(shared, Some(first)).await;
    }
}
