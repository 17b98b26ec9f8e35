//! Job descriptions as callers submit them: steps of uniform tasks, and their validation.

use serde::{Deserialize, Serialize};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Most tasks of one job over all rounds, so that its row stays within the store's row size.
pub const TASK_LIMIT: u64 = 2_000;

/// Most messages about an invalid job: they go into the answer and into the log.
const MAX_ERRORS: usize = 8;

/// Largest amount of any resource of a task: far more than any machine has, and small enough
/// that sums and products of amounts are exact.
pub const RESOURCE_LIMIT: u64 = 1 << 40;
/// Longest time that may be declared, in milliseconds: a century.
pub const TIME_LIMIT: Millis = 100 * 366 * 24 * 3_600 * 1_000;

/// A job as its caller described it. It never changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that workers get with each task.
    #[serde(rename = "text")]
    pub payload: Name,
    /// Steps, which refer to each other by their index in this list.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` runs them once, immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Schedule of a job whose steps run repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of rounds; each runs all steps.
    pub rounds: u32,
    /// Milliseconds since the Unix epoch at which the first round is due.
    pub first: Millis,
    /// Milliseconds between the starts of two rounds.
    pub interval: Millis,
}

/// Amounts of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of cores.
    pub cpu: u64,
    /// Megabytes of memory.
    pub memory: u64,
    /// Number of accelerators.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gpu: u64,
}

impl std::fmt::Display for Resources {
    /// Writes the amounts as `cpu/memory/gpu`, for log lines.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.cpu, self.memory, self.gpu)
    }
}

impl Resources {
    /// Returns the largest of the amounts.
    fn largest_component(self) -> u64 {
        self.cpu.max(self.memory).max(self.gpu)
    }

    /// Returns the sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            gpu: self.gpu + other.gpu,
        }
    }

    /// Returns the difference to `part`, which must not be larger in any amount.
    pub fn minus(self, part: Self) -> Self {
        Self {
            cpu: self.cpu - part.cpu,
            memory: self.memory - part.memory,
            gpu: self.gpu - part.gpu,
        }
    }

    /// Returns the larger amount of both for each resource.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns true when no amount is larger than that of `other`.
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
    /// Run time of one task as the caller roughly estimates it, in milliseconds.
    pub estimate: Millis,
    /// Indexes of earlier steps that must be done first.
    #[serde(rename = "after", skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<usize>,
    /// Name of the image. Tasks of one image behave alike; empty when unnamed.
    #[serde(skip_serializing_if = "is_empty")]
    pub image: Name,
    /// Label that the worker must have; empty for none.
    #[serde(skip_serializing_if = "is_empty")]
    pub label: Name,
    /// Rack that holds the input data; empty for none.
    #[serde(skip_serializing_if = "is_empty")]
    pub rack: Name,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "spread", skip_serializing_if = "is_zero_u32")]
    pub max_per_worker: u32,
    /// Tail latency that tasks must stay under, in milliseconds; above 0 for serving tasks only.
    #[serde(rename = "target", skip_serializing_if = "is_zero")]
    pub latency_target: Millis,
    /// Most tasks that the scheduler may keep from running at the same time.
    #[serde(rename = "disruptions", skip_serializing_if = "Option::is_none")]
    pub max_disruptions: Option<u32>,
    /// True when tasks checkpoint their progress.
    #[serde(rename = "saves", skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// True when all tasks must run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// True when tasks run much faster if all of them are on one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// True when copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// True when tasks run until the job is cancelled and are restarted however they end.
    #[serde(skip_serializing_if = "is_false")]
    pub lasting: bool,
    /// True when processors are not reserved for the tasks, which use what others leave idle.
    #[serde(rename = "filler", skip_serializing_if = "is_false")]
    pub best_effort: bool,
}

impl StepSpec {
    /// Returns the resources that are reserved on a worker for one task.
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
    /// Returns the number of tasks over all rounds.
    pub fn task_count(&self) -> u64 {
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let rounds = self.schedule.map_or(1, |s| u64::from(s.rounds));
        tasks.saturating_mul(rounds)
    }

    /// Returns the bytes that the description takes in memory.
    pub fn memory(&self) -> usize {
        let step = |s: &StepSpec| {
            let names = s.image.len() + s.label.len() + s.rack.len();
            size_of::<StepSpec>() + names + size_of_val(&*s.depends_on)
        };
        let steps: usize = self.steps.iter().map(step).sum();
        size_of::<Self>() + self.payload.len() + steps
    }

    /// Returns the duration of the critical path by the declared estimates, in milliseconds.
    pub fn ideal_duration(&self) -> Millis {
        self.critical_path(|step| self.steps[step].estimate)
    }

    /// Returns the duration of the longest chain of dependent steps, where `duration` returns
    /// that of a step by its index.
    pub fn critical_path(&self, duration: impl Fn(usize) -> Millis) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for (index, step) in self.steps.iter().enumerate() {
            let start = step.depends_on.iter().filter_map(|d| ends.get(*d)).max();
            ends.push(start.copied().unwrap_or(0).saturating_add(duration(index)));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns a message for each rule that the description violates, up to `MAX_ERRORS`.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.steps.is_empty() {
            errors.push("a job needs at least one step".to_string());
        }
        let tasks = self.task_count();
        if tasks > TASK_LIMIT {
            errors.push(format!(
                "the job has {tasks} tasks over all rounds: more than {TASK_LIMIT}"
            ));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                errors.push(format!("step {index} has no tasks"));
            }
            if step
                .depends_on
                .iter()
                .any(|dependency| *dependency >= index)
            {
                errors.push(format!(
                    "step {index} depends on a step that is not an earlier one"
                ));
            }
            if step.resources.largest_component() > RESOURCE_LIMIT {
                errors.push(format!(
                    "step {index} declares more than {RESOURCE_LIMIT} of a resource"
                ));
            }
            if step.estimate > TIME_LIMIT || step.latency_target > TIME_LIMIT {
                errors.push(format!(
                    "step {index} declares a time above {TIME_LIMIT} ms"
                ));
            }
        }
        let beyond = |s: Schedule| s.first > TIME_LIMIT || s.interval > TIME_LIMIT;
        if self.schedule.is_some_and(beyond) {
            errors.push(format!("the schedule has a time above {TIME_LIMIT} ms"));
        }
        errors.truncate(MAX_ERRORS);
        errors
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
