//! Sends requests to endpoints, forwards them to other boxes, and reports the outcomes to the
//! engine.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};

use super::driver::{Context, Message, TracedRequest};
use super::peers;
use crate::cell::SendOutcome;
use crate::constants;
use crate::engine::{Event, ForwardOutcome};
use crate::request::Meta;
use crate::trace;
use crate::utils::Name;
use crate::utils::clock::{self, Millis};
use crate::web::{self, Reply, WebError};

/// Parameters of a send to an endpoint.
pub(super) struct EndpointSend {
    /// Number of the request on this box.
    pub ticket: u64,
    /// Cell of the worker.
    pub cell: Name,
    /// Epoch under which this box acts for the cell.
    pub epoch: u64,
    /// Address of the endpoint.
    pub http: SocketAddr,
    /// Milliseconds until the deadline of the request.
    pub time_left: Millis,
}

/// Sends a request to an endpoint and reports the outcome, unless this box may no longer send.
pub(super) async fn send_to_endpoint(
    context: Rc<Context>,
    request: Rc<TracedRequest>,
    send: EndpointSend,
) {
    let ticket = send.ticket;
    let hop = request.trace.next();
    let start = clock::micros();
    let outgoing = endpoint_request(&context, &request, &hop, &send);
    let check = || context.may_send();
    let result = context
        .pool
        .call(send.http, outgoing, send.time_left, check)
        .await;
    let until = clock::now() + send.time_left;
    let (outcome, reply) = match result {
        Ok(reply) if is_not_run(&reply) => (SendOutcome::NotRun, None),
        Ok(reply) => (SendOutcome::Answered, Some(reply)),
        Err(WebError::CheckFailed) => (SendOutcome::LeaseLapsed, None),
        Err(e) if e.is_unsent() => {
            log::debug!(target: "entry", "endpoint {} not reached: {e}", send.http);
            (SendOutcome::NotRun, None)
        }
        Err(e) => {
            log::debug!(target: "entry", "request to endpoint {} failed: {e}", send.http);
            (SendOutcome::Unknown { until }, None)
        }
    };
    let verdict = match outcome {
        SendOutcome::Answered => "answer",
        SendOutcome::NotRun | SendOutcome::LeaseLapsed => "not-run",
        SendOutcome::Unknown { .. } => "unknown",
    };
    hop.end("endpoint", clock::micros() - start, verdict);
    let event = Event::SendEnded { ticket, outcome };
    report_end(&context, ticket, reply, event);
}

/// Reports the end of a send or forward to the engine, with the reply if one was received.
fn report_end(context: &Context, ticket: u64, reply: Option<Reply>, event: Event) {
    let message = match reply {
        Some(reply) => Message::Answered {
            ticket,
            reply,
            event,
        },
        None => Message::Event(event),
    };
    context.send(message);
}

/// Returns true if the worker refused the request before running it.
fn is_not_run(reply: &Reply) -> bool {
    let verdict = reply.headers.get(constants::VERDICT);
    verdict.is_some_and(|v| v == "not-run")
}

/// Returns the request with the headers that the endpoint checks before it runs the request.
fn endpoint_request(
    context: &Context,
    request: &TracedRequest,
    hop: &trace::Context,
    send: &EndpointSend,
) -> web::Request {
    let mut outgoing = request.request.clone();
    let remaining = send.time_left.min(context.send_time_left());
    let not_after = clock::wall() + remaining;
    let headers = &mut outgoing.headers;
    set_header(headers, constants::CELL, &send.cell);
    set_number_header(headers, constants::EPOCH, send.epoch);
    set_number_header(headers, constants::TICKET, send.ticket);
    set_number_header(headers, constants::NOT_AFTER, not_after);
    set_number_header(headers, constants::DEADLINE, send.time_left);
    set_header(headers, constants::TRACEPARENT, &hop.header());
    outgoing
}

/// Sets a header; does nothing if the value is not valid in one.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn set_number_header(headers: &mut HeaderMap, name: &'static str, value: u64) {
    headers.insert(name, HeaderValue::from(value));
}

/// Forwards a request to another box and reports the outcome.
pub(super) async fn forward(
    context: Rc<Context>,
    request: Rc<TracedRequest>,
    ticket: u64,
    to: SocketAddr,
    meta: Meta,
    target: peers::ForwardTarget,
) {
    let hop = request.trace.next();
    let start = clock::micros();
    let admitted = target.dedup_shard.is_some();
    // The owner of the dedup shard must not forward the request after its lease has lapsed.
    let is_owner = admitted && target.cell.is_some();
    let (outcome, reply) = match is_owner && !context.may_send() {
        true => (peers::lease_lapsed(&meta), None),
        false => peers::forward(&context, to, &request.request, &hop, &meta, target).await,
    };
    let verdict = match outcome {
        ForwardOutcome::Answered => "answer",
        ForwardOutcome::NotRun { .. } => "not-run",
        ForwardOutcome::Unknown => "unknown",
    };
    hop.end("forward", clock::micros() - start, verdict);
    let event = Event::ForwardEnded { ticket, outcome };
    report_end(&context, ticket, reply, event);
}

/// Converts header fields to their messages.
pub fn headers_to_proto(headers: &HeaderMap) -> Vec<crate::proto::Header> {
    headers
        .iter()
        .map(|(name, value)| crate::proto::Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
