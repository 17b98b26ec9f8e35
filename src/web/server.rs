//! HTTP/1.1 server with limits on connections, message sizes, memory and time.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::{Either, select};
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderValue, StatusCode, Version};
use monoio::io::sink::SinkExt;
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use monoio_http::common::response::Response;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::Payload;

use super::callers::{CONNECTION_BYTES, Callers, Cause, Eviction};
use super::reader::RequestReader;
use super::{Reply, Request, WebError, keeps_alive, remove_connection_headers, to_payload};
use crate::utils::clock::Millis;
use crate::utils::drain::Drain;
use crate::utils::{listen, sockets};

/// Time for which an idle connection stays open after the drain has begun, as the caller may
/// already have sent its next request.
const DRAIN_IDLE_GRACE: Duration = Duration::from_millis(500);

/// Time in which a caller that is refused in the middle of its request may read the reply. Closing
/// a connection with unread bytes resets it, and the reply could be lost.
const LINGER: Duration = Duration::from_millis(500);
/// Time in which the reply to an evicted caller must be sent.
const EVICTED_REPLY: Duration = Duration::from_millis(50);
/// Bytes that are read at a time from a caller that is refused.
const DISCARD_SIZE: usize = 16 << 10;
/// Seconds after which a caller that found no room should come back: others have been answered or
/// have timed out by then.
const ROOM_RETRY_AFTER: u64 = 1;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head: usize,
    /// Largest request body in bytes.
    pub body: usize,
    /// Largest number of open connections.
    pub connections: usize,
    /// Bytes that all connections and requests may hold together.
    pub memory: usize,
    /// Milliseconds for which a connection may wait for its next request.
    pub idle: Millis,
    /// Milliseconds within which a whole request must arrive.
    pub request: Millis,
    /// Milliseconds without any byte after which a request that has begun is given up.
    pub stall: Millis,
    /// Milliseconds within which the caller must have taken the answer.
    pub answer: Millis,
}

impl Limits {
    /// Limits that suit the smallest machine.
    pub const DEFAULT: Self = Self {
        head: 16 << 10,
        body: 1 << 20,
        connections: 4_096,
        memory: 48 << 20,
        idle: 60_000,
        request: 15_000,
        stall: 3_000,
        answer: 5_000,
    };

    /// Limits of an address for readiness checks and metrics, whose requests have no body.
    pub const ADMIN: Self = Self {
        body: 0,
        connections: 64,
        memory: 2 * 64 * CONNECTION_BYTES,
        ..Self::DEFAULT
    };
}

/// Serves connections with an account of their own, as [`serve_callers`] does.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, drain: Drain, handle: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    serve_callers(listener, Callers::new(limits), drain, handle).await;
}

/// Accepts connections and passes each request to `handle` until `drain` begins. Connections and
/// requests are kept within the limits of the account.
///
/// A request that has partly arrived by then is read and answered before its connection is closed.
pub async fn serve_callers<H, F>(
    listener: TcpListener,
    callers: Rc<Callers>,
    drain: Drain,
    handle: H,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let handle = Rc::new(handle);
    sockets::limit_buffers(&listener);
    let accept = |stream: TcpStream| {
        let Some((slot, eviction)) = callers.open() else {
            return;
        };
        let reader = RequestReader::new(stream, slot, callers.limits);
        let connection = Connection {
            reader,
            callers: callers.clone(),
            drain: drain.clone(),
        };
        let handle = handle.clone();
        monoio::spawn(async move {
            if let Err(e) = connection.serve(eviction, handle).await {
                log::debug!(target: "web", "connection closed with an error: {e}");
            }
        });
    };
    listen::accept_all(listener, &drain, accept).await;
}

/// The next request, and whether the caller keeps the connection open after it; none if there is no
/// further request.
type ReadOutcome = Result<Option<(Request, bool)>, WebError>;

/// A caller's connection.
struct Connection {
    reader: RequestReader,
    callers: Rc<Callers>,
    drain: Drain,
}

impl Connection {
    /// Answers the requests of the connection until one side closes it, or until it is evicted
    /// while it waits for a request or reads one.
    async fn serve<H, F>(mut self, mut eviction: Eviction, handle: Rc<H>) -> Result<(), WebError>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Reply>,
    {
        let nodelay = self.reader.stream().set_nodelay(true);
        nodelay.map_err(|e| WebError::Malformed(e.to_string()))?;
        loop {
            let Some(read) = self.next_unless(&mut eviction).await else {
                return self.end_evicted().await;
            };
            let (request, keep_alive) = match read {
                Ok(Some(read)) => read,
                Ok(None) => return Ok(()),
                Err(e) => return self.refuse(e, eviction).await,
            };
            let reply = handle(request).await;
            let keep_alive = keep_alive
                && keeps_alive(Version::HTTP_11, &reply.headers)
                && !self.drain.has_begun()
                && !self.reader.slot().is_retired();
            self.send(reply, keep_alive).await?;
            if !keep_alive {
                let closed = self.reader.stream().shutdown().await;
                return closed.map_err(|e| WebError::Malformed(e.to_string()));
            }
            self.reader.slot().end_request();
        }
    }

