//! The directory of workers: who is there, who leaves and who has left.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::incarnation::{BootOrder, compare_boots};
use super::job::TaskKey;
use super::lost_workers::IncarnationEnd;
use super::message::DirectoryEntry;
use super::owner::Owner;
use super::placement::{Placement, Stage};
use super::worker::{Listing, Presence, Worker};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds after trouble of the store in which a listing that is gone may
/// only have lapsed.
const TROUBLE: Millis = 5_000;
/// Milliseconds in which such a listing comes back: about 2 s by the platform.
const RELISTED: Millis = 2_500;
/// Milliseconds without an answer that are too short for a listing to lapse:
/// less than two heartbeats.
const LEFT: Millis = 1_900;
/// Milliseconds before a worker's end at which what it runs is stopped: a stop
/// takes up to 900, and its report some more.
const STOP_TIME: Millis = 1_200;

impl Owner {
    /// Takes in the whole directory.
    pub(super) fn replace_directory(&mut self, entries: Vec<(Name, DirectoryEntry)>) {
        let named: BTreeSet<&Name> = entries.iter().map(|(id, _)| id).collect();
        let gone = self.workers.keys().filter(|id| !named.contains(id));
        let gone = gone.map(|id| (id.clone(), DirectoryEntry::Removed));
        let changes = gone.collect::<Vec<_>>().into_iter().chain(entries);
        self.apply_directory_changes(changes.collect());
    }

    /// Takes in changes of the directory.
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

    /// Returns true when a listing says nothing new of a worker, as nearly all do: each
    /// heartbeat writes one. Taken for changes, they would have all placed tasks and all
    /// that waits looked at hundreds of times a second.
    fn is_unchanged(&self, id: &Name, listing: &Listing) -> bool {
        let known = self.workers.get(id);
        known.is_some_and(|w| w.presence == Presence::Listed && w.listing == *listing)
    }

    /// Takes in a listing of a worker, known or new.
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

    /// Takes in the listing of a worker that is known.
    fn update_listing(&mut self, id: Name, listing: Listing, cordoned: bool) {
        let now = self.now.steady;
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let (known, news) = (worker.boot, compare_boots(worker.boot, listing.boot));
        // What an earlier life wrote may come late.
        if news == BootOrder::Earlier && worker.listing.boot != listing.boot {
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
            let (before, now) = (worker.listing.address, listing.address);
            log::info!(target: "worker", "worker={id} event=moved address={now} before={before} boot={:?}", listing.boot);
            self.addresses.remove(before, &id);
            self.addresses.add(now, id.clone());
        }
        if worker.listing.capacity != listing.capacity {
            let (before, resources, used) =
                (worker.listing.capacity, listing.capacity, worker.allocated);
            log::info!(target: "worker", "worker={id} event=room now={resources} before={before} used={used}");
            worker.max_capacity = worker.max_capacity.max(resources);
        }
        worker.listing = listing;
        worker.cordoned = cordoned;
        if news == BootOrder::Later {
            self.verify_incarnation(&id, "entry");
        }
    }

    /// Takes in that a worker is listed at the address of others; false when it is one that
    /// they have replaced. Where no start tells which is the later one, the worker at the
    /// address does, as it refuses orders to others: an entry may have been written late.
    fn resolve_shared_address(&mut self, id: &Name, listing: &Listing) -> bool {
        for other in self.others_at_address(listing.address, id) {
            let known = self.workers[&other].boot;
            match compare_boots(known, listing.boot) {
                BootOrder::Later => self.end_incarnation(&other, IncarnationEnd::Replaced),
                BootOrder::Same => self.verify_incarnation(&other, "entry-of-another"),
                BootOrder::Earlier => {
                    self.log_earlier_incarnation(id, listing.boot, known, "entry");
                    return false;
                }
            }
        }
        true
    }

    /// Adds a worker to those that are known.
    fn insert_worker(&mut self, id: Name, worker: Worker) {
        self.addresses.add(worker.listing.address, id.clone());
        self.workers.insert(id, worker);
    }

    /// Removes a worker from those that are known.
    pub(super) fn remove_worker(&mut self, id: &Name) {
        if let Some(worker) = self.workers.remove(id) {
            self.addresses.remove(worker.listing.address, id);
        }
    }

