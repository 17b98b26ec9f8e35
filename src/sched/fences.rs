//! Fences of the orders to workers.
//!
//! A worker keeps the highest fence that it has seen and does nothing for an order with a lower
//! one. Each owner has a range of fences above those of all earlier owners, and raises the fence of
//! a worker when an order to it may still be carried out that must not take effect late. Once the
//! worker has answered a poll with the raised fence, every earlier order has either taken effect
//! before that answer or never will.

use super::owner::Owner;
use super::worker::Worker;
use crate::utils::Name;

/// Number of fences of one owner. Even with a new owner each second, fences stay exact as JSON
/// numbers (below 2^53) for two centuries.
pub const FENCES_PER_OWNER: u64 = 1_000_000;

/// Returns the epoch of the owner that follows the owner of the epoch `before`: the highest fence
/// that it may use. Its lowest one is `before` + 1.
pub fn next_epoch(before: u64) -> u64 {
    before + FENCES_PER_OWNER
}

/// The fences of an owner.
pub(super) struct Fences {
    /// Highest fence that was given to a worker.
    last: u64,
    /// Highest fence of the owner.
    highest: u64,
}

impl Fences {
    /// Returns the fences of the owner of an epoch.
    pub fn new(epoch: u64) -> Self {
        Self {
            last: epoch.saturating_sub(FENCES_PER_OWNER),
            highest: epoch,
        }
    }

    /// Returns the next fence above the given one; none when all are used up.
    fn next_above(&mut self, fence: u64) -> Option<u64> {
        let next = Some(fence + 1).filter(|next| *next <= self.highest)?;
        self.last = self.last.max(next);
        Some(next)
    }
}

impl Owner {
    /// Returns the fence of a worker that becomes known, above those of all earlier orders: the
    /// worker may have been known before.
    pub(super) fn initial_fence(&mut self) -> u64 {
        self.fence_above(self.fences.last)
    }

    /// Returns the next fence above the given one. An owner without one releases the cell: it then
    /// starts no run and extends no lease, and the next owner has higher fences.
    fn fence_above(&mut self, fence: u64) -> u64 {
        if let Some(next) = self.fences.next_above(fence) {
            return next;
        }
        if !self.is_releasing() {
            log::warn!(target: "owner", "event=fences-used-up epoch={}", self.journal.epoch());
            self.release(self.now);
        }
        self.journal.epoch()
    }

    /// Raises the fence of a worker if an order with the present one must not take effect late.
    pub(super) fn raise_fence(&mut self, name: &Name) {
        let used = |w: &&Worker| w.used_fence >= w.fence;
        let Some(worker) = self.workers.get(name).filter(used) else {
            return;
        };
        let raised = self.fence_above(worker.fence);
        log::info!(target: "worker", "worker={name} event=fence-raised fence={raised}");
        if let Some(worker) = self.workers.get_mut(name) {
            worker.fence = raised;
        }
    }
}
