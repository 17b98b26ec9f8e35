//! TCP stream that limits the number of bytes read.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, Split};
use monoio::net::TcpStream;

/// Number of bytes that may still be read, shared by the stream and the code that reads from it.
#[derive(Clone)]
pub struct ReadBudget(Rc<Cell<usize>>);

impl ReadBudget {
    /// Returns a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Resets the budget to `bytes`, for the next part of a message or the next message.
    pub fn reset(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Returns true if no more bytes may be read.
    pub fn is_exhausted(&self) -> bool {
        self.0.get() == 0
    }

    fn consume(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }
}

/// TCP stream whose reads fail once the budget is exhausted.
pub struct LimitedStream {
    stream: TcpStream,
    budget: ReadBudget,
}

// SAFETY: `TcpStream` supports splitting, and only the read half uses `budget`.
unsafe impl Split for LimitedStream {}

impl LimitedStream {
    /// Limits the reads of a stream to a budget.
    pub fn new(stream: TcpStream, budget: ReadBudget) -> Self {
        Self { stream, budget }
    }

    fn exhausted_error(&self) -> Option<io::Error> {
        let exhausted = self.budget.is_exhausted();
        exhausted.then(|| io::Error::other("read limit exceeded"))
    }
}

impl AsyncReadRent for LimitedStream {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Some(e) = self.exhausted_error() {
            return (Err(e), buf);
        }
        let (result, buf) = self.stream.read(buf).await;
        if let Ok(count) = result {
            self.budget.consume(count);
        }
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Some(e) = self.exhausted_error() {
            return (Err(e), buf);
        }
        let (result, buf) = self.stream.readv(buf).await;
        if let Ok(count) = result {
            self.budget.consume(count);
        }
        (result, buf)
    }
}

impl AsyncWriteRent for LimitedStream {
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
