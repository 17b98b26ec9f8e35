//! The parts as separate processes: killed, frozen, stopped and replaced.

mod deployment;
#[path = "../support/diagnostics.rs"]
mod diagnostics;
#[path = "../support/proxy.rs"]
mod proxy;
#[path = "../support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use deployment::{Deployment, Told};

/// Requests sent through each box in turn.
const REQUESTS: usize = 60;
/// Requests of which only a part is sent before the box stops.
const HALVES: usize = 20;
/// Owners that a cell has at most when three boxes start, join one another
/// and stop, each of which may give it away once, and once too late.
const EPOCHS: u64 = 9;

#[test]
fn a_request_is_answered_through_every_box() {
    let deployment = Deployment::start(3, 4);
    deployment.create_service();
    for index in 0..3 {
        let told = deployment.request(index, &format!("r{index}"), true);
        assert_eq!(told, Told::Answer(format!("r{index}\nbody of r{index}")));
    }
}

#[test]
fn job_state_outlives_every_box() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    deployment.submit("long", 12, 2_000, 4_000);
    for index in 0..3 {
        deployment.kill(index);
        deployment.start_box(index);
        deployment.wait_ready(index);
    }
    let shown = deployment.wait_job("long", "done");
    assert_eq!(shown["done"], 12, "{shown}");
    assert_eq!(deployment.broken(), (0, 0));
}

#[test]
fn a_request_that_is_not_repeatable_runs_at_most_once_while_boxes_die() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    for number in 0..REQUESTS {
        let id = format!("hold{number}");
        if number == REQUESTS / 3 {
            deployment.kill(number % 3);
        }
        // The caller sends it again through every other box, whatever it is told.
        for index in 0..3 {
            deployment.request(index, &id, false);
        }
    }
    let counts = deployment.worker_counts();
    for (id, runs) in counts.iter().flat_map(|c| &c.ids) {
        assert!(*runs <= 1, "{id} ran {runs} times");
    }
    assert!(counts.iter().any(|c| !c.ids.is_empty()), "nothing ran");
}

#[test]
fn what_is_called_not_run_was_not_run_by_the_workers_own_record() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    let mut denied = Vec::new();
    for number in 0..REQUESTS {
        if number == REQUESTS / 4 {
            deployment.kill_worker(1);
        }
        if number == REQUESTS / 2 {
            deployment.kill(0);
        }
        let id = format!("once{number}");
        if matches!(deployment.request(number % 3, &id, false), Told::NotRun) {
            denied.push(id);
        }
    }
    let counts = deployment.worker_counts();
    for id in &denied {
        let ran = counts.iter().any(|c| c.ids.contains_key(id));
        assert!(!ran, "{id} was denied and ran");
    }
}

#[test]
fn a_frozen_owner_does_not_act_beside_its_successor() {
    let deployment = Deployment::start(3, 4);
    deployment.create_service();
    deployment.submit("slow", 16, 3_000, 3_000);
    deployment.freeze(0);
    deployment.wait_cells_without(0);
    deployment.thaw(0);
    let shown = deployment.wait_job("slow", "done");
    assert_eq!(shown["done"], 16, "{shown}");
    assert_eq!(deployment.broken(), (0, 0));
}

#[test]
fn requests_go_on_while_the_platform_is_down() {
    let deployment = Deployment::start(3, 4);
    deployment.create_service();
    // Longer than a lease: only promises carry the boxes through.
    deployment.platform_down(5_000);
    std::thread::sleep(Duration::from_millis(4_000));
    let told = deployment.request(1, "outage", true);
    assert_eq!(told, Told::Answer("outage\nbody of outage".into()));
}

#[test]
fn a_box_that_is_deaf_to_the_table_does_not_act_beside_another() {
    let deployment = Deployment::start(3, 4);
    deployment.create_service();
    deployment.submit("deaf", 16, 3_000, 3_000);
    // Its writes take effect, and it hears of none: longer than a lease.
    deployment.cut_answers(true);
    let end = Instant::now() + Duration::from_secs(5);
    let mut number = 0;
    while Instant::now() < end {
        let told = deployment.request(number % 3, &format!("deaf{number}"), true);
        assert!(!matches!(told, Told::Lost | Told::Refused), "{told:?}");
        number += 1;
    }
    deployment.cut_answers(false);
    let shown = deployment.wait_job("deaf", "done");
    assert_eq!(shown["done"], 16, "{shown}");
    assert_eq!(deployment.broken(), (0, 0));
    let counts = deployment.worker_counts();
    let ran: u32 = counts.iter().flat_map(|c| c.ids.values()).sum();
    assert!(ran > 0, "no request ran");
}

#[test]
fn a_planned_stop_cuts_off_no_request() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    let callers = deployment.callers(REQUESTS * 4);
    for index in 0..3 {
        let code = deployment.stop(index);
        assert_eq!(code, Some(0));
        deployment.start_box(index);
        deployment.wait_ready(index);
    }
    let told = callers.join();
    let lost = told
        .iter()
        .filter(|t| matches!(t, Told::Lost | Told::Unknown));
    assert_eq!(lost.count(), 0, "{told:?}");
    let answered = told.iter().filter(|t| matches!(t, Told::Answer(_))).count();
    assert!(answered > 0, "no request was answered");
}

#[test]
fn a_request_that_is_half_sent_at_the_end_of_a_planned_stop_is_answered() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    let begun: Vec<_> = (0..HALVES).map(|_| deployment.half_request(0)).collect();
    deployment.terminate(0);
    // The last thing a box does is to close its listeners.
    deployment.wait_closed(0);
    for half in begun {
        assert_eq!(half.finish(), Told::NotRun);
    }
    assert_eq!(deployment.wait_end(0), Some(0));
}

#[test]
fn boxes_that_stop_together_do_not_pass_cells_around() {
    let mut deployment = Deployment::start(3, 4);
    deployment.create_service();
    (0..3).for_each(|index| deployment.terminate(index));
    for index in 0..3 {
        assert_eq!(deployment.wait_end(index), Some(0));
    }
    let epochs = deployment.cell_epochs();
    assert!(!epochs.is_empty());
    for (cell, epoch) in epochs {
        assert!(epoch <= EPOCHS, "{cell} has epoch {epoch}");
    }
}

#[test]
fn of_two_operators_one_wins_and_exit_codes_tell() {
    let deployment = Deployment::start(3, 2);
    deployment.create_service();
    let change = |value: &str| {
        let set = format!("team/ledger={{\"cores\":{value}}}");
        deployment.command(&["config", "apply", "--expect", "0", "--set", &set])
    };
    let codes = [change("1000").code, change("2000").code];
    assert_eq!(codes, [0, 2]);
    let unreached = deployment::command_at("127.0.0.1:1", &["status"]);
    assert_eq!(unreached.code, 3, "{}", unreached.text);
}
