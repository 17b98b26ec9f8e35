//! Tells when the machine was suspended.

use super::clock::{self, Millis};

/// Milliseconds from which a difference is no matter of reading two clocks in turn.
const LEAST: Millis = 50;

/// How far the clocks that go on and that stand are apart.
pub struct Suspension {
    apart: Millis,
}

impl Suspension {
    /// Returns one that begins with the clocks as they are.
    pub fn begin() -> Self {
        Self::at(clock::now(), clock::awake())
    }

    /// Returns one that begins with these times.
    pub fn at(now: Millis, awake: Millis) -> Self {
        Self {
            apart: now.saturating_sub(awake),
        }
    }

    /// Returns the milliseconds for which the machine was suspended since the last call.
    pub fn note(&mut self, now: Millis, awake: Millis) -> Option<Millis> {
        let apart = now.saturating_sub(awake);
        let span = apart.saturating_sub(self.apart);
        if span < LEAST {
            return None;
        }
        self.apart = apart;
        Some(span)
    }
}
