//! Job shards: the tasks of a job that belong to one cell, and the state of each task.

use std::collections::{BTreeMap, BTreeSet};

use super::Action;
use super::runs::{Run, RunId};
use super::state::{Cell, SILENT_POLLS};
use super::worker::Worker;
use crate::job::{JobShardRow, Phase, VersionedShard};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// State of a task, beyond the phase that its row records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The task may be started.
    Waiting,
    /// An earlier owner may have started the task on a worker that does not answer.
    Held,
    /// The task has a run that may be in progress.
    Running(RunId),
    /// The last run has ended, which is not recorded yet.
    Recording,
    /// The task needs no further run.
    Ended,
}

impl TaskState {
    /// Returns the name shown to operators.
    pub fn as_str(&self, phase: Phase) -> &'static str {
        match (self, phase) {
            (Self::Waiting, _) => "waiting",
            (Self::Held, _) => "held",
            (Self::Running(_), _) => "running",
            (Self::Recording, _) => "recording",
            (Self::Ended, Phase::Done) => "done",
            (Self::Ended, Phase::Failed) => "failed",
            (Self::Ended, _) => "cancelled",
        }
    }
}

/// A write of a job shard's row that is in progress or in doubt.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    /// Sequence number in the written row.
    pub(super) seq: u64,
    /// Indexes of the tasks in state `Recording` that may start again after the write.
    pub(super) recorded: Vec<usize>,
    /// Ended runs, with their workers, that may be acknowledged after the write.
    pub(super) acks: Vec<(Name, RunId)>,
}

/// A job shard of the cell.
#[derive(Clone, Debug)]
pub struct JobShard {
    /// Version of the stored row.
    pub version: u64,
    /// The row with all changes, including those that are not written yet.
    pub row: JobShardRow,
    /// State of each task, in the order of the row's tasks.
    pub states: Vec<TaskState>,
    /// True once the job was cancelled.
    pub cancelled: bool,
    /// When a task of the shard was last started, or when the shard was added.
    pub(super) last_start: Millis,
    /// True when the row has changes that no write contains.
    pub(super) dirty: bool,
    pub(super) pending_write: Option<PendingWrite>,
    /// True when the row must be read because a write is in doubt.
    pub(super) needs_reread: bool,
    /// Ended runs, with their workers, that the next write records.
    pub(super) acks: Vec<(Name, RunId)>,
    /// Worker of the last failed run of each task.
    pub(super) failed_on: BTreeMap<usize, Name>,
    /// Tasks whose last failure is not counted.
    pub(super) discounted: BTreeSet<usize>,
    /// Number of young runs of each task that were lost under this owner.
    pub(super) lost_runs: BTreeMap<usize, u32>,
}

impl JobShard {
    /// Returns a shard from its row. Its open tasks are waiting when `fresh`, and held when
    /// an earlier owner may have started them.
    pub(super) fn new(now: Millis, versioned: VersionedShard, fresh: bool) -> Self {
        let state = |phase| match phase {
            Phase::Open if fresh => TaskState::Waiting,
            Phase::Open => TaskState::Held,
            _ => TaskState::Ended,
        };
        let states = versioned.row.tasks.iter().map(|t| state(t.phase)).collect();
        Self {
            version: versioned.version,
            row: versioned.row,
            states,
            cancelled: false,
            last_start: now,
            dirty: false,
            pending_write: None,
            needs_reread: false,
            acks: Vec::new(),
            failed_on: BTreeMap::new(),
            discounted: BTreeSet::new(),
            lost_runs: BTreeMap::new(),
        }
    }

    /// Returns true when every task has ended and the row is written.
    pub fn is_ended(&self) -> bool {
        let done = self.states.iter().all(|s| *s == TaskState::Ended);
        done && !self.dirty && self.pending_write.is_none()
    }

    /// Returns true when the row must be read because a write is in doubt.
    pub fn needs_reread(&self) -> bool {
        self.needs_reread
    }

    /// Returns true when no write or read of the row is due or in progress.
    pub fn is_settled(&self) -> bool {
        !self.dirty && self.pending_write.is_none() && !self.needs_reread
    }

    fn task_index(&self, task: u32) -> Option<usize> {
        self.row.tasks.iter().position(|t| t.index == task)
    }
}

