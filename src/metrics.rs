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
pub struct AnswerLabels {
    /// `answer`, `not-run` or `unknown`.
    pub verdict: &'static str,
    /// Why, for what is not the endpoint's answer.
    pub reason: &'static str,
}

/// Label of an owner's end in this process.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OwnerEndLabel {
    /// `released`, `deposed` or `superseded`.
    pub reason: &'static str,
}

/// Label of the time that the owner's decisions took.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EventLabel {
    /// Kind of the event that they took in.
    pub event: &'static str,
}

/// Label of a call between programs.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ProtocolLabel {
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
pub struct ImageLabel {
    /// Its name.
    pub image: String,
}

/// All metrics of a box.
pub struct Metrics {
    registry: Registry,
    /// Answers to callers.
    pub answers: Family<AnswerLabels, Counter>,
    /// Seconds from a caller's request to its answer.
    pub request_seconds: Histogram,
    /// Requests handed to other boxes.
    pub forwards: Counter,
    /// Rows that did not decode.
    pub rows_undecoded: Counter,
    /// Messages that were malformed or too large.
    pub malformed: Counter,
    /// Cells owned.
    pub cells: Gauge<i64, AtomicI64>,
    /// Version of the configuration in force.
    pub config_version: Gauge<i64, AtomicI64>,
    /// Seconds from a commit to its answer.
    pub commit_seconds: Histogram,
    /// Seconds from a job's acceptance to its first start.
    pub first_start_seconds: Histogram,
    /// Epoch of the owner in this process, 0 for none.
    pub owner_epoch: Gauge<i64, AtomicI64>,
    /// Epoch of the owner that this box follows, 0 for none.
    pub followed_epoch: Gauge<i64, AtomicI64>,
    /// Other boxes that this one may ask for the owner.
    pub other_boxes: Gauge<i64, AtomicI64>,
    /// Milliseconds since an owner last served this box, 0 while one does.
    pub unserved_time: Gauge<i64, AtomicI64>,
    /// Milliseconds by which the owner's loop was late, the highest of late.
    pub loop_delay: Gauge<i64, AtomicI64>,
    /// Milliseconds since the owner was told to give the cell up, 0 before.
    pub release_time: Gauge<i64, AtomicI64>,
    /// Milliseconds from the last commit that made this box the owner until it served.
    pub load_time: Gauge<i64, AtomicI64>,
    /// Microseconds that the owner's decisions took, by kind of event.
    pub decision_time: Family<EventLabel, Counter>,
    /// Owners that ended in this process.
    pub owner_ends: Family<OwnerEndLabel, Counter>,
    /// Times that this box became the owner.
    pub takeovers: Counter,
    /// Jobs held by the owner in this process.
    pub jobs: Gauge<i64, AtomicI64>,
    /// Workers known to the owner in this process.
    pub workers: Gauge<i64, AtomicI64>,
    /// Tasks that wait for a worker.
    pub waiting_tasks: Gauge<i64, AtomicI64>,
    /// Milliseconds since the store confirmed the owner in this process.
    pub unconfirmed_time: Gauge<i64, AtomicI64>,
    /// Runs freed as the lease of their worker had ended.
    pub lapsed_runs: Counter,
    /// Workers that crashed, as far as the owner can tell.
    pub worker_crashes: Counter,
    /// Lives of workers that took the place of a known one.
    pub new_incarnations: Counter,
    /// News of earlier lives that were passed over.
    pub stale_reports: Counter,
    /// Tasks given up after crashes of their workers.
    pub abandoned_tasks: Counter,
    /// Runs that went with the life of their worker, without an end.
    pub orphaned_runs: Counter,
    /// Halls that are cordoned, as far as this box knows.
    pub cordoned_halls: Gauge<i64, AtomicI64>,
    /// Starts withdrawn before they were sent, as their worker could not take them any more.
    pub withdrawn_starts: Counter,
    /// Calls without an answer in time, though the connection was open.
    pub unanswered_calls: Family<ProtocolLabel, Counter>,
    /// Milliseconds for which the machine was suspended.
    pub suspended_time: Counter,
    /// Milliseconds of the longest spell of a serving task over its target that goes on.
    pub longest_breach: Gauge<i64, AtomicI64>,
    /// Seconds of spells of serving tasks over their target that have ended.
    pub breach_seconds: Family<ImageLabel, Histogram>,
    /// Orders on the pace of fillers.
    pub throttle_orders: Counter,
    /// Orders on the pace of fillers that were not answered well.
    pub failed_throttles: Counter,
    /// Log lines that were dropped.
    pub dropped_lines: Counter,
    /// Calls to the table.
    pub table_calls: Counter<u64, AtomicU64>,
    /// Tasks evicted.
    pub evicted_tasks: Gauge<i64, AtomicI64>,
    /// Tasks finished.
    pub finished_tasks: Gauge<i64, AtomicI64>,
    checks: Family<RuleLabel, Gauge>,
    violations: Family<RuleLabel, Gauge>,
}

