//! Sends pings to the owner, to its predecessor and to other boxes, and applies the replies.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::join_all;

use super::shared::{KnownOwner, Shared};
use crate::proto::cluster_client::ClusterClient;
use crate::proto::{PingReply, PingRequest};
use crate::rpc::client::CallError;
use crate::sched::failover::{self, OwnerProgress, Pong};
use crate::sched::journal::{OWNER_KEY, OwnerRow};
use crate::table::{Row, decode, encode};
use crate::utils::clock::{self, Millis};

/// Milliseconds between two pings to the owner.
pub const PING_INTERVAL: Millis = 200;
/// Timeout of a ping in milliseconds: a hundred round trips.
pub const PING_TIMEOUT: Millis = 350;

/// Pings the owner, and records whether it serves this box.
pub async fn ping_owner(shared: &Shared, owner: &OwnerRow) -> Result<PingReply, CallError> {
    let known = shared
        .owner()
        .filter(|known| known.row.epoch == owner.epoch);
    let request = PingRequest {
        confirms: known.map_or(0, |known| {
            let confirmations = shared.confirmations();
            confirmations.reading_for(owner.epoch, known.version)
        }),
        ..ping_request(shared, owner.epoch)
    };
    let reply = send_ping(shared, owner.address, request).await;
    let serves = |r: &PingReply| r.owner && r.epoch == owner.epoch;
    let served = reply.as_ref().is_ok_and(serves);
    shared.record_owner_serving(served);
    if served {
        shared.set_last_followed(owner);
    }
    if let Ok(reply) = &reply {
        if served {
            let mut confirmations = shared.confirmations();
            confirmations.record_reply(reply.epoch, reply.clock, clock::now());
        }
        add_addresses(shared, reply);
    }
    reply
}

/// Adds the addresses of other boxes in a reply to the known ones.
fn add_addresses(shared: &Shared, reply: &PingReply) {
    let addresses = reply.others.iter().filter_map(|a| a.parse().ok());
    let addresses: Vec<SocketAddr> = addresses.collect();
    shared.peer_addresses().add_reply(&addresses, clock::now());
}

/// Asks some other boxes for the owner, and follows the latest; returns true when one of them
/// knows an owner later than `epoch`.
pub async fn query_peers(shared: &Shared, epoch: u64) -> bool {
    let asked = shared.peer_addresses().next_batch(shared.settings.rpc);
    if asked.is_empty() {
        return false;
    }
    let request = ping_request(shared, epoch);
    let calls = asked.iter().map(|a| send_ping(shared, *a, request.clone()));
    let replies = join_all(calls).await;
    let answered: Vec<PingReply> = replies.into_iter().flatten().collect();
    let latest = answered.iter().max_by_key(|r| r.later_row);
    let later = latest.filter(|r| r.later_row > 0);
    log::info!(target: "member", "event=others-asked epoch={epoch} asked={} answered={} later={}", asked.len(), answered.len(), later.is_some());
    if let Some(reply) = later {
        follow_later_owner(shared, reply.later.clone(), reply.later_row);
    }
    later.is_some()
}

/// Returns a ping from this box, which knows the owner of `epoch`.
pub fn ping_request(shared: &Shared, epoch: u64) -> PingRequest {
    PingRequest {
        name: shared.settings.name.to_string(),
        epoch,
        config: shared.queues().version(),
        address: shared.settings.rpc.to_string(),
        others: shared.peer_addresses().needs_refresh(clock::now()),
        cores: failover::offered_cores(
            shared.settings.cores,
            shared.store_serves(),
            shared.is_stopping(),
        ),
        ..PingRequest::default()
    }
}

/// Returns the ping that sends a new owner's row to its predecessor.
pub fn takeover_notice(shared: &Shared, row: &OwnerRow, version: u64) -> PingRequest {
    PingRequest {
        owner: encode(row),
        owner_row: version,
        ..ping_request(shared, row.epoch)
    }
}

/// Follows an owner named by another box if it is later than the known one. This only directs
/// requests and pings; becoming the owner takes a commit to the store.
pub fn follow_later_owner(shared: &Shared, value: Bytes, version: u64) {
    if value.is_empty() {
        return;
    }
    let stored = Row {
        key: OWNER_KEY.into(),
        version,
        value,
    };
    let Some(row) = decode::<OwnerRow>(&stored) else {
        return;
    };
    let known = shared.owner().map_or(0, |known| known.row.epoch);
    if row.epoch <= known || shared.is_own_row(&row) {
        return;
    }
    log::info!(target: "member", "event=owner-told owner={} epoch={} known={known} version={version}", row.name, row.epoch);
    shared.confirmations().bar(version);
    let progress = OwnerProgress {
        at: clock::now(),
        pages: None,
    };
    shared.set_owner(Some(KnownOwner {
        row,
        version,
        progress,
    }));
}

/// Returns the state of the pinged box according to its reply.
pub fn to_pong(reply: &PingReply) -> Pong {
    match (reply.owner, reply.loading) {
        (true, _) => Pong::Serves {
            epoch: reply.epoch,
            confirmed: reply.confirmed,
        },
        (false, 0) => Pong::Idle,
        (false, epoch) => Pong::Loads {
            epoch,
            pages: reply.pages,
            cores: reply.cores,
        },
    }
}

/// Sends a ping to a box.
pub async fn send_ping(
    shared: &Shared,
    address: SocketAddr,
    request: PingRequest,
) -> Result<PingReply, CallError> {
    let call = |c| async move { ClusterClient::new(c).ping(request).await };
    shared.channel(address).call(PING_TIMEOUT, call).await
}
