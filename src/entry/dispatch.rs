//! Sends of requests to endpoints and to other boxes, and how they ended.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};

use super::driver::{Context, Load, Message};
use super::peers;
use crate::cell::SendOutcome;
use crate::constants;
use crate::engine::{Event, ForwardOutcome};
use crate::request::Meta;
use crate::trace;
use crate::utils::Name;
use crate::utils::clock::{self, Millis};
use crate::web::{self, Reply, WebError};

/// One send of a request to an endpoint.
pub(super) struct Send {
    /// Number of the request.
    pub ticket: u64,
    /// Cell of the worker.
    pub cell: Name,
    /// Epoch under which this box acts for the cell.
    pub epoch: u64,
    /// Address of the endpoint.
    pub http: SocketAddr,
    /// Milliseconds that the request has left.
    pub time_left: Millis,
}

/// Sends a request to an endpoint and tells how that ended.
pub(super) async fn send_to_worker(context: Rc<Context>, load: Rc<Load>, send: Send) {
    let ticket = send.ticket;
    let hop = load.trace.next();
    let start = clock::micros();
    let request = for_worker(&context, &load, &hop, &send);
    let check = || context.acts();
    let result = context
        .pool
        .call(send.http, request, send.time_left, check)
        .await;
    let until = clock::now() + send.time_left;
    let (outcome, reply) = match result {
        Ok(reply) if refused(&reply) => (SendOutcome::NotRun, None),
        Ok(reply) => (SendOutcome::Answered, Some(reply)),
        Err(WebError::CheckFailed) => (SendOutcome::LeaseLapsed, None),
        Err(WebError::NotSent(e)) => {
            log::debug!(target: "entry", "{} not reached: {e}", send.http);
            (SendOutcome::NotRun, None)
        }
        Err(e) => {
            log::debug!(target: "entry", "{}: {e}", send.http);
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
    tell(&context, ticket, reply, event);
}

/// Tells the task of the decisions how a send ended, with the answer if there is one.
fn tell(context: &Context, ticket: u64, reply: Option<Reply>, event: Event) {
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

fn refused(reply: &Reply) -> bool {
    let verdict = reply.headers.get(constants::VERDICT);
    verdict.is_some_and(|v| v == "not-run")
}

fn for_worker(context: &Context, load: &Load, hop: &trace::Context, send: &Send) -> web::Request {
    let mut request = load.request.clone();
    let wait = send.time_left.min(context.left());
    let not_after = clock::wall() + wait;
    let headers = &mut request.headers;
    set(headers, constants::CELL, &send.cell);
    set_number(headers, constants::EPOCH, send.epoch);
    set_number(headers, constants::TICKET, send.ticket);
    set_number(headers, constants::NOT_AFTER, not_after);
    set_number(headers, constants::DEADLINE, send.time_left);
    set(headers, constants::TRACEPARENT, &hop.header());
    request
}

/// Sets a header to a text that is known to be valid in one.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn set_number(headers: &mut HeaderMap, name: &'static str, value: u64) {
    headers.insert(name, HeaderValue::from(value));
}

/// Hands a request to another box and tells how that ended.
pub(super) async fn forward(
    context: Rc<Context>,
    load: Rc<Load>,
    ticket: u64,
    to: SocketAddr,
    meta: Meta,
    target: peers::Target,
) {
    let hop = load.trace.next();
    let start = clock::micros();
    let admitted = target.dedup_shard.is_some();
    // An owner of a dedup shard whose lease has lapsed must not send the request on.
    let own = admitted && target.cell.is_some();
    let (outcome, reply) = match own && !context.acts() {
        true => (peers::lapsed(&meta), None),
        false => peers::forward(&context, to, &load.request, &hop, &meta, target).await,
    };
    let verdict = match outcome {
        ForwardOutcome::Answered => "answer",
        ForwardOutcome::NotRun { .. } => "not-run",
        ForwardOutcome::Unknown => "unknown",
    };
    hop.end("forward", clock::micros() - start, verdict);
    let event = Event::ForwardEnded { ticket, outcome };
    tell(&context, ticket, reply, event);
}

/// Returns the headers of an answer as pairs for another box.
pub fn pairs(headers: &HeaderMap) -> Vec<crate::proto::Header> {
    headers
        .iter()
        .map(|(name, value)| crate::proto::Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
