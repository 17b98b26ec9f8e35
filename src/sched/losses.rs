//! Workers that fell silent with runs, and what later becomes known of them.
//!
//! A worker that was silent until its lease ended may have crashed, or may run on out of reach. Its
//! loss stays unresolved until one of these is known:
//!
//! - The same incarnation answers again, or is still listed when the listing of a crashed one would
//!   have lapsed: it has outlived the run, and the loss is dropped.
//! - Another incarnation has taken its place: it has crashed.
//! - Neither it nor its listing is back after a long time: it is presumed to have crashed.
//!
//! A task is abandoned for crashes only, known or presumed. While unresolved losses could make up
//! the difference, it is held: it does not wait for a worker, so that no further worker crashes, and
//! its job goes on as soon as a loss is dropped.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::crashes::{CrashCounts, FailedWorker};
use super::directory::STORE_OUTAGE_WINDOW;
use super::incarnation::{BootOrder, BootTime, compare_boots};
use super::job::{LostIncarnation, Task, TaskKey};
use super::lost_workers::IncarnationEnd;
use super::owner::{Owner, OwnerSettings};
use super::worker::{Presence, Worker};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Workers that have crashed, or may have, under a task until it is started no more: at most two
/// starts follow the third crash.
const MAX_FAILURES: usize = 4;
/// Heartbeats of silence after which the platform removes the listing of a worker.
const LAPSE_HEARTBEATS: Millis = 3;
/// Milliseconds added to that time for heartbeats and changes of the directory that are late.
const LAPSE_MARGIN: Millis = 1_000;
/// Milliseconds after which a worker that neither answers nor is listed is presumed to have
/// crashed. Nothing tells a worker that is cut off from the boxes and the store from one that is
/// gone for good, so this is far longer than either needs to come back.
const PRESUMPTION_DELAY: Millis = 30_000;

/// How the loss of a worker was resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resolution {
    /// It has outlived the runs that were lost with it.
    Survived,
    /// Another incarnation has taken its place.
    Crashed,
}

/// A worker whose loss is unresolved.
#[derive(Debug)]
struct LostWorker {
    /// The lost incarnation.
    incarnation: LostIncarnation,
    /// Where it ran; none if this owner has never seen it listed.
    address: Option<SocketAddr>,
    /// When its runs were released, or this owner began.
    since: Millis,
    /// True once it is presumed to have crashed.
    presumed: bool,
    /// Tasks that were lost with it.
    tasks: BTreeSet<TaskKey>,
}

impl LostWorker {
    /// Returns true when this is an incarnation of the worker with an id.
    fn is_of(&self, id: &Name) -> bool {
        self.incarnation.worker == *id
    }
}

/// Workers that were lost with tasks of an owner, and of which it is not known whether they crashed.
#[derive(Debug, Default)]
pub(super) struct UnresolvedLosses {
    workers: Vec<LostWorker>,
    /// Held tasks, with the time since when they are.
    pub held: BTreeMap<TaskKey, Millis>,
}

impl UnresolvedLosses {
    /// Records that a task was lost with a worker that fell silent.
    pub fn record(&mut self, task: &mut Task, key: TaskKey, failed: &FailedWorker, now: Millis) {
        if !task.unresolved.contains(&failed.incarnation) {
            task.unresolved.push(failed.incarnation.clone());
        }
        self.track(key, &failed.incarnation, failed.address, now);
    }

    /// Adds a task to those that were lost with a worker.
    fn track(
        &mut self,
        key: TaskKey,
        incarnation: &LostIncarnation,
        address: Option<SocketAddr>,
        now: Millis,
    ) {
        let mut known = self.workers.iter_mut();
        let known = known.find(|lost| lost.incarnation == *incarnation);
        if let Some(lost) = known {
            lost.since = now;
            lost.presumed = false;
            lost.tasks.insert(key);
            return;
        }
        self.workers.push(LostWorker {
            incarnation: incarnation.clone(),
            address,
            since: now,
            presumed: false,
            tasks: BTreeSet::from([key]),
        });
    }

    /// Returns how many workers have crashed under a task, known or presumed.
    fn count_crashes(&self, task: &Task) -> usize {
        let presumed = |incarnation: &&LostIncarnation| {
            let mut lost = self.workers.iter().filter(|lost| lost.presumed);
            lost.any(|lost| lost.incarnation == **incarnation)
        };
        let unresolved = task.unresolved.iter().filter(presumed).count();
        (task.crashes + task.losses) as usize + unresolved
    }

