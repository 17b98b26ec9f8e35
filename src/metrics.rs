//! Metrics of the process, in the text format of Prometheus.

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
    /// Reason for an answer that is not from an endpoint, otherwise empty.
    pub reason: &'static str,
}

/// Label of the end of an owner's term.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OwnerEndLabel {
    /// `released`, `deposed` or `superseded`.
    pub reason: &'static str,
}

/// Label of the time spent on the owner's decisions.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EventLabel {
    /// Kind of the event that was processed.
    pub event: &'static str,
}

/// Label of an outgoing call.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ProtocolLabel {
    /// `http` or `grpc`. The `serve` daemon calls the store, workers and the advisor over HTTP, and
    /// boxes over gRPC.
    pub by: &'static str,
}

/// Label of a limit on callers that was exceeded.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CallerLimitLabel {
    /// `connections`, `memory`, `slow`, `unread` or `size`.
    pub by: &'static str,
}

/// Gauge that other values replace.
pub type Level = Gauge<i64, AtomicI64>;

/// Label of an invariant.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RuleLabel {
    rule: String,
}

/// Label of the image that a task runs.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ImageLabel {
    /// Name of the image, or `other`.
    pub image: String,
}

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Answers to callers.
    pub answers: Family<AnswerLabels, Counter>,
    /// Time from a caller's request to its answer, in seconds.
    pub request_seconds: Histogram,
    /// Requests forwarded to other boxes.
    pub forwarded_requests: Counter,
    /// Rows read from the table that did not decode.
    pub undecoded_rows: Counter,
    /// Connections closed and requests refused because callers exceeded a limit.
    pub caller_limits: Family<CallerLimitLabel, Counter>,
    /// Open connections of callers.
    pub caller_connections: Level,
    /// Most open connections of callers.
    pub caller_connection_limit: Level,
    /// Bytes that large requests of callers hold.
    pub caller_pool_bytes: Level,
    /// Most bytes that large requests of callers may hold.
    pub caller_pool_limit: Level,
    /// Messages that were malformed or too large.
    pub malformed_messages: Counter,
    /// Cells that this box owns.
    pub owned_cells: Gauge<i64, AtomicI64>,
    /// Current version of the configuration.
    pub config_version: Gauge<i64, AtomicI64>,
    /// Time from a commit to its reply, in seconds.
    pub commit_seconds: Histogram,
    /// Time from a job's acceptance to its first start, in seconds.
    pub first_start_seconds: Histogram,
    /// Epoch of the owner in this process, or 0.
    pub owner_epoch: Gauge<i64, AtomicI64>,
    /// Epoch of the owner that this box follows, or 0.
    pub followed_epoch: Gauge<i64, AtomicI64>,
    /// Other boxes that this box can ask who the owner is.
    pub other_boxes: Gauge<i64, AtomicI64>,
    /// Time since an owner last served this box, in milliseconds; 0 while one does.
    pub unserved_time: Gauge<i64, AtomicI64>,
    /// Highest recent delay of the owner's loop, in milliseconds.
    pub loop_delay: Gauge<i64, AtomicI64>,
    /// Time since the owner began to release the cell, in milliseconds; 0 before that.
    pub release_time: Gauge<i64, AtomicI64>,
    /// Time that this box last took to load the cell, from the commit that made it the owner until
    /// it served, in milliseconds.
    pub load_time: Gauge<i64, AtomicI64>,
    /// Time spent on the owner's decisions, in microseconds, by kind of event.
    pub decision_time: Family<EventLabel, Counter>,
    /// Ended terms of owners in this process, by reason.
    pub owner_ends: Family<OwnerEndLabel, Counter>,
    /// Number of times that this box became the owner.
    pub takeovers: Counter,
    /// Jobs held by the owner in this process.
    pub jobs: Gauge<i64, AtomicI64>,
    /// Workers that the owner in this process knows.
    pub workers: Gauge<i64, AtomicI64>,
    /// Tasks that wait for a worker.
    pub waiting_tasks: Gauge<i64, AtomicI64>,
    /// Time since the store last confirmed the owner in this process, in milliseconds.
    pub unconfirmed_time: Gauge<i64, AtomicI64>,
    /// Runs that were released because the lease of their worker expired.
    pub lapsed_runs: Counter,
    /// Crashes of workers that the owner detected.
    pub worker_crashes: Counter,
    /// Incarnations of workers that replaced a known incarnation.
    pub new_incarnations: Counter,
    /// Reports of earlier incarnations that were ignored.
    pub stale_reports: Counter,
    /// Tasks that failed for good because they may have crashed their workers.
    pub abandoned_tasks: Counter,
    /// Tasks that are held until it is known whether the workers that they were lost with crashed.
    pub held_tasks: Gauge<i64, AtomicI64>,
    /// Runs that ended without a report because their worker's incarnation ended.
    pub orphaned_runs: Counter,
    /// Cordoned halls that this box knows.
    pub cordoned_halls: Gauge<i64, AtomicI64>,
    /// Starts withdrawn before they were sent, because the worker could no longer accept them.
    pub withdrawn_starts: Counter,
    /// Copies of slow runs that were started.
    pub copies_started: Counter,
    /// Copies that were successful before the other run of their task.
    pub copies_won: Counter,
    /// Core-milliseconds of runs that were not needed because of copies.
    pub copies_lost_core_time: Counter,
    /// Calls on an open connection that were not answered in time.
    pub unanswered_calls: Family<ProtocolLabel, Counter>,
    /// Time for which the machine was suspended, in milliseconds.
    pub suspended_time: Counter,
    /// Longest ongoing breach of a latency target, in milliseconds.
    pub longest_breach: Gauge<i64, AtomicI64>,
    /// Durations of ended breaches of latency targets, in seconds, by image.
    pub breach_seconds: Family<ImageLabel, Histogram>,
    /// Jobs that the owner refused for load.
    pub load_refusals: Counter,
    /// Jobs accepted after a refusal for load.
    pub returned_jobs: Counter,
    /// Orders that set the speed of best-effort tasks.
    pub throttle_orders: Counter,
    /// Orders that set the speed of best-effort tasks and failed.
    pub failed_throttles: Counter,
    /// Workers that were found to be slow.
    pub slow_found: Counter,
    /// Workers that count as slow.
    pub slow_workers: Gauge<i64, AtomicI64>,
    /// Ratios of measured to declared run times.
    pub run_time_ratio: Histogram,
    /// Bytes of written snapshots of learned estimates.
    pub learned_bytes: Counter,
    /// Tasks that waited for a place on their rack while they could have run elsewhere.
    pub rack_waits: Counter,
    /// Tasks that were placed outside the rack that holds their data.
    pub rack_misses: Counter,
    /// Dropped log lines.
    pub dropped_lines: Counter,
    /// Calls to the table.
    pub table_calls: Counter<u64, AtomicU64>,
    /// Tasks evicted by the present owners in this process.
    pub evicted_tasks: Gauge<i64, AtomicI64>,
    /// Tasks finished under the present owners in this process.
    pub finished_tasks: Gauge<i64, AtomicI64>,
    checks: Family<RuleLabel, Gauge>,
    violations: Family<RuleLabel, Gauge>,
}

