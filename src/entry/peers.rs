//! Calls between boxes: the client functions and the gRPC service.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::oneshot;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use monoio::net::TcpListener;
use tonic::{Request, Response, Status};

use super::dispatch::headers_to_proto;
use super::driver::{Context, Message, RequestOutcome, TracedRequest};
use super::{convert, operators};
use crate::cell::Reason;
use crate::config::Config;
use crate::engine::{Event, ForwardOutcome, Greeting, Query, Verdict, View};
use crate::proto::{self, operator_server, peer_client::PeerClient, peer_server};
use crate::request::Meta;
use crate::rpc;
use crate::rpc::bridge::Bridge;
use crate::rpc::client::CallError;
use crate::trace;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::drain::Drain;
use crate::web::{self, Reply};

/// Time limit in milliseconds of a call other than a heartbeat or forward. Also the time after
/// which the caller of a request that could not be forwarded may retry.
const CALL_TIMEOUT: Millis = 2_000;
/// Milliseconds after its deadline for which the reply to a forwarded request is awaited.
const DEADLINE_GRACE: Millis = 50;
/// Largest size of a forwarded message without its body, in bytes.
const MESSAGE_OVERHEAD: usize = 1 << 20;

/// Cell and dedup shard for which a request is forwarded.
#[derive(Clone, Debug)]
pub struct ForwardTarget {
    /// Cell in which the request runs; `None` if the receiver is to choose.
    pub cell: Option<Name>,
    /// Dedup shard of the request's id; `None` for a repeatable request.
    pub dedup_shard: Option<Name>,
    /// Epoch of the dedup shard that admitted the request, or 0.
    pub epoch: u64,
}

/// Returns the outcome of a request that is not forwarded because the lease of its dedup shard's
/// owner lapsed.
pub fn lease_lapsed(meta: &Meta) -> ForwardOutcome {
    ForwardOutcome::NotRun {
        reason: Reason::Lapsed,
        retry_after: CALL_TIMEOUT,
        retries: meta.retries,
    }
}

/// Forwards a request to another box.
pub async fn forward(
    context: &Context,
    to: SocketAddr,
    request: &web::Request,
    hop: &trace::Context,
    meta: &Meta,
    target: ForwardTarget,
) -> (ForwardOutcome, Option<Reply>) {
    let message = proto::ForwardRequest {
        meta: Some(convert::meta_to_proto(meta, hop.header())),
        cell: target.cell.map(|c| c.to_string()).unwrap_or_default(),
        guard: target
            .dedup_shard
            .map(|s| s.to_string())
            .unwrap_or_default(),
        epoch: target.epoch,
        method: request.method.to_string(),
        path: request.uri.to_string(),
        headers: headers_to_proto(&request.headers),
        body: request.body.clone(),
    };
    let max_size = context.settings.limits.body + MESSAGE_OVERHEAD;
    let call = |c| async move {
        let mut client = PeerClient::new(c).max_decoding_message_size(max_size);
        client.forward(message).await
    };
    let limit = meta.time_left + DEADLINE_GRACE;
    match context.channel(to).call(limit, call).await {
        Ok(reply) => forward_outcome(reply),
        Err(CallError::NotSent(e)) => {
            log::debug!(target: "peers", "box {to} not reached: {e}");
            let outcome = ForwardOutcome::NotRun {
                reason: Reason::Unreachable,
                retry_after: CALL_TIMEOUT,
                retries: meta.retries,
            };
            (outcome, None)
        }
        Err(e) => {
            log::debug!(target: "peers", "forward to {to} failed: {e}");
            (ForwardOutcome::Unknown, None)
        }
    }
}

/// Returns the outcome of a forward, with the endpoint's reply if there is one.
fn forward_outcome(reply: proto::ForwardReply) -> (ForwardOutcome, Option<Reply>) {
    match reply.verdict() {
        proto::Verdict::Unknown => (ForwardOutcome::Unknown, None),
        proto::Verdict::NotRun => {
            let outcome = ForwardOutcome::NotRun {
                reason: Reason::parse(&reply.reason),
                retry_after: reply.after,
                retries: reply.retries,
            };
            (outcome, None)
        }
        proto::Verdict::Answer => match endpoint_reply(reply) {
            Some(reply) => (ForwardOutcome::Answered, Some(reply)),
            None => (ForwardOutcome::Unknown, None),
        },
    }
}

