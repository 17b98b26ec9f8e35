//! Tests of the report of the load generator.

use super::*;

#[test]
fn quantiles_are_taken_from_sorted_times() {
    let report = Report {
        latencies_us: (1..=1_000).collect(),
        ..Report::default()
    };
    assert_eq!(report.quantile(0.5), 501);
    assert_eq!(report.quantile(0.99), 990);
    assert_eq!(Report::default().quantile(0.5), 0);
}

#[test]
fn a_box_that_is_not_reached_gives_no_verdict() {
    let result = Err(WebError::NotSent("refused".into()));
    assert_eq!(verdict(&result), "not reached");
}
