//! For how long no owner has served this box.

use std::cell::Cell;

use crate::utils::clock::Millis;

/// Whether an owner serves this box, and when one last did.
pub struct Absence {
    served: Cell<Millis>,
    absent: Cell<bool>,
}

impl Absence {
    /// Returns that of a box that starts now and knows no owner.
    pub fn new(now: Millis) -> Self {
        Self {
            served: Cell::new(now),
            absent: Cell::new(true),
        }
    }

    /// Takes in whether an owner serves now.
    pub fn note(&self, served: bool, now: Millis) {
        if served {
            self.served.set(now);
        }
        self.absent.set(!served);
    }

    /// Returns the milliseconds since an owner last served; 0 while one does.
    pub fn span(&self, now: Millis) -> Millis {
        match self.absent.get() {
            true => now.saturating_sub(self.served.get()),
            false => 0,
        }
    }
}
