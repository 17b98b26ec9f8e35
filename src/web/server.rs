//! HTTP/1.1 server with limits on connections, message sizes and idle time.

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

use super::read_limit::{LimitedStream, ReadBudget};
use super::{
    Reply, Request, WebError, content_length, keeps_alive, read_body, remove_connection_headers,
    to_payload,
};
use crate::utils::clock::Millis;
use crate::utils::drain::Drain;
use crate::utils::listen;

/// Time for which an idle connection stays open after the drain has begun, as the caller may
/// already have sent its next request.
const DRAIN_IDLE_GRACE: Duration = Duration::from_millis(500);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head: usize,
    /// Largest request body in bytes.
    pub body: usize,
    /// Largest number of open connections.
    pub connections: usize,
    /// Milliseconds within which the next whole request must arrive.
    pub idle: Millis,
}

/// Accepts connections and passes each request to `handle` until `drain` begins.
///
/// A request that has partly arrived by then is read and answered before its connection is closed.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, drain: Drain, handle: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let handle = Rc::new(handle);
    let open = Rc::new(Cell::new(0));
    let accept = |stream: TcpStream| {
        if open.get() >= limits.connections {
            log::warn!(target: "web", "connection refused: limit of {} reached", limits.connections);
            return;
        }
        open.set(open.get() + 1);
        let (handle, open, drain) = (handle.clone(), open.clone(), drain.clone());
        monoio::spawn(async move {
            if let Err(e) = serve_connection(stream, limits, drain, handle).await {
                log::debug!(target: "web", "connection closed with an error: {e}");
            }
            open.set(open.get() - 1);
        });
    };
    listen::accept_all(listener, &drain, accept).await;
}

/// Answers the requests of a connection until one side closes it.
async fn serve_connection<H, F>(
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
        .map_err(|e| WebError::Malformed(e.to_string()))?;
    let budget = ReadBudget::new(limits.head);
    let mut codec = ServerCodec::new(LimitedStream::new(stream, budget.clone()));
    loop {
        budget.reset(limits.head);
        let outcome = match next_request(&mut codec, &budget, limits, &drain).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) => return Ok(()),
            Err(e) => {
                let reply = error_reply(&e);
                send_reply(&mut codec, reply, false).await?;
                return Err(e);
            }
        };
        let (request, keep_alive) = outcome;
        let reply = handle(request).await;
        let keep_alive =
            keep_alive && keeps_alive(Version::HTTP_11, &reply.headers) && !drain.has_begun();
        send_reply(&mut codec, reply, keep_alive).await?;
        if !keep_alive {
            let closed = Sink::<Response>::close(&mut codec).await;
            return closed.map_err(|e| WebError::Malformed(e.to_string()));
        }
    }
}

/// Reads the next request, and returns whether the caller keeps the connection open after it.
///
/// Returns `None` if the caller closed the connection, sent no whole request within
/// [`Limits::idle`], or sent nothing by the end of [`DRAIN_IDLE_GRACE`].
async fn next_request(
    codec: &mut ServerCodec<LimitedStream>,
    budget: &ReadBudget,
    limits: Limits,
    drain: &Drain,
) -> Result<Option<(Request, bool)>, WebError> {
    let idle = Duration::from_millis(limits.idle);
    let mut reading = pin!(timeout(idle, read_request(codec, budget, limits)));
    if let Either::Left((outcome, _)) = select(reading.as_mut(), pin!(drain.begun())).await {
        return outcome.unwrap_or(Ok(None));
    }
    if let Either::Left((outcome, _)) =
        select(reading.as_mut(), pin!(sleep(DRAIN_IDLE_GRACE))).await
    {
        return outcome.unwrap_or(Ok(None));
    }
    if budget.is_untouched(limits.head) {
        return Ok(None);
    }
    reading.await.unwrap_or(Ok(None))
}

/// Reads a request within the limits on its head and body; `None` if the caller closed.
async fn read_request(
    codec: &mut ServerCodec<LimitedStream>,
    budget: &ReadBudget,
    limits: Limits,
) -> Result<Option<(Request, bool)>, WebError> {
    let request = match codec.next().await {
        None => return Ok(None),
        Some(Ok(request)) => request,
        Some(Err(_)) if budget.is_exhausted() => return Err(WebError::TooLarge),
        Some(Err(e)) => return Err(WebError::Malformed(e.to_string())),
    };
    let (mut head, body) = request.into_parts();
    let size = content_length(&head.headers)?;
    if size.is_some_and(|size| size > limits.body as u64) {
        return Err(WebError::TooLarge);
    }
    budget.reset(limits.body + limits.head);
    codec
        .fill_payload()
        .await
        .map_err(|e| read_error(budget, e))?;
    let body = read_body(body).await.map_err(|e| read_error(budget, e))?;
    if body.len() > limits.body {
        return Err(WebError::TooLarge);
    }
    let keep_alive = keeps_alive(head.version, &head.headers);
    remove_connection_headers(&mut head.headers);
    let request = Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    Ok(Some((request, keep_alive)))
}

/// Returns the error of a failed read: too large if the read budget caused it.
fn read_error(budget: &ReadBudget, e: impl std::fmt::Display) -> WebError {
    if budget.is_exhausted() {
        return WebError::TooLarge;
    }
    WebError::Malformed(e.to_string())
}

/// Returns the reply to a request that could not be read and therefore was not run.
fn error_reply(e: &WebError) -> Reply {
    let status = match e {
        WebError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut reply = Reply::text(status, format!("{e}\n"));
    let verdict = http::HeaderValue::from_static("not-run");
    reply.headers.insert(crate::constants::VERDICT, verdict);
    reply
}

async fn send_reply(
    codec: &mut ServerCodec<LimitedStream>,
    reply: Reply,
    keep_alive: bool,
) -> Result<(), WebError> {
    let mut response = Response::<Payload>::new(to_payload(reply.body));
    *response.status_mut() = reply.status;
    *response.version_mut() = Version::HTTP_11;
    *response.headers_mut() = reply.headers;
    if !keep_alive {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    let sent = codec.send_and_flush(response).await;
    sent.map_err(|e| WebError::Lost(e.to_string()))
}
