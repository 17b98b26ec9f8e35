//! Handles workers that have ended or whose leases have run out, and releases their tasks.

use super::crashes::{CrashEvidence, listed_for};
use super::job::TaskKey;
use super::owner::Owner;
use super::worker::{Presence, Worker};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// How an incarnation of a worker has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationEnd {
    /// Another incarnation has taken its place.
    Replaced,
    /// It left as announced.
    Left,
}

impl IncarnationEnd {
    /// Returns the reason in log lines.
    fn reason(self) -> &'static str {
        match self {
            Self::Replaced => "another-life",
            Self::Left => "has-left",
        }
    }
}

impl Owner {
    /// Removes an incarnation of a worker that has certainly ended, and releases its tasks.
    pub(super) fn end_incarnation(&mut self, name: &Name, end: IncarnationEnd) {
        self.log_incarnation_end(name, end);
        if end == IncarnationEnd::Replaced {
            // A run that is lost with its worker reports no failure. Without a count of these
            // crashes, one task crashed a worker every 3 s for as long as its job was open.
            self.record_crash(name, CrashEvidence::Replaced);
        }
        self.resolve_ended(name, end);
        self.release_worker_tasks(name);
        self.forget_permits(name);
        self.cancel_reservation(name);
        self.remove_worker(name);
    }

    /// Logs the end of an incarnation and each run that is lost with it. The age of a run is the
    /// time for which the worker had listed it: a young run may have caused the end.
    pub(super) fn log_incarnation_end(&self, name: &Name, end: IncarnationEnd) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (tasks, presence) = (worker.placements.len(), worker.presence);
        let silent = self.now.steady - worker.last_answer;
        let incarnation = worker.incarnation();
        log::info!(target: "worker", "worker={incarnation} event=over reason={} tasks={tasks} presence={presence:?} silent_ms={silent}", end.reason());
        crate::metrics::get().orphaned_runs.inc_by(tasks as u64);
        for (key, run) in &worker.placements {
            let task = self.task_name(*key);
            let age = listed_for(worker, run);
            let (run, stage) = (run.run, run.stage);
            log::info!(target: "task", "task={task} run={run} event=orphaned worker={incarnation} stage={stage:?} age_ms={age}");
        }
    }

    /// Releases all tasks of a worker.
    fn release_worker_tasks(&mut self, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (keys, unseen) = (worker.placements.keys(), worker.last_answer == 0);
        let keys: Vec<TaskKey> = keys.copied().collect();
        for key in keys {
            if unseen {
                self.mark_unseen(key);
            }
            self.release_run(key, name);
        }
    }

    /// Marks a lasting task, whose run no worker has reported to this owner, as interrupted since
    /// this owner began.
    fn mark_unseen(&mut self, key: TaskKey) {
        let job = self.jobs.get(&key.job);
        if job.is_some_and(|job| job.is_open() && job.step(key).lasting) {
            self.interrupted.entry(key).or_insert(self.began);
        }
    }

    /// Returns when every lease of a worker has certainly ended. A worker that has answered this
    /// owner refuses the orders of earlier ones, which have lower fences.
    pub(super) fn leases_end_on(&self, worker: &Worker) -> Millis {
        match worker.last_answer {
            0 => worker.lease_end().max(self.inherited_leases_end),
            _ => worker.lease_end(),
        }
    }

    /// Releases the tasks of silent workers whose leases have certainly ended, and removes
    /// unlisted workers without tasks.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now.steady;
        let ended = |w: &Worker| now > self.leases_end_on(w);
        let silent = |w: &&Worker| !w.is_answering(now) && ended(w) && w.missed_polls > 0;
        let ended: Vec<Name> = self
            .workers
            .values()
            .filter(silent)
            .filter(|w| !w.placements.is_empty() || is_removable(w.presence))
            .map(|w| w.listing.id.clone())
            .collect();
        for name in ended {
            let worker = &self.workers[&name];
            let (tasks, presence) = (worker.placements.len(), worker.presence);
            log::info!(target: "worker", "worker={name} event=lapsed tasks={tasks} presence={presence:?}");
            self.count_lapsed_runs(tasks);
            self.record_crash(&name, CrashEvidence::Silent);
            self.log_lapsed_runs(&name);
            self.release_worker_tasks(&name);
            if is_removable(presence) {
                self.remove_worker(&name);
            }
        }
        let drained = |w: &&Worker| {
            w.presence == Presence::Removed && w.placements.is_empty() && w.completions.all_stored()
        };
        let drained: Vec<Name> = self
            .workers
            .values()
            .filter(drained)
            .map(|w| w.listing.id.clone())
            .collect();
        for name in drained {
            self.remove_worker(&name);
        }
        self.release_unlisted_tasks();
    }

    /// Releases tasks that are stored as placed on workers that this owner never saw listed, once
    /// the leases granted by earlier owners have ended.
    fn release_unlisted_tasks(&mut self) {
        let now = self.now.steady;
        if now <= self.inherited_leases_end {
            return;
        }
        let ended = |tasks: &[TaskKey]| now > self.inherited_lease_end(tasks);
        let lapsed = self.unadopted.iter().filter(|(_, tasks)| ended(tasks));
        let names: Vec<Name> = lapsed.map(|(name, _)| name.clone()).collect();
        for name in names {
            let keys = self.unadopted.remove(&name).unwrap_or_default();
            let still_placed = |key: &TaskKey| self.is_on(*key, &name);
            let lost: Vec<TaskKey> = keys.into_iter().filter(still_placed).collect();
            self.count_lapsed_runs(lost.len());
            self.record_unseen_crashes(&lost, &name, CrashEvidence::Silent);
            for key in lost {
                let task = self.task_name(key);
                log::info!(target: "task", "task={task} event=lapsed worker={name} listed=false");
                self.mark_unseen(key);
                self.release_run(key, &name);
            }
        }
    }

    /// Logs the runs of a silent worker whose leases have certainly ended, with the time since
    /// these ends and since its last answer or, without one, the beginning of this owner.
    fn log_lapsed_runs(&self, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (now, incarnation) = (self.now.steady, worker.incarnation());
        let own = now.saturating_sub(worker.lease_end());
        let inherited = now.saturating_sub(self.inherited_leases_end);
        let silent = now.saturating_sub(worker.last_answer.max(self.began));
        for (key, run) in &worker.placements {
            let task = self.task_name(*key);
            let (run, stage) = (run.run, run.stage);
            log::info!(target: "task", "task={task} run={run} event=lapsed worker={incarnation} stage={stage:?} lease_ended_ms={own} inherited_ended_ms={inherited} silent_ms={silent}");
        }
    }

    /// Counts runs that were released because the lease of their silent worker had ended.
    fn count_lapsed_runs(&mut self, runs: usize) {
        self.lapsed_runs += runs as u64;
        crate::metrics::get().lapsed_runs.inc_by(runs as u64);
    }
}

/// Returns true when a silent worker with this presence may be removed: a worker that comes
/// back is listed again, while an unusable entry of another writer may stay forever.
fn is_removable(presence: Presence) -> bool {
    matches!(presence, Presence::Removed | Presence::Unusable)
}
