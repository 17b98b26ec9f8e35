//! Requests to the boxes over connections that stay open between requests.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::platform::HOST;

/// Read timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Connect timeout of a request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next attempt after an answer that names none.
pub const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Statuses of answers that say that a request was not carried out.
const REFUSALS: [u16; 2] = [429, 503];

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answered with this status and body.
    Status(u16, String),
    /// Refused with this status; the next attempt should follow after this time.
    Refused(u16, Duration),
    /// No connection was made, so the request was not sent.
    NotSent,
    /// The request may have been sent, but no answer was received.
    Lost,
}

/// A caller's connections to the boxes.
pub struct Client {
    addresses: Vec<SocketAddr>,
    /// Idle connections by the index of the box.
    idle: BTreeMap<usize, TcpStream>,
}

impl Client {
    /// Returns a client without connections.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            addresses: addresses.to_vec(),
            idle: BTreeMap::new(),
        }
    }

    /// Sends a request to the box of index `number` modulo the number of boxes.
    pub fn call(&mut self, number: usize, method: &str, path: &str, body: &str) -> Answer {
        let index = number % self.addresses.len();
        let Some(mut stream) = self.connection(index) else {
            return Answer::NotSent;
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-deadline-ms: 3000\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        let Some(reply) = exchange(&mut stream, &(head + body)) else {
            return Answer::Lost;
        };
        if reply.keeps_open {
            self.idle.insert(index, stream);
        }
        reply.answer
    }

    /// Returns an idle connection to a box that the box has not closed, or a new one.
    fn connection(&mut self, index: usize) -> Option<TcpStream> {
        let idle = self.idle.remove(&index).filter(is_open);
        idle.or_else(|| TcpStream::connect_timeout(&self.addresses[index], CONNECT_TIMEOUT).ok())
    }
}

/// Returns false when the other side has closed an idle connection.
fn is_open(stream: &TcpStream) -> bool {
    let blocking = |on: bool| stream.set_nonblocking(!on).is_ok();
    let silent = blocking(false)
        && stream
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    blocking(true) && silent
}

struct Reply {
    answer: Answer,
    keeps_open: bool,
}

fn exchange(stream: &mut TcpStream, request: &str) -> Option<Reply> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut received = Vec::new();
    let head_end = loop {
        if let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        read_more(stream, &mut received)?;
    };
    let head = std::str::from_utf8(&received[..head_end])
        .ok()?
        .to_ascii_lowercase();
    let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = header(&head, "content-length")?.parse().ok()?;
    while received.len() < head_end + 4 + length {
        read_more(stream, &mut received)?;
    }
    let body = String::from_utf8_lossy(&received[head_end + 4..]).into_owned();
    let seconds = header(&head, "retry-after").and_then(|s| s.parse().ok());
    let answer = match REFUSALS.contains(&status) {
        true => Answer::Refused(status, seconds.map_or(RETRY_DELAY, Duration::from_secs)),
        false => Answer::Status(status, body),
    };
    let keeps_open = header(&head, "connection") != Some("close");
    Some(Reply { answer, keeps_open })
}

fn read_more(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4_096];
    let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
    received.extend_from_slice(&buffer[..count]);
    Some(())
}

/// Returns the value of a header in a head in lower case.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let named = |line: &'a str| line.strip_prefix(name)?.strip_prefix(':');
    head.lines().find_map(named).map(str::trim)
}
