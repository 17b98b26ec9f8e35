//! Registers the metrics under their names, in the order of the text.
//!
//! Collectors may keep only the first 4,000 bytes of a reply, and once these held nothing but the
//! histograms of callers' requests. So the metrics about the owner come first, then the histograms,
//! and last the metrics of the `entry` daemon.

use prometheus_client::registry::Registry;

use super::Metrics;

/// Buckets of the time of a request, in seconds. Each bound of this and the next two lists is about
/// three times the one before, so that a quantile is known within a factor of 3.3.
pub(super) const REQUEST_BUCKETS: [f64; 12] = [
    0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0,
];
/// Buckets of the time of a commit, in seconds.
pub(super) const COMMIT_BUCKETS: [f64; 9] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];
/// Buckets of the time to a job's first start, in seconds.
pub(super) const FIRST_START_BUCKETS: [f64; 10] =
    [0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0];

/// Buckets of the duration of a breach of a latency target, in seconds.
pub(super) const BREACH_BUCKETS: [f64; 8] = [0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0];

/// Buckets of the ratio of a measured to a declared run time.
pub(super) const RATIO_BUCKETS: [f64; 9] = [0.2, 0.5, 0.8, 1.0, 1.25, 2.0, 4.0, 8.0, 16.0];

/// Registers the metrics about the owner and its health.
pub(super) fn register_owner(registry: &mut Registry, m: &Metrics) {
    registry.register(
        "owner_epoch",
        "Epoch of the owner here",
        m.owner_epoch.clone(),
    );
    registry.register(
        "followed_epoch",
        "Epoch of the owner followed",
        m.followed_epoch.clone(),
    );
    registry.register(
        "owner_unserved_ms",
        "Milliseconds without an owner",
        m.unserved_time.clone(),
    );
    registry.register("takeovers", "Takeovers", m.takeovers.clone());
    registry.register(
        "unconfirmed_ms",
        "Milliseconds since confirmed",
        m.unconfirmed_time.clone(),
    );
    registry.register(
        "runs_lapsed",
        "Runs whose lease ended",
        m.lapsed_runs.clone(),
    );
    registry.register(
        "runs_orphaned",
        "Runs lost with a worker",
        m.orphaned_runs.clone(),
    );
    registry.register(
        "worker_lives",
        "Workers that started again",
        m.new_incarnations.clone(),
    );
    registry.register(
        "earlier_lives",
        "Late news passed over",
        m.stale_reports.clone(),
    );
    registry.register(
        "worker_crashes",
        "Workers that crashed",
        m.worker_crashes.clone(),
    );
    registry.register(
        "tasks_given_up",
        "Tasks given up after crashes",
        m.abandoned_tasks.clone(),
    );
    registry.register("halls_cordoned", "Halls cordoned", m.cordoned_halls.clone());
    registry.register(
        "starts_withdrawn",
        "Starts withdrawn unsent",
        m.withdrawn_starts.clone(),
    );
    registry.register(
        "calls_unanswered",
        "Calls not answered in time",
        m.unanswered_calls.clone(),
    );
    registry.register("owner_late_ms", "Milliseconds late", m.loop_delay.clone());
    registry.register(
        "owner_leaving_ms",
        "Milliseconds of giving up",
        m.release_time.clone(),
    );
    registry.register(
        "load_ms",
        "Milliseconds of the last load",
        m.load_time.clone(),
    );
    registry.register("owner_ends", "Owners that ended here", m.owner_ends.clone());
    registry.register("tasks_waiting", "Tasks that wait", m.waiting_tasks.clone());
    registry.register(
        "over_target_ms",
        "Longest spell over target",
        m.longest_breach.clone(),
    );
    registry.register("jobs", "Jobs held by the owner", m.jobs.clone());
    registry.register("workers", "Workers known", m.workers.clone());
    registry.register(
        "suspended_ms",
        "Milliseconds suspended",
        m.suspended_time.clone(),
    );
    registry.register("log_dropped", "Log lines dropped", m.dropped_lines.clone());
    registry.register(
        "config_version",
        "Version in force",
        m.config_version.clone(),
    );
    registry.register(
        "rows_undecoded",
        "Rows that did not decode",
        m.undecoded_rows.clone(),
    );
}

