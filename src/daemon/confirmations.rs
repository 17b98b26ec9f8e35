//! What this box returns to the owner that it follows: readings of the owner's clock, which confirm
//! that this box had not replaced the owner when it received them.

use crate::sched::followers::CONFIRMATION_SPAN;
use crate::utils::clock::Millis;

/// Milliseconds after the owner's last reply when a further ping is due: two ping intervals.
const PING_DUE: Millis = 400;

/// A reading of an owner's clock in its last reply.
#[derive(Clone, Copy)]
struct Reading {
    epoch: u64,
    clock: Millis,
    /// When the reply arrived, by the clock of this box.
    received: Millis,
}

/// The last reading of the owner's clock, and which rows of owners this box does not confirm.
#[derive(Default)]
pub struct Confirmations {
    reading: Option<Reading>,
    /// Highest version of an owner's row that this box may have replaced, or has not read itself.
    barred: u64,
}

impl Confirmations {
    /// Records the reading of its clock that the owner of an epoch has sent.
    pub fn record_reply(&mut self, epoch: u64, clock: Millis, now: Millis) {
        self.reading = Some(Reading {
            epoch,
            clock,
            received: now,
        });
    }

    /// Confirms no owner any more by its row of this version or an earlier one.
    ///
    /// A commit that replaces a row may take effect seconds after it was given up, unless the owner
    /// has written a newer row. A row that another box has named may have been replaced by this box
    /// before it restarted.
    pub fn bar(&mut self, version: u64) {
        self.barred = self.barred.max(version);
    }

    /// Returns true while this box confirms the owner by its row of this version.
    pub fn permits(&self, version: u64) -> bool {
        version > self.barred
    }

    /// Returns the reading to return to the owner of an epoch, whose row has this version; 0 for none.
    pub fn reading_for(&self, epoch: u64, version: u64) -> Millis {
        let reading = self.reading.filter(|r| r.epoch == epoch);
        let permitted = reading.filter(|_| self.permits(version));
        permitted.map_or(0, |reading| reading.clock)
    }

    /// Returns true when the owner of an epoch has answered a short while ago, and a further ping
    /// is due.
    pub fn is_due(&self, epoch: u64, now: Millis) -> bool {
        let due = |r: Reading| (PING_DUE..2 * CONFIRMATION_SPAN).contains(&(now - r.received));
        self.reading.is_some_and(|r| r.epoch == epoch && due(r))
    }
}
