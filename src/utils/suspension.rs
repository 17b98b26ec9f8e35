//! Detects suspensions of the machine.

use super::clock::{self, Millis};

/// Shortest suspension that is detected, in milliseconds. A smaller difference may come from
/// reading the two clocks one after the other.
const MIN_SUSPENSION: Millis = 50;

/// Detects suspensions by the offset between a clock that advances during a suspension and one that
/// stops.
pub struct SuspensionDetector {
    offset: Millis,
}

impl SuspensionDetector {
    /// Creates a detector that starts with the current offset of the clocks.
    pub fn start() -> Self {
        Self::from_clocks(clock::now(), clock::monotonic())
    }

    /// Creates a detector that starts with the offset of the given times.
    pub fn from_clocks(now: Millis, monotonic: Millis) -> Self {
        Self {
            offset: now.saturating_sub(monotonic),
        }
    }

    /// Returns for how many milliseconds the machine was suspended since the last call, if it was.
    pub fn update(&mut self, now: Millis, monotonic: Millis) -> Option<Millis> {
        let offset = now.saturating_sub(monotonic);
        let span = offset.saturating_sub(self.offset);
        if span < MIN_SUSPENSION {
            return None;
        }
        self.offset = offset;
        Some(span)
    }
}