/// Returns the endpoint's reply, or `None` if its status or a header is invalid.
fn endpoint_reply(reply: proto::ForwardReply) -> Option<Reply> {
    let status = StatusCode::from_u16(u16::try_from(reply.status).ok()?).ok()?;
    Some(Reply {
        status,
        headers: parse_headers(&reply.headers)?,
        body: reply.body,
    })
}

/// Returns the header fields, or `None` if one is invalid.
fn parse_headers(pairs: &[proto::Header]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for pair in pairs {
        let name = HeaderName::from_bytes(pair.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&pair.value).ok()?;
        headers.append(name, value);
    }
    Some(headers)
}

/// Sends a heartbeat to another box; returns its greeting and whether it gives the requested
/// promise.
pub async fn greet(
    context: &Context,
    rpc: SocketAddr,
    greeting: Greeting,
) -> Option<(Greeting, bool)> {
    let message = convert::greeting_to_proto(greeting);
    let call = |c| async move { PeerClient::new(c).greet(message).await };
    let limit = context.settings.intervals.heartbeat.max(100);
    let reply = context.channel(rpc).call(limit, call).await.ok()?;
    let greeting = convert::greeting_from_proto(reply.greeting?).ok()?;
    Some((greeting, reply.promised))
}

/// Fetches the configuration of another box.
pub async fn snapshot(context: &Context, rpc: SocketAddr) -> Option<Config> {
    let call = |c| async move { PeerClient::new(c).snapshot(proto::SnapshotRequest {}).await };
    let reply = context.channel(rpc).call(CALL_TIMEOUT, call).await.ok()?;
    serde_json::from_slice(&reply.config).ok()
}

/// Notifies another box of new job shards and cancelled jobs; a box that misses the notification
/// finds them by itself later.
pub async fn hint(context: &Context, rpc: SocketAddr, cells: Vec<Name>, cancelled: Vec<Name>) {
    let message = proto::HintRequest {
        cells: cells.iter().map(|c| c.to_string()).collect(),
        cancelled: cancelled.iter().map(|c| c.to_string()).collect(),
    };
    let call = |c| async move { PeerClient::new(c).hint(message).await };
    if let Err(e) = context.channel(rpc).call(CALL_TIMEOUT, call).await {
        log::debug!(target: "peers", "hint to {rpc} failed: {e}");
    }
}

/// Implementation of the gRPC service for other boxes.
struct PeerService {
    bridge: Bridge<Context>,
}

#[tonic::async_trait]
impl peer_server::Peer for PeerService {
    async fn forward(
        &self,
        request: Request<proto::ForwardRequest>,
    ) -> Result<Response<proto::ForwardReply>, Status> {
        let request = request.into_inner();
        self.bridge
            .run(move |context| handle_forward(context, request))
            .await
    }

    async fn greet(
        &self,
        request: Request<proto::Greeting>,
    ) -> Result<Response<proto::GreetReply>, Status> {
        let message = request.into_inner();
        self.bridge
            .run(move |context| handle_greeting(context, message))
            .await
    }

    async fn hint(
        &self,
        request: Request<proto::HintRequest>,
    ) -> Result<Response<proto::HintReply>, Status> {
        let message = request.into_inner();
        let work = move |context: Rc<Context>| async move {
            let names = |texts: Vec<String>| texts.into_iter().map(Name::from).collect();
            context.send(Message::Event(Event::Hint {
                cells: names(message.cells),
                cancelled: names(message.cancelled),
            }));
            Ok(proto::HintReply {})
        };
        self.bridge.run(work).await
    }

    async fn snapshot(
        &self,
        _: Request<proto::SnapshotRequest>,
    ) -> Result<Response<proto::SnapshotReply>, Status> {
        let work = |context: Rc<Context>| async move {
            let Some(View::Config(config)) = context.query(Query::Config).await else {
                return Err(Status::unavailable("the box is stopping"));
            };
            Ok(proto::SnapshotReply {
                version: config.version(),
                config: crate::table::encode(&config),
            })
        };
        self.bridge.run(work).await
    }
}

