//! Runs a plan: a deployment under faults, with callers, checked from outside.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use willowpoint::utils::signals;

use crate::callers::{self, Answer, Boxes};
use crate::checks::{self, Findings, Violation};
use crate::faults::Faults;
use crate::jobs::{Jobs, SubmitStatus};
use crate::plan::{Kind, Plan};
use crate::platform::deployment::Deployment;
use crate::platform::support::{binary, eventually};

/// Number of tasks of the lasting job.
const LASTING_TASKS: u32 = 4;
/// Pause between two checks of the guarantees.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which all jobs must end after the last fault. It covers the remainder of a lease that
/// a previous owner granted and may still extend, and the remaining work.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// The outcome of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
    /// Numbers of jobs submitted, accepted, refused, completed.
    pub jobs: [usize; 4],
    /// Number of faults injected, by kind.
    pub faults: BTreeMap<Kind, u32>,
    /// Log files of the boxes, kept only when a guarantee was violated.
    pub logs: Vec<PathBuf>,
    /// True when a signal ended the run early.
    pub interrupted: bool,
}

/// Runs a plan to its end, or until a signal asks the process to stop.
pub fn run_plan(plan: &Plan) -> Outcome {
    let duration = Duration::from_millis(plan.durations[0]);
    let mut deployment = Deployment::start(plan.boxes, plan.workers, duration);
    deployment.seed_workers(plan.seed);
    let (jobs, findings) = (Jobs::default(), Findings::default());
    let boxes = Boxes {
        addresses: deployment.addresses(),
        stop: Arc::new(AtomicBool::new(false)),
        record: deployment.shared_record(),
    };
    let submit = |n| callers::spawn_submitter(n, plan, boxes.clone(), jobs.clone());
    let mut threads: Vec<_> = (0..plan.callers).map(submit).collect();
    threads.push(callers::spawn_poller(
        boxes.clone(),
        jobs.clone(),
        findings.clone(),
    ));
    let lasting = callers::submit_lasting(&boxes, &jobs, LASTING_TASKS);
    let mut faults = Faults::new(plan);
    let started = Instant::now();
    let now = || started.elapsed().as_millis() as u64;
    while (now() < plan.span || !faults.finished()) && !signals::stop_requested() {
        faults.step(&mut deployment, now());
        check_now(&deployment, &jobs, &findings);
        std::thread::sleep(CHECK_INTERVAL);
    }
    faults.end_all(&mut deployment);
    boxes.stop.store(true, Ordering::Relaxed);
    let interrupted = signals::stop_requested();
    if !interrupted {
        await_recovery(&deployment, &boxes, &jobs, &findings);
        // A timeout is ignored: the checks below report lasting tasks that do not run.
        let _ =
            eventually(|| checks::count_running(&deployment.record(), lasting) == LASTING_TASKS);
    }
    findings.stop_waiting();
    for thread in threads {
        thread.join().expect("a caller thread panicked");
    }
    if !interrupted {
        let (all, record) = (jobs.all(), deployment.record());
        checks::check_always(&all, &record, &findings);
        checks::check_at_end(&all, &record, &findings);
    }
    outcome(deployment, &jobs, &findings, faults, interrupted)
}

/// Checks the guarantees that must hold at any time.
fn check_now(deployment: &Deployment, jobs: &Jobs, findings: &Findings) {
    let record = deployment.record();
    checks::check_always(&jobs.all(), &record, findings);
}

/// Waits until all accepted jobs have ended and each box has accepted one more.
fn await_recovery(deployment: &Deployment, boxes: &Boxes, jobs: &Jobs, findings: &Findings) {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let mut pending: Vec<usize> = (0..boxes.addresses.len()).collect();
    while Instant::now() < end && (!pending.is_empty() || !jobs.open().is_empty()) {
        pending.retain(|index| !accepts_job(*index, boxes, jobs));
        check_now(deployment, jobs, findings);
        std::thread::sleep(CHECK_INTERVAL);
    }
    for index in pending {
        findings.report(
            "",
            format!("box {index} accepts no job after the faults ended"),
        );
    }
}

/// Submits a job to a box; returns true when the box accepts it.
fn accepts_job(index: usize, boxes: &Boxes, jobs: &Jobs) -> bool {
    let id = format!("ffff{index:012x}");
    if !jobs.all().contains_key(&id) {
        jobs.insert(&id, 1);
    }
    let accepted = matches!(
        boxes.call(index, "POST", &id, &callers::two_step_job(1, None)),
        Answer::Status(200, _)
    );
    if accepted {
        jobs.update(&id, |job| job.status = SubmitStatus::Accepted);
    }
    accepted
}

fn outcome(
    mut deployment: Deployment,
    jobs: &Jobs,
    findings: &Findings,
    faults: Faults,
    interrupted: bool,
) -> Outcome {
    let violations = findings.all();
    let logs = match violations.is_empty() {
        true => Vec::new(),
        false => deployment.keep_output(),
    };
    let all = jobs.all();
    let count = |status| all.values().filter(|job| job.status == status).count();
    let completed = all
        .values()
        .filter(|job| job.final_state == "completed")
        .count();
    Outcome {
        violations,
        jobs: [
            all.len(),
            count(SubmitStatus::Accepted),
            count(SubmitStatus::Refused),
            completed,
        ],
        faults: faults.counts,
        logs,
        interrupted,
    }
}

/// Returns the history of a job as `willowpoint explain` derives it from the boxes' logs.
pub fn explain(id: &str, logs: &[PathBuf]) -> String {
    let output = Command::new(binary())
        .arg("explain")
        .arg(id)
        .args(logs)
        .output();
    match output {
        Ok(output) => String::from_utf8_lossy(&output.stdout).into_owned(),
        Err(e) => format!("no history: {e}"),
    }
}