impl Cell {
    /// Adds the job shards that were read after this box became the owner of the cell.
    pub fn load_shards(&mut self, now: Millis, shards: Vec<VersionedShard>) {
        // Under the first epoch there are no runs of an earlier owner.
        let fresh = self.epoch == 1;
        for versioned in shards {
            self.add_shard(now, versioned, fresh);
        }
        self.loaded = true;
        self.loaded_at = now;
    }

    /// Replaces the jobs with a row that can't be decoded.
    pub fn set_unreadable(&mut self, jobs: BTreeSet<Name>) {
        self.unreadable_jobs = jobs;
    }

    /// Adds a job shard that was read later, unless it is known or has ended.
    pub fn add_new_shard(&mut self, now: Millis, versioned: VersionedShard) {
        // The read may be older than the end of the job shard.
        let ended = self.ended_shards.get(&versioned.key);
        let stale = ended.is_some_and(|version| versioned.version <= *version);
        if stale || self.shards.contains_key(&versioned.key) || !self.loaded {
            return;
        }
        // A row with an epoch was written by an owner, which may have started tasks.
        let fresh = versioned.row.epoch == 0;
        self.add_shard(now, versioned, fresh);
    }

    pub(super) fn add_shard(&mut self, now: Millis, versioned: VersionedShard, fresh: bool) {
        let key = versioned.key.clone();
        let shard = JobShard::new(now, versioned, fresh);
        if !shard.is_ended() {
            self.shards.entry(key).or_insert(shard);
        }
    }

    /// Returns the run of a task in state `Running`, and its worker.
    pub fn find_run(&self, state: &TaskState) -> Option<(&Worker, &Run)> {
        let TaskState::Running(id) = state else {
            return None;
        };
        let has_run = |w: &'_ &Worker| w.runs.contains_key(id);
        let worker = self.workers.values().find(has_run)?;
        Some((worker, worker.runs.get(id)?))
    }

    /// Cancels the waiting tasks of `jobs` and stops their runs.
    pub fn cancel_jobs(&mut self, jobs: &[Name]) -> Vec<Action> {
        for shard in self.shards.values_mut() {
            if !jobs.contains(&shard.row.spec.id) || shard.cancelled {
                continue;
            }
            shard.cancelled = true;
            cancel_waiting(shard);
        }
        let mut stops = Vec::new();
        for worker in self.workers.values() {
            let runs = worker.running_runs().filter(|r| jobs.contains(&r.job));
            stops.extend(runs.map(|r| (worker.name.clone(), r.id)));
        }
        stops
            .into_iter()
            .filter_map(|(worker, run)| self.stop(&worker, run, false))
            .collect()
    }

    /// Lets tasks start that can no longer have a run of an earlier owner.
    ///
    /// A start that the earlier owner sent may still be unread at a suspended worker. Every
    /// listed worker must therefore have answered since the job shards were read, and the
    /// margin must have passed since the worker became responsive. Reports that arrived
    /// before the job shards were read are repeated in the worker's next answer.
    pub fn release_held_tasks(&mut self, now: Millis) {
        let since = self.loaded_at + self.timings.poll_interval * SILENT_POLLS;
        let answered = |w: &Worker| {
            w.responsive && w.valid_until >= since && now > w.responsive_since + self.margin
        };
        let settled = |w: &Worker| !w.listed || answered(w);
        if now < self.hold_until || !self.loaded || !self.workers.values().all(settled) {
            return;
        }
        for shard in self.shards.values_mut() {
            // Progress that a worker reported is recorded before the task starts again.
            if !shard.is_settled() {
                continue;
            }
            for state in &mut shard.states {
                if *state == TaskState::Held {
                    *state = TaskState::Waiting;
                }
            }
            if shard.cancelled {
                cancel_waiting(shard);
            }
        }
    }

    /// Returns the job shard that holds a task, and the task's index in the shard.
    pub(super) fn find_task(&mut self, job: &Name, task: u32) -> Option<(&mut JobShard, usize)> {
        let has_task = |s: &&mut JobShard| s.row.spec.id == *job && s.task_index(task).is_some();
        let shard = self.shards.values_mut().find(has_task)?;
        let index = shard.task_index(task)?;
        Some((shard, index))
    }
}

/// Cancels the waiting tasks of a job shard.
pub(super) fn cancel_waiting(shard: &mut JobShard) {
    for (index, state) in shard.states.iter_mut().enumerate() {
        if *state == TaskState::Waiting {
            *state = TaskState::Ended;
            shard.row.tasks[index].phase = Phase::Cancelled;
            shard.dirty = true;
        }
    }
}
