//! Tests of the soak tool: its plans, its checks, and one short run.

use std::collections::BTreeMap;

use crate::checks::{self, Findings};
use crate::jobs::{Job, Jobs, SubmitStatus};
use crate::plan::{BASIC_KINDS, KINDS, Kind, Plan, Sizes};
use crate::platform::record::{Duplicate, Record};
use crate::run;

const ID: &str = "0000000000000001";

/// Duration in ms and faults per minute of the short run.
const SHORT_RUN: (u64, u64) = (20_000, 45);

#[test]
fn a_plan_depends_on_its_seed_alone() {
    let sizes = sizes(6, 60_000, 30);
    let generate = |seed| Plan::generate(seed, &sizes, &KINDS);
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7).faults, generate(8).faults);
    assert_eq!(generate(7).faults.len(), 30);
    let text = serde_json::to_string(&generate(7)).expect("a plan as JSON");
    let read: Plan = serde_json::from_str(&text).expect("the same plan");
    assert_eq!(read, generate(7), "a printed plan can be read back");
}

/// Returns the sizes of a run with three boxes.
fn sizes(workers: usize, span: u64, rate: u64) -> Sizes {
    Sizes {
        boxes: 3,
        workers,
        span,
        rate,
    }
}

/// Kinds that were added later would change the plans of known seeds.
#[test]
fn the_basic_kinds_generate_the_plans_of_known_seeds() {
    let sizes = sizes(6, 30_000, 60);
    let plan = Plan::generate(202, &sizes, BASIC_KINDS);
    let first: Vec<(u64, Kind)> = plan.faults.iter().map(|f| (f.at, f.kind)).collect();
    let known = [
        (3_587, Kind::SmallWorker),
        (5_477, Kind::RestartWorker),
        (5_619, Kind::SilentWorker),
    ];
    assert_eq!(first[..3], known);
}

#[test]
fn a_plan_without_callers_and_durations_can_be_read() {
    let text = r#"{"seed":1,"boxes":3,"workers":6,"span":1000,"faults":[]}"#;
    let plan: Plan = serde_json::from_str(text).expect("a plan");
    assert_eq!((plan.callers, &plan.durations[..]), (4, &[300][..]));
}

/// Returns a job with one task per step and the workers' record of its successful run.
fn successful_run() -> (BTreeMap<String, Job>, Record) {
    let jobs = Jobs::default();
    jobs.insert(ID, 1);
    jobs.update(ID, |job| {
        job.status = SubmitStatus::Accepted;
        job.final_state = "completed".into();
    });
    let mut record = Record::default();
    for task in [format!("{ID}.0.0.0"), format!("{ID}.0.1.0")] {
        record.starts.insert(task.clone(), 1);
        record.done.insert(task);
    }
    let all = jobs.all().clone();
    (all, record)
}

/// Returns the details of all violations that the checks report.
fn violations(jobs: &BTreeMap<String, Job>, record: &Record) -> Vec<String> {
    let findings = Findings::default();
    checks::check_always(jobs, record, &findings);
    checks::check_at_end(jobs, record, &findings);
    findings.all().into_iter().map(|v| v.detail).collect()
}

#[test]
fn a_successful_run_has_no_violations() {
    let (jobs, record) = successful_run();
    assert_eq!(violations(&jobs, &record), [""; 0]);
}

#[test]
fn each_violation_is_found() {
    type Break = fn(&mut Job, &mut Record);
    let breaks: [(&str, Break); 7] = [
        ("ran twice", |_, r| {
            r.duplicates.push(Duplicate {
                task: format!("{ID}.0.0.0"),
                detail: "ran twice".into(),
            })
        }),
        ("nobody asked", |_, r| {
            r.starts.insert("ffffffffffffffff.0.0.0".into(), 1);
        }),
        ("refused", |j, _| j.status = SubmitStatus::Refused),
        ("does not end", |j, _| j.final_state.clear()),
        ("1 of 2 tasks", |_, r| {
            r.done.retain(|t| t.contains(".0.0.0"))
        }),
        ("shown as failed", |j, _| j.final_state = "failed".into()),
        ("was cancelled", |j, _| j.done_at_cancel = Some(1)),
    ];
    for (expected, apply) in breaks {
        let (mut jobs, mut record) = successful_run();
        apply(jobs.get_mut(ID).expect("the job"), &mut record);
        let found = violations(&jobs, &record);
        assert!(
            found.iter().any(|f| f.contains(expected)),
            "{expected}: {found:?}"
        );
    }
}

#[test]
fn a_job_that_ended_before_its_cancellation_stays_completed() {
    let (mut jobs, record) = successful_run();
    jobs.get_mut(ID).expect("the job").done_at_cancel = Some(2);
    assert_eq!(violations(&jobs, &record), [""; 0]);
}

#[test]
fn a_lasting_task_that_does_not_run_is_found() {
    let (mut jobs, mut record) = successful_run();
    let job = jobs.get_mut(ID).expect("the job");
    job.lasting = true;
    job.final_state.clear();
    assert_eq!(violations(&jobs, &record), ["0 of 1 lasting tasks run"]);
    record.running.insert(format!("{ID}.0.0.0"));
    assert_eq!(violations(&jobs, &record), [""; 0]);
}

#[test]
fn a_job_may_fail_after_two_lost_runs_of_a_task() {
    let (mut jobs, mut record) = successful_run();
    jobs.get_mut(ID).expect("the job").final_state = "failed".into();
    record.lost_runs.insert(format!("{ID}.0.1.0"), 2);
    assert_eq!(violations(&jobs, &record), [""; 0]);
}

#[test]
fn a_short_run_has_no_violations() {
    let plan = Plan::generate(1, &sizes(4, SHORT_RUN.0, SHORT_RUN.1), &KINDS);
    let outcome = run::run_plan(&plan);
    assert!(outcome.violations.is_empty(), "{outcome:?}");
    assert!(outcome.jobs[3] > 0, "no job was completed: {outcome:?}");
    assert!(outcome.faults.len() > 3, "{outcome:?}");
}
