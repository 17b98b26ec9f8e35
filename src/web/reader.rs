//! Reads callers' requests within the limits on their size, their time and their memory.

#[cfg(test)]
mod tests;

use std::time::Duration;

use bytes::{Buf, BytesMut};
use http::request::Parts;
use monoio::buf::SliceMut;
use monoio::io::AsyncReadRent;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::RequestHeadDecoder;

use super::account::Exhausted;
use super::callers::Slot;
use super::server::Limits;
use super::{WebError, content_length};

/// Bytes that are read at a time, at least.
const READ_SIZE: usize = 4 << 10;
/// Bytes that are read at a time at most, into the body of a request.
const MAX_READ_SIZE: usize = 64 << 10;
/// Longest line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Bytes after the data of a chunk, and after the last chunk.
const LINE_END: &[u8] = b"\r\n";

/// A connection from which requests are read.
pub(super) struct RequestReader {
    stream: TcpStream,
    /// Bytes that have been read and are not decoded.
    buffer: BytesMut,
    /// True while a request is being read.
    begun: bool,
    /// Capacity of the buffer of the body that is being read.
    body_capacity: usize,
    slot: Slot,
    limits: Limits,
}

/// A request as it was read.
pub(super) struct RawRequest {
    pub head: Parts,
    pub body: BytesMut,
}

