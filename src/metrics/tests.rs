//! Tests of the text of metrics.

use super::{Call, End, Metrics};

/// Bytes of an answer that a collector keeps in any case.
const KEPT: usize = 3_500;
/// Rows that tell the owner and how it fares.
const OWNER: [&str; 17] = [
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
    "calls_unanswered_total",
    "tasks_waiting",
    "jobs",
    "workers",
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
