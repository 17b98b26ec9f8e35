//! Finds the jobs for whose rows the store refuses commits.
//!
//! After a refused commit, the next ones hold half as many jobs, until the refused job is alone in
//! one. It is then written alone and seldom, as its row may fit again, and holds up no other job.

use std::collections::{BTreeMap, BTreeSet};

use crate::utils::clock::Millis;

/// Milliseconds after which a job that was refused alone is written again.
const RETRY_INTERVAL: Millis = 1_000;

/// Jobs of refused commits.
#[derive(Debug, Default)]
pub(super) struct RefusedJobs {
    /// Jobs of which some have to be refused, until a commit has stored them.
    suspects: BTreeSet<u32>,
    /// Number of jobs in the last refused commit.
    last_size: usize,
    /// Jobs that were refused alone, with the time at which they are written again.
    held: BTreeMap<u32, Millis>,
}

impl RefusedJobs {
    /// Records that the store has refused a commit with these jobs. Returns the job if it was the
    /// only one.
    pub fn record(&mut self, jobs: Vec<u32>, now: Millis) -> Option<u32> {
        if let [job] = jobs[..] {
            self.suspects.remove(&job);
            self.held.insert(job, now + RETRY_INTERVAL);
            return Some(job);
        }
        self.last_size = jobs.len();
        self.suspects.extend(jobs);
        None
    }

    /// Forgets a job that was stored or withdrawn.
    pub fn forget(&mut self, job: u32) {
        self.suspects.remove(&job);
        self.held.remove(&job);
    }

    /// Returns how many jobs the next commit may hold.
    pub fn most_jobs(&self) -> usize {
        match self.suspects.is_empty() {
            true => usize::MAX,
            false => (self.last_size / 2).max(1),
        }
    }

    /// Returns when the next held job is to be written; never if there is none.
    pub fn next_retry(&self) -> Millis {
        self.held.values().min().copied().unwrap_or(Millis::MAX)
    }

    /// Removes and returns a held job that is to be written now.
    pub fn take_due(&mut self, now: Millis) -> Option<u32> {
        let (job, _) = self.held.iter().find(|(_, at)| now >= **at)?;
        let job = *job;
        self.held.remove(&job);
        Some(job)
    }
}
