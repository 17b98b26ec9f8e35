//! How much work of fillers waits in vain, and how far serving tasks make way for it.
//!
//! Load pattern: a burst brings more fillers' work than runs beside the serving tasks, and
//! at the usual load there is hardly any room to catch up: jobs that came in six seconds
//! are late for half a minute. Meanwhile serving tasks are loaded a little higher.

use super::job::StepKey;
use super::order::{Prospect, prospect};
use super::owner::Owner;

/// Backlog, in seconds of all processors, from which serving tasks are loaded by as much
/// more as they ever are.
const LONG: f64 = 0.2;
/// Thousandths of cores times milliseconds in a core second.
const CORE_SECOND: f64 = 1_000_000.0;

impl Owner {
    /// Measures what waits. Jobs that can earn nothing any more are no reason to load
    /// serving tasks higher, and do not count.
    pub(super) fn measure_backlog(&mut self) {
        let room: u64 = self.workers.values().map(|w| w.listing.capacity.cpu).sum();
        let waiting = self.waiting_work() / CORE_SECOND;
        let seconds = waiting * 1_000.0 / room.max(1) as f64;
        self.backlog_level = (seconds / LONG).min(1.0);
    }

    /// Returns the declared work of fillers that wait and can still earn something, in
    /// thousandths of cores times milliseconds.
    fn waiting_work(&self) -> f64 {
        let mut last: Option<(StepKey, f64)> = None;
        let mut work = 0.0;
        for key in self.ready.keys() {
            let step = key.step_key();
            let each = match last {
                Some((known, each)) if known == step => each,
                _ => self.work_of(step),
            };
            last = Some((step, each));
            work += each;
        }
        work
    }

    /// Returns the declared work of one task of a step; 0 for what does not count.
    fn work_of(&self, step: StepKey) -> f64 {
        let Some(job) = self.jobs.get(&step.job) else {
            return 0.0;
        };
        let asked = job.step(step.task(0));
        let counts = || prospect(job, step.round as usize, self.now.wall).0 != Prospect::Lost;
        match asked.best_effort && !asked.lasting && counts() {
            true => asked.resources.cpu as f64 * asked.estimate as f64,
            false => 0.0,
        }
    }
}
