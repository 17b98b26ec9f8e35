//! Tracks the highest of recent values.

use super::clock::Millis;

/// Shortest time for which a value counts as recent, in milliseconds; the longest is twice as much.
/// Collectors that read every 5 s miss no peak.
const WINDOW: Millis = 5_000;

/// The highest value of the last 5 to 10 s, and the highest of all.
#[derive(Default)]
pub struct RecentPeak {
    /// Start of the current window.
    since: Millis,
    /// Highest value in the current window.
    current: u64,
    /// Highest value in the window before.
    previous: u64,
    /// Highest value of all.
    highest: u64,
}

impl RecentPeak {
    /// Records a value.
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

    /// Returns the highest value of the last 5 to 10 s.
    pub fn recent(&self) -> u64 {
        self.current.max(self.previous)
    }

    /// Returns the highest value of all.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}
