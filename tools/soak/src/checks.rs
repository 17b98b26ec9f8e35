//! The promises, checked by what callers were told and what workers ran. Nothing here is
//! shared with the decisions.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::jobs::{Job, Told};
use crate::platform::worker::Record;

/// Hex digits of a job's id, with which the names of its tasks begin.
const ID: usize = 16;
/// Lives of workers that have to end with a task before its job may be given up.
const GIVEN_UP: u32 = 2;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Id of the job.
    pub id: String,
    /// What was seen.
    pub what: String,
}

/// What was found so far; clones share it.
#[derive(Clone, Default)]
pub struct Findings {
    all: Arc<Mutex<Vec<Broken>>>,
    given_up: Arc<AtomicBool>,
}

impl Findings {
    /// Adds one, once.
    pub fn tell(&self, id: &str, what: String) {
        let broken = Broken {
            id: id.into(),
            what,
        };
        let mut all = self.all.lock().expect("no holder panicked");
        if !all.contains(&broken) {
            println!("BROKEN {id}: {}", broken.what);
            all.push(broken);
        }
    }

    /// Returns all of them.
    pub fn all(&self) -> Vec<Broken> {
        self.all.lock().expect("no holder panicked").clone()
    }

    /// Has those that wait for open jobs wait no more.
    pub fn give_up(&self) {
        self.given_up.store(true, Ordering::Relaxed);
    }

    /// Returns true once they should not.
    pub fn given_up(&self) -> bool {
        self.given_up.load(Ordering::Relaxed)
    }
}

/// Returns the id of the job of a task.
fn owner(task: &str) -> &str {
    task.get(..ID).unwrap_or(task)
}

/// Checks what must hold at each moment.
pub fn during(jobs: &BTreeMap<String, Job>, record: &Record, findings: &Findings) {
    for task in &record.duplicates {
        let what = format!("{task} ran twice at a time, or again after its end was noted");
        findings.tell(owner(task), what);
    }
    for task in record.starts.keys() {
        let id = owner(task);
        match jobs.get(id).map(|job| job.told) {
            None => findings.tell(id, format!("{task} was started and nobody asked for it")),
            Some(Told::Denied) => findings.tell(id, format!("{task} was started, its job refused")),
            Some(_) => {}
        }
    }
}

/// Checks what must hold once all is well again and the jobs had time to end.
pub fn after(jobs: &BTreeMap<String, Job>, record: &Record, findings: &Findings) {
    for (id, job) in jobs.iter().filter(|(_, job)| job.told == Told::Taken) {
        if job.lasting {
            lasts(id, job, record, findings);
            continue;
        }
        let done = done(record, id);
        let all = job.tasks * 2;
        match job.ended.as_str() {
            "completed" if done == all => {}
            "completed" => findings.tell(id, format!("completed, {done} of {all} tasks ended so")),
            "cancelled" if job.unwanted => {}
            "failed" if lost(record, id) >= GIVEN_UP => {}
            "" => findings.tell(id, "was taken and does not end".into()),
            other => findings.tell(id, format!("shown as {other} without a cause")),
        }
        // One that was over by then stays what it was.
        let stands = job.cancelled.is_none_or(|then| then == all);
        if !stands && job.ended == "completed" {
            findings.tell(id, "was cancelled and went on to its end".into());
        }
    }
}

/// Checks that all tasks of a lasting job run.
fn lasts(id: &str, job: &Job, record: &Record, findings: &Findings) {
    let running = running(record, id);
    if running < job.tasks && lost(record, id) < GIVEN_UP {
        findings.tell(id, format!("{running} of {} lasting tasks run", job.tasks));
    }
}

/// Returns how many tasks of a job run.
pub fn running(record: &Record, id: &str) -> u32 {
    let tasks = record.running.iter().filter(|task| owner(task) == id);
    tasks.count() as u32
}

/// Returns how many tasks of a job have ended as done.
pub fn done(record: &Record, id: &str) -> u32 {
    let tasks = record.done.iter().filter(|task| owner(task) == id);
    tasks.count() as u32
}

/// Returns the most lives of workers that have ended with a task of a job.
fn lost(record: &Record, id: &str) -> u32 {
    let tasks = record
        .lost_runs
        .iter()
        .filter(|(task, _)| owner(task) == id);
    tasks.map(|(_, count)| *count).max().unwrap_or(0)
}
