//! Applies the platform's directory of workers: new, changed, leaving and removed workers.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::incarnation::{BootOrder, compare_boots};
use super::job::TaskKey;
use super::message::DirectoryEntry;
use super::owner::Owner;
use super::placing::placement::{Placement, Stage};
use super::worker::{Listing, Presence, Worker};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds after an outage of the store in which a listing may disappear although its
/// worker goes on.
pub(super) const STORE_OUTAGE_WINDOW: Millis = 5_000;
/// Milliseconds within which a worker lists itself again after that; by the platform's
/// documentation it takes about 2 s.
const RELIST_TIMEOUT: Millis = 2_500;
/// Milliseconds before the end of a worker at which its runs are stopped: a stop takes up to
/// 900 ms, and the report of its outcome some more.
const STOP_TIME: Millis = 1_200;

impl Owner {
    /// Replaces the known directory by a full read of it.
    pub(super) fn replace_directory(&mut self, entries: Vec<(Name, DirectoryEntry)>) {
        let present: BTreeSet<&Name> = entries.iter().map(|(id, _)| id).collect();
        let removed = self.workers.keys().filter(|id| !present.contains(id));
        let removed = removed.map(|id| (id.clone(), DirectoryEntry::Removed));
        let changes = removed.collect::<Vec<_>>().into_iter().chain(entries);
        self.apply_directory_changes(changes.collect());
        self.directory_read = true;
    }

    /// Applies changes of the directory.
    pub(super) fn apply_directory_changes(&mut self, changes: Vec<(Name, DirectoryEntry)>) {
        for (id, entry) in changes {
            match entry {
                DirectoryEntry::Listed(listing) if self.is_unchanged(&id, &listing) => {}
                DirectoryEntry::Listed(listing) => self.apply_listing(id, listing),
                DirectoryEntry::Unusable => self.mark_unusable(&id),
                DirectoryEntry::Removed => self.handle_unlisted(&id),
            }
        }
    }

    /// Returns true when a listing does not differ from the known one, as with nearly all of
    /// them: each heartbeat of a worker writes one. If these counted as changes, all placed and
    /// all waiting tasks would be examined hundreds of times a second.
    fn is_unchanged(&self, id: &Name, listing: &Listing) -> bool {
        let known = self.workers.get(id);
        known.is_some_and(|w| w.presence == Presence::Listed && w.listing == *listing)
    }

    /// Applies the listing of a new or a known worker.
    pub(super) fn apply_listing(&mut self, id: Name, listing: Listing) {
        let now = self.now.steady;
        let cordoned = self.is_cordoned(&listing.hall);
        self.saturated = false;
        if self.workers.contains_key(&id) {
            return self.update_listing(id, listing, cordoned);
        }
        if !self.resolve_shared_address(&id, &listing) {
            return;
        }
        log::info!(target: "worker", "worker={id} event=new boot={:?} leaving={}", listing.boot, listing.leaving);
        let mut worker = Worker::new(listing, now);
        worker.cordoned = cordoned;
        if worker.listing.leaving {
            worker.leaves_at = Some(now + worker.listing.min_stay);
        }
        self.insert_worker(id.clone(), worker);
        self.adopt_tasks(&id);
        self.schedule_poll(&id, now);
    }

    /// Applies the listing of a known worker.
    fn update_listing(&mut self, id: Name, listing: Listing, cordoned: bool) {
        let now = self.now.steady;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let (known, order) = (worker.boot, compare_boots(worker.boot, listing.boot));
        // A listing of an earlier incarnation may arrive late.
        if order == BootOrder::Earlier && worker.listing.boot != listing.boot {
            let boot = listing.boot;
            worker.ignored_listing = Some(listing.into());
            return self.log_earlier_incarnation(&id, boot, known, "entry");
        }
        worker.presence = Presence::Listed;
        if !listing.leaving && worker.leaves_at.take().is_some() {
            log::info!(target: "worker", "worker={id} event=stays reason=listed-again");
        }
        if listing.leaving && worker.leaves_at.is_none() {
            worker.leaves_at = Some(now + listing.min_stay);
            let tasks = worker.placements.len();
            log::info!(target: "worker", "worker={id} event=leaving stays_ms={} tasks={tasks}", listing.min_stay);
        }
        if worker.listing.address != listing.address {
            let (before, address) = (worker.listing.address, listing.address);
            log::info!(target: "worker", "worker={id} event=moved address={address} before={before} boot={:?}", listing.boot);
            self.addresses.remove(&before, &id);
            self.addresses.add(address, id.clone());
        }
        if worker.listing.rack != listing.rack {
            self.racks.remove(&worker.listing.rack, &id);
            self.racks.add(listing.rack.clone(), id.clone());
        }
        if worker.listing.capacity != listing.capacity {
            let (before, capacity, used) =
                (worker.listing.capacity, listing.capacity, worker.allocated);
            log::info!(target: "worker", "worker={id} event=room now={capacity} before={before} used={used}");
            worker.max_capacity = worker.max_capacity.max(capacity);
        }
        worker.listing = listing;
        worker.cordoned = cordoned;
        if order == BootOrder::Later {
            self.verify_incarnation(&id, "entry");
        }
    }