    /// Returns the workers known at an address, but for one.
    pub(super) fn others_at_address(&self, address: SocketAddr, but: &Name) -> Vec<Name> {
        let others = self.addresses.at(address).filter(|id| *id != but);
        others.cloned().collect()
    }

    /// Takes in that the entry of a worker names none to use any more. It gets nothing
    /// new; what it runs goes on, since the worker itself has said nothing.
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

    /// Takes in that a listing is gone: lapsed or removed by the worker.
    fn handle_unlisted(&mut self, id: &Name) {
        let now = self.now.steady;
        let doubtful = now < self.last_store_trouble + TROUBLE;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let before = worker.presence;
        worker.presence = match (before, doubtful) {
            (Presence::Listed | Presence::Unusable, true) => Presence::Lapsed(now),
            (Presence::Listed | Presence::Unusable, false) => Presence::Removed,
            (before, _) => before,
        };
        if before != worker.presence {
            let (presence, tasks) = (worker.presence, worker.placements.len());
            log::info!(target: "worker", "worker={id} event=unlisted presence={presence:?} tasks={tasks}");
        }
        if worker.presence != Presence::Removed {
            return;
        }
        // A listing that lapses does so after three heartbeats of silence. One
        // that goes at once with a worker that said it would leave was removed
        // by the worker at its end.
        let silent = now - worker.last_answer.min(now);
        if worker.leaves_at.is_some() && worker.missed_polls > 0 && silent < LEFT {
            return self.end_incarnation(id, IncarnationEnd::Left);
        }
        worker
            .leaves_at
            .get_or_insert(now + self.settings.drain_time);
    }

    /// Takes listings that did not come back after trouble of the store as removed.
    pub(super) fn expire_lapsed_listings(&mut self) {
        let now = self.now.steady;
        let drain = self.settings.drain_time;
        for (id, worker) in &mut self.workers {
            if let Presence::Lapsed(at) = worker.presence
                && now >= at + RELISTED
            {
                log::info!(target: "worker", "worker={id} event=removed reason=not-listed-again");
                worker.presence = Presence::Removed;
                worker.leaves_at.get_or_insert(now + drain);
            }
        }
    }

    /// Moves tasks off workers that leave: lasting ones at once, those that
    /// checkpoint shortly before the end; others may still finish.
    pub(super) fn evacuate(&mut self) {
        let now = self.now.steady;
        let mut moved = Vec::new();
        for worker in self.workers.values().filter(|w| w.missed_polls == 0) {
            let Some(leaves) = worker.leaves_at else {
                continue;
            };
            for (key, placement) in &worker.placements {
                let Some(job) = self.jobs.get(&key.job).filter(|j| j.is_open()) else {
                    continue;
                };
                let step = job.step(*key);
                let last = step.checkpoints && now + STOP_TIME >= leaves;
                if placement.is_running() && (step.lasting || last) {
                    moved.push(*key);
                }
            }
        }
        for key in moved {
            if self.may_disrupt(key) {
                self.stop_task(key);
            }
        }
    }

    /// Returns true when the step of a task bears that it is away for a while.
    pub(super) fn may_disrupt(&self, key: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(bound) = job.step(key).disruptions else {
            return true;
        };
        let at_work = |member: &TaskKey| {
            let run = self.placement_of(*member);
            run.is_some_and(|r| r.is_running() && r.at_work)
        };
        let members = self.members(key);
        let away = members.iter().filter(|m| **m != key && !at_work(m)).count();
        (away as u32) < bound
    }

    /// Gives a new worker the tasks that the store holds as placed there.
    fn adopt_tasks(&mut self, id: &Name) {
        for key in self.unadopted.remove(id).unwrap_or_default() {
            if self.placed_on.get(&key) != Some(id) {
                continue;
            }
            let run = self.jobs[&key.job].task(key).map_or(0, |t| t.run);
            let placement = Placement {
                // It began long ago, as far as is known.
                placed_at: 0,
                ..self.new_placement(key, run, Stage::Inherited)
            };
            if let Some(worker) = self.workers.get_mut(id) {
                worker.insert(key, placement);
            }
        }
    }
}
