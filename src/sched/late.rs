//! Starts without an answer, which may be carried out seconds later.
//!
//! The life of a worker that was asked to stop such a run refuses it from then on. A later
//! life under the same id knows of no stop, so it is asked as well.

use super::job::TaskKey;
use super::lives::{Boot, Life};
use super::owner::Owner;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds after which a start without an answer is carried out no more.
const LATEST: Millis = 15_000;
/// Milliseconds after which a stop without an answer is sent again.
const AGAIN: Millis = 1_000;

/// A start that had no answer.
#[derive(Clone, Debug)]
pub(super) struct LateStart {
    key: TaskKey,
    run: u32,
    /// Name of the task, as its job may be gone by then.
    task: String,
    worker: Name,
    /// Start of the life that was last found to refuse the run, or that it was sent to.
    settled: Boot,
    /// When a later life was last asked to stop it; 0 for never.
    asked: Millis,
    /// When it is carried out no more.
    until: Millis,
}

impl Owner {
    /// Takes in that a start had no answer.
    pub(super) fn unanswered(&mut self, key: TaskKey, run: u32, life: &Life) {
        let task = self.task_name(key);
        if task.is_empty() {
            return;
        }
        self.late_starts.push(LateStart {
            key,
            run,
            task,
            worker: life.id.clone(),
            settled: life.boot,
            asked: 0,
            until: self.now.steady + LATEST,
        });
    }

    /// Takes in that a life of a worker will not begin a run any more.
    pub(super) fn refuses(&mut self, key: TaskKey, run: u32, life: &Life) {
        let own = |s: &&mut LateStart| (s.key, s.run) == (key, run) && s.worker == life.id;
        let starts = self.late_starts.iter_mut().filter(own);
        starts.for_each(|start| start.settled = life.boot);
    }

    /// Asks later lives of workers to stop the runs that may still reach them.
    pub(super) fn stop_late_starts(&mut self) {
        let now = self.now.steady;
        self.late_starts.retain(|s| now < s.until);
        let mut starts = std::mem::take(&mut self.late_starts);
        for start in &mut starts {
            let Some(worker) = self.workers.get(&start.worker) else {
                continue;
            };
            let another = worker.boot != start.settled;
            // A run that is known there is stopped with its task, if at all.
            let known = worker.placements.get(&start.key);
            let known = known.is_some_and(|p| p.run == start.run);
            if !another || known || !worker.answering(now) || now < start.asked + AGAIN {
                continue;
            }
            start.asked = now;
            let address = worker.listing.address;
            let (task, name) = (start.task.clone(), start.worker.clone());
            self.order_stop(start.key, start.run, task, name, address);
        }
        self.late_starts = starts;
    }
}
