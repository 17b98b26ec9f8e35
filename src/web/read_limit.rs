//! A stream that reads no more than its allowance.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, Split};
use monoio::net::TcpStream;

/// Bytes that may still be read; shared between the stream and its reader.
#[derive(Clone)]
pub struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    /// Returns an allowance of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Sets the allowance anew, for the next message.
    pub fn reset(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Returns true when nothing may be read any more.
    pub fn spent(&self) -> bool {
        self.0.get() == 0
    }

    /// Returns true while nothing was read of an allowance of `bytes`.
    pub fn whole(&self, bytes: usize) -> bool {
        self.0.get() == bytes
    }

    fn take(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }
}

/// A TCP stream whose reads fail once the allowance is spent.
pub struct Limited {
    stream: TcpStream,
    left: Allowance,
}

// SAFETY: `TcpStream` may be split, and only the reading half uses `left`.
unsafe impl Split for Limited {}

impl Limited {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, left: Allowance) -> Self {
        Self { stream, left }
    }

    fn refusal(&self) -> Option<io::Error> {
        let spent = self.left.spent();
        spent.then(|| io::Error::other("allowance spent"))
    }
}

impl AsyncReadRent for Limited {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Some(e) = self.refusal() {
            return (Err(e), buf);
        }
        let (result, buf) = self.stream.read(buf).await;
        if let Ok(count) = result {
            self.left.take(count);
        }
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Some(e) = self.refusal() {
            return (Err(e), buf);
        }
        let (result, buf) = self.stream.readv(buf).await;
        if let Ok(count) = result {
            self.left.take(count);
        }
        (result, buf)
    }
}

impl AsyncWriteRent for Limited {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        self.stream.write(buf).await
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        self.stream.writev(buf).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