    /// Reads the next request; `None` if the connection is evicted before its end.
    async fn next_unless(&mut self, eviction: &mut Eviction) -> Option<ReadOutcome> {
        match select(pin!(self.next_request()), eviction).await {
            Either::Left((read, _)) => Some(read),
            Either::Right(_) => None,
        }
    }

    async fn next_request(&mut self) -> ReadOutcome {
        if !self.wait().await {
            return Ok(None);
        }
        let Some(raw) = self.reader.read().await? else {
            return Ok(None);
        };
        let charge = self.reader.slot().end_reading();
        let mut head = raw.head;
        let keep_alive = keeps_alive(head.version, &head.headers);
        remove_connection_headers(&mut head.headers);
        let request = Request {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: raw.body.freeze(),
            charge: Some(Rc::new(charge)),
        };
        Ok(Some((request, keep_alive)))
    }

    /// Waits until the next request begins; returns false if there is none, or none by the end of
    /// [`DRAIN_IDLE_GRACE`].
    async fn wait(&mut self) -> bool {
        let drain = self.drain.clone();
        let mut begun = pin!(self.reader.wait());
        if let Either::Left((begun, _)) = select(begun.as_mut(), pin!(drain.begun())).await {
            return begun;
        }
        match select(begun, pin!(sleep(DRAIN_IDLE_GRACE))).await {
            Either::Left((begun, _)) => begun,
            Either::Right(_) => false,
        }
    }

    /// Tells an evicted caller that its incomplete request was not run, without waiting for it.
    async fn end_evicted(&mut self) -> Result<(), WebError> {
        if self.reader.has_begun() {
            // A caller that takes no answers must not keep the connection, whose place is taken.
            let reply = self.send(error_reply(&WebError::NoRoom), false);
            let _ = timeout(EVICTED_REPLY, reply).await;
        }
        Err(WebError::NoRoom)
    }

    /// Refuses a request that could not be read.
    async fn refuse(&mut self, e: WebError, eviction: Eviction) -> Result<(), WebError> {
        match e {
            WebError::Lost(_) => return Err(e),
            // The account has closed the connection, as when it evicts one for another.
            WebError::NoRoom => return self.end_evicted().await,
            WebError::Slow => self.callers.report(Cause::Slow),
            WebError::TooLarge => self.callers.report(Cause::Size),
            _ => {}
        }
        self.reader.discard_buffers();
        self.send(error_reply(&e), false).await?;
        select(pin!(self.linger()), eviction).await;
        Err(e)
    }

    /// Discards what the caller still sends, until it has had time to read the reply.
    async fn linger(&mut self) {
        let stream = self.reader.stream();
        // The shutdown fails only on a connection that is closed already.
        let _ = stream.shutdown().await;
        let discard = async {
            let mut buffer = vec![0; DISCARD_SIZE];
            loop {
                let (result, returned) = stream.read(buffer).await;
                buffer = returned;
                if !result.is_ok_and(|count| count > 0) {
                    return;
                }
            }
        };
        let _ = timeout(LINGER, discard).await;
    }

    async fn send(&mut self, reply: Reply, keep_alive: bool) -> Result<(), WebError> {
        let mut response = Response::<Payload>::new(to_payload(reply.body));
        *response.status_mut() = reply.status;
        *response.version_mut() = Version::HTTP_11;
        *response.headers_mut() = reply.headers;
        if !keep_alive {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        let limit = Duration::from_millis(self.callers.limits.answer);
        let mut encoder = GenericEncoder::new(self.reader.stream());
        match timeout(limit, encoder.send_and_flush(response)).await {
            Ok(sent) => sent.map_err(|e| WebError::Lost(e.to_string())),
            Err(_) => {
                self.callers.report(Cause::Unread);
                Err(WebError::Lost("the caller does not take the answer".into()))
            }
        }
    }
}

/// Returns the reply to a request that could not be read and therefore was not run.
fn error_reply(e: &WebError) -> Reply {
    let status = match e {
        WebError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        WebError::Slow => StatusCode::REQUEST_TIMEOUT,
        WebError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut reply = Reply::text(status, format!("{e}\n"));
    let verdict = HeaderValue::from_static("not-run");
    reply.headers.insert(crate::constants::VERDICT, verdict);
    if matches!(e, WebError::NoRoom) {
        let seconds = HeaderValue::from(ROOM_RETRY_AFTER);
        reply.headers.insert(RETRY_AFTER, seconds);
    }
    reply
}