/// Registers the histograms and some counters.
pub(super) fn register_histograms(registry: &mut Registry, m: &Metrics) {
    registry.register(
        "commit_seconds",
        "Time of a commit",
        m.commit_seconds.clone(),
    );
    registry.register(
        "first_start_seconds",
        "Time from acceptance to the first start",
        m.first_start_seconds.clone(),
    );
    registry.register(
        "over_target_seconds",
        "Spells of serving tasks over target, by image",
        m.breach_seconds.clone(),
    );
    registry.register(
        "request_seconds",
        "Time to the answer",
        m.request_seconds.clone(),
    );
    registry.register(
        "load_refusals",
        "Jobs refused for load",
        m.load_refusals.clone(),
    );
    registry.register(
        "returned_jobs",
        "Refused, then accepted",
        m.returned_jobs.clone(),
    );
    registry.register(
        "copies_started",
        "Copies of slow runs started",
        m.copies_started.clone(),
    );
    registry.register(
        "copies_won",
        "Copies that ended first",
        m.copies_won.clone(),
    );
    registry.register(
        "copies_lost_core_ms",
        "Core-milliseconds of runs not needed",
        m.copies_lost_core_time.clone(),
    );
    registry.register(
        "tasks_held",
        "Tasks held until lost workers are known to live or to have crashed",
        m.held_tasks.clone(),
    );
    registry.register("paces", "Orders on paces", m.throttle_orders.clone());
    registry.register(
        "paces_missed",
        "Orders on paces without a good answer",
        m.failed_throttles.clone(),
    );
    registry.register(
        "rack_waits",
        "Tasks that waited for their rack",
        m.rack_waits.clone(),
    );
    registry.register(
        "rack_misses",
        "Tasks placed outside their rack",
        m.rack_misses.clone(),
    );
    registry.register(
        "owner_spent_us",
        "Microseconds that the owner's decisions took",
        m.decision_time.clone(),
    );
    registry.register(
        "slow_found",
        "Workers found to be slow",
        m.slow_found.clone(),
    );
    registry.register(
        "workers_slow",
        "Workers that count as slow",
        m.slow_workers.clone(),
    );
    registry.register(
        "run_time_ratio",
        "Measured by declared run time",
        m.run_time_ratio.clone(),
    );
    registry.register(
        "learned_bytes",
        "Bytes of written snapshots of estimates",
        m.learned_bytes.clone(),
    );
    registry.register(
        "other_boxes",
        "Boxes that may be asked for the owner",
        m.other_boxes.clone(),
    );
}

/// Registers the metrics of what callers hold.
pub(super) fn register_callers(registry: &mut Registry, m: &Metrics) {
    registry.register(
        "caller_limits",
        "Limits on callers exceeded, by cause",
        m.caller_limits.clone(),
    );
    registry.register(
        "caller_connections",
        "Open connections of callers",
        m.caller_connections.clone(),
    );
    registry.register(
        "caller_connections_max",
        "Most open connections of callers",
        m.caller_connection_limit.clone(),
    );
    registry.register(
        "caller_pool_bytes",
        "Memory of large requests",
        m.caller_pool_bytes.clone(),
    );
    registry.register(
        "caller_pool_bytes_max",
        "Most memory of large requests",
        m.caller_pool_limit.clone(),
    );
}

/// Registers the metrics that are mostly those of the `entry` daemon.
pub(super) fn register_entry_daemon(registry: &mut Registry, m: &Metrics) {
    registry.register("table_calls", "Calls to the table", m.table_calls.clone());
    registry.register("answers", "Answers to callers", m.answers.clone());
    registry.register(
        "forwards",
        "Requests handed to other boxes",
        m.forwarded_requests.clone(),
    );
    registry.register(
        "malformed",
        "Malformed messages",
        m.malformed_messages.clone(),
    );
    registry.register("cells", "Cells owned", m.owned_cells.clone());
    registry.register(
        "tasks_evicted",
        "Tasks evicted by present owners",
        m.evicted_tasks.clone(),
    );
    registry.register(
        "tasks_finished",
        "Tasks finished under present owners",
        m.finished_tasks.clone(),
    );
    registry.register("invariant_checks", "Checks of invariants", m.checks.clone());
    registry.register(
        "invariant_violations",
        "Violations of invariants",
        m.violations.clone(),
    );
}
