//! Tests of the conversion of workers' replies.

use super::startup::report_due;
use super::workers::poll_reply;
use crate::cell::RunState;
use crate::proto;

/// The row was dropped. The cell took the run for lost, and started its task elsewhere.
#[test]
fn a_run_in_an_unknown_state_is_reported_as_running() {
    let run = |run, state| proto::Run {
        run,
        state,
        ..proto::Run::default()
    };
    let finished = proto::RunState::Finished as i32;
    let reply = poll_reply(proto::SyncReply {
        runs: vec![run(1, finished), run(2, 99), run(3, 0)],
        ..proto::SyncReply::default()
    });
    let runs: Vec<_> = reply.runs.iter().map(|r| (r.id, r.state)).collect();
    let expected = [
        (1, RunState::Finished),
        (2, RunState::Running),
        (3, RunState::Running),
    ];
    assert_eq!(runs, expected);
}

#[test]
fn a_start_is_reported_a_limited_number_of_times() {
    let due: Vec<_> = (0..8).map_while(report_due).collect();
    assert_eq!(due, [5_000, 10_000, 20_000, 40_000, 80_000, 160_000]);
}
