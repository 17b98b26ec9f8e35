//! Tests of the names and the order of metrics in the text of `/metrics`.

use std::collections::BTreeSet;

use super::{EventLabel, Metrics, OwnerEndLabel, ProtocolLabel};

/// Bytes of a reply that every collector keeps.
const COLLECTED_BYTES: usize = 3_500;
/// Metrics about the owner and its health, which precede the histograms.
const OWNER_METRICS: [&str; 26] = [
    "owner_epoch",
    "followed_epoch",
    "owner_unserved_ms",
    "owner_late_ms",
    "owner_leaving_ms",
    "load_ms",
    "owner_ends_total",
    "takeovers_total",
    "unconfirmed_ms",
    "runs_lapsed_total",
    "runs_orphaned_total",
    "worker_lives_total",
    "earlier_lives_total",
    "worker_crashes_total",
    "tasks_given_up_total",
    "halls_cordoned",
    "starts_withdrawn_total",
    "calls_unanswered_total",
    "tasks_waiting",
    "over_target_ms",
    "jobs",
    "workers",
    "suspended_ms_total",
    "log_dropped_total",
    "config_version",
    "rows_undecoded_total",
];

/// Returns the offset at which the first row of a metric ends in the text.
fn row_end(text: &str, name: &str) -> Option<usize> {
    let begin = |sign| text.find(&format!("\nwillowpoint_{name}{sign}"));
    let begin = begin(' ').or_else(|| begin('{'))? + 1;
    Some(begin + text[begin..].find('\n')?)
}

#[test]
fn owner_metrics_come_within_the_bytes_that_collectors_keep() {
    let metrics = Metrics::new();
    // Values with as many digits as they have in practice.
    for gauge in [
        &metrics.unconfirmed_time,
        &metrics.jobs,
        &metrics.waiting_tasks,
    ] {
        gauge.set(99_999_999);
    }
    for by in ["http", "grpc"] {
        let calls = metrics
            .unanswered_calls
            .get_or_create(&ProtocolLabel { by });
        calls.inc_by(99_999_999);
    }
    for reason in ["released", "deposed", "superseded"] {
        let ends = metrics.owner_ends.get_or_create(&OwnerEndLabel { reason });
        ends.inc_by(9_999);
    }
    let text = metrics.encode();
    for name in OWNER_METRICS {
        let end = row_end(&text, name);
        assert!(
            end.is_some_and(|e| e < COLLECTED_BYTES),
            "{name} ends at {end:?}"
        );
    }
}

/// Returns the names in the table of metrics of the operations manual.
fn documented_names() -> BTreeSet<&'static str> {
    let page = include_str!("../../docs/OPERATIONS.md");
    let (_, rest) = page.split_once("### Metrics").expect("the table");
    let (table, _) = rest.split_once("### ").expect("its end");
    let rows = table.lines().filter_map(|l| l.strip_prefix("| `"));
    let cells = rows.filter_map(|l| l.split_once("` |"));
    cells.flat_map(|(names, _)| names.split("`, `")).collect()
}

#[test]
fn documented_metrics_are_those_before_the_histograms() {
    let metrics = Metrics::new();
    metrics
        .owner_ends
        .get_or_create(&OwnerEndLabel { reason: "deposed" })
        .inc();
    metrics
        .unanswered_calls
        .get_or_create(&ProtocolLabel { by: "http" })
        .inc();
    let text = metrics.encode();
    let types = text
        .lines()
        .filter_map(|l| l.strip_prefix("# TYPE willowpoint_"));
    let named = types.filter_map(|l| l.split_once(' '));
    let before_histograms = named.take_while(|(_, kind)| *kind != "histogram");
    let names: BTreeSet<&str> = before_histograms.map(|(name, _)| name).collect();
    assert_eq!(names, documented_names());
    assert_eq!(
        names.len(),
        OWNER_METRICS.len(),
        "OWNER_METRICS lists every documented metric"
    );
}

#[test]
fn decision_time_is_counted_by_event() {
    let metrics = Metrics::new();
    let spent = metrics
        .decision_time
        .get_or_create(&EventLabel { event: "held" });
    spent.inc_by(1_234);
    drop(spent);
    let row = "willowpoint_owner_spent_us_total{event=\"held\"} 1234";
    assert!(metrics.encode().contains(row));
}
