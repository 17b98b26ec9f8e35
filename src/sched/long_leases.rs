//! Leases of the longest length that the platform allows.
//!
//! A poll sets the end of a lease on the clock of one incarnation of a worker. Carried out late by
//! the next incarnation under the same id, whose clock begins anew, it extends the lease as far as
//! the worker allows. This ends once the later incarnation has answered a poll with a higher fence,
//! so such a lease ends within the longest length after that answer.
//!
//! A worker that this owner has not heard of before may have been known to an earlier owner, or to
//! this one until it was removed. Whether a task was placed on a worker with such a lease is stored
//! with the task, for the next owner.

use std::collections::BTreeMap;

use super::job::TaskKey;
use super::owner::{Owner, OwnerSettings};
use super::worker::max_lease_duration;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Longest time in milliseconds after which an order is still carried out. The platform's pages say
/// "seconds".
const MAX_ORDER_DELAY: Millis = 15_000;

/// What an owner knows of incarnations of workers before those that it has heard of.
#[derive(Debug)]
pub(super) struct EarlierIncarnations {
    /// Removed workers, with the time of their removal.
    removed: BTreeMap<Name, Millis>,
    /// True when earlier owners may have sent orders.
    has_predecessors: bool,
    /// When leases of the longest length that were granted before this owner began have ended.
    long_leases_end: Millis,
}

impl EarlierIncarnations {
    /// Returns the knowledge of an owner that begins at `now`.
    pub fn new(settings: &OwnerSettings, has_predecessors: bool, now: Millis) -> Self {
        Self {
            removed: BTreeMap::new(),
            has_predecessors,
            long_leases_end: now + max_lease_duration(settings.longest_lease),
        }
    }

    /// Returns true when orders to an earlier incarnation of a worker may exist.
    fn may_have_orders(&self, name: &Name) -> bool {
        self.has_predecessors || self.removed.contains_key(name)
    }
}

impl Owner {
    /// Remembers that a worker was removed.
    pub(super) fn remember_removed(&mut self, name: &Name) {
        let now = self.now.steady;
        self.earlier.removed.insert(name.clone(), now);
    }

    /// Forgets removed workers once orders to them have no effect on leases any more.
    pub(super) fn forget_removed(&mut self) {
        let span = MAX_ORDER_DELAY + max_lease_duration(self.settings.longest_lease);
        let now = self.now.steady;
        self.earlier.removed.retain(|_, at| now < *at + span);
    }

    /// Extends the presumed end of the leases of a worker that has answered its first poll by those
    /// that earlier owners may have granted until then.
    pub(super) fn bound_inherited_lease(&mut self, name: &Name) {
        if !self.earlier.may_have_orders(name) {
            return;
        }
        let end = self.now.steady + max_lease_duration(self.settings.lease_length);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.extend_lease_end(end);
        }
    }

    /// Extends the presumed end of the leases of a worker that has answered its first poll, if an
    /// order to an earlier incarnation may have extended them. `clock` is the reading of its clock,
    /// which began with the incarnation.
    pub(super) fn presume_long_lease(&mut self, name: &Name, clock: Millis) {
        if !self.earlier.may_have_orders(name) {
            return;
        }
        let longest = max_lease_duration(self.settings.longest_lease);
        // No earlier order was carried out any more after `MAX_ORDER_DELAY` of this incarnation.
        let elapsed = clock.saturating_sub(MAX_ORDER_DELAY);
        let left = longest.saturating_sub(elapsed);
        let end = self.now.steady + left;
        if let Some(worker) = self.workers.get_mut(name).filter(|_| left > 0) {
            log::info!(target: "worker", "worker={} event=long-lease-possible clock={clock} ends_in_ms={left}", worker.incarnation());
            worker.extend_lease_end(end);
        }
    }

    /// Returns true when a worker may have a lease that lasts longer than those of this owner.
    pub(super) fn may_have_long_lease(&self, name: &Name) -> bool {
        let own = self.now.steady + max_lease_duration(self.settings.lease_length);
        let worker = self.workers.get(name);
        worker.is_some_and(|w| w.lease_end() > own)
    }

    /// Returns true when an earlier owner stored with one of these tasks that the lease of their
    /// worker may have been of the longest length.
    fn have_long_lease(&self, tasks: &[TaskKey]) -> bool {
        let stored = |key: &TaskKey| self.jobs.get(&key.job)?.task(*key);
        let is_long = |key: &TaskKey| {
            let task = stored(key);
            let copy = task.and_then(|task| task.copy.as_ref());
            task.is_some_and(|task| task.long_lease) || copy.is_some_and(|copy| copy.long_lease)
        };
        tasks.iter().any(is_long)
    }

    /// Returns when every lease of a worker that was granted by earlier owners has ended; `tasks`
    /// are those that they placed on it.
    pub(super) fn inherited_lease_end(&self, tasks: &[TaskKey]) -> Millis {
        match self.have_long_lease(tasks) {
            true => self.inherited_leases_end.max(self.earlier.long_leases_end),
            false => self.inherited_leases_end,
        }
    }

    /// Extends the presumed end of the leases of a worker that becomes known, if an earlier owner
    /// stored with one of its tasks that a lease may be of the longest length.
    pub(super) fn adopt_long_lease(&mut self, name: &Name, tasks: &[TaskKey]) {
        if !self.have_long_lease(tasks) {
            return;
        }
        let end = self.earlier.long_leases_end;
        if let Some(worker) = self.workers.get_mut(name) {
            log::info!(target: "worker", "worker={name} event=long-lease-stored tasks={} ends_in_ms={}", tasks.len(), end.saturating_sub(self.now.steady));
            worker.extend_lease_end(end);
        }
    }

    /// Stores with the runs that a later incarnation has carried over that its lease may be of the
    /// longest length.
    pub(super) fn store_long_leases(&mut self, tasks: &[TaskKey]) {
        for key in tasks {
            let job = self.jobs.get_mut(&key.job);
            if let Some(task) = job.and_then(|job| job.task_mut(*key)) {
                task.long_lease = true;
                if let Some(copy) = &mut task.copy {
                    copy.long_lease = true;
                }
                self.journal.mark_changed(key.job);
            }
        }
    }
}
