//! Measures for how long no owner has served this box.

use std::cell::Cell;

use crate::utils::clock::Millis;

/// The time without an owner that serves this box.
pub struct Downtime {
    last_served: Cell<Millis>,
    ongoing: Cell<bool>,
}

impl Downtime {
    /// Returns the downtime of a box that starts now and knows no owner.
    pub fn new(now: Millis) -> Self {
        Self {
            last_served: Cell::new(now),
            ongoing: Cell::new(true),
        }
    }

    /// Records whether an owner serves now.
    pub fn record(&self, served: bool, now: Millis) {
        if served {
            self.last_served.set(now);
        }
        self.ongoing.set(!served);
    }

    /// Returns the milliseconds since an owner last served; 0 while one does.
    pub fn duration(&self, now: Millis) -> Millis {
        match self.ongoing.get() {
            true => now.saturating_sub(self.last_served.get()),
            false => 0,
        }
    }
}