static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);

/// Returns the metrics of this process.
pub fn get() -> &'static Metrics {
    &METRICS
}

/// Counts a row that did not decode.
pub fn count_undecoded_row() {
    METRICS.rows_undecoded.inc();
}

/// Counts a call without an answer in time on an open connection.
pub fn count_unanswered_call(by: &'static str) {
    METRICS
        .unanswered_calls
        .get_or_create(&ProtocolLabel { by })
        .inc();
}

/// Images that have a label of their own; the others share one.
const MAX_IMAGES: usize = 64;

/// Counts a spell over target of a serving task that runs an image.
pub fn observe_breach(image: &str, seconds: f64) {
    static LABELED: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());
    let mut labeled = LABELED.lock().unwrap_or_else(PoisonError::into_inner);
    if labeled.len() < MAX_IMAGES && !labeled.contains(image) {
        labeled.insert(image.to_string());
    }
    let image = match labeled.contains(image) {
        true => image,
        false => "other",
    };
    let label = ImageLabel {
        image: image.to_string(),
    };
    METRICS
        .breach_seconds
        .get_or_create(&label)
        .observe(seconds);
}

impl Metrics {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("willowpoint");
        let metrics = Self {
            registry: Registry::default(),
            answers: Family::default(),
            request_seconds: Histogram::new(registration::REQUEST_BUCKETS),
            forwards: Counter::default(),
            rows_undecoded: Counter::default(),
            malformed: Counter::default(),
            cells: Gauge::default(),
            config_version: Gauge::default(),
            commit_seconds: Histogram::new(registration::COMMIT_BUCKETS),
            first_start_seconds: Histogram::new(registration::FIRST_START_BUCKETS),
            owner_epoch: Gauge::default(),
            followed_epoch: Gauge::default(),
            other_boxes: Gauge::default(),
            unserved_time: Gauge::default(),
            loop_delay: Gauge::default(),
            release_time: Gauge::default(),
            load_time: Gauge::default(),
            decision_time: Family::default(),
            owner_ends: Family::default(),
            takeovers: Counter::default(),
            jobs: Gauge::default(),
            workers: Gauge::default(),
            waiting_tasks: Gauge::default(),
            unconfirmed_time: Gauge::default(),
            lapsed_runs: Counter::default(),
            orphaned_runs: Counter::default(),
            worker_crashes: Counter::default(),
            new_incarnations: Counter::default(),
            stale_reports: Counter::default(),
            abandoned_tasks: Counter::default(),
            cordoned_halls: Gauge::default(),
            withdrawn_starts: Counter::default(),
            unanswered_calls: Family::default(),
            suspended_time: Counter::default(),
            longest_breach: Gauge::default(),
            breach_seconds: Family::new_with_constructor(|| {
                Histogram::new(registration::BREACH_BUCKETS)
            }),
            throttle_orders: Counter::default(),
            failed_throttles: Counter::default(),
            dropped_lines: Counter::default(),
            table_calls: Counter::default(),
            evicted_tasks: Gauge::default(),
            finished_tasks: Gauge::default(),
            checks: Family::default(),
            violations: Family::default(),
        };
        registration::register_owner(&mut registry, &metrics);
        registration::register_histograms(&mut registry, &metrics);
        registration::register_engine(&mut registry, &metrics);
        Self {
            registry,
            ..metrics
        }
    }

    /// Sets the gauges of an owner to 0: kept, they would make a box that was the
    /// owner once look like a second one.
    pub fn clear_owner_gauges(&self) {
        let gauges = [
            &self.owner_epoch,
            &self.loop_delay,
            &self.release_time,
            &self.unconfirmed_time,
            &self.waiting_tasks,
            &self.jobs,
            &self.workers,
            &self.longest_breach,
        ];
        for gauge in gauges {
            gauge.set(0);
        }
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
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
