//! Writes log lines to a file descriptor without ever blocking on it.

use std::io::{self, Write};
use std::os::fd::RawFd;

use crate::utils::clock::{self, Millis};

/// Most lines that are written in a window. This is several times the rate of the busiest second
/// seen in practice.
const MAX_LINES_PER_WINDOW: u32 = 4_000;
/// Most bytes that Linux writes to a pipe atomically (`PIPE_BUF`).
const MAX_ATOMIC_WRITE: usize = 4_096;
/// Window over which lines are counted, in milliseconds.
const WINDOW: Millis = 1_000;
/// Longest time that a line waits to be written together with others, in milliseconds, if batching
/// is enabled. Without batching each line takes three system calls, which were two fifths of all
/// system calls of an owner at 1,000 tasks per second.
const BATCH_DELAY: Millis = 20;

/// A writer that drops whole lines if its reader is slow or if lines come too fast. It logs and
/// counts the dropped lines.
pub struct Sink {
    fd: RawFd,
    /// Beginning of the line that is being written.
    line: Vec<u8>,
    /// Whole lines that wait to be written.
    pending: Vec<u8>,
    /// Number of waiting lines.
    pending_lines: u64,
    /// Time of the first waiting line, in milliseconds.
    pending_since: Millis,
    /// Longest time that a line may wait, in milliseconds; 0 without batching.
    batch_delay: Millis,
    /// Start of the current window, in milliseconds.
    window_start: Millis,
    /// Lines in the current window, including dropped ones.
    window_lines: u32,
    /// Lines dropped since this was last logged.
    dropped: u64,
}

impl Sink {
    /// Creates a writer to an open file descriptor.
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

    /// Lets lines wait for a short time to be written together. [`Sink::write_pending`] has to be
    /// called regularly from then on.
    pub fn enable_batching(&mut self) {
        self.batch_delay = BATCH_DELAY;
    }

    /// Writes the waiting lines, or drops them if they cannot be written now.
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

    /// Returns true if the descriptor can be written to without blocking.
    fn is_writable(&self) -> bool {
        let mut poll = libc::pollfd {
            fd: self.fd,
            events: libc::POLLOUT,
            revents: 0,
        };
        // SAFETY: `poll` is valid for reading and writing as an array of one entry.
        let count = unsafe { libc::poll(&mut poll, 1, 0) };
        count == 1 && poll.revents & libc::POLLOUT != 0
    }

    /// Counts a line. Returns false if it is one too many in the current window.
    fn is_within_rate(&mut self) -> bool {
        let now = clock::now();
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.window_lines = 0;
        }
        self.window_lines += 1;
        self.window_lines <= MAX_LINES_PER_WINDOW
    }

    /// Writes bytes with one system call. Returns true if all of them were written.
    fn write_all_now(&self, bytes: &[u8]) -> bool {
        // SAFETY: `bytes` is readable for its length.
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

    /// Ends the line, and writes it unless it may wait for others.
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
