//! Rows of a job in the store, which limits the size of a row.
//!
//! A job is accepted only if its rows fit at their largest, with all tasks placed. What a task may
//! collect beyond that, its crashes and its checkpoint, is left out of a row that would be too
//! large: without it the job runs on, with less protection against crashes, or from the start.

use bytes::Bytes;

use super::history::HistoryRow;
use super::job::{Job, JobRow, Outcome, Phase, Queue, StoredCopy, Task};
use super::journal::{HISTORY_TABLE, JOB_TABLE, SPEC_TABLE};
use super::message::Write;
use super::spec::{JobSpec, StepSpec};
use crate::table::encode;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// A time in milliseconds with as many digits as those of this and the next two centuries.
const LONG_TIME: Millis = 9_999_999_999_999;
/// Highest number of runs for which a row is certain to fit: a task that ends is given up long
/// before, and a lasting one needs days for as many restarts.
const MANY_RUNS: u32 = 999;
/// Bytes that brackets and a comma add to each list in a row.
const LIST_BYTES: usize = 3;

/// What a worker's entry adds to the rows of the tasks placed on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerNames {
    /// Bytes of the longest id of a worker.
    pub longest: usize,
    /// True when a worker reports when it started.
    pub boots: bool,
}

impl WorkerNames {
    /// Names at least as long as those of any worker: keys of the store have 200 bytes at most.
    pub const LONGEST: Self = Self {
        longest: 200,
        boots: true,
    };
}

/// What a row says of each task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Detail {
    /// Everything.
    #[default]
    Full,
    /// Everything but the crashes of its workers.
    WithoutCrashes,
    /// What keeps it from running twice, and its failures.
    WithoutCheckpoints,
}

/// Returns why the rows of a job can't be kept in rows of `limit` bytes, or `None` if they can.
pub fn storage_error(
    spec: &JobSpec,
    queue: &Queue,
    workers: WorkerNames,
    limit: usize,
) -> Option<String> {
    let (description, state) = (encode(spec).len(), largest_state(spec, queue, workers));
    if description > limit {
        return Some(format!(
            "the job's description takes {description} bytes of the {limit} that can be stored"
        ));
    }
    (state > limit).then(|| {
        format!(
            "the state of the job's tasks takes {state} bytes of the {limit} that can be stored"
        )
    })
}

/// Returns the bytes of the row with a job's state when all of its tasks are placed.
fn largest_state(spec: &JobSpec, queue: &Queue, workers: WorkerNames) -> usize {
    let row = JobRow {
        queue: queue.clone(),
        accepted: LONG_TIME,
        outcome: Outcome::Completed,
        ended: LONG_TIME,
        begun: true,
        rounds: Vec::new(),
    };
    let step = |step: &StepSpec| {
        LIST_BYTES + step.count as usize * (largest_task(step.speculative, workers) + 1)
    };
    let round: usize = spec.steps.iter().map(step).sum();
    let rounds = spec.schedule.map_or(1, |s| s.rounds as usize);
    encode(&row).len() + rounds * (LIST_BYTES + round)
}

/// Returns the bytes of a placed task in its row, with all that is never left out.
fn largest_task(speculative: bool, workers: WorkerNames) -> usize {
    let worker = Name::from("w".repeat(workers.longest));
    let boot = workers.boots.then_some(LONG_TIME);
    let copy = speculative.then(|| StoredCopy {
        worker: worker.clone(),
        run: MANY_RUNS,
        boot,
        long_lease: true,
    });
    let task = Task {
        phase: Phase::Placed(worker),
        boot,
        long_lease: true,
        run: MANY_RUNS,
        failures: MANY_RUNS,
        last_copy: if speculative { MANY_RUNS } else { 0 },
        copy,
        ..Task::default()
    };
    encode(&task).len()
}

/// Returns the writes that bring the stored rows of a job up to date, with rows of at most `limit`
/// bytes if that is possible.
pub fn job_writes(job: &mut Job, limit: usize) -> Vec<Write> {
    job.sent_outcome = job.row.outcome;
    if job.archived {
        let finished = HistoryRow {
            outcome: job.row.outcome,
            ended: job.row.ended,
        };
        return vec![
            put(HISTORY_TABLE, &job.id, encode(&finished)),
            remove(JOB_TABLE, &job.id),
            remove(SPEC_TABLE, &job.id),
        ];
    }
    let (state, detail) = encode_state(&job.row, limit);
    if detail != job.stored_detail {
        log::warn!(target: "job", "job={} event=row-detail detail={detail:?} bytes={} limit={limit}", job.id, state.len());
        job.stored_detail = detail;
    }
    let mut writes = vec![put(JOB_TABLE, &job.id, state)];
    if !job.stored {
        writes.push(put(SPEC_TABLE, &job.id, encode(&*job.spec)));
    }
    writes
}

/// Returns a row in the most detail in which it has at most `limit` bytes, or in the least.
fn encode_state(row: &JobRow, limit: usize) -> (Bytes, Detail) {
    let full = encode(row);
    if full.len() <= limit {
        return (full, Detail::Full);
    }
    let mut row = row.clone();
    for task in tasks_mut(&mut row) {
        task.clear_crashes();
        task.suspect = false;
    }
    let shorter = encode(&row);
    if shorter.len() <= limit {
        return (shorter, Detail::WithoutCrashes);
    }
    tasks_mut(&mut row).for_each(|task| task.checkpoint = Name::from(""));
    (encode(&row), Detail::WithoutCheckpoints)
}

fn tasks_mut(row: &mut JobRow) -> impl Iterator<Item = &mut Task> {
    row.rounds.iter_mut().flatten().flatten()
}

fn put(table: &'static str, id: &Name, value: Bytes) -> Write {
    Write {
        table,
        key: id.clone(),
        value: Some(value),
    }
}

/// Returns the write that removes a row.
pub(super) fn remove(table: &'static str, id: &Name) -> Write {
    Write {
        table,
        key: id.clone(),
        value: None,
    }
}
