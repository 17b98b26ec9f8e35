//! What a caller asks for: a job of steps, each with tasks of one shape.

use serde::{Deserialize, Serialize};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Most tasks of one job, so that its row fits the store's bound on rows.
pub const TASK_LIMIT: u64 = 2_000;

/// Most of any part of a task's room: far beyond every machine, and small enough for sums
/// and products of it to be exact.
pub const RESOURCE_LIMIT: u64 = 1 << 40;
/// Longest time that may be declared, in milliseconds: a century.
pub const TIME_LIMIT: Millis = 100 * 366 * 24 * 3_600 * 1_000;

/// A job as its caller described it; it never changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text handed to the worker with each task.
    #[serde(rename = "text")]
    pub payload: Name,
    /// Steps, which refer to each other by their place here.
    pub steps: Vec<StepSpec>,
    /// When the steps run; none runs them once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Repeated runs of all steps of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of rounds.
    pub rounds: u32,
    /// Milliseconds since the Unix epoch at which the first is due.
    pub first: Millis,
    /// Milliseconds between two rounds.
    pub interval: Millis,
}

/// Room that one task takes on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of cores.
    pub cpu: u64,
    /// Megabytes of memory.
    pub memory: u64,
    /// Accelerators.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gpu: u64,
}

impl std::fmt::Display for Resources {
    /// Writes the parts in their order, in one word.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.cpu, self.memory, self.gpu)
    }
}

impl Resources {
    /// Returns the largest of its parts.
    fn largest_component(self) -> u64 {
        self.cpu.max(self.memory).max(self.gpu)
    }

    /// Returns the room of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            gpu: self.gpu + other.gpu,
        }
    }

    /// Returns what is left without another, which is part of it.
    pub fn minus(self, part: Self) -> Self {
        Self {
            cpu: self.cpu - part.cpu,
            memory: self.memory - part.memory,
            gpu: self.gpu - part.gpu,
        }
    }

    /// Returns the larger of both in each part.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns true when it is no larger than another in any part.
    pub fn within(self, other: Self) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory && self.gpu <= other.gpu
    }
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Declared resources of one task.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The caller's rough guess of one task's run time, in milliseconds.
    pub estimate: Millis,
    /// Earlier steps that must be done first.
    #[serde(rename = "after", skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<usize>,
    /// Tasks of one image behave alike; empty when unnamed.
    #[serde(skip_serializing_if = "is_empty")]
    pub image: Name,
    /// Label that the worker must carry; empty for none.
    #[serde(skip_serializing_if = "is_empty")]
    pub label: Name,
    /// Rack on which the data lies; empty for none.
    #[serde(skip_serializing_if = "is_empty")]
    pub rack: Name,
    /// Most tasks of the step on one worker; 0 for no bound.
    #[serde(rename = "spread", skip_serializing_if = "is_zero_u32")]
    pub max_per_worker: u32,
    /// Tail latency that a serving task must stay under, in milliseconds; 0 for none.
    #[serde(rename = "target", skip_serializing_if = "is_zero")]
    pub latency_target: Millis,
    /// Most tasks that may be away at once through the scheduler's doing.
    #[serde(rename = "disruptions", skip_serializing_if = "Option::is_none")]
    pub max_disruptions: Option<u32>,
    /// Checkpoints its progress.
    #[serde(rename = "saves", skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// All tasks must run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Runs much faster when all tasks are on one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// Copies of a task may run side by side.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Runs until the job is cancelled and is restarted however it ends.
    #[serde(skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// Its processor share is not reserved: it gets what others leave.
    #[serde(rename = "filler", skip_serializing_if = "is_false")]
    pub best_effort: bool,
}

impl StepSpec {
    /// Returns the room that is reserved on a worker for one task.
    pub fn reserved(&self) -> Resources {
        match self.best_effort {
            true => Resources {
                cpu: 0,
                ..self.resources
            },
            false => self.resources,
        }
    }
}

impl JobSpec {
    /// Returns all that is wrong with the job, a text for each finding.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if self.steps.is_empty() {
            findings.push("a job needs at least one step".to_string());
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let rounds = self.schedule.map_or(1, |s| u64::from(s.rounds));
        if tasks.saturating_mul(rounds) > TASK_LIMIT {
            findings.push(format!("more than {TASK_LIMIT} tasks"));
        }
        for (place, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                findings.push(format!("step {place} has no tasks"));
            }
            if step.depends_on.iter().any(|a| *a >= place) {
                findings.push(format!("step {place} waits for a step that is not earlier"));
            }
            if step.resources.largest_component() > RESOURCE_LIMIT {
                findings.push(format!("step {place} asks for more than {RESOURCE_LIMIT}"));
            }
            if step.estimate > TIME_LIMIT || step.latency_target > TIME_LIMIT {
                findings.push(format!("step {place} has a time beyond {TIME_LIMIT} ms"));
            }
        }
        let beyond = |s: Schedule| s.first > TIME_LIMIT || s.interval > TIME_LIMIT;
        if self.schedule.is_some_and(beyond) {
            findings.push(format!("its times are beyond {TIME_LIMIT} ms"));
        }
        findings
    }
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_empty(text: &Name) -> bool {
    text.is_empty()
}