    /// Forgets held tasks for which `is_over` returns true.
    pub fn forget_held(&mut self, is_over: impl Fn(&TaskKey) -> bool) {
        self.held.retain(|key, _| !is_over(key));
    }

    /// Returns the lost incarnations for which `matches` returns true.
    fn find(&self, matches: impl Fn(&&LostWorker) -> bool) -> Vec<LostIncarnation> {
        let found = self.workers.iter().filter(matches);
        found.map(|lost| lost.incarnation.clone()).collect()
    }

    /// Marks a worker as presumed to have crashed, and returns the tasks that were lost with it.
    fn presume_crashed(&mut self, incarnation: &LostIncarnation) -> Vec<TaskKey> {
        let mut workers = self.workers.iter_mut();
        let Some(lost) = workers.find(|lost| lost.incarnation == *incarnation) else {
            return Vec::new();
        };
        lost.presumed = true;
        lost.tasks.iter().copied().collect()
    }

    /// Removes and returns the workers for which `is_resolved` returns true.
    fn take(&mut self, is_resolved: impl Fn(&LostWorker) -> bool) -> Vec<LostWorker> {
        self.workers
            .extract_if(.., |lost| is_resolved(lost))
            .collect()
    }
}

/// Returns true when a task may have crashed so many workers that it would be abandoned.
pub(super) fn may_exceed_crashes(task: &Task) -> bool {
    task.suspected_crashes() >= MAX_FAILURES
}

/// Returns the time after the end of a lease from which on a worker that is listed has certainly
/// outlived it.
fn lapse_time(settings: &OwnerSettings) -> Millis {
    LAPSE_HEARTBEATS * settings.heartbeat + LAPSE_MARGIN
}

