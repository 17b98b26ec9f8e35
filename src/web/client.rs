//! HTTP/1.1 connections to endpoints, kept for reuse.

use std::cell::RefCell;
use std::collections::HashMap;
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

use super::read_limit::{Allowance, Limited};
use super::{Reply, Request, WebError, keeps_alive, length, payload, strip, whole};
use crate::utils::clock::Millis;
use crate::utils::sockets;

/// Idle connections by address, and the largest answer that is read.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<Idle>>,
    limit: usize,
}

/// Connections that wait for their next call.
struct Idle {
    by_address: HashMap<SocketAddr, Vec<Connection>>,
    /// Connections in all.
    count: usize,
    /// So many in all, a second one to an address is not kept.
    most: usize,
}

impl Idle {
    fn put(&mut self, address: SocketAddr, connection: Connection) {
        let kept = self.by_address.entry(address).or_default();
        if kept.is_empty() || self.count < self.most {
            kept.push(connection);
            self.count += 1;
        }
    }

    fn pop(&mut self, address: SocketAddr) -> Option<Connection> {
        let connection = self.by_address.get_mut(&address)?.pop()?;
        self.count -= 1;
        Some(connection)
    }

    fn clear(&mut self, address: SocketAddr) {
        let gone = self.by_address.remove(&address);
        self.count -= gone.map_or(0, |connections| connections.len());
    }
}

struct Connection {
    fd: i32,
    left: Allowance,
    encoder: GenericEncoder<OwnedWriteHalf<Limited>>,
    decoder: ResponseDecoder<OwnedReadHalf<Limited>>,
}

impl Pool {
    /// Returns an empty pool whose answers may have `limit` bytes each.
    pub fn new(limit: usize) -> Self {
        let idle = Idle {
            by_address: HashMap::new(),
            count: 0,
            most: usize::MAX,
        };
        Self {
            idle: Rc::new(RefCell::new(idle)),
            limit,
        }
    }

    /// Keeps so many idle connections at most, but for one to each address.
    pub fn keeping(self, most: usize) -> Self {
        self.idle.borrow_mut().most = most;
        self
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.borrow().count
    }

    /// Closes idle connections to an address.
    pub fn clear(&self, address: SocketAddr) {
        self.idle.borrow_mut().clear(address);
    }

    /// Sends a request and reads the whole answer within `limit` milliseconds.
    ///
    /// `check` runs right before the first byte leaves; false sends nothing.
    /// Only [`WebError::NotSent`] is proof that the endpoint got nothing. A
    /// connection is kept only after a whole answer, so that no later request
    /// can get a late one.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Millis,
        check: impl Fn() -> bool,
    ) -> Result<Reply, WebError> {
        let span = Duration::from_millis(limit);
        let connection = match timeout(span, self.take(address)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(e)) => return Err(WebError::NotSent(e.to_string())),
            Err(_) => return Err(WebError::NotSent("connect timed out".into())),
        };
        if !check() {
            self.put(address, connection);
            return Err(WebError::Held);
        }
        let result = timeout(span, exchange(connection, request, self.limit)).await;
        let Ok(result) = result else {
            log::debug!(target: "web", "event=unanswered address={address} limit_ms={limit}");
            crate::metrics::count_unanswered_call("http");
            // What silenced this connection may have silenced all of its age.
            self.clear(address);
            return Err(WebError::Lost("timed out".into()));
        };
        let (reply, connection) = result?;
        if let Some(connection) = connection {
            self.put(address, connection);
        }
        Ok(reply)
    }

    async fn take(&self, address: SocketAddr) -> std::io::Result<Connection> {
        loop {
            let kept = self.idle.borrow_mut().pop(address);
            match kept {
                Some(connection) if usable(connection.fd) => return Ok(connection),
                Some(_) => continue,
                None => return open(address, self.limit).await,
            }
        }
    }

    fn put(&self, address: SocketAddr, connection: Connection) {
        self.idle.borrow_mut().put(address, connection);
    }
}

/// Returns true when an idle connection is open and has nothing to read.
fn usable(fd: i32) -> bool {
    let mut byte = 0u8;
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    // SAFETY: `fd` belongs to a connection that is held, `byte` is writable.
    let count = unsafe { libc::recv(fd, (&raw mut byte).cast(), 1, flags) };
    let blocked = std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock;
    count < 0 && blocked
}

async fn open(address: SocketAddr, limit: usize) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    sockets::enable_keepalive(&stream);
    let fd = stream.as_raw_fd();
    let left = Allowance::new(limit);
    let (reader, writer) = Limited::new(stream, left.clone()).into_split();
    Ok(Connection {
        fd,
        left,
        encoder: GenericEncoder::new(writer),
        decoder: ResponseDecoder::new(reader),
    })
}

async fn exchange(
    mut connection: Connection,
    request: Request,
    limit: usize,
) -> Result<(Reply, Option<Connection>), WebError> {
    let lost = |e: &dyn std::fmt::Display| WebError::Lost(e.to_string());
    let bodiless = request.method == Method::HEAD;
    let mut message = http::Request::<Payload>::new(payload(request.body));
    *message.method_mut() = request.method;
    *message.uri_mut() = request.uri;
    *message.version_mut() = Version::HTTP_11;
    *message.headers_mut() = request.headers;
    connection.left.reset(limit);
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
    let size = length(&head.headers)?;
    // Without a length nothing tells a whole answer from a cut one.
    if !empty && !chunked && size.is_none() {
        return Err(WebError::Lost("answer without a length".into()));
    }
    if !bodiless {
        let filled = connection.decoder.fill_payload().await;
        filled.map_err(|e| lost(&e))?;
    }
    let body = match bodiless {
        true => bytes::Bytes::new(),
        false => whole(body).await.map_err(|e| lost(&e))?,
    };
    let reusable = keeps_alive(head.version, &head.headers) && !bodiless;
    strip(&mut head.headers);
    let reply = Reply {
        status: head.status,
        headers: head.headers,
        body,
    };
    Ok((reply, reusable.then_some(connection)))
}
