//! What callers asked for and what they were told.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// What a caller knows of its request for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing that is certain.
    Doubt,
    /// It was taken.
    Taken,
    /// It was refused by all that were asked: it is not run.
    Denied,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Tasks of each of its two steps.
    pub tasks: u32,
    /// What its caller was told.
    pub told: Told,
    /// Tasks that had ended as done when its caller was told that it is cancelled.
    pub cancelled: Option<u32>,
    /// True once its caller has asked to cancel it.
    pub unwanted: bool,
    /// How it was shown to have ended; empty before.
    pub ended: String,
    /// True when its tasks run until it is cancelled.
    pub lasting: bool,
}

/// All jobs by their ids; clones share them.
#[derive(Clone, Default)]
pub struct Jobs {
    jobs: Arc<Mutex<BTreeMap<String, Job>>>,
}

impl Jobs {
    /// Returns all of them; not to be held over a call.
    pub fn all(&self) -> MutexGuard<'_, BTreeMap<String, Job>> {
        self.jobs.lock().expect("no holder panicked")
    }

    /// Takes in that a job is asked for.
    pub fn ask(&self, id: &str, tasks: u32) {
        let job = Job {
            tasks,
            told: Told::Doubt,
            cancelled: None,
            unwanted: false,
            ended: String::new(),
            lasting: false,
        };
        self.all().insert(id.into(), job);
    }

    /// Changes what is known of a job.
    pub fn note(&self, id: &str, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.all().get_mut(id) {
            change(job);
        }
    }

    /// Returns the ids of jobs that were taken, have an end, and were not seen at it.
    pub fn open(&self) -> Vec<String> {
        let all = self.all();
        let open = all
            .iter()
            .filter(|(_, job)| job.told == Told::Taken && job.ended.is_empty() && !job.lasting);
        open.map(|(id, _)| id.clone()).collect()
    }
}
