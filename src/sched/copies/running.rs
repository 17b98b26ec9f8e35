//! The present copies of slow runs, of which each task has one at most.

use std::collections::BTreeMap;

use crate::sched::job::TaskKey;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two reviews of the runs: a fifth of the least age of a run with a copy.
const REVIEW_INTERVAL: Millis = 100;
/// Milliseconds after the end of a copy until its task may have another one. A worker that refuses a
/// start accepts none for 700 ms, so a repeated copy would be refused as well.
const RETRY_DELAY: Millis = 1_000;
/// Milliseconds after a copy that was refused as unfit until its task may have another one. Each such
/// refusal keeps its worker from new tasks for 700 ms, so copies of one task take less than a fifth
/// of a worker's time.
const UNFIT_DELAY: Millis = 4_000;

/// A second run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// Worker that the copy was given to.
    pub worker: Name,
    /// Number of the run.
    pub run: u32,
    /// True once one of the two runs was successful.
    pub decided: bool,
}

/// Copies by task, and the counts of this owner.
#[derive(Debug, Default)]
pub struct Copies {
    by_task: BTreeMap<TaskKey, Copy>,
    /// When tasks whose copies have ended may have another one.
    retry_at: BTreeMap<TaskKey, Millis>,
    next_review: Millis,
    /// Number of copies that were started.
    pub started: u64,
    /// Number of copies that were successful before the other run of their task.
    pub won: u64,
    /// Core-milliseconds of runs that were not needed.
    pub lost: u64,
}

impl Copies {
    /// Returns true when a review is due at `now`, and schedules the next one then.
    pub fn take_review(&mut self, now: Millis) -> bool {
        let due = now >= self.next_review;
        if due {
            self.next_review = now + REVIEW_INTERVAL;
            self.retry_at.retain(|_, at| now < *at);
        }
        due
    }

    /// Returns the copy of a task.
    pub fn get(&self, key: TaskKey) -> Option<&Copy> {
        self.by_task.get(&key)
    }

    /// Returns all copies with their tasks.
    pub fn iter(&self) -> impl Iterator<Item = (&TaskKey, &Copy)> {
        self.by_task.iter()
    }

    /// Returns true when the copy of a task is on a worker.
    pub fn is_on(&self, key: TaskKey, worker: &Name) -> bool {
        self.get(key).is_some_and(|copy| copy.worker == *worker)
    }

    /// Returns true when a task may have a copy now.
    pub fn may_add(&self, key: TaskKey) -> bool {
        !self.by_task.contains_key(&key) && !self.retry_at.contains_key(&key)
    }

    /// Adds the copy of a task.
    pub fn add(&mut self, key: TaskKey, worker: Name, run: u32) {
        let copy = Copy {
            worker,
            run,
            decided: false,
        };
        self.by_task.insert(key, copy);
    }

    /// Records that one of the two runs of a task was successful. Returns false if there is no copy
    /// or if this was recorded before.
    pub fn decide(&mut self, key: TaskKey) -> bool {
        let Some(copy) = self.by_task.get_mut(&key) else {
            return false;
        };
        !std::mem::replace(&mut copy.decided, true)
    }

    /// Records that a worker refused the copy of a task as unfit.
    pub fn defer(&mut self, key: TaskKey, now: Millis) {
        self.delay(key, now + UNFIT_DELAY);
    }

    /// Keeps a task from having another copy before `at`.
    fn delay(&mut self, key: TaskKey, at: Millis) {
        let retry = self.retry_at.entry(key).or_insert(at);
        *retry = at.max(*retry);
    }

    /// Removes the copy of a task, which has ended or has become the only run.
    pub fn remove(&mut self, key: TaskKey, now: Millis) -> Option<Copy> {
        let copy = self.by_task.remove(&key)?;
        self.delay(key, now + RETRY_DELAY);
        Some(copy)
    }
}
