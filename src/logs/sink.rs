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
/// Milliseconds that a line waits for others to be written with it, where that is
/// asked for. A line by itself took three system calls, which were two in five of
/// all that an owner made at 1,000 tasks a second (counted with strace).
const HELD: Millis = 20;

/// A writer that drops whole lines when its reader is slow or too many come,
/// and says how many.
pub struct Sink {
    fd: RawFd,
    /// The line as far as it was gathered.
    line: Vec<u8>,
    /// Whole lines that are not written yet.
    kept: Vec<u8>,
    /// How many these are.
    count: u64,
    /// When the first of them came.
    since: Millis,
    /// Milliseconds that it may wait.
    held: Millis,
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
            kept: Vec::new(),
            count: 0,
            since: 0,
            held: 0,
            began: 0,
            lines: 0,
            dropped: 0,
        }
    }

    /// Lets lines wait a little for others; [`Sink::send_kept`] has to be called
    /// now and then.
    pub fn gather(&mut self) {
        self.held = HELD;
    }

    /// Writes the lines that wait, or drops them.
    pub fn send_kept(&mut self) {
        if self.count == 0 {
            return;
        }
        let ready = self.ready();
        if ready && self.dropped > 0 {
            self.report_dropped();
        }
        if !(ready && self.send(&self.kept)) {
            self.drop_lines(self.count);
        }
        self.kept.clear();
        self.count = 0;
    }

    fn drop_lines(&mut self, count: u64) {
        self.dropped += count;
        crate::metrics::get().dropped_lines.inc_by(count);
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

    /// Ends the gathered line, and writes it unless it may wait for others.
    fn flush(&mut self) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.line);
        if line.len() > ATOMIC {
            line.truncate(ATOMIC - 1);
            line.push(b'\n');
        }
        if self.kept.len() + line.len() > ATOMIC {
            self.send_kept();
        }
        if self.allowed() {
            let now = clock::now();
            if self.count == 0 {
                self.since = now;
            }
            self.kept.extend_from_slice(&line);
            self.count += 1;
            if now >= self.since + self.held {
                self.send_kept();
            }
        } else {
            self.drop_lines(1);
        }
        line.clear();
        self.line = line;
        Ok(())
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        self.send_kept();
    }
}
