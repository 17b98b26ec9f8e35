//! Backlog of best-effort work: while there is one, serving tasks may be loaded higher.
//!
//! A burst brings more best-effort work than can run beside the serving tasks, and at the usual
//! load there is hardly any free capacity to catch up: jobs that arrived within 6 s are late for
//! 30 s. Until the backlog is gone, serving tasks are therefore loaded a little higher.

use crate::sched::job::StepKey;
use crate::sched::owner::Owner;
use crate::sched::shares::order::{Prospect, prospect};

/// Backlog, in seconds of all processors, from which the load of serving tasks is raised by the
/// full margin.
const FULL_BACKLOG: f64 = 0.2;
/// Thousandths of cores times milliseconds in a core second.
const CORE_SECOND: f64 = 1_000_000.0;

impl Owner {
    /// Updates the backlog level from the waiting tasks. Jobs that have no value left do not
    /// count, since they are no reason to load serving tasks higher.
    pub(in crate::sched) fn update_backlog_level(&mut self) {
        let capacity: u64 = self.workers.values().map(|w| w.listing.capacity.cpu).sum();
        let waiting = self.waiting_work() / CORE_SECOND;
        let seconds = waiting * 1_000.0 / capacity.max(1) as f64;
        self.backlog_level = (seconds / FULL_BACKLOG).min(1.0);
    }

    /// Returns the declared work of the waiting best-effort tasks whose rounds still have a value,
    /// in thousandths of cores times milliseconds.
    fn waiting_work(&self) -> f64 {
        let mut last: Option<(StepKey, f64)> = None;
        let mut work = 0.0;
        for key in self.ready.keys() {
            let step = key.step_key();
            let task_work = match last {
                Some((known, task_work)) if known == step => task_work,
                _ => self.countable_work(step),
            };
            last = Some((step, task_work));
            work += task_work;
        }
        work
    }

    /// Returns the declared work of one task of a step, in thousandths of cores times milliseconds;
    /// 0 for a task that is not best-effort, is lasting, or whose round has no value left.
    fn countable_work(&self, step: StepKey) -> f64 {
        let Some(job) = self.jobs.get(&step.job) else {
            return 0.0;
        };
        let spec = job.step(step.task(0));
        let has_value = || {
            let (prospect, _) = prospect(job, step.round as usize, self.now.wall);
            prospect != Prospect::Worthless
        };
        match spec.best_effort && !spec.lasting && has_value() {
            true => spec.resources.cpu as f64 * spec.estimate as f64,
            false => 0.0,
        }
    }
}
