//! Tests of the text of metrics.

use std::collections::BTreeSet;

use super::{Call, End, Metrics, Spent};

/// Bytes of an answer that a collector keeps in any case.
const KEPT: usize = 3_500;
/// Rows that tell the owner and how it fares.
const OWNER: [&str; 26] = [
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

/// Returns where a row with a value ends in a text.
fn end_of(text: &str, name: &str) -> Option<usize> {
    let begin = |sign| text.find(&format!("\nwillowpoint_{name}{sign}"));
    let begin = begin(' ').or_else(|| begin('{'))? + 1;
    Some(begin + text[begin..].find('\n')?)
}

#[test]
fn what_tells_the_owner_stands_where_collectors_keep_it() {
    let metrics = Metrics::new();
    // The longest values that these rows have in practice.
    for gauge in [&metrics.unconfirmed, &metrics.jobs, &metrics.waiting] {
        gauge.set(99_999_999);
    }
    for by in ["http", "grpc"] {
        let calls = metrics.unanswered.get_or_create(&Call { by });
        calls.inc_by(99_999_999);
    }
    for reason in ["released", "deposed", "superseded"] {
        let ends = metrics.ends.get_or_create(&End { reason });
        ends.inc_by(9_999);
    }
    let text = metrics.text();
    for name in OWNER {
        let end = end_of(&text, name);
        assert!(end.is_some_and(|e| e < KEPT), "{name} ends at {end:?}");
    }
}

/// Returns the names in the page's table of metrics.
fn listed() -> BTreeSet<&'static str> {
    let page = include_str!("../../docs/OPERATIONS.md");
    let (_, rest) = page.split_once("### Metrics").expect("the table");
    let (table, _) = rest.split_once("### ").expect("its end");
    let rows = table.lines().filter_map(|l| l.strip_prefix("| `"));
    let cells = rows.filter_map(|l| l.split_once("` |"));
    cells.flat_map(|(names, _)| names.split("`, `")).collect()
}

#[test]
fn the_page_and_the_rows_before_the_histograms_are_alike() {
    let metrics = Metrics::new();
    metrics.ends.get_or_create(&End { reason: "deposed" }).inc();
    metrics.unanswered.get_or_create(&Call { by: "http" }).inc();
    let text = metrics.text();
    let types = text
        .lines()
        .filter_map(|l| l.strip_prefix("# TYPE willowpoint_"));
    let named = types.filter_map(|l| l.split_once(' '));
    let first = named.take_while(|(_, kind)| *kind != "histogram");
    let names: BTreeSet<&str> = first.map(|(name, _)| name).collect();
    assert_eq!(names, listed());
    assert_eq!(names.len(), OWNER.len(), "all of them are looked for");
}

#[test]
fn the_time_of_decisions_is_told_by_event() {
    let metrics = Metrics::new();
    let spent = metrics.spent.get_or_create(&Spent { event: "held" });
    spent.inc_by(1_234);
    drop(spent);
    let row = "willowpoint_owner_spent_us_total{event=\"held\"} 1234";
    assert!(metrics.text().contains(row));
}
