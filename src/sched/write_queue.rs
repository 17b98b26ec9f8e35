//! Order in which changed jobs are written.
//!
//! Load: many jobs change while the store is slow, so that a commit holds only some of them. Jobs
//! whose callers wait for the commit go first, as a caller gives up within seconds; half of each
//! commit is left to the others, as starts and acknowledgements wait for those.

use std::collections::VecDeque;

/// Changed jobs by number, in the order in which they are written.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    /// Jobs with waiting callers.
    awaited: VecDeque<u32>,
    /// All other jobs.
    others: VecDeque<u32>,
}

impl WriteQueue {
    /// Returns true when no job is to be written.
    pub fn is_empty(&self) -> bool {
        self.awaited.is_empty() && self.others.is_empty()
    }

    /// Appends a job.
    pub fn push(&mut self, job: u32) {
        self.others.push_back(job);
    }

    /// Records that a caller waits for a job in the queue.
    pub fn expedite(&mut self, job: u32) {
        if let Some(at) = self.others.iter().position(|other| *other == job) {
            self.others.remove(at);
            self.awaited.push_back(job);
        }
    }

    /// Puts a job of a failed commit in front of those with waiting callers, or of the others.
    pub fn put_back(&mut self, job: u32, awaited: bool) {
        match awaited {
            true => self.awaited.push_front(job),
            false => self.others.push_front(job),
        }
    }

    /// Removes and returns the next job. `first_half` is true while less than half of the commit is
    /// filled.
    pub fn pop(&mut self, first_half: bool) -> Option<u32> {
        let next = match first_half {
            true => self.awaited.pop_front(),
            false => self.others.pop_front(),
        };
        next.or_else(|| self.others.pop_front())
            .or_else(|| self.awaited.pop_front())
    }

    /// Removes a job.
    pub fn remove(&mut self, job: u32) {
        self.awaited.retain(|queued| *queued != job);
        self.others.retain(|queued| *queued != job);
    }
}
