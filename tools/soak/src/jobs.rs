//! The jobs that callers submitted and the answers that they received.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// Outcome of a submission as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitStatus {
    /// No definite answer yet: the job may or may not have been accepted.
    Unknown,
    /// A box accepted the job.
    Accepted,
    /// Every attempt was refused or not sent, so the job must not run.
    Refused,
}

/// A submitted job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Tasks of each of its two steps.
    pub tasks: u32,
    /// Path of its queue.
    pub queue: &'static str,
    /// Number of attempts to submit it that were refused.
    pub refusals: u32,
    /// Outcome of its submission.
    pub status: SubmitStatus,
    /// Number of tasks that were done when a cancellation was acknowledged, if one was.
    pub done_at_cancel: Option<u32>,
    /// True once its caller has asked to cancel it.
    pub cancel_requested: bool,
    /// Final state that a box showed; empty before.
    pub final_state: String,
    /// True when its tasks run until the job is cancelled.
    pub lasting: bool,
}

/// All jobs by id; clones share the same map.
#[derive(Clone, Default)]
pub struct Jobs {
    jobs: Arc<Mutex<BTreeMap<String, Job>>>,
}

impl Jobs {
    /// Locks all jobs; the guard must not be held during a request.
    pub fn all(&self) -> MutexGuard<'_, BTreeMap<String, Job>> {
        self.jobs.lock().expect("the lock is not poisoned")
    }

    /// Records a job that is about to be submitted.
    pub fn insert(&self, id: &str, tasks: u32, queue: &'static str) {
        let job = Job {
            tasks,
            queue,
            refusals: 0,
            status: SubmitStatus::Unknown,
            done_at_cancel: None,
            cancel_requested: false,
            final_state: String::new(),
            lasting: false,
        };
        self.all().insert(id.into(), job);
    }

    /// Applies a change to a job.
    pub fn update(&self, id: &str, change: impl FnOnce(&mut Job)) {
        if let Some(job) = self.all().get_mut(id) {
            change(job);
        }
    }

    /// Returns the ids and queues of accepted jobs, other than lasting ones, without a final state.
    pub fn open(&self) -> Vec<(String, &'static str)> {
        let all = self.all();
        let open = all.iter().filter(|(_, job)| {
            job.status == SubmitStatus::Accepted && job.final_state.is_empty() && !job.lasting
        });
        open.map(|(id, job)| (id.clone(), job.queue)).collect()
    }
}
