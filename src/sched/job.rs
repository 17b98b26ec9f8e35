//! State of one job and its tasks, as the owner holds it and as the store keeps it.

use serde::{Deserialize, Serialize};

use super::incarnation::BootTime;
use super::job_rows::Detail;
use super::shares::groups::GroupId;
use super::spec::{JobSpec, StepSpec};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// The queue that a job was submitted to, with the rules for its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Service whose workers run the tasks.
    pub service: Name,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job has failed.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Time that a job may take to be on time, in thousandths of its ideal duration.
    pub stretch: u32,
    /// Milliseconds beyond that time which still count as on time.
    pub slack: Millis,
    /// True when an advisor decides which workers may run a step.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub advised: bool,
}

/// Bytes that a task takes in memory: its state, its place among the waiting or placed tasks, and
/// what is learned of it. Checkpoints and crashes may add to that.
const TASK_BYTES: usize = 320;

/// Identifies a task at its current owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Number of the job at its current owner.
    pub job: u32,
    /// Round of a scheduled job; 0 otherwise.
    pub round: u32,
    /// Index of the step.
    pub step: u32,
    /// Index within the step.
    pub index: u32,
}

impl TaskKey {
    /// Returns the key of the step and round that the task belongs to.
    pub fn step_key(self) -> StepKey {
        StepKey {
            job: self.job,
            round: self.round,
            step: self.step,
        }
    }
}

/// Identifies one round of a step at its current owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// Number of the job at its current owner.
    pub job: u32,
    /// Round of a scheduled job; 0 otherwise.
    pub round: u32,
    /// Index of the step.
    pub step: u32,
}

impl StepKey {
    /// Returns the key of the task with an index.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey {
            job: self.job,
            round: self.round,
            step: self.step,
            index,
        }
    }
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The task waits for a start.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// The task was given to this worker and may be running.
    #[serde(rename = "p")]
    Placed(Name),
    /// The task has completed.
    #[serde(rename = "d")]
    Done,
}

/// Stored state of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Progress of the task.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Boot time of the worker that the task was last given to, if that worker reports one.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub boot: BootTime,
    /// True when the lease of that worker may have been extended by an order to an earlier
    /// incarnation, up to the longest lease.
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    pub long_lease: bool,
    /// Number of the last run; 0 before the first.
    #[serde(rename = "r", default)]
    pub run: u32,
    /// Number of failed runs.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Last checkpoint; empty for none.
    #[serde(rename = "s", default, skip_serializing_if = "is_empty")]
    pub checkpoint: Name,
    /// Number of workers that have certainly crashed while they ran the task.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Number of workers that have certainly crashed while they may have run the task.
    #[serde(rename = "d", default, skip_serializing_if = "is_zero")]
    pub losses: u32,
    /// Workers that were lost with a run of the task, and of which it is not known whether they
    /// crashed.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unresolved: Vec<LostIncarnation>,
    /// Number of workers that were lost with the task at the same time as many others.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub outages: u32,
    /// True when the task may have caused the last of these failures.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
    /// Second run of the task that may be under way on another worker.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub copy: Option<StoredCopy>,
    /// Highest run number that a copy was given. Kept after the copy has ended, as a later run must
    /// have a higher number; 0 for none.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub last_copy: u32,
}

impl Task {
    /// Returns the number of the next run, above those of all earlier runs and copies.
    pub fn next_run(&self) -> u32 {
        self.run.max(self.last_copy) + 1
    }

    /// Returns the number of workers that have crashed, or may have, while they ran the task.
    /// Outages are left out.
    pub fn suspected_crashes(&self) -> usize {
        (self.crashes + self.losses) as usize + self.unresolved.len()
    }

    /// Forgets all workers that were lost with the task.
    pub fn clear_crashes(&mut self) {
        self.crashes = 0;
        self.losses = 0;
        self.unresolved.clear();
        self.outages = 0;
    }
}

/// Incarnation of a worker that was lost while it ran a task, or was about to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostIncarnation {
    /// Id of the worker.
    #[serde(rename = "p")]
    pub worker: Name,
    /// When it started, if it reports that.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub boot: BootTime,
}

/// Stored state of a copy of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCopy {
    /// Worker that the copy was given to.
    #[serde(rename = "p")]
    pub worker: Name,
    /// Number of the run.
    #[serde(rename = "r")]
    pub run: u32,
    /// Boot time of the worker, if it reports one.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub boot: BootTime,
    /// True when the lease of the worker may have been extended up to the longest lease.
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    pub long_lease: bool,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_empty(text: &Name) -> bool {
    text.is_empty()
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The job is not finished.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl Outcome {
    /// Returns the state that is reported to callers; `begun` is true once a task has begun.
    pub fn state(self, begun: bool) -> JobState {
        match self {
            Self::Completed => JobState::Completed,
            Self::Failed => JobState::Failed,
            Self::Cancelled => JobState::Cancelled,
            Self::Open if begun => JobState::Running,
            Self::Open => JobState::Queued,
        }
    }
}

/// The row of a job in the store, replaced with each change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Queue as configured when the job was accepted.
    pub queue: Queue,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted: Millis,
    /// Outcome of the job.
    pub outcome: Outcome,
    /// When the job ended, in milliseconds since the Unix epoch; 0 while it is open.
    pub ended: Millis,
    /// True once a worker has begun a task. Stored with the next other change.
    #[serde(default)]
    pub begun: bool,
    /// Tasks by round, step and index.
    pub rounds: Vec<Vec<Vec<Task>>>,
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// At least one task has begun.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// A job as its owner holds it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: Name,
    /// Description given by the caller.
    pub spec: std::sync::Arc<JobSpec>,
    /// Current state, which may be newer than the one in the store.
    pub row: JobRow,
    /// Outcome that the store is known to have; only this one is reported to callers.
    pub stored_outcome: Outcome,
    /// Outcome in the latest commit.
    pub sent_outcome: Outcome,
    /// True once the store is known to have the job.
    pub stored: bool,
    /// What the latest commit says of each task.
    pub stored_detail: Detail,
    /// True when the latest commit replaces the job's rows by a small row of the history.
    pub archived: bool,
    /// Group of the job in the shares; `None` for a job that they do not track.
    pub(super) group: Option<GroupId>,
}

