//! Callers that misbehave: crowds of connections whose requests are large, cut up or never end.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Largest body that the boxes accept by default, in bytes.
pub const LARGEST_BODY: usize = 1 << 20;
/// Bytes of each piece of a body that is sent in pieces.
const PIECE: usize = 16 << 10;
/// Bytes of data in a large chunk.
const LARGE_CHUNK: usize = 100_000;
/// Large chunks of one body.
const LARGE_CHUNKS: usize = 10;
/// Bytes that a small chunk takes on the wire: its size, one byte of data and two line ends.
const SMALL_CHUNK: usize = 6;
/// Factor by which bodies over the limit exceed it.
const EXCESS: usize = 16;
/// Rounds in which requests are sent whose answers are not read, a piece on each connection: 4 MB.
const QUERY_ROUNDS: usize = 256;
/// Time after which a write or read that makes no progress is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the connections of a crowd send before they stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing.
    Silent,
    /// A head without its end.
    PartialHead,
    /// A body of the largest accepted size but for its last byte.
    WholeBody,
    /// The same in pieces, one connection after the other.
    BodyInPieces,
    /// A chunked body in large chunks, without its end.
    LargeChunks,
    /// A chunked body in chunks of one byte, without its end.
    SmallChunks,
    /// The head of a body far over the limit, and then the body.
    AnnouncedExcess,
    /// A chunked body far over the limit.
    UnannouncedExcess,
    /// A whole body of the largest accepted size that parses into very many empty steps.
    ManySteps,
    /// Many small requests one after the other, whose answers are not read.
    UnreadAnswers,
}

/// Open connections of misbehaving callers.
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `count` connections to a box, and sends what their kind says. Connections that the
    /// box closes or does not accept are left as they are.
    pub fn gather(address: SocketAddr, kind: Kind, count: usize, target: &Target) -> Self {
        let streams = (0..count).filter_map(|_| connect(address).ok()).collect();
        let mut crowd = Self { streams };
        crowd.send_all(kind, target);
        crowd
    }

    fn send_all(&mut self, kind: Kind, target: &Target) {
        if kind == Kind::UnreadAnswers {
            return self.send_queries(target);
        }
        let pieces = pieces(kind);
        for (stream, number) in self.streams.iter_mut().zip(0..) {
            let head = target.head(kind, number);
            let _ = stream.write_all(head.as_bytes());
        }
        for piece in pieces {
            for stream in &mut self.streams {
                let _ = stream.write_all(&piece);
            }
        }
    }

    /// Sends requests on all connections for as long as they take some.
    fn send_queries(&mut self, target: &Target) {
        let query = format!(
            "GET {} HTTP/1.1\r\nhost: {}\r\n\r\n",
            target.path, target.host
        );
        let queries = query.repeat(PIECE / query.len() + 1);
        for stream in &mut self.streams {
            let _ = stream.set_nonblocking(true);
        }
        let mut sent = vec![0; self.streams.len()];
        for _ in 0..QUERY_ROUNDS {
            for (stream, sent) in self.streams.iter_mut().zip(&mut sent) {
                let rest = &queries.as_bytes()[*sent % queries.len()..];
                *sent += stream.write(rest).unwrap_or(0);
            }
        }
    }

    /// Returns the status of the answer on each connection that has one, without waiting.
    pub fn statuses(&mut self) -> Vec<u16> {
        self.streams.iter_mut().filter_map(read_status).collect()
    }
}

/// Where a crowd sends its requests.
pub struct Target {
    pub host: &'static str,
    /// Path of a queue.
    pub path: &'static str,
}

impl Target {
    /// Returns the head of the request with this number, or the part of it that is sent.
    fn head(&self, kind: Kind, number: usize) -> String {
        let Self { host, path } = self;
        let line = format!("POST {path}c{number:015x} HTTP/1.1\r\nhost: {host}\r\n");
        let length = |bytes: usize| format!("{line}content-length: {bytes}\r\n\r\n");
        match kind {
            Kind::Silent | Kind::UnreadAnswers => String::new(),
            Kind::PartialHead => line,
            Kind::WholeBody | Kind::BodyInPieces | Kind::ManySteps => length(LARGEST_BODY),
            Kind::AnnouncedExcess => length(LARGEST_BODY * EXCESS),
            Kind::LargeChunks | Kind::SmallChunks | Kind::UnannouncedExcess => {
                format!("{line}transfer-encoding: chunked\r\n\r\n")
            }
        }
    }
}

/// Returns what is sent after the head, in pieces between which other connections send theirs.
fn pieces(kind: Kind) -> Vec<Vec<u8>> {
    let chunk = |bytes: usize| {
        let mut chunk = format!("{bytes:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + bytes, b' ');
        chunk.extend_from_slice(b"\r\n");
        chunk
    };
    match kind {
        Kind::Silent | Kind::PartialHead | Kind::UnreadAnswers => Vec::new(),
        Kind::WholeBody => vec![vec![b' '; LARGEST_BODY - 1]],
        Kind::BodyInPieces => {
            let mut pieces = vec![vec![b' '; PIECE]; LARGEST_BODY / PIECE];
            pieces.last_mut().map(Vec::pop);
            pieces
        }
        Kind::LargeChunks => vec![chunk(LARGE_CHUNK); LARGE_CHUNKS],
        Kind::SmallChunks => vec![chunk(1).repeat(LARGEST_BODY / SMALL_CHUNK)],
        Kind::AnnouncedExcess => vec![vec![b' '; LARGEST_BODY]; EXCESS],
        Kind::UnannouncedExcess => vec![chunk(LARGE_CHUNK); EXCESS * LARGEST_BODY / LARGE_CHUNK],
        Kind::ManySteps => vec![many_steps()],
    }
}

/// Returns a job of the largest accepted size whose steps are all empty.
fn many_steps() -> Vec<u8> {
    let (begin, end) = ("{\"spec\":\"\",\"steps\":[{}", "]}");
    let steps = (LARGEST_BODY - begin.len() - end.len()) / 3;
    let mut text = begin.to_string() + &",{}".repeat(steps) + end;
    text += &" ".repeat(LARGEST_BODY - text.len());
    text.into_bytes()
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, STALL_TIMEOUT)?;
    stream.set_write_timeout(Some(STALL_TIMEOUT))?;
    stream.set_read_timeout(Some(STALL_TIMEOUT))?;
    Ok(stream)
}

/// Returns the status of an answer that has arrived.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut buffer = [0; 1_024];
    stream.set_nonblocking(true).ok()?;
    let count = match stream.read(&mut buffer) {
        Ok(count) => count,
        Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
        Err(_) => return None,
    };
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}
