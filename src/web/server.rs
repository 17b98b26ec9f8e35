//! Serves HTTP/1.1 connections.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::{Either, select};
use http::{StatusCode, Version};
use monoio::io::sink::{Sink, SinkExt};
use monoio::io::stream::Stream;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use monoio_http::common::response::Response;
use monoio_http::h1::codec::ServerCodec;
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::payload::Payload;

use super::read_limit::{Allowance, Limited};
use super::{Reply, Request, WebError, keeps_alive, length, payload, strip, whole};
use crate::utils::clock::Millis;
use crate::utils::drain::Drain;
use crate::utils::listen;

/// How long a connection without a request stays open once the end has begun:
/// its next request may be on its way.
const LAST_CALL: Duration = Duration::from_millis(500);

/// Bounds of what a server reads and holds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Connections held at once.
    pub connections: usize,
    /// Milliseconds that a connection may stay idle or a message incomplete.
    pub idle: Millis,
}

/// Accepts connections until `drain` has begun and hands each request to `handle`.
///
/// A request that has begun by then is read, answered and its connection closed.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, drain: Drain, handle: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let handle = Rc::new(handle);
    let open = Rc::new(Cell::new(0));
    let begin = |stream: TcpStream| {
        if open.get() >= limits.connections {
            log::warn!(target: "web", "connection refused: limit of {} reached", limits.connections);
            return;
        }
        open.set(open.get() + 1);
        let (handle, open, drain) = (handle.clone(), open.clone(), drain.clone());
        monoio::spawn(async move {
            if let Err(e) = connection(stream, limits, drain, handle).await {
                log::debug!(target: "web", "connection ended: {e}");
            }
            open.set(open.get() - 1);
        });
    };
    listen::accept_all(listener, &drain, begin).await;
}

async fn connection<H, F>(
    stream: TcpStream,
    limits: Limits,
    drain: Drain,
    handle: Rc<H>,
) -> Result<(), WebError>
where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    stream
        .set_nodelay(true)
        .map_err(|e| WebError::Bad(e.to_string()))?;
    let left = Allowance::new(limits.head);
    let mut codec = ServerCodec::new(Limited::new(stream, left.clone()));
    loop {
        left.reset(limits.head);
        let outcome = match next(&mut codec, &left, limits, &drain).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) => return Ok(()),
            Err(e) => {
                let reply = refusal(&e);
                send(&mut codec, reply, false).await?;
                return Err(e);
            }
        };
        let (request, alive) = outcome;
        let reply = handle(request).await;
        let alive = alive && keeps_alive(Version::HTTP_11, &reply.headers) && !drain.has_begun();
        send(&mut codec, reply, alive).await?;
        if !alive {
            let closed = Sink::<Response>::close(&mut codec).await;
            return closed.map_err(|e| WebError::Bad(e.to_string()));
        }
    }
}

/// Reads the next request; none when the peer has closed, was idle for too
/// long, or had sent nothing of it by the end of the last call.
async fn next(
    codec: &mut ServerCodec<Limited>,
    left: &Allowance,
    limits: Limits,
    drain: &Drain,
) -> Result<Option<(Request, bool)>, WebError> {
    let idle = Duration::from_millis(limits.idle);
    let mut reading = pin!(timeout(idle, read(codec, left, limits)));
    if let Either::Left((outcome, _)) = select(reading.as_mut(), pin!(drain.begun())).await {
        return outcome.unwrap_or(Ok(None));
    }
    if let Either::Left((outcome, _)) = select(reading.as_mut(), pin!(sleep(LAST_CALL))).await {
        return outcome.unwrap_or(Ok(None));
    }
    if left.whole(limits.head) {
        return Ok(None);
    }
    reading.await.unwrap_or(Ok(None))
}

async fn read(
    codec: &mut ServerCodec<Limited>,
    left: &Allowance,
    limits: Limits,
) -> Result<Option<(Request, bool)>, WebError> {
    let request = match codec.next().await {
        None => return Ok(None),
        Some(Ok(request)) => request,
        Some(Err(_)) if left.spent() => return Err(WebError::TooLarge),
        Some(Err(e)) => return Err(WebError::Bad(e.to_string())),
    };
    let (mut head, body) = request.into_parts();
    let size = length(&head.headers)?;
    if size.is_some_and(|size| size > limits.body as u64) {
        return Err(WebError::TooLarge);
    }
    left.reset(limits.body + limits.head);
    codec.fill_payload().await.map_err(|e| bad(left, e))?;
    let body = whole(body).await.map_err(|e| bad(left, e))?;
    if body.len() > limits.body {
        return Err(WebError::TooLarge);
    }
    let alive = keeps_alive(head.version, &head.headers);
    strip(&mut head.headers);
    let request = Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    Ok(Some((request, alive)))
}

fn bad(left: &Allowance, e: impl std::fmt::Display) -> WebError {
    if left.spent() {
        return WebError::TooLarge;
    }
    WebError::Bad(e.to_string())
}

/// Returns the answer to a request that could not be read, and so was not run.
fn refusal(e: &WebError) -> Reply {
    let status = match e {
        WebError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut reply = Reply::text(status, format!("{e}\n"));
    let verdict = http::HeaderValue::from_static("not-run");
    reply.headers.insert(crate::constants::VERDICT, verdict);
    reply
}

async fn send(codec: &mut ServerCodec<Limited>, reply: Reply, alive: bool) -> Result<(), WebError> {
    let mut response = Response::<Payload>::new(payload(reply.body));
    *response.status_mut() = reply.status;
    *response.version_mut() = Version::HTTP_11;
    *response.headers_mut() = reply.headers;
    if !alive {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    let sent = codec.send_and_flush(response).await;
    sent.map_err(|e| WebError::Lost(e.to_string()))
}
