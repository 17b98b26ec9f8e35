//! Where log lines go: a descriptor that is never waited for.

use std::io::{self, Write};
use std::os::fd::RawFd;

use crate::utils::clock::{self, Millis};

/// Lines a second that are written; some times the busiest second seen.
const MAX_LINES_PER_WINDOW: u32 = 4_000;
/// Bytes of a line that a pipe takes at once (`PIPE_BUF` of Linux).
const MAX_ATOMIC_WRITE: usize = 4_096;
/// Milliseconds over which lines are counted.
const WINDOW: Millis = 1_000;
/// Milliseconds that a line waits for others to be written with it, where that is
/// asked for. A line by itself took three system calls, which were two in five of
/// all that an owner made at 1,000 tasks a second (counted with strace).
const BATCH_DELAY: Millis = 20;

/// A writer that drops whole lines when its reader is slow or too many come,
/// and says how many.
pub struct Sink {
    fd: RawFd,
    /// The line as far as it was gathered.
    line: Vec<u8>,
    /// Whole lines that are not written yet.
    pending: Vec<u8>,
    /// How many these are.
    pending_lines: u64,
    /// When the first of them came.
    pending_since: Millis,
    /// Milliseconds that it may wait.
    batch_delay: Millis,
    /// When the present span of counted lines began.
    window_start: Millis,
    /// Lines in that span.
    window_lines: u32,
    /// Lines dropped since that was last said.
    dropped: u64,
}

impl Sink {
    /// Returns a writer to an open descriptor.
    pub fn new(fd: RawFd) -> Self {
        Self {
            fd,
            line: Vec::new(),
            pending: Vec::new(),
            pending_lines: 0,
            pending_since: 0,
            batch_delay: 0,
            window_start: 0,
            window_lines: 0,
            dropped: 0,
        }
    }

    /// Lets lines wait a little for others; [`Sink::write_pending`] has to be called
    /// now and then.
    pub fn enable_batching(&mut self) {
        self.batch_delay = BATCH_DELAY;
    }

    /// Writes the lines that wait, or drops them.
    pub fn write_pending(&mut self) {
        if self.pending_lines == 0 {
            return;
        }
        let writable = self.is_writable();
        if writable && self.dropped > 0 {
            self.report_dropped();
        }
        if !(writable && self.write_all_now(&self.pending)) {
            self.count_dropped(self.pending_lines);
        }
        self.pending.clear();
        self.pending_lines = 0;
    }

    fn count_dropped(&mut self, count: u64) {
        self.dropped += count;
        crate::metrics::get().dropped_lines.inc_by(count);
    }

    /// Returns true when a line can be written without waiting.
    fn is_writable(&self) -> bool {
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
    fn is_within_rate(&mut self) -> bool {
        let now = clock::now();
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.window_lines = 0;
        }
        self.window_lines += 1;
        self.window_lines <= MAX_LINES_PER_WINDOW
    }

    /// Writes all of the bytes or fails.
    fn write_all_now(&self, bytes: &[u8]) -> bool {
        // SAFETY: `bytes` is valid for reading.
        let sent = unsafe { libc::write(self.fd, bytes.as_ptr().cast(), bytes.len()) };
        sent == bytes.len() as isize
    }

    fn report_dropped(&mut self) {
        let text = format!("event=log-dropped lines={}\n", self.dropped);
        if self.write_all_now(text.as_bytes()) {
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
        if line.len() > MAX_ATOMIC_WRITE {
            line.truncate(MAX_ATOMIC_WRITE - 1);
            line.push(b'\n');
        }
        if self.pending.len() + line.len() > MAX_ATOMIC_WRITE {
            self.write_pending();
        }
        if self.is_within_rate() {
            let now = clock::now();
            if self.pending_lines == 0 {
                self.pending_since = now;
            }
            self.pending.extend_from_slice(&line);
            self.pending_lines += 1;
            if now >= self.pending_since + self.batch_delay {
                self.write_pending();
            }
        } else {
            self.count_dropped(1);
        }
        line.clear();
        self.line = line;
        Ok(())
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        self.write_pending();
    }
}