impl Owner {
    /// Returns true when so many workers have crashed under a task that it is abandoned.
    pub(super) fn has_exceeded_crashes(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| self.unresolved.count_crashes(task) >= MAX_FAILURES)
    }

    /// Returns true when a task must not be started until more is known of the workers that it was
    /// lost with. The members of a gang wait for each other.
    pub(super) fn must_hold(&self, key: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let exceeds = |key: &TaskKey| job.task(*key).is_some_and(may_exceed_crashes);
        self.gang_or_self(key).iter().any(exceeds)
    }

    /// Tracks the unresolved losses of a job that was read from the store.
    pub(super) fn load_losses(&mut self, number: u32) {
        let Some(job) = self.jobs.get(&number).filter(|job| job.is_open()) else {
            return;
        };
        let now = self.now.steady;
        for (key, task) in job.tasks(number) {
            for incarnation in &task.unresolved {
                self.unresolved.track(key, incarnation, None, now);
            }
        }
    }

    /// Resolves the losses of workers for which `is_resolved` returns true.
    fn resolve_losses(
        &mut self,
        resolution: Resolution,
        is_resolved: impl Fn(&LostWorker) -> bool,
    ) {
        for lost in self.unresolved.take(is_resolved) {
            for key in &lost.tasks {
                self.resolve_loss(*key, &lost.incarnation, resolution);
            }
        }
    }

    /// Resolves a loss of a task. Has no effect if it was cleared meanwhile.
    fn resolve_loss(
        &mut self,
        key: TaskKey,
        incarnation: &LostIncarnation,
        resolution: Resolution,
    ) {
        let job = self.jobs.get_mut(&key.job).filter(|job| job.is_open());
        let task = job.and_then(|job| job.task_mut(key));
        let Some(task) = task.filter(|task| task.unresolved.contains(incarnation)) else {
            return;
        };
        task.unresolved.retain(|other| other != incarnation);
        match resolution {
            Resolution::Survived => task.suspect &= task.suspected_crashes() > 0,
            Resolution::Crashed => task.losses += 1,
        }
        let counts = CrashCounts::of(task);
        self.journal.mark_changed(key.job);
        let (task, worker) = (self.task_name(key), &incarnation.worker);
        log::info!(target: "task", "task={task} event=loss-resolved worker={worker} how={resolution:?} {counts}");
        if self.has_exceeded_crashes(key) {
            return self.abandon_task(key);
        }
        self.release_held(key);
    }

    /// Resolves the losses of earlier and of the present incarnation of a worker that has answered.
    /// `restarted` is true when the answer has shown that it is a later one than was known; without
    /// boot times only the worker's clock shows that.
    pub(super) fn resolve_answered(&mut self, name: &Name, boot: BootTime, restarted: bool) {
        let order = |lost: &LostWorker| compare_boots(lost.incarnation.boot, boot);
        self.resolve_losses(Resolution::Crashed, |lost| {
            let later = order(lost) == BootOrder::Later;
            lost.is_of(name) && (later || (restarted && order(lost) == BootOrder::Same))
        });
        self.resolve_losses(Resolution::Survived, |lost| {
            lost.is_of(name) && order(lost) == BootOrder::Same
        });
    }

    /// Resolves the losses of workers at the address at which another one has answered.
    pub(super) fn resolve_replaced_at(&mut self, address: SocketAddr, name: &Name) {
        let may_have_moved = |lost: &&LostWorker| {
            let known = self.workers.get(&lost.incarnation.worker);
            known.is_some_and(|worker| !worker.is_known_at(address))
        };
        let replaced = self.unresolved.find(|lost| {
            lost.address == Some(address) && !lost.is_of(name) && !may_have_moved(lost)
        });
        self.resolve_losses(Resolution::Crashed, |lost| {
            replaced.contains(&lost.incarnation)
        });
    }

    /// Resolves the loss of an incarnation of a worker that has certainly ended.
    pub(super) fn resolve_ended(&mut self, name: &Name, end: IncarnationEnd) {
        let boot = self.workers.get(name).and_then(|worker| worker.boot);
        let resolution = match end {
            IncarnationEnd::Replaced => Resolution::Crashed,
            IncarnationEnd::Left => Resolution::Survived,
        };
        self.resolve_losses(resolution, |lost| {
            lost.is_of(name) && lost.incarnation.boot == boot
        });
    }

    /// Resolves losses by the time that has passed, while the store keeps the directory up to date.
    pub(super) fn review_losses(&mut self) {
        self.prune_losses();
        let held = self.unresolved.held.len() as i64;
        crate::metrics::get().held_tasks.set(held);
        let now = self.now.steady;
        let up_to_date = now >= self.last_store_trouble + STORE_OUTAGE_WINDOW;
        if self.unresolved.workers.is_empty() || !up_to_date || !self.directory_read {
            return;
        }
        let lapse = lapse_time(&self.settings);
        let outlived = |lost: &&LostWorker| {
            now >= lost.since + lapse && self.is_still_listed(&lost.incarnation)
        };
        let survivors = self.unresolved.find(outlived);
        self.resolve_losses(Resolution::Survived, |lost| {
            survivors.contains(&lost.incarnation)
        });
        self.presume_crashes();
    }

    /// Presumes that workers have crashed which have neither answered nor been listed for long.
    fn presume_crashes(&mut self) {
        let now = self.now.steady;
        let is_due = |lost: &&LostWorker| {
            let due = !lost.presumed && now >= lost.since + PRESUMPTION_DELAY;
            due && !self.is_still_listed(&lost.incarnation)
        };
        for incarnation in self.unresolved.find(is_due) {
            let tasks = self.unresolved.presume_crashed(&incarnation);
            log::info!(target: "worker", "worker={} event=presumed-crashed tasks={}", incarnation.worker, tasks.len());
            for key in tasks {
                if self.has_exceeded_crashes(key) {
                    self.abandon_task(key);
                }
            }
        }
    }

    /// Returns true while the directory lists a lost incarnation of a worker.
    fn is_still_listed(&self, incarnation: &LostIncarnation) -> bool {
        let is_same = |worker: &&Worker| {
            let order = compare_boots(incarnation.boot, worker.listing.boot);
            worker.presence == Presence::Listed && order == BootOrder::Same
        };
        let worker = self.workers.get(&incarnation.worker);
        worker.filter(is_same).is_some()
    }

    /// Forgets the losses of tasks whose jobs have ended, or whose counts were cleared.
    fn prune_losses(&mut self) {
        let jobs = &self.jobs;
        for lost in &mut self.unresolved.workers {
            let incarnation = &lost.incarnation;
            lost.tasks.retain(|key| {
                let job = jobs.get(&key.job).filter(|job| job.is_open());
                let task = job.and_then(|job| job.task(*key));
                task.is_some_and(|task| task.unresolved.contains(incarnation))
            });
        }
        self.unresolved
            .workers
            .retain(|lost| !lost.tasks.is_empty());
    }
}
