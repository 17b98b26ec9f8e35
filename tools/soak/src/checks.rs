//! Checks of the guarantees against what callers were answered and what workers ran. They share
//! no code with the scheduler.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::jobs::{Job, SubmitStatus};
use crate::platform::record::Record;

/// Length of a job's id in hex digits; the names of its tasks begin with the id.
const ID_LENGTH: usize = 16;
/// Worker incarnations that must end while they run a task before its job may fail.
const MIN_LOSSES_TO_FAIL: u32 = 2;

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Id of the job.
    pub id: String,
    /// Description of the violation.
    pub detail: String,
}

/// The violations found so far; clones share the same list.
#[derive(Clone, Default)]
pub struct Findings {
    all: Arc<Mutex<Vec<Violation>>>,
    waiting_stopped: Arc<AtomicBool>,
}

impl Findings {
    /// Adds and prints a violation unless it is in the list already.
    pub fn report(&self, id: &str, detail: String) {
        let violation = Violation {
            id: id.into(),
            detail,
        };
        let mut all = self.all.lock().expect("the lock is not poisoned");
        if !all.contains(&violation) {
            println!("BROKEN {id}: {}", violation.detail);
            all.push(violation);
        }
    }

    /// Returns all violations.
    pub fn all(&self) -> Vec<Violation> {
        self.all.lock().expect("the lock is not poisoned").clone()
    }

    /// Tells the threads that wait for open jobs to stop waiting.
    pub fn stop_waiting(&self) {
        self.waiting_stopped.store(true, Ordering::Relaxed);
    }

    /// Returns true once waiting for open jobs should stop.
    pub fn waiting_stopped(&self) -> bool {
        self.waiting_stopped.load(Ordering::Relaxed)
    }
}

/// Returns the id of the job that a task belongs to.
fn job_id(task: &str) -> &str {
    task.get(..ID_LENGTH).unwrap_or(task)
}

/// Checks the guarantees that must hold at any time.
pub fn check_always(jobs: &BTreeMap<String, Job>, record: &Record, findings: &Findings) {
    for duplicate in &record.duplicates {
        findings.report(job_id(&duplicate.task), duplicate.detail.clone());
    }
    for task in record.starts.keys() {
        let id = job_id(task);
        match jobs.get(id).map(|job| job.status) {
            None => findings.report(id, format!("{task} was started and nobody asked for it")),
            Some(SubmitStatus::Refused) => findings.report(
                id,
                format!("{task} was started, although its job was refused"),
            ),
            Some(_) => {}
        }
    }
}

/// Checks the guarantees that must hold after all faults are over and the jobs had time to end.
pub fn check_at_end(jobs: &BTreeMap<String, Job>, record: &Record, findings: &Findings) {
    for (id, job) in jobs
        .iter()
        .filter(|(_, job)| job.status == SubmitStatus::Accepted)
    {
        if job.lasting {
            check_lasting(id, job, record, findings);
            continue;
        }
        let done = count_done(record, id);
        let all = job.tasks * 2;
        match job.final_state.as_str() {
            "completed" if done == all => {}
            "completed" => {
                findings.report(id, format!("completed, but {done} of {all} tasks are done"))
            }
            "cancelled" if job.cancel_requested => {}
            "cancelled" => findings.report(id, "was accepted and is dropped".into()),
            "failed" if max_lost_runs(record, id) >= MIN_LOSSES_TO_FAIL => {}
            "" => findings.report(id, "was accepted and does not end".into()),
            other => findings.report(id, format!("shown as {other} without a cause")),
        }
        // A cancellation has no effect on a job whose tasks were all done by then.
        let may_complete = job.done_at_cancel.is_none_or(|done| done == all);
        if !may_complete && job.final_state == "completed" {
            findings.report(id, "was cancelled, but completed".into());
        }
    }
}

/// Checks that all tasks of a lasting job run.
fn check_lasting(id: &str, job: &Job, record: &Record, findings: &Findings) {
    let running = count_running(record, id);
    if running < job.tasks && max_lost_runs(record, id) < MIN_LOSSES_TO_FAIL {
        findings.report(id, format!("{running} of {} lasting tasks run", job.tasks));
    }
}

/// Returns how many tasks of a job are running.
pub fn count_running(record: &Record, id: &str) -> u32 {
    let tasks = record.running.iter().filter(|task| job_id(task) == id);
    tasks.count() as u32
}

/// Returns how many tasks of a job are done.
pub fn count_done(record: &Record, id: &str) -> u32 {
    let tasks = record.done.iter().filter(|task| job_id(task) == id);
    tasks.count() as u32
}

/// Returns the largest number of worker incarnations that ended while they ran the same task
/// of a job.
fn max_lost_runs(record: &Record, id: &str) -> u32 {
    let tasks = record
        .lost_runs
        .iter()
        .filter(|(task, _)| job_id(task) == id);
    tasks.map(|(_, count)| *count).max().unwrap_or(0)
}
