//! Tests workers whose answers are late or lost, whose connections are closed, or whose directory
//! entries are gone while they go on.

use std::time::Duration;

use super::calls::CallFaults;
use super::link::Link;
use super::support::wait_for;
use super::{Deployment, LONG_DURATION, TASK_DURATION, assert_ran};

/// Longest delay of answers: somewhat less than a box waits for one.
const ANSWER_DELAY: Duration = Duration::from_millis(650);
/// Time between two cuts of all connections, in which many calls are carried out.
const CUT_INTERVAL: Duration = Duration::from_millis(200);
/// Duration of tasks that end while their worker is out of reach, within its lease.
const MEDIUM_DURATION: Duration = Duration::from_millis(1_000);
/// Jobs of a test, each of two steps.
const JOBS: u64 = 8;
/// Tasks in a step of these jobs.
const TASKS: u32 = 3;

/// Guards against runs that are given up although their worker works on: its entry is gone, a poll
/// has no answer, and the directory is read anew.
#[test]
fn runs_of_an_unlisted_worker_that_misses_a_poll_are_not_started_again() {
    let deployment = Deployment::start(1, 3, LONG_DURATION);
    let worker = &deployment.workers[0];
    let is_logged = |event: &str| {
        let text = deployment.output(0);
        let mut lines = text.lines();
        lines.any(|l| l.contains("worker=i-0") && l.contains(event))
    };
    // All tasks fit on the other workers, and without any the worker is not polled after its removal.
    wait_for("the worker to answer", || is_logged("event=answers"));
    deployment.submit_until_accepted("0000000000000010", 6);
    wait_for("running tasks", || deployment.record().running.len() == 6);
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

/// Submits the jobs of a test.
fn submit_jobs(deployment: &Deployment) {
    for number in 0..JOBS {
        deployment.submit_until_accepted(&format!("{number:016x}"), TASKS);
    }
}

/// Waits until the jobs of a test are completed, and asserts that each of their tasks ran and that
/// none ran twice.
fn assert_completed(deployment: &Deployment) {
    for number in 0..JOBS {
        let id = format!("{number:016x}");
        deployment.wait_completed(&id);
        assert_ran(deployment, &id, TASKS);
    }
}

/// Answers overtake each other, so that a report is older than the answer to a start that is
/// handled before it. The owner is paused until another box has taken over.
#[test]
fn late_answers_across_a_pause_of_the_owner_start_no_task_again() {
    let deployment = Deployment::start(3, 4, TASK_DURATION);
    let late = CallFaults {
        answer_delay: ANSWER_DELAY,
        ..CallFaults::default()
    };
    deployment.seed_workers(1);
    for worker in &deployment.workers {
        worker.set_call_faults(late);
    }
    submit_jobs(&deployment);
    wait_for("running tasks", || !deployment.record().running.is_empty());
    let owner = deployment.owner();
    deployment.signal(owner, libc::SIGSTOP);
    wait_for("another owner", || deployment.owner() != owner);
    deployment.signal(owner, libc::SIGCONT);
    assert_completed(&deployment);
}

/// A report may list completions and runs in any order. Several tasks of a worker end together, as
/// they were started together.
#[test]
fn completions_reported_in_any_order_are_all_received() {
    let deployment = Deployment::start(1, 3, TASK_DURATION);
    deployment.seed_workers(1);
    submit_jobs(&deployment);
    assert_completed(&deployment);
    let starts = deployment.record().starts.values().copied().max();
    assert_eq!(starts, Some(1), "no task is started again");
}

#[test]
fn an_end_that_is_lost_with_its_worker_counts_as_a_lost_run() {
    let deployment = Deployment::start(1, 1, TASK_DURATION);
    let (worker, task) = (&deployment.workers[0], "00000000000000b0.0.0.0");
    worker.gate.set_closed(true);
    deployment.submit_until_accepted("00000000000000b0", 1);
    wait_for("the end of the task", || {
        deployment.record().done.contains(task)
    });
    worker.restart();
    worker.gate.set_closed(false);
    assert_eq!(deployment.record().lost_runs.get(task), Some(&1));
}

#[test]
fn connections_closed_in_the_middle_of_calls_start_no_task_again() {
    let deployment = Deployment::start(2, 4, TASK_DURATION);
    submit_jobs(&deployment);
    wait_for("all tasks to have ended", || {
        deployment.links.iter().for_each(Link::cut);
        std::thread::sleep(CUT_INTERVAL);
        deployment.record().done.len() == JOBS as usize * TASKS as usize * 2
    });
    assert_completed(&deployment);
}

/// A worker removes its entry, goes on, and ends with its runs. Its port is closed then.
#[test]
fn runs_of_a_worker_that_leaves_unannounced_go_on_until_its_end() {
    let deployment = Deployment::start(1, 3, LONG_DURATION);
    submit_jobs(&deployment);
    wait_for("running tasks", || deployment.record().running.len() == 12);
    deployment.workers[0].unlist();
    wait_for("the removal of the worker", || {
        deployment.output(0).contains("worker=i-0 event=unlisted")
    });
    deployment.store.forget_history();
    deployment.workers[0].leave();
    deployment.links[0].set_closed(true);
    assert_completed(&deployment);
}

/// Guards against ends that are acknowledged and were never received: a poll of a former incarnation
/// is carried out late, on one that numbers its completions anew.
#[test]
fn a_late_poll_acknowledges_no_completion_of_a_later_incarnation() {
    let deployment = Deployment::start(1, 1, MEDIUM_DURATION);
    let (worker, link) = (&deployment.workers[0], &deployment.links[0]);
    deployment.submit_until_accepted("00000000000000a1", 4);
    deployment.wait_completed("00000000000000a1");
    worker.gate.set_closed(true);
    deployment.submit_until_accepted("00000000000000a2", 4);
    deployment.wait_completed("00000000000000a2");
    wait_for("a poll that is held", || worker.gate.held() > 0);
    worker.restart();
    worker.register_again();
    worker.gate.set_closed(false);
    deployment.submit_until_accepted("00000000000000a3", 4);
    wait_for("runs of the later incarnation", || {
        deployment.record().running.len() == 4
    });
    let unreachable = CallFaults {
        lost_orders: 1.0,
        ..CallFaults::default()
    };
    worker.set_call_faults(unreachable);
    link.cut();
    wait_for("their ends", || deployment.record().running.is_empty());
    worker.gate.release();
    wait_for("the late polls", || worker.gate.held() == 0);
    worker.set_call_faults(CallFaults::default());
    link.cut();
    deployment.wait_completed("00000000000000a3");
    assert_ran(&deployment, "00000000000000a3", 4);
}
