//! Limits the log lines about an event that may occur very often.

use std::cell::Cell;

use super::clock::Millis;

/// Milliseconds between two lines.
const INTERVAL: Millis = 1_000;

/// Counts occurrences of an event, and says which of them are logged.
#[derive(Default)]
pub struct LogLimit {
    /// When an occurrence was last logged.
    logged: Cell<Option<Millis>>,
    /// Number of occurrences since then.
    count: Cell<u64>,
}

impl LogLimit {
    /// Records an occurrence; returns the number of those since the last line if it is to be logged.
    pub fn admit(&self, now: Millis) -> Option<u64> {
        self.count.set(self.count.get() + 1);
        if self.logged.get().is_some_and(|at| now < at + INTERVAL) {
            return None;
        }
        self.logged.set(Some(now));
        Some(self.count.take())
    }
}
