//! Pings of the owner, or of one that was it.

use super::shared::Shared;
use crate::proto::cluster_client::ClusterClient;
use crate::proto::{PingReply, PingRequest};
use crate::rpc::client::CallError;
use crate::sched::journal::OwnerRow;
use crate::sched::succession::{self, Pong};
use crate::utils::clock::Millis;

/// Milliseconds for the answer to a ping: a hundred round trips.
const PONG: Millis = 350;

/// Asks the owner whether it still is, and takes in whether it serves.
pub async fn ping(shared: &Shared, owner: &OwnerRow) -> Result<PingReply, CallError> {
    let reply = call(shared, owner, request(shared, owner.epoch)).await;
    let serves = |r: &PingReply| r.owner && r.epoch == owner.epoch;
    shared.set_owned(reply.as_ref().is_ok_and(serves));
    reply
}

/// Returns a ping that says that an owner of this epoch is known.
pub fn request(shared: &Shared, epoch: u64) -> PingRequest {
    PingRequest {
        name: shared.settings.name.to_string(),
        epoch,
        config: shared.queues().version(),
        cores: succession::offered(
            shared.settings.cores,
            shared.store_serves(),
            shared.stopping(),
        ),
    }
}

/// Returns what the answer to a ping tells of the box.
pub fn pong(reply: &PingReply) -> Pong {
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

/// Sends a ping to the box that wrote an owner's row.
pub async fn call(
    shared: &Shared,
    owner: &OwnerRow,
    request: PingRequest,
) -> Result<PingReply, CallError> {
    let call = |c| async move { ClusterClient::new(c).ping(request).await };
    shared.channel(owner.address).call(PONG, call).await
}
