//! HTTP/1.1 towards callers and endpoints, with bounded heads and bodies.

pub mod client;
mod read_limit;
pub mod server;

#[cfg(test)]
mod tests;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri, Version};
use monoio_http::common::body::{Body, BodyExt};
use monoio_http::common::error::HttpError;
use monoio_http::h1::payload::{FixedPayload, Payload};

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Header fields without those that belong to one connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Header fields without those that belong to one connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Reply {
    /// Returns an answer with a plain text body.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from(text.into()),
        }
    }
}

/// Why a message could not be read or sent.
#[derive(Debug)]
pub enum WebError {
    /// No byte of the request left.
    NotSent(String),
    /// No byte of the request left, as the caller's check forbade it.
    Held,
    /// The request may have been run.
    Lost(String),
    /// The peer broke the protocol or a limit.
    Bad(String),
    /// The message is larger than the limit.
    TooLarge,
}

impl std::fmt::Display for WebError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Held => f.write_str("not sent: held back"),
            Self::Lost(reason) => write!(f, "answer lost: {reason}"),
            Self::Bad(reason) => write!(f, "malformed message: {reason}"),
            Self::TooLarge => f.write_str("message larger than the limit"),
        }
    }
}

impl std::error::Error for WebError {}

/// Header fields that belong to one connection (RFC 9110, 7.6.1).
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

fn strip(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(http::header::CONTENT_LENGTH);
}

/// Checks that the length of a body is given once and plainly (RFC 9112, 6.3).
fn length(headers: &HeaderMap) -> Result<Option<u64>, WebError> {
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    let first = lengths.next();
    let chunked = headers.contains_key(http::header::TRANSFER_ENCODING);
    if lengths.next().is_some() || (first.is_some() && chunked) {
        return Err(WebError::Bad("ambiguous length".into()));
    }
    let Some(first) = first else {
        return Ok(None);
    };
    let text = first.to_str().unwrap_or("");
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let value = text.parse().ok().filter(|_| digits);
    value
        .map(Some)
        .ok_or_else(|| WebError::Bad("content-length is no number".into()))
}

fn payload(body: Bytes) -> Payload {
    if body.is_empty() {
        Payload::None
    } else {
        Payload::Fixed(FixedPayload::new(body))
    }
}

async fn whole<B>(body: B) -> Result<Bytes, HttpError>
where
    B: Body<Data = Bytes, Error = HttpError>,
{
    body.bytes().await
}

fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let close = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.to_ascii_lowercase().contains("close"));
    version == Version::HTTP_11 && !close
}
