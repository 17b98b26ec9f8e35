//! What is told of an owner in this process: gauges while it lasts, a summary in
//! the log when it ends.
//!
//! Of a box that ran for long, only the last lines are kept: the one of an owner's
//! end has to tell what the one of its beginning did.

use std::collections::BTreeMap;

use crate::metrics::{self, End, Spent};
use crate::sched::owner::Owner;
use crate::utils::clock::{self, Millis};
use crate::utils::peak::Peak;

/// Milliseconds between two additions to the counters of time.
const FLUSH_INTERVAL: Millis = 1_000;

/// The time of an owner in this process.
pub struct Term {
    /// Epoch of the owner.
    pub epoch: u64,
    /// When it began to serve.
    pub began: Millis,
    /// Milliseconds from the commit that made it the owner until it served.
    load_ms: Millis,
    lateness: Peak,
    /// Microseconds of decisions by kind of event that the counters do not have yet.
    spent: BTreeMap<&'static str, u64>,
    /// When the counters had all.
    flushed: Millis,
    /// When it was first seen to give the cell up.
    leaving_since: Option<Millis>,
}

impl Term {
    /// Begins the time of an owner that took so long to load.
    pub fn begin(epoch: u64, load_ms: Millis, now: Millis) -> Self {
        let metrics = metrics::get();
        metrics.takeovers.inc();
        metrics.epoch.set(epoch as i64);
        metrics.load.set(load_ms as i64);
        Self {
            epoch,
            began: now,
            load_ms,
            lateness: Peak::default(),
            spent: BTreeMap::new(),
            flushed: now,
            leaving_since: None,
        }
    }

    /// Takes in by how many milliseconds the owner's loop was late.
    pub fn record_lateness(&mut self, by: Millis, now: Millis) {
        self.lateness.note(by, now);
    }

    /// Takes in how many microseconds the decisions about an event took. The counters have
    /// them once a second, as there are thousands of events in one.
    pub fn record_spent(&mut self, event: &'static str, micros: u64, now: Millis) {
        *self.spent.entry(event).or_default() += micros;
        if now < self.flushed + FLUSH_INTERVAL {
            return;
        }
        self.flushed = now;
        for (event, micros) in std::mem::take(&mut self.spent) {
            let counter = metrics::get().spent.get_or_create(&Spent { event });
            counter.inc_by(micros);
        }
    }

    /// Returns for how long it has been giving the cell up: it starts and extends
    /// nothing meanwhile, and no other box may.
    fn leaving_ms(&self, now: Millis) -> Millis {
        self.leaving_since.map_or(0, |at| now.saturating_sub(at))
    }

    /// Sets the gauges of the owner.
    pub fn update_gauges(&mut self, owner: &Owner, now: Millis) {
        if owner.gives_up() {
            self.leaving_since.get_or_insert(now);
        }
        let metrics = metrics::get();
        let (jobs, workers, waiting) = owner.sizes();
        metrics.jobs.set(jobs as i64);
        metrics.workers.set(workers as i64);
        metrics.waiting.set(waiting as i64);
        let age = now.saturating_sub(owner.confirmed());
        metrics.unconfirmed.set(age as i64);
        metrics.late.set(self.lateness.late() as i64);
        metrics.leaving.set(self.leaving_ms(now) as i64);
    }

    /// Ends it, and leaves no gauge that would make this box look like the owner.
    pub fn end(self, owner: &Owner, reason: &'static str, now: Millis) {
        let metrics = metrics::get();
        metrics.ends.get_or_create(&End { reason }).inc();
        let served = now.saturating_sub(self.began);
        let began = clock::wall().saturating_sub(served);
        let (jobs, workers, waiting) = owner.sizes();
        let (lapsed, leaving) = (owner.lapsed(), self.leaving_ms(now));
        log::info!(target: "owner", "event=owner-ends epoch={} reason={reason} began={began} served_ms={served} load_ms={} jobs={jobs} workers={workers} waiting={waiting} lapsed={lapsed} leaving_ms={leaving} late_ms={}", self.epoch, self.load_ms, self.lateness.highest());
        metrics.no_owner();
    }
}
