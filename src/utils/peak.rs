//! The highest of late values.

use super::clock::Millis;

/// Milliseconds for which a value counts at the least, twice as many at the most:
/// collectors that come each 5 s miss none.
const WINDOW: Millis = 5_000;

/// The highest value of the last seconds, and of all time.
#[derive(Default)]
pub struct RecentPeak {
    since: Millis,
    /// Highest in the span that began at `since`.
    current: u64,
    /// Highest value in the window before.
    previous: u64,
    highest: u64,
}

impl RecentPeak {
    /// Takes in a value.
    pub fn record(&mut self, value: u64, now: Millis) {
        let age = now.saturating_sub(self.since);
        if age >= WINDOW {
            self.previous = match age < 2 * WINDOW {
                true => self.current,
                false => 0,
            };
            self.current = 0;
            self.since = now;
        }
        self.current = self.current.max(value);
        self.highest = self.highest.max(value);
    }

    /// Returns the highest value of the last seconds.
    pub fn recent(&self) -> u64 {
        self.current.max(self.previous)
    }

    /// Returns the highest value of all.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}
