//! Jobs, and the job shards in which their tasks are kept.
//!
//! A job has one row. Its tasks lie in job shards, one row each; a job shard belongs to
//! one cell, and only the cell's owner writes it. What runs is never written:
//! the workers know it.

mod plan;

#[cfg(test)]
mod tests;

pub use plan::{CandidateCell, Refusal, Summary, spread, summarize, validate};

use serde::{Deserialize, Serialize};

use crate::cell::Size;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Prefix of the rows of jobs in the table.
pub const PREFIX: &str = "job/";
/// Prefix of the rows of job shards; the cell and the job shard's name follow.
pub const SHARD_PREFIX: &str = "lot/";
/// Most tasks of one job.
pub const TASK_LIMIT: u32 = 10_000;
/// Most tasks of one job shard, so that its row stays small.
pub const SHARD_TASK_LIMIT: u32 = 256;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Id, chosen by the operator.
    pub id: Name,
    /// Team it is counted for.
    pub team: Name,
    /// Kind of work; tasks of one kind hurt others alike.
    pub kind: Name,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of one task.
    pub size: Size,
    /// Declared milliseconds of work of one task.
    pub work: Millis,
    /// True when it must start within seconds.
    pub urgent: bool,
}

/// The row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// What was asked for.
    pub spec: Spec,
    /// Keys of its job shards.
    #[serde(rename = "lots")]
    pub shards: Vec<Name>,
    /// True once an operator cancelled it.
    pub cancelled: bool,
    /// Milliseconds since the Unix epoch of its submission.
    pub submitted: Millis,
}

/// How far a task is, as recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Not ended; it may be running.
    Open,
    /// Finished.
    Done,
    /// Given up after failures.
    Failed,
    /// Cancelled before it ended.
    Cancelled,
}

/// One task in a job shard's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Number within the job.
    pub index: u32,
    /// How far it is.
    pub phase: Phase,
    /// Milliseconds of work kept by a checkpoint.
    pub saved: Millis,
    /// Times it was evicted.
    pub evictions: u32,
    /// Runs that failed.
    pub failures: u32,
}

impl TaskRow {
    /// Returns the row of a task that was never run.
    pub fn open(index: u32) -> Self {
        Self {
            index,
            phase: Phase::Open,
            saved: 0,
            evictions: 0,
            failures: 0,
        }
    }
}

/// The row of a job shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobShardRow {
    /// The job's specification.
    pub spec: Spec,
    /// Milliseconds since the Unix epoch of the job's submission.
    pub submitted: Millis,
    /// Epoch of the owner that wrote it last.
    pub epoch: u64,
    /// Counts that owner's writes.
    pub seq: u64,
    /// The tasks.
    pub tasks: Vec<TaskRow>,
}

/// A job shard's row with its version.
#[derive(Clone, Debug)]
pub struct VersionedShard {
    /// Key of the row.
    pub key: Name,
    /// Version of the row.
    pub version: u64,
    /// Contents of the row.
    pub row: JobShardRow,
}

/// Returns the key of a job's row.
pub fn key(id: &str) -> String {
    format!("{PREFIX}{id}")
}

/// Returns the key of a job shard's row.
pub fn shard_key(cell: &str, job: &str, number: usize) -> Name {
    format!("{SHARD_PREFIX}{cell}/{job}.{number}").into()
}

/// Returns the prefix of the keys of a cell's job shards.
pub fn shard_key_prefix(cell: &str) -> String {
    format!("{SHARD_PREFIX}{cell}/")
}

/// Returns the cell that a job shard's key names: `HALL/RACK`.
pub fn shard_cell(key: &str) -> Option<&str> {
    let rest = key.strip_prefix(SHARD_PREFIX)?;
    let (cell, _) = rest.rsplit_once('/')?;
    Some(cell)
}
