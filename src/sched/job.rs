//! The state of one job, and how it is kept in the store.

use serde::{Deserialize, Serialize};

use super::incarnation::BootTime;
use super::spec::{JobSpec, StepSpec};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// The queue that a job was handed to, with what decides about its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Service whose workers run the tasks.
    pub service: Name,
    /// 0 goes first.
    pub priority: u32,
    /// Failed runs of one task after which the job has failed.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Thousandths of its ideal run time that a job may take to be on time.
    pub stretch: u32,
    /// Milliseconds beyond that which still count as on time.
    pub slack: Millis,
    /// True when an advisor tells which workers may run a step.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub advised: bool,
}

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Number of the job at its present owner.
    pub job: u32,
    /// Round of a scheduled job; 0 otherwise.
    pub round: u32,
    /// Step.
    pub step: u32,
    /// Number within the step.
    pub index: u32,
}

impl TaskKey {
    /// Returns the step and round that the task belongs to.
    pub fn step_key(self) -> StepKey {
        StepKey {
            job: self.job,
            round: self.round,
            step: self.step,
        }
    }
}

/// One round of a step of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// Number of the job at its present owner.
    pub job: u32,
    /// Round of a scheduled job; 0 otherwise.
    pub round: u32,
    /// Step.
    pub step: u32,
}

impl StepKey {
    /// Returns a task of it.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey {
            job: self.job,
            round: self.round,
            step: self.step,
            index,
        }
    }
}

/// How far a task is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for a start.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// Given to a worker; it may be running there.
    #[serde(rename = "p")]
    Placed(Name),
    /// Ended well.
    #[serde(rename = "d")]
    Done,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// How far it is.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Start of the worker that it was last given to, where that told it.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub boot: BootTime,
    /// Number of the last run; 0 before the first.
    #[serde(rename = "r", default)]
    pub run: u32,
    /// Runs that ended as failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Last checkpoint; empty for none.
    #[serde(rename = "s", default, skip_serializing_if = "is_empty")]
    pub checkpoint: Name,
    /// Workers that have certainly crashed under it.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Workers that may have crashed under it, by its start.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub losses: u32,
    /// Workers that went under it at once with many others.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub outages: u32,
    /// True when it may have caused the last of these.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

fn is_empty(text: &Name) -> bool {
    text.is_empty()
}

/// Whether a job goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It goes on.
    #[default]
    Open,
    /// All its tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl Outcome {
    /// Returns what callers are shown; `begun` once a task has.
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

/// The row of a job, written anew with each change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Queue as it was when the job was accepted.
    pub queue: Queue,
    /// Milliseconds since the Unix epoch of its acceptance.
    pub accepted: Millis,
    /// Whether it goes on.
    pub outcome: Outcome,
    /// Milliseconds since the Unix epoch of its end; 0 while it is open.
    pub ended: Millis,
    /// True once a worker has begun one of its tasks; written with the next change.
    #[serde(default)]
    pub begun: bool,
    /// Tasks by round, step and index.
    pub rounds: Vec<Vec<Vec<Task>>>,
}

/// What callers are shown of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// At least one task has begun.
    Running,
    /// All tasks are done.
    Completed,
    /// Given up after failures.
    Failed,
    /// Cancelled.
    Cancelled,
}

/// A job at its owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: Name,
    /// What was asked for.
    pub spec: std::sync::Arc<JobSpec>,
    /// State as the owner knows it.
    pub row: JobRow,
    /// The outcome that the store is known to hold; callers are shown only this.
    pub stored_outcome: Outcome,
    /// The outcome in the commit that was built last.
    pub sent_outcome: Outcome,
    /// True once the store is known to hold the job.
    pub stored: bool,
    /// True when the commit that was built last puts its small row in place of these.
    pub archived: bool,
}

impl Job {
    /// Returns a job that was just handed in.
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
            archived: false,
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
            archived: false,
        }
    }

    fn add_round(&mut self) {
        let tasks = |step: &StepSpec| vec![Task::default(); step.count as usize];
        self.row
            .rounds
            .push(self.spec.steps.iter().map(tasks).collect());
    }

    /// Adds the rounds of a scheduled job that are due; true when there was one.
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

    /// Returns true while the job goes on.
    pub fn is_open(&self) -> bool {
        self.row.outcome == Outcome::Open
    }

    /// Returns a task.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let step = self
            .row
            .rounds
            .get(key.round as usize)?
            .get(key.step as usize)?;
        step.get(key.index as usize)
    }

    /// Returns a task for changing it.
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

    /// Returns the name of a task on its workers.
    pub fn task_name(&self, key: TaskKey) -> String {
        format!("{}.{}.{}.{}", self.id, key.round, key.step, key.index)
    }

    /// Returns the declared milliseconds of its longest chain of steps.
    pub fn ideal_duration(&self) -> Millis {
        self.critical_path(|step| self.spec.steps[step].estimate)
    }

    /// Returns the longest chain of steps, where `span` gives the time of each.
    pub fn critical_path(&self, span: impl Fn(usize) -> Millis) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.spec.steps.len());
        for (place, step) in self.spec.steps.iter().enumerate() {
            let start = step.depends_on.iter().filter_map(|a| ends.get(*a)).max();
            ends.push(start.copied().unwrap_or(0) + span(place));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns true when all steps that a step waits for are done.
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

    /// Returns all tasks with their keys; `number` is the job's number.
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

    /// Returns what callers are shown, which is never ahead of the store.
    pub fn state(&self) -> JobState {
        self.stored_outcome.state(self.row.begun)
    }
}

/// Splits the name of a task into the job's id, round, step and index.
pub fn parse_task_name(name: &str) -> Option<(&str, u32, u32, u32)> {
    let mut parts = name.rsplitn(4, '.');
    let index = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let round = parts.next()?.parse().ok()?;
    Some((parts.next()?, round, step, index))
}
