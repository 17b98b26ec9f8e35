//! Job shards: the tasks of a job that lie in a cell, and where each of them is.

use std::collections::BTreeMap;

use super::Action;
use super::runs::{Run, RunId};
use super::state::{Cell, SILENT};
use super::worker::Worker;
use crate::job::{JobShardRow, Phase, VersionedShard};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Where a task is, beyond what its row tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It may be started.
    Waiting,
    /// An earlier owner may have started it where nobody answers.
    Held,
    /// It may be running.
    Running(RunId),
    /// Its last run has ended and that is not recorded yet.
    Recording,
    /// It needs no further run.
    Ended,
}

impl TaskState {
    /// Returns the word for operators.
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

/// What one write of a job shard's row settles.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub(super) seq: u64,
    pub(super) recorded: Vec<usize>,
    pub(super) acks: Vec<(Name, RunId)>,
}

/// A job shard of the cell.
#[derive(Clone, Debug)]
pub struct JobShard {
    /// Version of its row.
    pub version: u64,
    /// Its row as it is to be.
    pub row: JobShardRow,
    /// Where each task is.
    pub states: Vec<TaskState>,
    /// True once its job was cancelled.
    pub cancelled: bool,
    /// When a task of it last started, or when it came.
    pub(super) last_start: Millis,
    pub(super) dirty: bool,
    pub(super) pending_write: Option<PendingWrite>,
    pub(super) needs_reread: bool,
    pub(super) acks: Vec<(Name, RunId)>,
    /// Worker of the last failed run of each task.
    pub(super) failed_on: BTreeMap<usize, Name>,
    /// Young runs of each task that went without a word under this owner.
    pub(super) vanished_runs: BTreeMap<usize, u32>,
}

impl JobShard {
    pub(super) fn new(now: Millis, versioned: VersionedShard, fresh: bool) -> Self {
        let start = |phase| match phase {
            Phase::Open if fresh => TaskState::Waiting,
            Phase::Open => TaskState::Held,
            _ => TaskState::Ended,
        };
        let states = versioned.row.tasks.iter().map(|t| start(t.phase)).collect();
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
            vanished_runs: BTreeMap::new(),
        }
    }

    /// Returns true when every task has ended and that is recorded.
    pub fn is_ended(&self) -> bool {
        let done = self.states.iter().all(|l| *l == TaskState::Ended);
        done && !self.dirty && self.pending_write.is_none()
    }

    /// Returns true when its row must be read, as a write is in doubt.
    pub fn needs_reread(&self) -> bool {
        self.needs_reread
    }

    /// Returns true when nothing of it is to be written or read.
    pub fn is_settled(&self) -> bool {
        !self.dirty && self.pending_write.is_none() && !self.needs_reread
    }

    fn task_index(&self, task: u32) -> Option<usize> {
        self.row.tasks.iter().position(|t| t.index == task)
    }
}

impl Cell {
    /// Takes in the job shards of the cell as read after it was won.
    pub fn load_shards(&mut self, now: Millis, shards: Vec<VersionedShard>) {
        // Nothing of an earlier owner can be running where there was none.
        let fresh = self.epoch == 1;
        for versioned in shards {
            self.add_shard(now, versioned, fresh);
        }
        self.loaded = true;
        self.loaded_at = now;
    }

    /// Takes in a job shard that was read later: new, or known already.
    pub fn add_new_shard(&mut self, now: Millis, versioned: VersionedShard) {
        // A read that is older than the end of a job shard must not bring it back.
        let closed = self.ended_shards.get(&versioned.key);
        let old = closed.is_some_and(|version| versioned.version <= *version);
        if old || self.shards.contains_key(&versioned.key) || !self.loaded {
            return;
        }
        // Another owner's mark means that it may have been started before.
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

    /// Returns the run of a task and its worker.
    pub fn find_run(&self, live: &TaskState) -> Option<(&Worker, &Run)> {
        let TaskState::Running(id) = live else {
            return None;
        };
        let holds = |w: &'_ &Worker| w.runs.contains_key(id);
        let worker = self.workers.values().find(holds)?;
        Some((worker, worker.runs.get(id)?))
    }

    /// Cancels the tasks of some jobs; what runs is stopped.
    pub fn cancel_jobs(&mut self, jobs: &[Name]) -> Vec<Action> {
        for shard in self.shards.values_mut() {
            if !jobs.contains(&shard.row.spec.id) || shard.cancelled {
                continue;
            }
            shard.cancelled = true;
            end_waiting(shard);
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

    /// Lets tasks start that an earlier owner can no longer have running.
    ///
    /// A start that it sent may lie unread before a worker that stands still,
    /// so every listed worker must have answered, and some time ago. What it
    /// told before the job shards were read is told again by its next answer.
    pub fn release_held_tasks(&mut self, now: Millis) {
        let since = self.loaded_at + self.timings.poll_interval * SILENT;
        let told = |w: &Worker| {
            w.responsive && w.valid_until >= since && now > w.responsive_since + self.margin
        };
        let settled = |w: &Worker| !w.listed || told(w);
        if now < self.hold_until || !self.loaded || !self.workers.values().all(settled) {
            return;
        }
        for shard in self.shards.values_mut() {
            // Work that a worker told of is recorded before it is resumed.
            if !shard.is_settled() {
                continue;
            }
            for live in &mut shard.states {
                if *live == TaskState::Held {
                    *live = TaskState::Waiting;
                }
            }
            if shard.cancelled {
                end_waiting(shard);
            }
        }
    }

    /// Returns the job shard of a task and its place in there.
    pub(super) fn find_task(&mut self, job: &Name, task: u32) -> Option<(&mut JobShard, usize)> {
        let holds = |l: &&mut JobShard| l.row.spec.id == *job && l.task_index(task).is_some();
        let shard = self.shards.values_mut().find(holds)?;
        let index = shard.task_index(task)?;
        Some((shard, index))
    }
}

/// Ends the waiting tasks of a job shard whose job was cancelled.
pub(super) fn end_waiting(shard: &mut JobShard) {
    for (index, live) in shard.states.iter_mut().enumerate() {
        if *live == TaskState::Waiting {
            *live = TaskState::Ended;
            shard.row.tasks[index].phase = Phase::Cancelled;
            shard.dirty = true;
        }
    }
}
