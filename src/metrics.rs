//! Counters and gauges in the text format of Prometheus.

mod registration;

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicI64, AtomicU64};
use std::sync::{LazyLock, Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::invariant::{RULES, checks, violations};

/// Labels of an answer to a caller.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Answer {
    /// `answer`, `not-run` or `unknown`.
    pub verdict: &'static str,
    /// Why, for what is not the endpoint's answer.
    pub reason: &'static str,
}

/// Label of an owner's end in this process.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct End {
    /// `released`, `deposed` or `superseded`.
    pub reason: &'static str,
}

/// Label of the time that the owner's decisions took.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Spent {
    /// Kind of the event that they took in.
    pub event: &'static str,
}

/// Label of a call between programs.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Call {
    /// `http` to store, workers and advisor, `grpc` to boxes.
    pub by: &'static str,
}

/// Label of an invariant.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RuleLabel {
    rule: String,
}

/// Label of the image that a task runs.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Image {
    /// Its name.
    pub image: String,
}

/// All metrics of a box.
pub struct Metrics {
    registry: Registry,
    /// Answers to callers.
    pub answers: Family<Answer, Counter>,
    /// Seconds from a caller's request to its answer.
    pub seconds: Histogram,
    /// Requests handed to other boxes.
    pub forwards: Counter,
    /// Rows that did not decode.
    pub undecoded: Counter,
    /// Messages that were malformed or too large.
    pub malformed: Counter,
    /// Cells owned.
    pub cells: Gauge<i64, AtomicI64>,
    /// Version of the configuration in force.
    pub config: Gauge<i64, AtomicI64>,
    /// Seconds from a commit to its answer.
    pub commit_seconds: Histogram,
    /// Seconds from a job's acceptance to its first start.
    pub start_seconds: Histogram,
    /// Epoch of the owner in this process, 0 for none.
    pub epoch: Gauge<i64, AtomicI64>,
    /// Epoch of the owner that this box follows, 0 for none.
    pub followed: Gauge<i64, AtomicI64>,
    /// Other boxes that this one may ask for the owner.
    pub others: Gauge<i64, AtomicI64>,
    /// Milliseconds since an owner last served this box, 0 while one does.
    pub unserved: Gauge<i64, AtomicI64>,
    /// Milliseconds by which the owner's loop was late, the highest of late.
    pub late: Gauge<i64, AtomicI64>,
    /// Milliseconds since the owner was told to give the cell up, 0 before.
    pub leaving: Gauge<i64, AtomicI64>,
    /// Milliseconds from the last commit that made this box the owner until it served.
    pub load: Gauge<i64, AtomicI64>,
    /// Microseconds that the owner's decisions took, by kind of event.
    pub spent: Family<Spent, Counter>,
    /// Owners that ended in this process.
    pub ends: Family<End, Counter>,
    /// Times that this box became the owner.
    pub takeovers: Counter,
    /// Jobs held by the owner in this process.
    pub jobs: Gauge<i64, AtomicI64>,
    /// Workers known to the owner in this process.
    pub workers: Gauge<i64, AtomicI64>,
    /// Tasks that wait for a worker.
    pub waiting: Gauge<i64, AtomicI64>,
    /// Milliseconds since the store confirmed the owner in this process.
    pub unconfirmed: Gauge<i64, AtomicI64>,
    /// Runs freed as the lease of their worker had ended.
    pub lapsed: Counter,
    /// Workers that crashed, as far as the owner can tell.
    pub crashes: Counter,
    /// Lives of workers that took the place of a known one.
    pub lives: Counter,
    /// News of earlier lives that were passed over.
    pub earlier_lives: Counter,
    /// Tasks given up after crashes of their workers.
    pub given_up: Counter,
    /// Runs that went with the life of their worker, without an end.
    pub orphaned: Counter,
    /// Halls that are cordoned, as far as this box knows.
    pub cordoned: Gauge<i64, AtomicI64>,
    /// Starts withdrawn before they were sent, as their worker could not take them any more.
    pub withdrawn: Counter,
    /// Calls without an answer in time, though the connection was open.
    pub unanswered: Family<Call, Counter>,
    /// Milliseconds for which the machine was suspended.
    pub suspended: Counter,
    /// Milliseconds of the longest spell of a serving task over its target that goes on.
    pub over: Gauge<i64, AtomicI64>,
    /// Seconds of spells of serving tasks over their target that have ended.
    pub over_seconds: Family<Image, Histogram>,
    /// Orders on the pace of fillers.
    pub paces: Counter,
    /// Orders on the pace of fillers that were not answered well.
    pub paces_missed: Counter,
    /// Log lines that were dropped.
    pub dropped: Counter,
    /// Calls to the table.
    pub calls: Counter<u64, AtomicU64>,
    /// Tasks evicted.
    pub evictions: Gauge<i64, AtomicI64>,
    /// Tasks finished.
    pub finished: Gauge<i64, AtomicI64>,
    checks: Family<RuleLabel, Gauge>,
    violations: Family<RuleLabel, Gauge>,
}

