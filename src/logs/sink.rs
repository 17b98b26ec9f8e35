//! Where log lines go: a descriptor that is never waited for.

use std::io::{self, Write};
use std::os::fd::RawFd;

use crate::utils::clock::{self, Millis};

/// Lines a second that are written; some times the busiest second seen.
const LINES: u32 = 4_000;
/// Bytes of a line that a pipe takes at once (`PIPE_BUF` of Linux).
const ATOMIC: usize = 4_096;
/// Milliseconds over which lines are counted.
const SPAN: Millis = 1_000;

/// A writer that drops whole lines when its reader is slow or too many come,
/// and says how many.
pub struct Sink {
    fd: RawFd,
    /// The line as far as it was gathered.
    line: Vec<u8>,
    /// When the present span of counted lines began.
    began: Millis,
    /// Lines in that span.
    lines: u32,
    /// Lines dropped since that was last said.
    dropped: u64,
}

impl Sink {
    /// Returns a writer to an open descriptor.
    pub fn new(fd: RawFd) -> Self {
        Self {
            fd,
            line: Vec::new(),
            began: 0,
            lines: 0,
            dropped: 0,
        }
    }

    /// Returns true when a line can be written without waiting.
    fn ready(&self) -> bool {
        let mut poll = libc::pollfd {
            fd: self.fd,
            events: libc::POLLOUT,
            revents: 0,
        };
        // SAFETY: `poll` is one valid entry.
        let count = unsafe { libc::poll(&mut poll, 1, 0) };
        count == 1 && poll.revents & libc::POLLOUT != 0
    }

    /// Counts a line; false when too many have come.
    fn allowed(&mut self) -> bool {
        let now = clock::now();
        if now >= self.began + SPAN {
            self.began = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES
    }

    /// Writes all of the bytes or fails.
    fn send(&self, bytes: &[u8]) -> bool {
        // SAFETY: `bytes` is valid for reading.
        let sent = unsafe { libc::write(self.fd, bytes.as_ptr().cast(), bytes.len()) };
        sent == bytes.len() as isize
    }

    fn report_dropped(&mut self) {
        let text = format!("event=log-dropped lines={}\n", self.dropped);
        if self.send(text.as_bytes()) {
            self.dropped = 0;
        }
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Sends the gathered line, or drops it.
    fn flush(&mut self) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.line);
        if line.len() > ATOMIC {
            line.truncate(ATOMIC - 1);
            line.push(b'\n');
        }
        let fits = self.allowed() && self.ready();
        if fits && self.dropped > 0 {
            self.report_dropped();
        }
        if !(fits && self.ready() && self.send(&line)) {
            self.dropped += 1;
            crate::metrics::get().dropped.inc();
        }
        line.clear();
        self.line = line;
        Ok(())
    }
}
