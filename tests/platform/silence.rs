//! Tests workers whose answers are lost or whose directory entries are gone while they go on.

use super::calls::CallFaults;
use super::support::wait_for;
use super::{Deployment, LONG_DURATION, assert_ran};

/// Guards against runs that are given up although their worker works on: its entry is gone, a poll
/// has no answer, and the directory is read anew.
#[test]
fn runs_of_an_unlisted_worker_that_misses_a_poll_are_not_started_again() {
    let deployment = Deployment::start(1, 3, LONG_DURATION);
    let worker = &deployment.workers[0];
    deployment.submit_until_accepted("0000000000000010", 6);
    wait_for("running tasks", || deployment.record().running.len() == 6);
    let is_logged = |event: &str| {
        let text = deployment.output(0);
        let mut lines = text.lines();
        lines.any(|l| l.contains("worker=i-0") && l.contains(event))
    };
    worker.unlist();
    wait_for("the removal of the worker", || is_logged("event=unlisted"));
    let lost = CallFaults {
        lost_answers: 1.0,
        ..CallFaults::default()
    };
    worker.set_call_faults(lost);
    wait_for("a poll without an answer", || {
        deployment.store.forget_history();
        is_logged("event=silent")
    });
    worker.set_call_faults(CallFaults::default());
    deployment.wait_completed("0000000000000010");
    assert_ran(&deployment, "0000000000000010", 6);
}