/// Answers a greeting of another box.
async fn handle_greeting(
    context: Rc<Context>,
    message: proto::Greeting,
) -> Result<proto::GreetReply, Status> {
    let sent = message.sent;
    let greeting = convert::greeting_from_proto(message)?;
    let (reply_to, result) = oneshot::channel();
    context.send(Message::Greeting { greeting, reply_to });
    let Ok((greeting, promised)) = result.await else {
        return Err(Status::unavailable("the box is stopping"));
    };
    Ok(proto::GreetReply {
        greeting: Some(convert::greeting_to_proto(greeting)),
        promised,
        sent,
    })
}

/// Answers a request that another box has forwarded.
async fn handle_forward(
    context: Rc<Context>,
    message: proto::ForwardRequest,
) -> Result<proto::ForwardReply, Status> {
    let malformed = || Status::invalid_argument("malformed forwarded request");
    let request = web::Request {
        method: message.method.parse().map_err(|_| malformed())?,
        uri: message.path.parse().map_err(|_| malformed())?,
        headers: parse_headers(&message.headers).ok_or_else(malformed)?,
        charge: None,
        body: message.body,
    };
    let meta = message.meta.ok_or_else(malformed)?;
    let hop = trace::Context::parse(&meta.trace).unwrap_or_else(|| trace::Context::new(false));
    let start = crate::utils::clock::micros();
    let (reply_to, result) = oneshot::channel();
    context.send(Message::Forwarded {
        meta: convert::meta_from_proto(&meta),
        cell: convert::non_empty_name(message.cell),
        dedup_shard: convert::non_empty_name(message.guard),
        epoch: message.epoch,
        request: TracedRequest {
            request,
            trace: hop,
        },
        reply_to,
    });
    let Ok(outcome) = result.await else {
        return Err(Status::unavailable("the box is stopping"));
    };
    let reply = forward_reply(outcome);
    let verdict = match reply.verdict() {
        proto::Verdict::Answer => "answer",
        proto::Verdict::NotRun => "not-run",
        proto::Verdict::Unknown => "unknown",
    };
    hop.end("owner", crate::utils::clock::micros() - start, verdict);
    Ok(reply)
}

/// Returns the message for the outcome of a forwarded request.
fn forward_reply(outcome: RequestOutcome) -> proto::ForwardReply {
    let mut message = proto::ForwardReply {
        retries: outcome.retries,
        ..Default::default()
    };
    match (outcome.verdict, outcome.reply) {
        (Verdict::Answer, Some(reply)) => {
            message.set_verdict(proto::Verdict::Answer);
            message.status = u32::from(reply.status.as_u16());
            message.headers = headers_to_proto(&reply.headers);
            message.body = reply.body;
        }
        (
            Verdict::NotRun {
                reason,
                retry_after,
            },
            _,
        ) => {
            message.set_verdict(proto::Verdict::NotRun);
            message.reason = reason.as_str().into();
            message.after = retry_after;
        }
        (Verdict::Unknown { reason }, _) => message.reason = reason.into(),
        (Verdict::Answer, None) => message.reason = "answer-lost".into(),
    }
    message
}

/// Serves other boxes and operators until `drain` begins; `max_body` limits a request's body.
pub async fn serve(listener: TcpListener, drain: Drain, bridge: Bridge<Context>, max_body: usize) {
    let service = PeerService {
        bridge: bridge.clone(),
    };
    let peers = peer_server::PeerServer::new(service)
        .max_decoding_message_size(max_body + MESSAGE_OVERHEAD);
    let operators = operators::OperatorService::new(bridge);
    let operators = operator_server::OperatorServer::new(operators);
    rpc::server::serve(listener, drain, move |request| {
        let (mut peers, mut operators) = (peers.clone(), operators.clone());
        async move {
            use tower_service::Service;
            let service = request
                .uri()
                .path()
                .split('/')
                .nth(1)
                .unwrap_or("")
                .to_string();
            let reply = match service.as_str() {
                "willowpoint.v1.Peer" => peers.call(request).await,
                "willowpoint.v1.Operator" => operators.call(request).await,
                _ => return rpc::server::unimplemented(),
            };
            reply.unwrap_or_else(|never| match never {})
        }
    })
    .await;
}
