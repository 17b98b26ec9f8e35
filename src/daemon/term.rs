//! Metrics and the final log line of an owner's term in this process.
//!
//! The log of a long-running box keeps only its last lines, so the line at a term's end repeats
//! the values of the line at its beginning.

use std::collections::BTreeMap;

use super::pings::PING_TIMEOUT;
use crate::metrics::{self, EventLabel, OwnerEndLabel};
use crate::sched::owner::Owner;
use crate::utils::clock::{self, Millis};
use crate::utils::peak::RecentPeak;

/// Milliseconds between two updates of the counters of time spent.
const FLUSH_INTERVAL: Millis = 1_000;
/// Lateness in milliseconds from which on an owner logs its load: half of the time within which it
/// has to answer a ping.
const LOGGED_LATENESS: Millis = PING_TIMEOUT / 2;

/// Number of events of one kind, and the time spent on decisions about them.
#[derive(Clone, Copy, Default)]
struct Spent {
    events: u64,
    micros: u64,
}

/// The time in which one owner serves, with its measurements.
pub struct Term {
    /// Epoch of the owner.
    pub epoch: u64,
    /// When the owner began to serve.
    pub began: Millis,
    /// Milliseconds from the commit that made this box the owner until it served.
    load_ms: Millis,
    /// Milliseconds by which messages were handled late, or a wait ended late.
    lateness: RecentPeak,
    /// Decisions by kind of event since the counters were last updated.
    spent: BTreeMap<&'static str, Spent>,
    /// Greatest lateness since then.
    flush_lateness: Millis,
    /// When the counters were last updated.
    flushed: Millis,
    /// Number of calls to workers in progress.
    calls: usize,
    /// When the owner was first seen to be releasing the cell.
    releasing_since: Option<Millis>,
}

impl Term {
    /// Begins the term of an owner that took `load_ms` to load.
    pub fn begin(epoch: u64, load_ms: Millis, now: Millis) -> Self {
        let metrics = metrics::get();
        metrics.takeovers.inc();
        metrics.owner_epoch.set(epoch as i64);
        metrics.load_time.set(load_ms as i64);
        Self {
            epoch,
            began: now,
            load_ms,
            lateness: RecentPeak::default(),
            spent: BTreeMap::new(),
            flush_lateness: 0,
            flushed: now,
            calls: 0,
            releasing_since: None,
        }
    }

    /// Records by how many milliseconds a message was handled late, or a wait ended late.
    pub fn record_lateness(&mut self, by: Millis, now: Millis) {
        self.lateness.record(by, now);
        self.flush_lateness = self.flush_lateness.max(by);
    }

    /// Records that an event has begun calls to workers, and whether it has ended one.
    pub fn record_calls(&mut self, begun: usize, ended: bool) {
        self.calls = (self.calls + begun).saturating_sub(usize::from(ended));
    }

    /// Records that an event of a kind was handled, and how many microseconds the decisions took.
    pub fn record_event(&mut self, kind: &'static str, micros: u64) {
        let spent = self.spent.entry(kind).or_default();
        spent.events += 1;
        spent.micros += micros;
    }

    /// Updates the counters once a second, as there are thousands of events per second, and logs the
    /// load of an owner that was late.
    pub fn flush(&mut self, owner: &Owner, now: Millis) {
        if now < self.flushed + FLUSH_INTERVAL {
            return;
        }
        let spent = std::mem::take(&mut self.spent);
        for (event, spent) in &spent {
            let counter = metrics::get()
                .decision_time
                .get_or_create(&EventLabel { event });
            counter.inc_by(spent.micros);
        }
        if self.flush_lateness >= LOGGED_LATENESS {
            self.log_load(owner, &spent, now);
        }
        self.flush_lateness = 0;
        self.flushed = now;
    }

    /// Logs what an owner that is late does.
    fn log_load(&self, owner: &Owner, spent: &BTreeMap<&'static str, Spent>, now: Millis) {
        let (jobs, _, waiting) = owner.sizes();
        let kinds = spent
            .iter()
            .map(|(kind, s)| format!("{kind}:{}:{}", s.events, s.micros / 1_000));
        let decisions = kinds.collect::<Vec<_>>().join(",");
        let unconfirmed = now.saturating_sub(owner.last_confirmed());
        let limit = owner.start_limit().map(|limit| format!("{limit:.0}"));
        let limit = limit.as_deref().unwrap_or("none");
        log::info!(target: "owner", "event=owner-load epoch={} late_ms={} span_ms={} unconfirmed_ms={unconfirmed} jobs={jobs} waiting={waiting} calls={} start_limit={limit} decisions={decisions}", self.epoch, self.flush_lateness, now - self.flushed, self.calls);
    }

    /// Returns for how many milliseconds the owner has been releasing the cell. Meanwhile it
    /// starts no run and extends no lease, and no other box may do so.
    fn releasing_ms(&self, now: Millis) -> Millis {
        self.releasing_since.map_or(0, |at| now.saturating_sub(at))
    }

    /// Updates the owner's gauges.
    pub fn update_gauges(&mut self, owner: &Owner, now: Millis) {
        if owner.is_releasing() {
            self.releasing_since.get_or_insert(now);
        }
        let metrics = metrics::get();
        let (jobs, workers, waiting) = owner.sizes();
        metrics.jobs.set(jobs as i64);
        metrics.workers.set(workers as i64);
        metrics.waiting_tasks.set(waiting as i64);
        let age = now.saturating_sub(owner.last_confirmed());
        metrics.unconfirmed_time.set(age as i64);
        metrics.loop_delay.set(self.lateness.recent() as i64);
        metrics.release_time.set(self.releasing_ms(now) as i64);
    }

    /// Ends the term: logs its summary, and clears the gauges that would make this box look like
    /// the owner.
    pub fn end(self, owner: &Owner, reason: &'static str, now: Millis) {
        let metrics = metrics::get();
        metrics
            .owner_ends
            .get_or_create(&OwnerEndLabel { reason })
            .inc();
        let served = now.saturating_sub(self.began);
        let began = clock::wall().saturating_sub(served);
        let (jobs, workers, waiting) = owner.sizes();
        let (lapsed, releasing) = (owner.lapsed_runs(), self.releasing_ms(now));
        log::info!(target: "owner", "event=owner-ends epoch={} reason={reason} began={began} served_ms={served} load_ms={} jobs={jobs} workers={workers} waiting={waiting} lapsed={lapsed} leaving_ms={releasing} late_ms={}", self.epoch, self.load_ms, self.lateness.highest());
        metrics.clear_owner_gauges();
    }
}
