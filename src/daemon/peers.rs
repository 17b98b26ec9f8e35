//! Serves calls from other boxes: forwarded job requests, and pings.

use std::rc::Rc;

use monoio::net::TcpListener;
use tonic::{Request, Response, Status};

use super::frontend;
use super::message::Message;
use super::pings;
use super::shared::Shared;
use crate::proto::cluster_server::{Cluster, ClusterServer};
use crate::proto::{AskReply, AskRequest, PingReply, PingRequest};
use crate::rpc::{self, bridge::Bridge};
use crate::sched::RETRY_AFTER;
use crate::sched::message::{Answer, JobRequest};
use crate::table::encode;
use crate::utils::clock;
use crate::utils::drain::Drain;

/// Largest message of another box in bytes: twice a job or a configuration of the store's row size.
const MAX_MESSAGE: usize = 256 << 10;

/// gRPC service that other boxes call.
struct Service {
    bridge: Bridge<Shared>,
}

#[tonic::async_trait]
impl Cluster for Service {
    async fn ask(&self, request: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        let request = request.into_inner();
        self.bridge
            .run(move |shared| handle_request(shared, request))
            .await
    }

    async fn ping(&self, request: Request<PingRequest>) -> Result<Response<PingReply>, Status> {
        let request = request.into_inner();
        let work = move |shared: Rc<Shared>| async move { Ok(handle_ping(&shared, &request)) };
        self.bridge.run(work).await
    }
}

/// Passes a forwarded job request to the owner in this process; an empty reply says that this
/// box is not the owner that is asked.
pub(super) async fn handle_request(
    shared: Rc<Shared>,
    request: AskRequest,
) -> Result<AskReply, Status> {
    let job_request: JobRequest = serde_json::from_slice(&request.ask)
        .map_err(|e| Status::invalid_argument(e.to_string()))?;
    // Boxes of the previous release name no epoch.
    let is_asked = |epoch: &u64| request.epoch == 0 || request.epoch == *epoch;
    let Some(epoch) = shared.local_epoch().filter(is_asked) else {
        return Ok(AskReply::default());
    };
    let Ok(charge) = shared.callers.charge_forwarded(job_request.memory()) else {
        return Ok(AskReply {
            answer: encode(&Answer::Refused(RETRY_AFTER)),
        });
    };
    // The encoded request is not needed any more, and its answer may take a while.
    let left = request.left;
    drop(request);
    let charge = Rc::new(charge);
    match frontend::ask_local_owner(&shared, epoch, job_request, charge, left).await {
        Some(answer) => Ok(AskReply {
            answer: encode(&answer),
        }),
        None => Err(Status::deadline_exceeded("no answer of the owner in time")),
    }
}

/// Answers a ping; ends the owner or the load in this process if the pinging box knows a later
/// owner.
pub(super) fn handle_ping(shared: &Shared, ping: &PingRequest) -> PingReply {
    if shared.local_epoch().is_some_and(|epoch| ping.epoch > epoch) {
        // The pinging box knows a later owner, so this one has been replaced.
        shared.set_local_epoch(None);
        shared.send_to_owner(Message::Superseded(ping.epoch));
        shared.check_owner_now();
    }
    if shared.loading().is_some_and(|l| ping.epoch > l.epoch) {
        // The cell belongs to a later owner, so this box must not begin with what it loads.
        shared.set_loading(None);
    }
    forward_confirmation(shared, ping);
    if shared.local_epoch().is_some() && ping.cores > shared.settings.cores {
        shared.send_to_owner(Message::LargerBox(ping.cores));
    }
    pings::follow_later_owner(shared, ping.owner.clone(), ping.owner_row);
    let others = exchange_addresses(shared, ping);
    let later = shared.owner().filter(|known| known.row.epoch > ping.epoch);
    let loading = shared.loading();
    let newer = ping.config < shared.queues().version();
    let config = shared.config().filter(|_| newer);
    PingReply {
        owner: shared.local_epoch().is_some(),
        epoch: shared.local_epoch().unwrap_or(0),
        confirmed: clock::now().saturating_sub(shared.confirmed()),
        config_row: config.as_ref().map_or(0, |c| c.version),
        config: config.map(|c| c.value).unwrap_or_default(),
        cores: shared.settings.cores,
        loading: loading.map_or(0, |l| l.epoch),
        pages: loading.map_or(0, |l| l.pages),
        later_row: later.as_ref().map_or(0, |known| known.version),
        later: later.map(|known| encode(&known.row)).unwrap_or_default(),
        others,
        name: shared.settings.name.to_string(),
        clock: shared.local_epoch().map_or(0, |_| clock::now()),
    }
}

/// Tells the owner in this process that the pinging box confirms it, if it does.
fn forward_confirmation(shared: &Shared, ping: &PingRequest) {
    let own = shared.local_epoch().filter(|epoch| *epoch == ping.epoch);
    // Boxes of the previous release confirm nothing.
    if let (Some(epoch), Ok(address), 1..) = (own, ping.address.parse(), ping.confirms) {
        shared.send_to_owner(Message::Confirmed(epoch, address, ping.confirms));
    }
}

/// Adds the pinging box's address to the known ones, and returns addresses of other boxes if it
/// asked for them.
fn exchange_addresses(shared: &Shared, ping: &PingRequest) -> Vec<String> {
    // Boxes of the previous release send no address.
    let Ok(address) = ping.address.parse() else {
        return Vec::new();
    };
    let mut addresses = shared.peer_addresses();
    addresses.add(address);
    if !ping.others {
        return Vec::new();
    }
    let batch = addresses.next_batch(address);
    batch.iter().map(|a| a.to_string()).collect()
}

/// Serves other boxes until the process ends.
pub async fn serve(listener: TcpListener, bridge: Bridge<Shared>) {
    let service = ClusterServer::new(Service { bridge }).max_decoding_message_size(MAX_MESSAGE);
    rpc::server::serve(listener, Drain::never(), move |request| {
        let mut service = service.clone();
        async move {
            use tower_service::Service;
            let reply = service.call(request).await;
            reply.unwrap_or_else(|never| match never {})
        }
    })
    .await;
}
