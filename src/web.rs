//! HTTP/1.1 server and client for callers and endpoints, with limits on heads and bodies.

pub mod account;
pub mod callers;
pub mod client;
mod read_limit;
mod reader;
pub mod server;

#[cfg(test)]
mod tests;

use std::rc::Rc;

use bytes::Bytes;
use callers::Charge;
use http::{HeaderMap, Method, StatusCode, Uri, Version};
use monoio_http::common::body::{Body, BodyExt};
use monoio_http::common::error::HttpError;
use monoio_http::h1::payload::{FixedPayload, Payload};

/// HTTP request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Header fields, without those that apply to a single connection.
    pub headers: HeaderMap,
    /// Message body.
    pub body: Bytes,
    /// Memory that the request holds in the account of its callers; `None` for requests of this
    /// process.
    pub charge: Option<Rc<Charge>>,
}

/// HTTP reply with its whole body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Header fields, without those that apply to a single connection.
    pub headers: HeaderMap,
    /// Message body.
    pub body: Bytes,
}

impl Reply {
    /// Returns a reply whose body is the given text, without header fields.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from(text.into()),
        }
    }
}

/// Error of sending or reading a message.
#[derive(Debug)]
pub enum WebError {
    /// The connection failed before any byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent because no process listens at the address.
    NotListening,
    /// No byte of the request was sent because the check before sending returned false.
    CheckFailed,
    /// The exchange failed after sending had begun; the request may have been run.
    Lost(String),
    /// The message violates the protocol.
    Malformed(String),
    /// The message exceeds the size limit.
    TooLarge,
    /// The message did not arrive in time.
    Slow,
    /// There is no memory for the message, or it made way for others.
    NoRoom,
}

impl std::fmt::Display for WebError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::NotListening => f.write_str("not sent: connection refused"),
            Self::CheckFailed => f.write_str("not sent: the check before sending failed"),
            Self::Lost(reason) => write!(f, "answer lost: {reason}"),
            Self::Malformed(reason) => write!(f, "malformed message: {reason}"),
            Self::TooLarge => f.write_str("message larger than the limit"),
            Self::Slow => f.write_str("message did not arrive in time"),
            Self::NoRoom => f.write_str("too many requests at once"),
        }
    }
}

impl std::error::Error for WebError {}

impl WebError {
    /// Returns true when the peer has certainly received nothing.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::NotListening | Self::CheckFailed
        )
    }
}

/// Header fields that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the header fields of a single connection and the body length, which the encoder sets
/// again.
fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(http::header::CONTENT_LENGTH);
}

/// Returns the value of `content-length`, or `None` if the field is absent.
///
/// Fails if the field is repeated, not a plain number or combined with `transfer-encoding`: the
/// end of the message would be ambiguous (RFC 9112, section 6.3).
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, WebError> {
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    let first = lengths.next();
    let chunked = headers.contains_key(http::header::TRANSFER_ENCODING);
    if lengths.next().is_some() || (first.is_some() && chunked) {
        return Err(WebError::Malformed("ambiguous body length".into()));
    }
    let Some(first) = first else {
        return Ok(None);
    };
    let text = first.to_str().unwrap_or("");
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let value = text.parse().ok().filter(|_| digits);
    value
        .map(Some)
        .ok_or_else(|| WebError::Malformed("content-length is not a number".into()))
}

fn to_payload(body: Bytes) -> Payload {
    if body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(body))
    }
}

async fn read_body<B>(body: B) -> Result<Bytes, HttpError>
where
    B: Body<Data = Bytes, Error = HttpError>,
{
    body.bytes().await
}

/// Returns true if the connection may be used again after a message with these headers.
fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let close = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.to_ascii_lowercase().contains("close"));
    version == Version::HTTP_11 && !close
}