static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);

/// Returns the metrics of this process.
pub fn get() -> &'static Metrics {
    &METRICS
}

/// Counts a row that did not decode.
pub fn undecoded() {
    METRICS.undecoded.inc();
}

/// Counts a call without an answer in time on an open connection.
pub fn unanswered(by: &'static str) {
    METRICS.unanswered.get_or_create(&Call { by }).inc();
}

/// Images that have a label of their own; the others share one.
const IMAGES: usize = 64;

/// Counts a spell over target of a serving task that runs an image.
pub fn observe_over_target(image: &str, seconds: f64) {
    static SEEN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());
    let mut seen = SEEN.lock().unwrap_or_else(PoisonError::into_inner);
    if seen.len() < IMAGES && !seen.contains(image) {
        seen.insert(image.to_string());
    }
    let image = match seen.contains(image) {
        true => image,
        false => "other",
    };
    let label = Image {
        image: image.to_string(),
    };
    METRICS.over_seconds.get_or_create(&label).observe(seconds);
}

impl Metrics {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("willowpoint");
        let metrics = Self {
            registry: Registry::default(),
            answers: Family::default(),
            seconds: Histogram::new(registration::REQUEST_SPANS),
            forwards: Counter::default(),
            undecoded: Counter::default(),
            malformed: Counter::default(),
            cells: Gauge::default(),
            config: Gauge::default(),
            commit_seconds: Histogram::new(registration::COMMIT_SPANS),
            start_seconds: Histogram::new(registration::START_SPANS),
            epoch: Gauge::default(),
            followed: Gauge::default(),
            others: Gauge::default(),
            unserved: Gauge::default(),
            late: Gauge::default(),
            leaving: Gauge::default(),
            load: Gauge::default(),
            spent: Family::default(),
            ends: Family::default(),
            takeovers: Counter::default(),
            jobs: Gauge::default(),
            workers: Gauge::default(),
            waiting: Gauge::default(),
            unconfirmed: Gauge::default(),
            lapsed: Counter::default(),
            orphaned: Counter::default(),
            crashes: Counter::default(),
            lives: Counter::default(),
            earlier_lives: Counter::default(),
            given_up: Counter::default(),
            cordoned: Gauge::default(),
            withdrawn: Counter::default(),
            unanswered: Family::default(),
            suspended: Counter::default(),
            over: Gauge::default(),
            over_seconds: Family::new_with_constructor(|| Histogram::new(registration::OVER_SPANS)),
            paces: Counter::default(),
            paces_missed: Counter::default(),
            dropped: Counter::default(),
            calls: Counter::default(),
            evictions: Gauge::default(),
            finished: Gauge::default(),
            checks: Family::default(),
            violations: Family::default(),
        };
        registration::owner(&mut registry, &metrics);
        registration::spans(&mut registry, &metrics);
        registration::older(&mut registry, &metrics);
        Self {
            registry,
            ..metrics
        }
    }

    /// Sets the gauges of an owner to 0: kept, they would make a box that was the
    /// owner once look like a second one.
    pub fn no_owner(&self) {
        let gauges = [
            &self.epoch,
            &self.late,
            &self.leaving,
            &self.unconfirmed,
            &self.waiting,
            &self.jobs,
            &self.workers,
            &self.over,
        ];
        for gauge in gauges {
            gauge.set(0);
        }
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        for rule in RULES {
            let label = RuleLabel {
                rule: format!("{rule:?}").to_lowercase(),
            };
            self.checks.get_or_create(&label).set(checks(rule) as i64);
            self.violations
                .get_or_create(&label)
                .set(violations(rule) as i64);
        }
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
