//! HTTP/1.1 client with a pool of reusable connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode, Version};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_http::h1::codec::decoder::{FillPayload, ResponseDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::Payload;

use super::read_limit::{LimitedStream, ReadBudget};
use super::{
    Reply, Request, WebError, content_length, keeps_alive, read_body, remove_connection_headers,
    to_payload,
};
use crate::utils::clock::Millis;
use crate::utils::sockets;

/// Pool of HTTP/1.1 connections by address.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<IdleConnections>>,
    /// Largest reply in bytes, head and body together.
    max_reply: usize,
}

/// Idle connections by address.
struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<Connection>>,
    /// Number of idle connections to all addresses.
    count: usize,
    /// Number of idle connections above which only one is kept per address.
    max: usize,
}

impl IdleConnections {
    fn insert(&mut self, address: SocketAddr, connection: Connection) {
        let idle = self.by_address.entry(address).or_default();
        if idle.is_empty() || self.count < self.max {
            idle.push(connection);
            self.count += 1;
        }
    }

    fn pop(&mut self, address: SocketAddr) -> Option<Connection> {
        let connection = self.by_address.get_mut(&address)?.pop()?;
        self.count -= 1;
        Some(connection)
    }

    fn remove_all(&mut self, address: SocketAddr) {
        let removed = self.by_address.remove(&address);
        self.count -= removed.map_or(0, |connections| connections.len());
    }
}

/// Open connection with its codec.
struct Connection {
    fd: i32,
    budget: ReadBudget,
    encoder: GenericEncoder<OwnedWriteHalf<LimitedStream>>,
    decoder: ResponseDecoder<OwnedReadHalf<LimitedStream>>,
}

impl Pool {
    /// Returns an empty pool that accepts replies of at most `max_reply` bytes.
    pub fn new(max_reply: usize) -> Self {
        let idle = IdleConnections {
            by_address: HashMap::new(),
            count: 0,
            max: usize::MAX,
        };
        Self {
            idle: Rc::new(RefCell::new(idle)),
            max_reply,
        }
    }

    /// Limits the idle connections to `max`; one per address is kept even above the limit.
    pub fn with_max_idle(self, max: usize) -> Self {
        self.idle.borrow_mut().max = max;
        self
    }

    /// Returns the number of idle connections to all addresses.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().count
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove_all(address);
    }

    /// Sends a request and reads the whole reply.
    ///
    /// Connecting may take `limit` milliseconds, and so may sending and reading. `check` runs
    /// right before the first byte is sent; nothing is sent if it returns false. Only an error
    /// for which [`WebError::is_unsent`] is true proves that the peer received nothing.
    /// A connection is reused only after a whole reply, so that a late reply cannot be taken for
    /// that of another request.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Millis,
        check: impl Fn() -> bool,
    ) -> Result<Reply, WebError> {
        let duration = Duration::from_millis(limit);
        let connection = match timeout(duration, self.acquire(address)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                return Err(WebError::NotListening);
            }
            Ok(Err(e)) => return Err(WebError::NotSent(e.to_string())),
            Err(_) => return Err(WebError::NotSent("connect timed out".into())),
        };
        if !check() {
            self.release(address, connection);
            return Err(WebError::CheckFailed);
        }
        let result = timeout(duration, round_trip(connection, request, self.max_reply)).await;
        let Ok(result) = result else {
            log::debug!(target: "web", "event=unanswered address={address} limit_ms={limit}");
            crate::metrics::count_unanswered_call("http");
            // Whatever silenced this connection may affect all connections opened before now.
            self.close_idle(address);
            return Err(WebError::Lost("timed out".into()));
        };
        let (reply, connection) = result?;
        if let Some(connection) = connection {
            self.release(address, connection);
        }
        Ok(reply)
    }

    /// Returns an idle connection, or opens a new one if no idle connection is usable.
    async fn acquire(&self, address: SocketAddr) -> std::io::Result<Connection> {
        loop {
            let idle = self.idle.borrow_mut().pop(address);
            match idle {
                Some(connection) if is_usable(connection.fd) => return Ok(connection),
                Some(_) => continue,
                None => return connect(address, self.max_reply).await,
            }
        }
    }

    fn release(&self, address: SocketAddr, connection: Connection) {
        self.idle.borrow_mut().insert(address, connection);
    }
}

/// Returns true if an idle connection is open and has nothing to read.
fn is_usable(fd: i32) -> bool {
    let mut byte = 0u8;
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    // SAFETY: `fd` belongs to an open connection that the caller owns, and `byte` is writable.
    let count = unsafe { libc::recv(fd, (&raw mut byte).cast(), 1, flags) };
    let blocked = std::io::Error::last_os_error().kind() == ErrorKind::WouldBlock;
    count < 0 && blocked
}

async fn connect(address: SocketAddr, max_reply: usize) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    sockets::enable_keepalive(&stream);
    let fd = stream.as_raw_fd();
    let budget = ReadBudget::new(max_reply);
    let (reader, writer) = LimitedStream::new(stream, budget.clone()).into_split();
    Ok(Connection {
        fd,
        budget,
        encoder: GenericEncoder::new(writer),
        decoder: ResponseDecoder::new(reader),
    })
}

/// Sends a request, reads its reply and returns the connection if it may be reused.
async fn round_trip(
    mut connection: Connection,
    request: Request,
    max_reply: usize,
) -> Result<(Reply, Option<Connection>), WebError> {
    let lost = |e: &dyn std::fmt::Display| WebError::Lost(e.to_string());
    let bodiless = request.method == Method::HEAD;
    let mut message = http::Request::<Payload>::new(to_payload(request.body));
    *message.method_mut() = request.method;
    *message.uri_mut() = request.uri;
    *message.version_mut() = Version::HTTP_11;
    *message.headers_mut() = request.headers;
    connection.budget.reset(max_reply);
    let sent = connection.encoder.send_and_flush(message).await;
    sent.map_err(|e| lost(&e))?;
    let response = match connection.decoder.next().await {
        None => return Err(WebError::Lost("connection closed".into())),
        Some(response) => response.map_err(|e| lost(&e))?,
    };
    let (mut head, body) = response.into_parts();
    let empty = bodiless
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    let chunked = head.headers.contains_key(http::header::TRANSFER_ENCODING);
    let size = content_length(&head.headers)?;
    // Without a length a truncated reply cannot be told from a whole one.
    if !empty && !chunked && size.is_none() {
        return Err(WebError::Lost(
            "reply without content-length or transfer-encoding".into(),
        ));
    }
    if !bodiless {
        let filled = connection.decoder.fill_payload().await;
        filled.map_err(|e| lost(&e))?;
    }
    let body = match bodiless {
        true => bytes::Bytes::new(),
        false => read_body(body).await.map_err(|e| lost(&e))?,
    };
    let reusable = keeps_alive(head.version, &head.headers) && !bodiless;
    remove_connection_headers(&mut head.headers);
    let reply = Reply {
        status: head.status,
        headers: head.headers,
        body,
    };
    Ok((reply, reusable.then_some(connection)))
}
