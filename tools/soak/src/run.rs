//! Runs a plan: a deployment under faults, with callers, checked from outside.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use willowpoint::utils::signals;

use crate::callers::{self, Boxes, Role, Style};
use crate::checks::{self, Findings, Violation};
use crate::client::{Answer, Client, RETRY_DELAY};
use crate::faults::Faults;
use crate::jobs::{Jobs, SubmitStatus};
use crate::plan::{Kind, Plan};
use crate::platform::deployment::Deployment;
use crate::platform::support::{binary, eventually};
use crate::platform::{PATH, PROFILE};

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
    /// Number of answers to submissions by status; 0 for those without an answer.
    pub answers: BTreeMap<u16, u32>,
    /// Work that callers offered in bursts, in percent of what the workers can do meanwhile.
    pub offered: u64,
    /// Number of jobs that were refused at first and accepted when they returned.
    pub returned: usize,
    /// Number of starts of a task beside another run of it.
    pub copies: u32,
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
    let mut deployment = Deployment::start_with(plan.boxes, plan.workers, duration, PROFILE);
    deployment.seed_workers(plan.seed);
    let (jobs, findings) = (Jobs::default(), Findings::default());
    let boxes = Boxes {
        addresses: deployment.addresses(),
        stop: Arc::new(AtomicBool::new(false)),
        record: deployment.shared_record(),
        answers: Arc::default(),
        offered: Arc::default(),
    };
    let started = Instant::now();
    let submit =
        |role, n| callers::spawn_submitter(n, role, plan, started, boxes.clone(), jobs.clone());
    let steady = (0..plan.callers).map(|n| submit(Role::Steady, n));
    let burst_callers = plan.callers..plan.callers + callers::BURST_CALLERS;
    let mut threads: Vec<_> = steady
        .chain(burst_callers.map(|n| submit(Role::Bursts, n)))
        .collect();
    threads.push(callers::spawn_poller(
        boxes.clone(),
        jobs.clone(),
        findings.clone(),
    ));
    let lasting = callers::submit_lasting(&boxes, &jobs, LASTING_TASKS);
    let mut faults = Faults::new(plan);
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
    let offered = offered_load(plan, &boxes);
    let outcome = outcome(deployment, &boxes, &jobs, &findings, faults, interrupted);
    Outcome { offered, ..outcome }
}

/// Checks the guarantees that must hold at any time.
fn check_now(deployment: &Deployment, jobs: &Jobs, findings: &Findings) {
    let record = deployment.record();
    checks::check_always(&jobs.all(), &record, findings);
}

/// Waits until all accepted jobs have ended and each box has accepted one more.
fn await_recovery(deployment: &Deployment, boxes: &Boxes, jobs: &Jobs, findings: &Findings) {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let mut client = boxes.client();
    let mut pending: Vec<(usize, Instant)> = (0..boxes.addresses.len())
        .map(|index| (index, Instant::now()))
        .collect();
    while Instant::now() < end && (!pending.is_empty() || !jobs.open().is_empty()) {
        pending.retain_mut(|(index, due)| {
            let tried = (*due <= Instant::now()).then(|| accepts_job(*index, &mut client, jobs));
            match tried {
                None => true,
                Some(Ok(())) => false,
                Some(Err(after)) => {
                    *due = Instant::now() + after;
                    true
                }
            }
        });
        check_now(deployment, jobs, findings);
        std::thread::sleep(CHECK_INTERVAL);
    }
    for (index, _) in pending {
        findings.report(
            "",
            format!("box {index} accepts no job after the faults ended"),
        );
    }
}

/// Submits a job to a box that should accept it, or returns when to try again.
fn accepts_job(index: usize, client: &mut Client, jobs: &Jobs) -> Result<(), Duration> {
    let id = format!("ffff{index:012x}");
    if !jobs.all().contains_key(&id) {
        jobs.insert(&id, 1, PATH);
    }
    let body = callers::two_step_job(1, None, Style::Plain);
    match client.call(index, "POST", &format!("{PATH}{id}"), &body) {
        Answer::Status(200, _) => {
            jobs.update(&id, |job| job.status = SubmitStatus::Accepted);
            Ok(())
        }
        Answer::Refused(_, after) => Err(after),
        _ => Err(RETRY_DELAY),
    }
}

/// Returns the work that callers offered in bursts, in percent of what the workers can do meanwhile.
fn offered_load(plan: &Plan, boxes: &Boxes) -> u64 {
    let time: u64 = plan.bursts.iter().map(|burst| burst.span).sum();
    let capacity = time * plan.workers as u64 * callers::WORKER_CORES;
    boxes.offered.load(Ordering::Relaxed) * 100 / capacity.max(1)
}

fn outcome(
    mut deployment: Deployment,
    boxes: &Boxes,
    jobs: &Jobs,
    findings: &Findings,
    faults: Faults,
    interrupted: bool,
) -> Outcome {
    let violations = findings.all();
    let copies = deployment.record().copies;
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
        answers: boxes
            .answers
            .lock()
            .expect("the lock is not poisoned")
            .clone(),
        offered: 0,
        returned: all
            .values()
            .filter(|job| job.refusals > 0 && job.status == SubmitStatus::Accepted)
            .count(),
        copies,
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
