//! Tests a deployment of separate processes that are killed, frozen, stopped and replaced.

mod deployment;
#[path = "../support/diagnostics.rs"]
mod diagnostics;
#[allow(dead_code)] // the tests of the platform use more of this module than these tests
#[path = "../support/proxy.rs"]
mod proxy;
#[path = "../support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use deployment::{Deployment, Outcome};

/// Number of requests in a test.
const REQUESTS: usize = 60;
/// Number of requests of which only the first half is sent before the box stops.
const PARTIAL_REQUESTS: usize = 20;
/// Highest epoch, and so number of owners, of a cell when three boxes start, join one another and
/// stop: each of these may hand the cell over once, and once more when that came too late.
const MAX_EPOCH: u64 = 9;

#[test]
fn a_request_is_answered_through_every_box() {
    let deployment = Deployment::start(3, 4);
    deployment.create_service();
    for index in 0..3 {
        let outcome = deployment.request(index, &format!("r{index}"), true);
        assert_eq!(
            outcome,
            Outcome::Answer(format!("r{index}\nbody of r{index}"))
        );
    }
}

#[test]
fn job_state_survives_the_crash_of_every_box() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    deployment.submit_job("long", 12, 2_000, 4_000);
    for index in 0..3 {
        deployment.kill(index);
        deployment.start_box(index);
        deployment.wait_until_ready(index);
    }
    let job = deployment.wait_for_job("long", "done");
    assert_eq!(job["done"], 12, "{job}");
    assert_eq!(deployment.rule_violations(), (0, 0));
}

#[test]
fn a_non_repeatable_request_runs_at_most_once_when_a_box_crashes() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    for number in 0..REQUESTS {
        let id = format!("hold{number}");
        if number == REQUESTS / 3 {
            deployment.kill(number % 3);
        }
        // The caller sends the request again through each box, whatever the outcome.
        for index in 0..3 {
            deployment.request(index, &id, false);
        }
    }
    let counts = deployment.worker_counts();
    for (id, runs) in counts.iter().flat_map(|c| &c.runs_by_id) {
        assert!(*runs <= 1, "{id} ran {runs} times");
    }
    assert!(
        counts.iter().any(|c| !c.runs_by_id.is_empty()),
        "nothing ran"
    );
}

#[test]
fn requests_reported_as_not_run_were_not_run_by_any_worker() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    let mut not_run = Vec::new();
    for number in 0..REQUESTS {
        if number == REQUESTS / 4 {
            deployment.kill_worker(1);
        }
        if number == REQUESTS / 2 {
            deployment.kill(0);
        }
        let id = format!("once{number}");
        if matches!(deployment.request(number % 3, &id, false), Outcome::NotRun) {
            not_run.push(id);
        }
    }
    let counts = deployment.worker_counts();
    for id in &not_run {
        let ran = counts.iter().any(|c| c.runs_by_id.contains_key(id));
        assert!(!ran, "{id} was reported as not run, but ran");
    }
}

#[test]
fn a_frozen_owner_does_not_act_after_a_successor_took_over() {
    let deployment = Deployment::start(3, 4);
    deployment.create_service();
    deployment.submit_job("slow", 16, 3_000, 3_000);
    deployment.freeze(0);
    deployment.wait_for_successors(0);
    deployment.unfreeze(0);
    let job = deployment.wait_for_job("slow", "done");
    assert_eq!(job["done"], 16, "{job}");
    assert_eq!(deployment.rule_violations(), (0, 0));
}

#[test]
fn requests_are_answered_while_the_platform_is_down() {
    let deployment = Deployment::start(3, 4);
    deployment.create_service();
    // The outage is longer than a lease, which only the successors' promises bridge.
    deployment.suspend_platform(5_000);
    std::thread::sleep(Duration::from_millis(4_000));
    let outcome = deployment.request(1, "outage", true);
    assert_eq!(outcome, Outcome::Answer("outage\nbody of outage".into()));
}

