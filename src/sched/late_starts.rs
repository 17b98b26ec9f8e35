//! Starts without an answer, which may be carried out seconds later.
//!
//! The life of a worker that has answered a stop of such a run refuses it from then on. A later
//! life under the same id knows of no stop, nor does one that fell silent until its lease had
//! ended: they are asked once they answer, so that the task may have run elsewhere.

use super::incarnation::{BootTime, Incarnation};
use super::job::TaskKey;
use super::owner::Owner;
use super::starts::STOP_AGAIN;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds after which a start without an answer is carried out no more.
const LATEST: Millis = 15_000;

/// A start that had no answer.
#[derive(Clone, Debug)]
pub(super) struct LateStart {
    key: TaskKey,
    run: u32,
    /// Name of the task, as its job may be gone by then.
    task: String,
    worker: Name,
    /// The life that has last answered a stop of the run, by its start; none before that.
    settled: Option<BootTime>,
    /// When a life was last asked to stop it here; 0 for never.
    asked: Millis,
    /// When it is carried out no more.
    until: Millis,
}

impl Owner {
    /// Keeps a start in mind that had no answer.
    pub(super) fn add_late_start(&mut self, key: TaskKey, run: u32, incarnation: &Incarnation) {
        let task = self.task_name(key);
        if task.is_empty() {
            return;
        }
        self.late_starts.push(LateStart {
            key,
            run,
            task,
            worker: incarnation.id.clone(),
            settled: None,
            asked: 0,
            until: self.now.steady + LATEST,
        });
    }

    /// Takes in that a life of a worker has answered a stop, and will not begin the run.
    pub(super) fn mark_late_start_stopped(
        &mut self,
        key: TaskKey,
        run: u32,
        incarnation: &Incarnation,
    ) {
        let own = |s: &&mut LateStart| (s.key, s.run) == (key, run) && s.worker == incarnation.id;
        let starts = self.late_starts.iter_mut().filter(own);
        starts.for_each(|start| start.settled = Some(incarnation.boot));
    }

    /// Asks workers to stop the runs that may still reach them.
    pub(super) fn stop_late_starts(&mut self) {
        let now = self.now.steady;
        self.late_starts.retain(|s| now < s.until);
        let mut starts = std::mem::take(&mut self.late_starts);
        for start in &mut starts {
            let Some(worker) = self.workers.get(&start.worker) else {
                continue;
            };
            let settled = start.settled == Some(worker.boot);
            // A run that is known there is stopped with its task, if at all.
            let known = worker.placements.get(&start.key);
            let known = known.is_some_and(|p| p.run == start.run);
            if settled || known || !worker.is_answering(now) || now < start.asked + STOP_AGAIN {
                continue;
            }
            start.asked = now;
            let address = worker.listing.address;
            let (task, name) = (start.task.clone(), start.worker.clone());
            self.send_stop_by_name(start.key, start.run, task, name, address);
        }
        self.late_starts = starts;
    }
}