    /// Handles the listing of a new worker at the address of known ones; returns false when one of
    /// these has replaced it. Otherwise the known ones are polled: the worker at the address refuses
    /// polls meant for others, while an entry of the directory may have been written late, or by
    /// another writer.
    fn resolve_shared_address(&mut self, id: &Name, listing: &Listing) -> bool {
        for other in self.others_at_address(listing.address, id) {
            let known = self.workers[&other].boot;
            match compare_boots(known, listing.boot) {
                BootOrder::Later | BootOrder::Same => {
                    self.verify_incarnation(&other, "entry-of-another")
                }
                BootOrder::Earlier => {
                    self.log_earlier_incarnation(id, listing.boot, known, "entry");
                    return false;
                }
            }
        }
        true
    }

    /// Adds a worker to the known ones.
    fn insert_worker(&mut self, id: Name, mut worker: Worker) {
        worker.fence = self.initial_fence();
        self.addresses.add(worker.listing.address, id.clone());
        self.racks.add(worker.listing.rack.clone(), id.clone());
        self.workers.insert(id, worker);
    }

    /// Removes a worker from the known ones.
    pub(super) fn remove_worker(&mut self, id: &Name) {
        if let Some(worker) = self.workers.remove(id) {
            self.remember_removed(id);
            self.addresses.remove(&worker.listing.address, id);
            self.racks.remove(&worker.listing.rack, id);
        }
    }

    /// Returns the workers known at an address, except for one.
    pub(super) fn others_at_address(&self, address: SocketAddr, except: &Name) -> Vec<Name> {
        let others = self.addresses.at(&address).filter(|id| *id != except);
        others.cloned().collect()
    }

    /// Handles an entry of a worker that became unusable. The worker gets no new tasks, but its
    /// runs go on, as the worker itself has announced nothing.
    fn mark_unusable(&mut self, id: &Name) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.presence != Presence::Unusable {
            let (presence, tasks) = (worker.presence, worker.placements.len());
            log::warn!(target: "worker", "worker={id} event=unusable presence={presence:?} tasks={tasks}");
        }
        worker.presence = Presence::Unusable;
    }

    /// Handles the disappearance of a listing: it has lapsed, or the worker has removed it.
    fn handle_unlisted(&mut self, id: &Name) {
        let now = self.now.steady;
        let after_outage = now < self.last_store_trouble + STORE_OUTAGE_WINDOW;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let before = worker.presence;
        worker.presence = match (before, after_outage) {
            (Presence::Listed | Presence::Unusable, true) => Presence::Lapsed(now),
            (Presence::Listed | Presence::Unusable, false) => Presence::Removed,
            (before, _) => before,
        };
        if before != worker.presence {
            let (presence, tasks) = (worker.presence, worker.placements.len());
            log::info!(target: "worker", "worker={id} event=unlisted presence={presence:?} tasks={tasks}");
        }
        if worker.presence == Presence::Removed {
            worker
                .leaves_at
                .get_or_insert(now + self.settings.drain_time);
        }
    }

    /// Marks lapsed listings as removed that did not come back after an outage of the store.
    pub(super) fn expire_lapsed_listings(&mut self) {
        let now = self.now.steady;
        let drain = self.settings.drain_time;
        for (id, worker) in &mut self.workers {
            if let Presence::Lapsed(at) = worker.presence
                && now >= at + RELIST_TIMEOUT
            {
                log::info!(target: "worker", "worker={id} event=removed reason=not-listed-again");
                worker.presence = Presence::Removed;
                worker.leaves_at.get_or_insert(now + drain);
            }
        }
    }

    /// Stops tasks on leaving workers so that they move to others: lasting tasks at once, tasks
    /// with checkpoints shortly before the end. Other tasks may still finish.
    pub(super) fn evacuate(&mut self) {
        let now = self.now.steady;
        let mut moved = Vec::new();
        for worker in self.workers.values().filter(|w| w.missed_polls == 0) {
            let Some(leaves_at) = worker.leaves_at else {
                continue;
            };
            for (key, placement) in &worker.placements {
                let Some(job) = self.jobs.get(&key.job).filter(|j| j.is_open()) else {
                    continue;
                };
                let step = job.step(*key);
                let ending = step.checkpoints && now + STOP_TIME >= leaves_at;
                if placement.is_running() && (step.lasting || ending) {
                    moved.push((*key, worker.listing.id.clone()));
                }
            }
        }
        for (key, name) in moved {
            if self.may_disrupt(key) {
                self.stop_run(key, &name);
            }
        }
    }

    /// Returns true when stopping a task keeps its step within its limit of disruptions.
    pub(super) fn may_disrupt(&self, key: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(bound) = job.step(key).max_disruptions else {
            return true;
        };
        let reported_ready = |member: &TaskKey| {
            let run = self.placement_of(*member);
            run.is_some_and(|r| r.is_running() && r.reported_ready)
        };
        let members = self.members(key);
        let away = members
            .iter()
            .filter(|m| **m != key && !reported_ready(m))
            .count();
        (away as u32) < bound
    }

    /// Places the tasks on a new worker that the store holds as placed on it.
    fn adopt_tasks(&mut self, id: &Name) {
        let tasks = self.unadopted.remove(id).unwrap_or_default();
        self.adopt_long_lease(id, &tasks);
        for key in tasks {
            if !self.is_on(key, id) {
                continue;
            }
            let run = self.jobs[&key.job].task(key).map_or(0, |t| t.run);
            let placement = match self.copies.is_on(key, id) {
                true => self.inherited_copy(key),
                false => self.new_placement(key, run, Stage::Inherited),
            };
            let placement = Placement {
                // The time of the start is unknown and assumed to be long ago.
                placed_at: 0,
                ..placement
            };
            if let Some(worker) = self.workers.get_mut(id) {
                worker.insert(key, placement);
            }
        }
    }
}