impl Job {
    /// Returns a job that was just submitted.
    pub fn new(id: Name, spec: JobSpec, queue: Queue, accepted: Millis) -> Self {
        let mut job = Self {
            id,
            spec: spec.into(),
            row: JobRow {
                queue,
                accepted,
                outcome: Outcome::Open,
                ended: 0,
                begun: false,
                rounds: Vec::new(),
            },
            stored_outcome: Outcome::Open,
            sent_outcome: Outcome::Open,
            stored: false,
            stored_detail: Detail::Full,
            archived: false,
            group: None,
        };
        if job.spec.schedule.is_none() {
            job.add_round();
        }
        job
    }

    /// Returns a job as read from the store.
    pub fn from_stored(id: Name, spec: JobSpec, row: JobRow) -> Self {
        Self {
            id,
            spec: spec.into(),
            stored_outcome: row.outcome,
            sent_outcome: row.outcome,
            row,
            stored: true,
            stored_detail: Detail::Full,
            archived: false,
            group: None,
        }
    }

    /// Returns the bytes that a job takes in memory until its end, with all of its rounds.
    pub fn memory(spec: &JobSpec) -> usize {
        size_of::<Self>() + spec.memory() + spec.task_count() as usize * TASK_BYTES
    }

    fn add_round(&mut self) {
        let tasks = |step: &StepSpec| vec![Task::default(); step.count as usize];
        self.row
            .rounds
            .push(self.spec.steps.iter().map(tasks).collect());
    }

    /// Adds the rounds of a scheduled job that are due. Returns true when there were any.
    pub fn add_due_rounds(&mut self, wall: Millis) -> bool {
        let Some(schedule) = self.spec.schedule else {
            return false;
        };
        let before = self.row.rounds.len();
        while self.is_open() && self.row.rounds.len() < schedule.rounds as usize {
            let due = schedule.first + schedule.interval * self.row.rounds.len() as u64;
            if due > wall {
                break;
            }
            self.add_round();
        }
        self.row.rounds.len() > before
    }

    /// Returns true while the job is not finished.
    pub fn is_open(&self) -> bool {
        self.row.outcome == Outcome::Open
    }

    /// Returns the state of a task.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let step = self
            .row
            .rounds
            .get(key.round as usize)?
            .get(key.step as usize)?;
        step.get(key.index as usize)
    }

    /// Returns the state of a task, mutably.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let round = self.row.rounds.get_mut(key.round as usize)?;
        round
            .get_mut(key.step as usize)?
            .get_mut(key.index as usize)
    }

    /// Returns the description of a task's step.
    pub fn step(&self, key: TaskKey) -> &StepSpec {
        &self.spec.steps[key.step as usize]
    }

    /// Returns the name by which workers know a task.
    pub fn task_name(&self, key: TaskKey) -> String {
        format!("{}.{}.{}.{}", self.id, key.round, key.step, key.index)
    }

    /// Returns the duration of the critical path by the declared estimates, in milliseconds.
    pub fn ideal_duration(&self) -> Millis {
        self.spec.ideal_duration()
    }

    /// Returns the duration of the longest chain of dependent steps, where `duration` returns
    /// that of a step by its index.
    pub fn critical_path(&self, duration: impl Fn(usize) -> Millis) -> Millis {
        self.spec.critical_path(duration)
    }

    /// Returns true when all steps that a step depends on are done.
    pub fn dependencies_done(&self, round: usize, step: usize) -> bool {
        let steps = &self.row.rounds[round];
        let done = |s: &usize| steps[*s].iter().all(|t| t.phase == Phase::Done);
        self.spec.steps[step].depends_on.iter().all(done)
    }

    /// Returns true when all tasks of all rounds are done.
    pub fn all_done(&self) -> bool {
        let rounds = self.spec.schedule.map_or(1, |s| s.rounds as usize);
        let mut tasks = self.row.rounds.iter().flatten().flatten();
        self.row.rounds.len() >= rounds && tasks.all(|t| t.phase == Phase::Done)
    }

    /// Returns all tasks with their keys, where `number` is that of the job.
    pub fn tasks(&self, number: u32) -> impl Iterator<Item = (TaskKey, &Task)> {
        let rounds = self.row.rounds.iter().enumerate();
        rounds.flat_map(move |(round, steps)| {
            steps.iter().enumerate().flat_map(move |(step, tasks)| {
                tasks.iter().enumerate().map(move |(index, task)| {
                    let key = TaskKey {
                        job: number,
                        round: round as u32,
                        step: step as u32,
                        index: index as u32,
                    };
                    (key, task)
                })
            })
        })
    }

    /// Returns the state that is reported to callers. Its outcome is never ahead of the store.
    pub fn state(&self) -> JobState {
        self.stored_outcome.state(self.row.begun)
    }
}

/// Parses the name of a task into the job's id, round, step and index.
pub fn parse_task_name(name: &str) -> Option<(&str, u32, u32, u32)> {
    let mut parts = name.rsplitn(4, '.');
    let index = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let round = parts.next()?.parse().ok()?;
    Some((parts.next()?, round, step, index))
}