static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);

/// Returns the metrics of this process.
pub fn get() -> &'static Metrics {
    &METRICS
}

/// Counts a row of the table that did not decode.
pub fn count_undecoded_row() {
    METRICS.undecoded_rows.inc();
}

/// Counts a call on an open connection that was not answered in time.
pub fn count_unanswered_call(by: &'static str) {
    METRICS
        .unanswered_calls
        .get_or_create(&ProtocolLabel { by })
        .inc();
}

/// Number of images that get a label of their own; all further images share the label `other`. This
/// bounds the size of the text.
const MAX_IMAGES: usize = 64;

/// Records an ended breach of the latency target of a serving task that runs `image`.
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
            forwarded_requests: Counter::default(),
            undecoded_rows: Counter::default(),
            caller_limits: Family::default(),
            caller_connections: Gauge::default(),
            caller_connection_limit: Gauge::default(),
            caller_pool_bytes: Gauge::default(),
            caller_pool_limit: Gauge::default(),
            malformed_messages: Counter::default(),
            owned_cells: Gauge::default(),
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
            held_tasks: Gauge::default(),
            cordoned_halls: Gauge::default(),
            withdrawn_starts: Counter::default(),
            copies_started: Counter::default(),
            copies_won: Counter::default(),
            copies_lost_core_time: Counter::default(),
            unanswered_calls: Family::default(),
            suspended_time: Counter::default(),
            longest_breach: Gauge::default(),
            breach_seconds: Family::new_with_constructor(|| {
                Histogram::new(registration::BREACH_BUCKETS)
            }),
            load_refusals: Counter::default(),
            returned_jobs: Counter::default(),
            throttle_orders: Counter::default(),
            failed_throttles: Counter::default(),
            slow_found: Counter::default(),
            slow_workers: Gauge::default(),
            run_time_ratio: Histogram::new(registration::RATIO_BUCKETS),
            learned_bytes: Counter::default(),
            rack_waits: Counter::default(),
            rack_misses: Counter::default(),
            dropped_lines: Counter::default(),
            table_calls: Counter::default(),
            evicted_tasks: Gauge::default(),
            finished_tasks: Gauge::default(),
            checks: Family::default(),
            violations: Family::default(),
        };
        registration::register_owner(&mut registry, &metrics);
        registration::register_histograms(&mut registry, &metrics);
        registration::register_callers(&mut registry, &metrics);
        registration::register_entry_daemon(&mut registry, &metrics);
        Self {
            registry,
            ..metrics
        }
    }

    /// Sets the gauges of an owner to 0. With its last values, a former owner would look like a
    /// second one.
    pub fn clear_owner_gauges(&self) {
        let gauges = [
            &self.owner_epoch,
            &self.loop_delay,
            &self.release_time,
            &self.unconfirmed_time,
            &self.waiting_tasks,
            &self.held_tasks,
            &self.jobs,
            &self.workers,
            &self.longest_breach,
            &self.slow_workers,
        ];
        for gauge in gauges {
            gauge.set(0);
        }
    }

    /// Returns all metrics in the text format.
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
        // Writing to a string never fails.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
