//! Validates jobs, spreads their tasks over cells and summarizes their progress.

use super::{JobRow, JobShardRow, Phase, SHARD_TASK_LIMIT, Spec, TASK_LIMIT, TaskRow, shard_key};
use crate::cell::{Shape, Size};
use crate::options::is_name;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Tasks per cell: a job of N tasks is spread over at most N / 8 cells, rounded up.
const TASKS_PER_CELL: u32 = 8;

/// A cell that can take job shards.
#[derive(Clone, Debug)]
pub struct CandidateCell {
    /// Name of the cell.
    pub cell: Name,
    /// Shapes of the cell's workers.
    pub shapes: Vec<Shape>,
    /// Cores that batch tasks could use now, in thousandths.
    pub free_cores: u64,
}

/// Why a job was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The specification is invalid; one message per finding.
    Invalid(Vec<String>),
    /// No known worker is large enough for one of its tasks.
    Unsatisfiable(String),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Invalid(findings) => f.write_str(&findings.join("; ")),
            Self::Unsatisfiable(reason) => write!(f, "can never run: {reason}"),
        }
    }
}

/// Returns every fault of a specification, as one message each.
pub fn validate(spec: &Spec) -> Vec<String> {
    let mut findings = Vec::new();
    for (field, value) in [("id", &spec.id), ("team", &spec.team), ("kind", &spec.kind)] {
        if !is_name(value) {
            findings.push(format!("{field}: `{value}` is not a valid name"));
        }
    }
    if spec.tasks == 0 || spec.tasks > TASK_LIMIT {
        findings.push(format!("tasks: must be from 1 to {TASK_LIMIT}"));
    }
    if spec.size.cores == 0 {
        findings.push("cores: must be more than 0".into());
    }
    if spec.work == 0 {
        findings.push("work: must be more than 0 ms".into());
    }
    findings
}

/// Spreads the tasks of a job over cells in proportion to their free cores.
///
/// Returns the job's row and the rows of its job shards, or the reason why it can't run.
pub fn spread(
    spec: &Spec,
    candidates: &[CandidateCell],
    now: Millis,
) -> Result<(JobRow, Vec<JobShardRow>), Refusal> {
    let findings = validate(spec);
    if !findings.is_empty() {
        return Err(Refusal::Invalid(findings));
    }
    let mut eligible: Vec<&CandidateCell> = candidates
        .iter()
        .filter(|c| {
            c.shapes
                .iter()
                .any(|shape| shape.has_capacity_for(spec.size))
        })
        .collect();
    if eligible.is_empty() {
        return Err(Refusal::Unsatisfiable(describe_misfit(
            spec.size, candidates,
        )));
    }
    eligible.sort_by_key(|c| (std::cmp::Reverse(c.free_cores), c.cell.clone()));
    let cell_count = spec
        .tasks
        .div_ceil(TASKS_PER_CELL)
        .max(spec.tasks.div_ceil(SHARD_TASK_LIMIT)) as usize;
    let cells = &eligible[..cell_count.min(eligible.len())];
    let total: u64 = cells.iter().map(|c| c.free_cores + 1).sum();
    let mut row = JobRow {
        spec: spec.clone(),
        shards: Vec::new(),
        cancelled: false,
        submitted: now,
    };
    let mut shards = Vec::new();
    let mut next = 0;
    let mut weight = 0;
    for candidate in cells {
        weight += candidate.free_cores + 1;
        let end = (u64::from(spec.tasks) * weight / total) as u32;
        while next < end {
            let shard_end = end.min(next + SHARD_TASK_LIMIT);
            row.shards
                .push(shard_key(&candidate.cell, &spec.id, row.shards.len()));
            shards.push(new_shard(spec, now, next..shard_end));
            next = shard_end;
        }
    }
    Ok((row, shards))
}

fn new_shard(spec: &Spec, now: Millis, indexes: std::ops::Range<u32>) -> JobShardRow {
    JobShardRow {
        spec: spec.clone(),
        submitted: now,
        epoch: 0,
        seq: 0,
        tasks: indexes.map(TaskRow::open).collect(),
    }
}

/// Returns the reason why a task of this size fits no candidate cell.
fn describe_misfit(size: Size, candidates: &[CandidateCell]) -> String {
    let shapes = candidates.iter().flat_map(|c| &c.shapes);
    let max = shapes.fold(Size::default(), |max, shape| Size {
        cores: max.cores.max(shape.cores),
        memory: max.memory.max(shape.memory),
        accelerators: max.accelerators.max(shape.accelerators),
    });
    if max == Size::default() {
        return "no worker is known".into();
    }
    format!("a task needs {size}, and the largest workers known have {max}")
}

/// Progress of a job, summed over its job shards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// `open`, `done`, `failed` or `cancelled`.
    pub state: &'static str,
    /// Number of finished tasks.
    pub done: u32,
    /// Number of tasks that were given up.
    pub failed: u32,
    /// Number of evictions of all tasks.
    pub evictions: u32,
}

/// Summarizes a job from the rows of its job shards.
pub fn summarize(job: &JobRow, shards: &[JobShardRow]) -> Summary {
    let mut summary = Summary::default();
    let mut cancelled = 0;
    for task in shards.iter().flat_map(|s| &s.tasks) {
        summary.evictions += task.evictions;
        match task.phase {
            Phase::Done => summary.done += 1,
            Phase::Failed => summary.failed += 1,
            Phase::Cancelled => cancelled += 1,
            Phase::Open => {}
        }
    }
    let ended = summary.done + summary.failed + cancelled;
    summary.state = match () {
        () if summary.done == job.spec.tasks => "done",
        () if job.cancelled => "cancelled",
        () if ended == job.spec.tasks => "failed",
        () => "open",
    };
    summary
}
