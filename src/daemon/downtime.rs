//! For how long no owner has served this box.

use std::cell::Cell;

use crate::utils::clock::Millis;

/// Whether an owner serves this box, and when one last did.
pub struct Downtime {
    last_served: Cell<Millis>,
    ongoing: Cell<bool>,
}

impl Downtime {
    /// Returns that of a box that starts now and knows no owner.
    pub fn new(now: Millis) -> Self {
        Self {
            last_served: Cell::new(now),
            ongoing: Cell::new(true),
        }
    }

    /// Takes in whether an owner serves now.
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
