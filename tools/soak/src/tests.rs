//! Tests of the soak itself: what it draws, that its checks find what is broken, one run.

use std::collections::BTreeMap;

use crate::checks::{self, Findings};
use crate::jobs::{Job, Jobs, Told};
use crate::plan::Plan;
use crate::platform::worker::Record;
use crate::run;

const ID: &str = "0000000000000001";

/// Milliseconds and faults a minute of the run that stands for all.
const SHORT: (u64, u64) = (20_000, 45);

#[test]
fn a_plan_is_drawn_from_its_seed_alone() {
    let draw = |seed| Plan::draw(seed, 3, 6, 60_000, 30);
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7).faults, draw(8).faults);
    assert_eq!(draw(7).faults.len(), 30);
    let text = serde_json::to_string(&draw(7)).expect("a plan as JSON");
    let read: Plan = serde_json::from_str(&text).expect("the same plan");
    assert_eq!(read, draw(7), "a printed plan can be given back");
}

/// Returns one job of one task a step, and what the workers did with it when all went well.
fn well() -> (BTreeMap<String, Job>, Record) {
    let jobs = Jobs::default();
    jobs.ask(ID, 1);
    jobs.note(ID, |job| {
        job.told = Told::Taken;
        job.ended = "completed".into();
    });
    let mut record = Record::default();
    for task in [format!("{ID}.0.0.0"), format!("{ID}.0.1.0")] {
        record.starts.insert(task.clone(), 1);
        record.done.insert(task);
    }
    let all = jobs.all().clone();
    (all, record)
}

/// Returns what the checks find.
fn found(jobs: &BTreeMap<String, Job>, record: &Record) -> Vec<String> {
    let findings = Findings::default();
    checks::during(jobs, record, &findings);
    checks::after(jobs, record, &findings);
    findings.all().into_iter().map(|b| b.what).collect()
}

#[test]
fn nothing_is_found_where_all_went_well() {
    let (jobs, record) = well();
    assert_eq!(found(&jobs, &record), [""; 0]);
}

#[test]
fn each_broken_promise_is_found() {
    type Break = fn(&mut Job, &mut Record);
    let breaks: [(&str, Break); 7] = [
        ("ran twice", |_, r| r.duplicates.push(format!("{ID}.0.0.0"))),
        ("nobody asked", |_, r| {
            r.starts.insert("ffffffffffffffff.0.0.0".into(), 1);
        }),
        ("refused", |j, _| j.told = Told::Denied),
        ("does not end", |j, _| j.ended.clear()),
        ("1 of 2 tasks", |_, r| {
            r.done.retain(|t| t.contains(".0.0.0"))
        }),
        ("shown as failed", |j, _| j.ended = "failed".into()),
        ("was cancelled", |j, _| j.cancelled = Some(1)),
    ];
    for (what, brings) in breaks {
        let (mut jobs, mut record) = well();
        brings(jobs.get_mut(ID).expect("the job"), &mut record);
        let found = found(&jobs, &record);
        assert!(found.iter().any(|f| f.contains(what)), "{what}: {found:?}");
    }
}

#[test]
fn a_job_that_was_over_when_it_was_cancelled_stays_completed() {
    let (mut jobs, record) = well();
    jobs.get_mut(ID).expect("the job").cancelled = Some(2);
    assert_eq!(found(&jobs, &record), [""; 0]);
}

#[test]
fn a_lasting_task_that_does_not_run_is_found() {
    let (mut jobs, mut record) = well();
    let job = jobs.get_mut(ID).expect("the job");
    job.lasting = true;
    job.ended.clear();
    assert_eq!(found(&jobs, &record), ["0 of 1 lasting tasks run"]);
    record.running.insert(format!("{ID}.0.0.0"));
    assert_eq!(found(&jobs, &record), [""; 0]);
}

#[test]
fn a_job_may_fail_after_its_workers_have_gone_twice() {
    let (mut jobs, mut record) = well();
    jobs.get_mut(ID).expect("the job").ended = "failed".into();
    record.lost_runs.insert(format!("{ID}.0.1.0"), 2);
    assert_eq!(found(&jobs, &record), [""; 0]);
}

#[test]
fn a_short_run_breaks_no_promise() {
    let plan = Plan::draw(1, 3, 4, SHORT.0, SHORT.1);
    let outcome = run::play(&plan);
    assert!(outcome.broken.is_empty(), "{outcome:?}");
    assert!(outcome.jobs[3] > 0, "jobs were completed: {outcome:?}");
    assert!(outcome.faults.len() > 3, "{outcome:?}");
}
