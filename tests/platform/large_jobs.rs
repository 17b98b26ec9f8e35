//! Tests jobs whose rows the store refuses: they cost no other job and no owner.

use serde_json::{Value, json};

use super::deployment::PATH;
use super::support::wait_for;
use super::{Deployment, LONG_DURATION, SHORT_DURATION, assert_ran};

/// Returns a step with one task.
fn step() -> Value {
    json!({ "count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 300 })
}

/// Returns a job of plain steps.
fn plain_job(steps: usize) -> String {
    json!({ "spec": "text", "steps": vec![step(); steps] }).to_string()
}

/// Returns a job whose steps depend on all earlier ones.
fn dependent_job(steps: usize) -> String {
    let step = |number: usize| {
        let mut step = step();
        step["after"] = (0..number).collect();
        step
    };
    let steps: Vec<Value> = (0..steps).map(step).collect();
    json!({ "spec": "text", "steps": steps }).to_string()
}

/// Submits a job, and expects this status and that jobs of other callers are accepted and run.
fn assert_status(job: &str, status: u16) {
    let deployment = Deployment::start(1, 2, SHORT_DURATION);
    deployment.submit_until_accepted("00000000000000aa", 1);
    let path = format!("{PATH}00000000000000ff");
    let (answer, text) = deployment.send(0, "POST", &path, job);
    assert_eq!(answer, status, "{text}");
    assert_eq!(deployment.submit(0, "00000000000000ab", 1).0, 200);
    for id in ["00000000000000aa", "00000000000000ab"] {
        deployment.wait_completed(id);
        assert_ran(&deployment, id, 1);
    }
}

#[test]
fn a_job_of_many_steps_that_the_store_can_never_keep_is_refused_at_once() {
    assert_status(&plain_job(1_500), 400);
}

#[test]
fn a_job_of_many_dependencies_that_the_store_can_never_keep_is_refused_at_once() {
    assert_status(&dependent_job(260), 400);
}

#[test]
fn a_large_job_that_the_store_can_keep_is_accepted() {
    assert_status(&plain_job(500), 200);
}

/// Guards against a row that the store refuses for whatever reason: it must not hold up the commits
/// of other jobs, nor cost the owner its cell.
#[test]
fn a_row_that_the_store_refuses_costs_its_own_job_alone() {
    let deployment = Deployment::start(3, 3, LONG_DURATION);
    deployment.submit_until_accepted("00000000000000ff", 2);
    wait_for("running tasks", || deployment.record().running.len() == 2);
    let owner = deployment.owner();
    deployment.wait_served();
    deployment.store.refuse_writes(Some("00000000000000ff"));
    for number in 0..20 {
        deployment.submit_until_accepted(&format!("00000000000001{number:02x}"), 1);
    }
    for number in 0..20 {
        deployment.wait_completed(&format!("00000000000001{number:02x}"));
    }
    assert_eq!(deployment.owner(), owner, "the owner keeps its cell");
    deployment.store.refuse_writes(None);
    deployment.wait_completed("00000000000000ff");
    assert_ran(&deployment, "00000000000000ff", 2);
}