impl RequestReader {
    pub fn new(stream: TcpStream, slot: Slot, limits: Limits) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            begun: false,
            body_capacity: 0,
            slot,
            limits,
        }
    }

    /// Returns the connection, for the answer.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Returns the connection's place in the account of its callers.
    pub fn slot(&self) -> &Slot {
        &self.slot
    }

    /// Returns true while a request is being read.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Drops what was read of a request that is refused.
    pub fn discard_buffers(&mut self) {
        self.buffer = BytesMut::new();
        self.body_capacity = 0;
        self.slot.clear();
    }

    /// Waits until the next request begins; returns false if the caller closes the connection, and
    /// if it sends nothing for [`Limits::idle`] milliseconds.
    pub async fn wait(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        // An idle connection has no buffer.
        self.buffer = BytesMut::new();
        let idle = Duration::from_millis(self.limits.idle);
        let readable = timeout(idle, self.stream.readable(false)).await;
        matches!(readable, Ok(Ok(())))
    }

    /// Reads the request that has begun; `None` if the caller closed before its first byte.
    pub async fn read(&mut self) -> Result<Option<RawRequest>, WebError> {
        self.slot.begin_request();
        (self.begun, self.body_capacity) = (true, 0);
        let limit = Duration::from_millis(self.limits.request);
        let read = timeout(limit, self.read_parts()).await;
        let read = read.unwrap_or(Err(WebError::Slow))?;
        self.begun = false;
        Ok(read)
    }

    async fn read_parts(&mut self) -> Result<Option<RawRequest>, WebError> {
        let Some(head) = self.read_head().await? else {
            return Ok(None);
        };
        let chunked = head.headers.get(http::header::TRANSFER_ENCODING);
        let body = match (content_length(&head.headers)?, chunked) {
            (_, Some(coding)) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                self.read_chunks().await?
            }
            (_, Some(_)) => return Err(WebError::Malformed("unknown transfer-encoding".into())),
            (Some(size), None) => self.read_sized(size).await?,
            (None, None) => BytesMut::new(),
        };
        Ok(Some(RawRequest { head, body }))
    }

    async fn read_head(&mut self) -> Result<Option<Parts>, WebError> {
        let limit = self.limits.head;
        loop {
            let buffered = self.buffer.len();
            match RequestHeadDecoder.decode(&mut self.buffer) {
                Ok(Decoded::Some(head)) => {
                    let size = buffered - self.buffer.len();
                    let fits = (size <= limit).then_some(head);
                    return fits.ok_or(WebError::TooLarge).map(Some);
                }
                Ok(_) if buffered >= limit => return Err(WebError::TooLarge),
                Ok(_) => {}
                Err(e) => return Err(WebError::Malformed(e.to_string())),
            }
            if self.fill(READ_SIZE).await? == 0 {
                return match buffered {
                    0 => Ok(None),
                    _ => Err(WebError::Malformed("unexpected end".into())),
                };
            }
        }
    }

    /// Reads a body of a known size.
    async fn read_sized(&mut self, size: u64) -> Result<BytesMut, WebError> {
        if size > self.limits.body as u64 {
            return Err(WebError::TooLarge);
        }
        let size = size as usize;
        let mut body = BytesMut::new();
        self.append(&mut body, size, size).await?;
        Ok(body)
    }

    /// Reads a chunked body. Chunks are joined as they arrive, so that their number costs nothing.
    async fn read_chunks(&mut self) -> Result<BytesMut, WebError> {
        let mut body = BytesMut::new();
        let mut framing = 0;
        loop {
            let (line, size) = self.read_chunk_size().await?;
            framing += line + LINE_END.len();
            let left = self.limits.body - body.len();
            // All chunks together may take as many bytes of framing as the limits on one message
            // leave beside its body.
            if size > left as u64 || framing > left + self.limits.head {
                return Err(WebError::TooLarge);
            }
            self.append(&mut body, size as usize, self.limits.body)
                .await?;
            self.skip_line_end().await?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads the size of the next chunk; returns it with the length of its line.
    async fn read_chunk_size(&mut self) -> Result<(usize, u64), WebError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((line, size))) => {
                    self.buffer.advance(line);
                    return Ok((line, size));
                }
                Ok(httparse::Status::Partial) if self.buffer.len() < MAX_CHUNK_LINE => {}
                _ => return Err(WebError::Malformed("invalid size of a chunk".into())),
            }
            self.fill_some().await?;
        }
    }

    async fn skip_line_end(&mut self) -> Result<(), WebError> {
        while self.buffer.len() < LINE_END.len() {
            self.fill_some().await?;
        }
        if !self.buffer.starts_with(LINE_END) {
            return Err(WebError::Malformed("invalid end of a chunk".into()));
        }
        self.buffer.advance(LINE_END.len());
        Ok(())
    }

    /// Appends the next `count` bytes to a body that may have `most` bytes in the end.
    async fn append(
        &mut self,
        body: &mut BytesMut,
        count: usize,
        most: usize,
    ) -> Result<(), WebError> {
        let end = body.len() + count;
        loop {
            let buffered = self.buffer.len().min(end - body.len());
            self.grow(body, buffered, most)?;
            body.extend_from_slice(&self.buffer.split_to(buffered));
            let missing = end - body.len();
            if missing == 0 {
                return Ok(());
            }
            self.grow(body, missing.min(READ_SIZE), most)?;
            let room = (body.capacity() - body.len())
                .min(missing)
                .min(MAX_READ_SIZE);
            let count = read_into(&mut self.stream, body, room, self.limits).await?;
            if count == 0 {
                return Err(WebError::Malformed("unexpected end".into()));
            }
        }
    }

    /// Makes room for `count` more bytes in a body that may have `most` bytes in the end.
    fn grow(&mut self, body: &mut BytesMut, count: usize, most: usize) -> Result<(), WebError> {
        if body.capacity() - body.len() >= count {
            return Ok(());
        }
        let capacity = grown_capacity(body.capacity(), body.len() + count, most);
        self.body_capacity = capacity;
        self.slot.resize(self.buffer.capacity() + capacity)?;
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(body);
        *body = grown;
        Ok(())
    }

    /// Reads more bytes of a request into the buffer; the caller has to send some.
    async fn fill_some(&mut self) -> Result<(), WebError> {
        match self.fill(READ_SIZE).await? {
            0 => Err(WebError::Malformed("unexpected end".into())),
            _ => Ok(()),
        }
    }

    /// Reads bytes into the buffer; returns how many.
    async fn fill(&mut self, count: usize) -> Result<usize, WebError> {
        self.buffer.reserve(count);
        self.slot
            .resize(self.buffer.capacity() + self.body_capacity)?;
        read_into(&mut self.stream, &mut self.buffer, count, self.limits).await
    }
}

/// Returns the capacity of a buffer that has to hold `needed` of at most `most` bytes. It doubles,
/// as each growth copies what was read so far.
fn grown_capacity(capacity: usize, needed: usize, most: usize) -> usize {
    let doubled = (capacity * 2).clamp(READ_SIZE, most.max(READ_SIZE));
    doubled.max(needed)
}

/// Appends up to `room` bytes from a connection to a buffer that has capacity for them. Fails if
/// the caller sends nothing for [`Limits::stall`] milliseconds.
async fn read_into(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    room: usize,
    limits: Limits,
) -> Result<usize, WebError> {
    let begin = buffer.len();
    let lost = |e: std::io::Error| WebError::Lost(e.to_string());
    let stall = Duration::from_millis(limits.stall);
    // SAFETY: the range lies within the capacity, and the read initializes what it counts.
    let slice = unsafe { SliceMut::new_unchecked(std::mem::take(buffer), begin, begin + room) };
    let Ok((result, slice)) = timeout(stall, stream.read(slice)).await else {
        return Err(WebError::Slow);
    };
    *buffer = slice.into_inner();
    result.map_err(lost)
}

impl From<Exhausted> for WebError {
    fn from(_: Exhausted) -> Self {
        Self::NoRoom
    }
}
