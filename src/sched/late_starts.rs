//! Tracks starts without an answer, which may be carried out seconds later.
//!
//! An incarnation that has answered a stop of a run refuses a late start of it. A later
//! incarnation under the same id has received no stop, nor has one that fell silent until its
//! lease ended. These are sent a stop once they answer, as the task may run elsewhere by then.

use super::incarnation::{BootTime, Incarnation};
use super::job::TaskKey;
use super::owner::Owner;
use super::starts::STOP_RETRY;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds within which a start without an answer may still be carried out.
const MAX_START_DELAY: Millis = 15_000;

/// A start without an answer.
#[derive(Clone, Debug)]
pub(super) struct LateStart {
    key: TaskKey,
    run: u32,
    /// Name of the task, kept as the job may be removed before the start expires.
    task: String,
    worker: Name,
    /// Boot time of the incarnation that last answered a stop of the run; none before that.
    stopped_boot: Option<BootTime>,
    /// When a stop was last sent because of this entry; 0 for never.
    stop_sent: Millis,
    /// From when on the start is no longer carried out.
    expires: Millis,
}

impl Owner {
    /// Records a start without an answer.
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
            stopped_boot: None,
            stop_sent: 0,
            expires: self.now.steady + MAX_START_DELAY,
        });
    }

    /// Records that an incarnation has answered a stop of a run, and so refuses its late start.
    pub(super) fn mark_late_start_stopped(
        &mut self,
        key: TaskKey,
        run: u32,
        incarnation: &Incarnation,
    ) {
        let same = |s: &&mut LateStart| (s.key, s.run) == (key, run) && s.worker == incarnation.id;
        let starts = self.late_starts.iter_mut().filter(same);
        starts.for_each(|start| start.stopped_boot = Some(incarnation.boot));
    }

    /// Sends stops to workers that late starts may still reach.
    pub(super) fn stop_late_starts(&mut self) {
        let now = self.now.steady;
        self.late_starts.retain(|s| now < s.expires);
        let mut starts = std::mem::take(&mut self.late_starts);
        for start in &mut starts {
            let Some(worker) = self.workers.get(&start.worker) else {
                continue;
            };
            let stopped = start.stopped_boot == Some(worker.boot);
            // A run that is placed on the worker is stopped with its task, if at all.
            let placed = worker.placements.get(&start.key);
            let placed = placed.is_some_and(|p| p.run == start.run);
            if stopped || placed || !worker.is_answering(now) || now < start.stop_sent + STOP_RETRY
            {
                continue;
            }
            start.stop_sent = now;
            let address = worker.listing.address;
            let (task, name) = (start.task.clone(), start.worker.clone());
            self.send_stop_by_name(start.key, start.run, task, name, address);
        }
        self.late_starts = starts;
    }
}
