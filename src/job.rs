//! Stored form of jobs and of the job shards that hold their tasks.
//!
//! A job has one row, and each of its job shards has one. A job shard belongs to one cell, and only
//! the owner of that cell writes its row. Which tasks are running is not stored: the workers report
//! it.

mod plan;

#[cfg(test)]
mod tests;

pub use plan::{CandidateCell, Refusal, Summary, spread, summarize, validate};

use serde::{Deserialize, Serialize};

use crate::cell::Size;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Prefix of the keys of job rows in the table.
pub const PREFIX: &str = "job/";
/// Prefix of the keys of job shard rows; `CELL/JOB.NUMBER` follows.
pub const SHARD_PREFIX: &str = "lot/";
/// Largest number of tasks in a job.
pub const TASK_LIMIT: u32 = 10_000;
/// Largest number of tasks in a job shard, which keeps its row small.
pub const SHARD_TASK_LIMIT: u32 = 256;

/// Specification of a job, as submitted by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Id, chosen by the operator.
    pub id: Name,
    /// Team whose quota applies to the job.
    pub team: Name,
    /// Kind of work; tasks of the same kind cause the same interference.
    pub kind: Name,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of one task.
    pub size: Size,
    /// Declared duration of one task, in milliseconds.
    pub work: Millis,
    /// True if the job must start within seconds.
    pub urgent: bool,
}

/// Row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Specification as submitted.
    pub spec: Spec,
    /// Keys of the job shards' rows.
    #[serde(rename = "lots")]
    pub shards: Vec<Name>,
    /// True once an operator has cancelled the job.
    pub cancelled: bool,
    /// Time of submission, in milliseconds since the Unix epoch.
    pub submitted: Millis,
}

/// Recorded state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Not ended; the task may be running.
    Open,
    /// Finished.
    Done,
    /// Given up after too many failures.
    Failed,
    /// Cancelled before the task ended.
    Cancelled,
}

/// A task in the row of a job shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Number of the task within its job, from 0.
    pub index: u32,
    /// Recorded state.
    pub phase: Phase,
    /// Work saved by the last checkpoint, in milliseconds.
    pub saved: Millis,
    /// Number of evictions.
    pub evictions: u32,
    /// Number of failed runs.
    pub failures: u32,
}

impl TaskRow {
    /// Returns the row of a task that has not run yet.
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

/// Row of a job shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobShardRow {
    /// Specification of the job.
    pub spec: Spec,
    /// Time of the job's submission, in milliseconds since the Unix epoch.
    pub submitted: Millis,
    /// Epoch of the owner that last wrote the row.
    pub epoch: u64,
    /// Number of the write among those of that owner.
    pub seq: u64,
    /// Tasks of the job shard.
    pub tasks: Vec<TaskRow>,
}

/// Row of a job shard with its version in the table.
#[derive(Clone, Debug)]
pub struct VersionedShard {
    /// Key of the row.
    pub key: Name,
    /// Version of the row.
    pub version: u64,
    /// Content of the row.
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

/// Returns the common prefix of the keys of a cell's job shards.
pub fn shard_key_prefix(cell: &str) -> String {
    format!("{SHARD_PREFIX}{cell}/")
}

/// Returns the job in a job shard's key, or none if the key is malformed.
pub fn shard_job(key: &str) -> Option<&str> {
    let (_, name) = key.rsplit_once('/')?;
    let (job, _) = name.rsplit_once('.')?;
    Some(job)
}

/// Returns the cell in a job shard's key, such as `HALL/RACK`, or none if the key is malformed.
pub fn shard_cell(key: &str) -> Option<&str> {
    let rest = key.strip_prefix(SHARD_PREFIX)?;
    let (cell, _) = rest.rsplit_once('/')?;
    Some(cell)
}
