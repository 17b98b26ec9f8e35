//! Tests of the daemon's parts that need no sockets.

use super::past::page;
use super::takeover::jobs;
use crate::sched::job::{Job, Outcome, Queue};
use crate::sched::past::PastRow;
use crate::sched::spec::{JobSpec, StepSpec};
use crate::table::{Row, encode};

fn row(key: &str, value: bytes::Bytes) -> Row {
    Row {
        key: key.into(),
        version: 1,
        value,
    }
}

#[test]
fn a_job_whose_rows_cannot_be_read_is_told_apart_from_an_unknown_one() {
    let spec = JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    let queue = Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        attempts: 1,
        stretch: 1_000,
        slack: 0,
        advised: false,
    };
    let job = Job::new("good".into(), spec.clone(), queue, 5);
    let state = encode(&job.row);
    let specs = [row("good", encode(&spec)), row("torn", encode(&spec))];
    let rows = [
        row("good", state.clone()),
        row("torn", "{\"queue\":".into()),
        row("alone", state),
    ];
    let stored = jobs(&specs, &rows);
    let ids: Vec<&str> = stored.kept.iter().map(|k| &*k.id).collect();
    assert_eq!(ids, ["good"]);
    assert_eq!(stored.unreadable, ["torn".into(), "alone".into()]);
}

#[test]
fn a_job_that_is_over_and_whose_row_cannot_be_read_is_told_apart() {
    let past = |outcome| PastRow { outcome, ended: 5 };
    let rows = [
        row("good", encode(&past(Outcome::Failed))),
        row("open", encode(&past(Outcome::Open))),
        row("torn", "{\"o\":".into()),
    ];
    let page = page(&rows, true);
    assert_eq!(page.rows, [("good".into(), past(Outcome::Failed))]);
    assert_eq!(page.unreadable, ["open".into(), "torn".into()]);
    assert!(page.last);
}