#[test]
fn a_box_without_answers_from_the_table_does_not_act_beside_another_owner() {
    let deployment = Deployment::start(3, 4);
    deployment.create_service();
    deployment.submit_job("deaf", 16, 3_000, 3_000);
    // The first box's writes take effect, but it receives no answers for longer than a lease.
    deployment.block_answers(true);
    let end = Instant::now() + Duration::from_secs(5);
    let mut number = 0;
    while Instant::now() < end {
        let outcome = deployment.request(number % 3, &format!("deaf{number}"), true);
        assert!(
            !matches!(outcome, Outcome::Lost | Outcome::Refused),
            "{outcome:?}"
        );
        number += 1;
    }
    deployment.block_answers(false);
    let job = deployment.wait_for_job("deaf", "done");
    assert_eq!(job["done"], 16, "{job}");
    assert_eq!(deployment.rule_violations(), (0, 0));
    let counts = deployment.worker_counts();
    let ran: u32 = counts.iter().flat_map(|c| c.runs_by_id.values()).sum();
    assert!(ran > 0, "no request ran");
}

#[test]
fn a_planned_stop_cuts_off_no_request() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    let callers = deployment.spawn_callers(REQUESTS * 4);
    for index in 0..3 {
        let code = deployment.stop(index);
        assert_eq!(code, Some(0));
        deployment.start_box(index);
        deployment.wait_until_ready(index);
    }
    let outcomes = callers.join();
    let lost = outcomes
        .iter()
        .filter(|o| matches!(o, Outcome::Lost | Outcome::Unknown));
    assert_eq!(lost.count(), 0, "{outcomes:?}");
    let answered = outcomes
        .iter()
        .filter(|o| matches!(o, Outcome::Answer(_)))
        .count();
    assert!(answered > 0, "no request was answered");
}

/// A box that hung in its start had written that it starts, and nothing more.
#[test]
fn a_box_that_does_not_become_ready_logs_what_it_waits_for() {
    let mut deployment = Deployment::start(1, 2);
    deployment.create_service();
    deployment.kill(0);
    deployment.block_answers(true);
    deployment.start_box(0);
    let line = deployment.wait_for_log(0, "event=not-ready");
    assert!(line.contains("boxes=1 table_silence_ms=5"), "{line}");
    deployment.block_answers(false);
    deployment.wait_until_ready(0);
}

#[test]
fn a_request_half_sent_during_a_planned_stop_is_answered() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    let requests: Vec<_> = (0..PARTIAL_REQUESTS)
        .map(|_| deployment.begin_request(0))
        .collect();
    deployment.begin_stop(0);
    // A box closes its listeners at the end of its planned stop.
    deployment.wait_for_closed_listener(0);
    for request in requests {
        assert_eq!(request.finish(), Outcome::NotRun);
    }
    assert_eq!(deployment.wait_for_exit(0), Some(0));
}

#[test]
fn boxes_that_stop_together_do_not_hand_cells_over_repeatedly() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    (0..3).for_each(|index| deployment.begin_stop(index));
    for index in 0..3 {
        assert_eq!(deployment.wait_for_exit(index), Some(0));
    }
    let epochs = deployment.cell_epochs();
    assert!(!epochs.is_empty());
    for (cell, epoch) in epochs {
        assert!(epoch <= MAX_EPOCH, "{cell} has epoch {epoch}");
    }
}

#[test]
fn exit_codes_distinguish_conflicts_and_unreachable_boxes() {
    let deployment = Deployment::start(3, 2);
    deployment.create_service();
    let change = |value: &str| {
        let set = format!("team/ledger={{\"cores\":{value}}}");
        deployment.command(&["config", "apply", "--expect", "0", "--set", &set])
    };
    let codes = [change("1000").code, change("2000").code];
    assert_eq!(codes, [0, 2]);
    let unreachable = deployment::command_at("127.0.0.1:1", &["status"]);
    assert_eq!(unreachable.code, 3, "{}", unreachable.text);
}
