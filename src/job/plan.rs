//! How a job is checked, spread over cells and summed up.

use super::{JobRow, JobShardRow, Phase, SHARD_TASK_LIMIT, Spec, TASK_LIMIT, TaskRow, shard_key};
use crate::cell::{Shape, Size};
use crate::options::is_name;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Fewest tasks for which a further cell is used.
const MIN_TASKS_PER_CELL: u32 = 8;

/// A cell that can take job shards.
#[derive(Clone, Debug)]
pub struct CandidateCell {
    /// Name of the cell.
    pub cell: Name,
    /// Shapes of its workers.
    pub shapes: Vec<Shape>,
    /// Thousandths of cores that batch tasks could have now.
    pub free_cores: u64,
}

/// Why a job was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The specification itself is wrong; one text for each finding.
    Invalid(Vec<String>),
    /// No worker could ever run one of its tasks.
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

/// Returns all that is wrong with a specification.
pub fn validate(spec: &Spec) -> Vec<String> {
    let mut findings = Vec::new();
    for (field, value) in [("id", &spec.id), ("team", &spec.team), ("kind", &spec.kind)] {
        if !is_name(value) {
            findings.push(format!("{field}: `{value}` is no name"));
        }
    }
    if spec.tasks == 0 || spec.tasks > TASK_LIMIT {
        findings.push(format!("tasks: give 1 to {TASK_LIMIT}"));
    }
    if spec.size.cores == 0 {
        findings.push("cores: give more than 0".into());
    }
    if spec.work == 0 {
        findings.push("work: give more than 0".into());
    }
    findings
}

/// Spreads a job over cells by their free cores, or tells why it can't run.
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
        .filter(|s| {
            s.shapes
                .iter()
                .any(|shape| shape.has_capacity_for(spec.size))
        })
        .collect();
    if eligible.is_empty() {
        return Err(Refusal::Unsatisfiable(describe_misfit(
            spec.size, candidates,
        )));
    }
    eligible.sort_by_key(|s| (std::cmp::Reverse(s.free_cores), s.cell.clone()));
    let cell_count = spec
        .tasks
        .div_ceil(MIN_TASKS_PER_CELL)
        .max(spec.tasks.div_ceil(SHARD_TASK_LIMIT)) as usize;
    let cells = &eligible[..cell_count.min(eligible.len())];
    let total: u64 = cells.iter().map(|s| s.free_cores + 1).sum();
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

fn describe_misfit(size: Size, candidates: &[CandidateCell]) -> String {
    let shapes = candidates.iter().flat_map(|s| &s.shapes);
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

/// A job summed up over its job shards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// `open`, `done`, `failed` or `cancelled`.
    pub state: &'static str,
    /// Tasks finished.
    pub done: u32,
    /// Tasks given up.
    pub failed: u32,
    /// Evictions of all tasks.
    pub evictions: u32,
}

/// Sums up a job.
pub fn summarize(job: &JobRow, shards: &[JobShardRow]) -> Summary {
    let mut summary = Summary::default();
    let mut cancelled = 0;
    for task in shards.iter().flat_map(|l| &l.tasks) {
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
