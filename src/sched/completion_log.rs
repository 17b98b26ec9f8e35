//! Record of the completions that one incarnation of a worker has reported, and up to which of
//! them it may forget.
//!
//! The completions of a report may be in any order, and their numbers may have gaps. The worker
//! forgets every completion up to the acknowledged number, so this number must not pass one that
//! was not received or is not stored.

use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

/// Completions that a worker may hold before it gets no new tasks: half of a full report.
const MAX_HELD: usize = 250;

/// Which of the completions that a worker holds are listed in its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Coverage {
    /// All of them: a number that the report skips does not exist.
    All,
    /// As many as fit into a report; the worker may hold others.
    Full,
    /// Those that can be decoded; the worker holds others.
    Partial,
}

/// The completions of one incarnation of a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct CompletionLog {
    /// Received completions that the worker may still hold.
    received: BTreeSet<u64>,
    /// Received completions that are not in the store yet.
    unstored: BTreeSet<u64>,
    /// Received completions whose effect is unknown, which the worker must never forget.
    held: BTreeSet<u64>,
    /// Each completion up to this number was received, was forgotten earlier or does not exist;
    /// `None` before a completion was listed.
    known_to: Option<u64>,
    /// Highest completion that was acknowledged in a poll that the worker answered.
    acknowledged: u64,
}

impl CompletionLog {
    /// Records that a completion is listed. Returns true when it was not received before.
    pub fn receive(&mut self, number: u64) -> bool {
        number > self.acknowledged && self.received.insert(number)
    }

    /// Records that a received completion is not in the store yet.
    pub fn await_store(&mut self, number: u64) {
        self.unstored.insert(number);
    }

    /// Records that a completion is in the store.
    pub fn mark_stored(&mut self, number: u64) {
        self.unstored.remove(&number);
    }

    /// Records that the effect of a received completion is unknown to this owner.
    pub fn hold(&mut self, number: u64) {
        self.held.insert(number);
    }

    /// Returns true when all received completions are in the store.
    pub fn all_stored(&self) -> bool {
        self.unstored.is_empty()
    }

    /// Records which completions a report has listed, after all of them were received.
    pub fn end_report(&mut self, listed: impl Iterator<Item = u64>, coverage: Coverage) {
        let bounds = listed.fold(None, |bounds: Option<(u64, u64)>, n| {
            let (low, high) = bounds.unwrap_or((n, n));
            Some((low.min(n), high.max(n)))
        });
        let Some((lowest, highest)) = bounds else {
            return;
        };
        let known_to = match coverage {
            Coverage::All => self.known_to.max(Some(highest)),
            // Completions below the first ones may have been acknowledged by an earlier owner.
            Coverage::Full => self.known_to.or(Some(lowest.saturating_sub(1))),
            Coverage::Partial => self.known_to,
        };
        self.known_to = known_to.map(|known| self.last_contiguous(known));
    }

    /// Returns the last received number that follows `number` without a gap.
    fn last_contiguous(&self, number: u64) -> u64 {
        let mut last = number;
        for next in self.received.range((Excluded(number), Unbounded)) {
            if next - last > 1 {
                break;
            }
            last = *next;
        }
        last
    }

    /// Records that the worker has forgotten the completions up to a number.
    pub fn acknowledge(&mut self, number: u64) {
        if number > self.acknowledged {
            self.acknowledged = number;
            self.received.retain(|n| *n > number);
        }
    }

    /// Returns the highest completion that the worker has forgotten on the owner's order.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Returns the number up to which the worker may forget its completions, or `None` when it
    /// has forgotten these already.
    pub fn next_acknowledgement(&self) -> Option<u64> {
        let known_to = self.known_to?;
        let kept = self.unstored.first().into_iter().chain(self.held.first());
        let last = kept.map(|first| first - 1).chain([known_to]).min()?;
        (last > self.acknowledged).then_some(last)
    }

    /// Returns true when the worker holds completions of which it may forget none yet.
    pub fn is_stalled(&self) -> bool {
        !self.received.is_empty() && self.next_acknowledgement().is_none()
    }

    /// Returns true when the worker holds so many completions that those of further runs might
    /// not fit into its reports.
    pub fn is_backed_up(&self) -> bool {
        self.received.len() >= MAX_HELD
    }
}
