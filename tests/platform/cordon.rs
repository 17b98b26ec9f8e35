//! Tests cordoned halls while owners end and the store forgets its history or refuses calls.

use std::time::Duration;

use serde_json::json;

use super::support::wait_for;
use super::{Deployment, SHORT_DURATION};

/// Key of the row that cordons the hall of the second worker.
const CORDON_KEY: &str = "evacuate/h2";

/// Starts `boxes` boxes and two workers in different halls, and waits until both run tasks.
fn two_halls(boxes: usize) -> Deployment {
    let deployment = Deployment::start(boxes, 2, SHORT_DURATION);
    deployment.workers[1].move_to_hall("h2");
    run_jobs(&deployment, 0xa0);
    wait_for("tasks on both workers", || {
        run_jobs(&deployment, 0xb0);
        deployment.workers.iter().all(|w| w.started() > 0)
    });
    deployment
}

/// Runs three jobs, each of which has enough tasks for both workers.
fn run_jobs(deployment: &Deployment, first: u64) {
    for number in first..first + 3 {
        let id = format!("{number:016x}");
        deployment.submit_until_accepted(&id, 4);
        deployment.wait_completed(&id);
    }
}

/// Waits until each of these boxes reports `halls` cordoned halls.
fn wait_cordoned(deployment: &Deployment, boxes: std::ops::Range<usize>, halls: u64) {
    for number in boxes {
        wait_for("the change of the cordons", || {
            deployment.metric(number, "halls_cordoned") == Some(halls)
        });
    }
}

#[test]
fn a_cordoned_hall_gets_no_tasks_across_changes_of_owner() {
    let mut deployment = two_halls(3);
    // The row cordons the hall whatever its value is.
    deployment
        .store
        .put("op", CORDON_KEY, &json!(["unexpected", 7]));
    deployment.store.put("op", "evacuate/nowhere", &json!({}));
    wait_cordoned(&deployment, 0..3, 2);
    let before = deployment.workers[1].started();
    run_jobs(&deployment, 0x100);
    for round in 0..2 {
        let owner = deployment.owner();
        deployment.kill(owner);
        wait_for("another owner", || deployment.owner() != owner);
        run_jobs(&deployment, 0x200 + round * 0x10);
    }
    deployment.store.forget_history();
    run_jobs(&deployment, 0x300);
    assert_eq!(deployment.workers[1].started(), before);
    deployment.store.delete_row("op", CORDON_KEY);
    let owner = deployment.owner();
    wait_cordoned(&deployment, owner..owner + 1, 1);
    wait_for("tasks in the hall that is no longer cordoned", || {
        run_jobs(&deployment, 0x400);
        run_jobs(&deployment, 0x500);
        deployment.workers[1].started() > before
    });
    let text = deployment.output(owner);
    assert!(
        text.contains("event=cordon hall=h2 cordoned=false"),
        "{text}"
    );
    assert!(text.contains("event=cordons halls="), "{text}");
}

#[test]
fn a_hall_uncordoned_during_a_store_fault_serves_again() {
    let deployment = two_halls(1);
    deployment.store.put("op", CORDON_KEY, &json!({}));
    wait_cordoned(&deployment, 0..1, 1);
    deployment.store.set_behavior(super::Behavior::Rejecting);
    std::thread::sleep(Duration::from_millis(300));
    deployment.store.delete_row("op", CORDON_KEY);
    deployment.store.forget_history();
    deployment.store.set_behavior(super::Behavior::Serving);
    wait_cordoned(&deployment, 0..1, 0);
}
