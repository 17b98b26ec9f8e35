//! Tells when the machine was suspended.

use super::clock::{self, Millis};

/// Milliseconds from which a difference is no matter of reading two clocks in turn.
const MIN_SUSPENSION: Millis = 50;

/// How far the clocks that go on and that stand are offset.
pub struct SuspensionDetector {
    offset: Millis,
}

impl SuspensionDetector {
    /// Returns one that begins with the clocks as they are.
    pub fn new() -> Self {
        Self::from_clocks(clock::now(), clock::monotonic())
    }

    /// Returns one that begins with these times.
    pub fn from_clocks(now: Millis, monotonic: Millis) -> Self {
        Self {
            offset: now.saturating_sub(monotonic),
        }
    }

    /// Returns the milliseconds for which the machine was suspended since the last call.
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
