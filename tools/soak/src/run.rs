//! One run: a deployment under the faults of a plan, with callers, checked from outside.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use willowpoint::utils::signals;

use crate::callers::{self, Answer, Boxes};
use crate::checks::{self, Broken, Findings};
use crate::faults::Faults;
use crate::jobs::{Jobs, Told};
use crate::plan::{Kind, Plan};
use crate::platform::deployment::Deployment;
use crate::platform::support::{binary, eventually};

/// Callers that hand in jobs.
const CALLERS: usize = 4;
/// How long a task runs.
const SPAN: Duration = Duration::from_millis(300);
/// Tasks that last.
const LASTING: u32 = 4;
/// Time between two looks at what must hold.
const LOOK: Duration = Duration::from_millis(20);
/// Time in which all jobs have to end once nothing is wrong any more: a lease that an
/// earlier owner gave and may still extend, and the work left.
const CALM: Duration = Duration::from_secs(60);

/// What a run came to.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Broken promises.
    pub broken: Vec<Broken>,
    /// Jobs asked for, taken, denied, ended as completed.
    pub jobs: [usize; 4],
    /// Faults brought about.
    pub faults: BTreeMap<Kind, u32>,
    /// What the boxes wrote, where a promise was broken.
    pub logs: Vec<PathBuf>,
    /// True when it was ended before its time.
    pub cut_short: bool,
}

/// Plays a plan.
pub fn play(plan: &Plan) -> Outcome {
    let mut deployment = Deployment::start(plan.boxes, plan.workers, SPAN);
    let (jobs, findings) = (Jobs::default(), Findings::default());
    let boxes = Boxes {
        addresses: deployment.addresses(),
        stop: Arc::new(AtomicBool::new(false)),
        record: deployment.shared_record(),
    };
    let submit = |n| callers::submit(n, plan.seed, boxes.clone(), jobs.clone());
    let mut threads: Vec<_> = (0..CALLERS).map(submit).collect();
    threads.push(callers::follow(
        boxes.clone(),
        jobs.clone(),
        findings.clone(),
    ));
    let lasting = callers::lasting(&boxes, &jobs, LASTING);
    let mut faults = Faults::new(plan);
    let begun = Instant::now();
    let now = || begun.elapsed().as_millis() as u64;
    while (now() < plan.span || !faults.over()) && !signals::stop_requested() {
        faults.step(&mut deployment, now());
        look(&deployment, &jobs, &findings);
        std::thread::sleep(LOOK);
    }
    faults.stop(&mut deployment);
    boxes.stop.store(true, Ordering::Relaxed);
    let cut_short = signals::stop_requested();
    if !cut_short {
        settle(&deployment, &boxes, &jobs, &findings);
        // Where they do not, the checks that follow tell it.
        let _ = eventually(|| checks::running(&deployment.record(), lasting) == LASTING);
    }
    findings.give_up();
    for thread in threads {
        thread.join().expect("a caller ends");
    }
    if !cut_short {
        let (all, record) = (jobs.all(), deployment.record());
        checks::during(&all, &record, &findings);
        checks::after(&all, &record, &findings);
    }
    outcome(deployment, &jobs, &findings, faults, cut_short)
}

/// Checks what must hold at each moment.
fn look(deployment: &Deployment, jobs: &Jobs, findings: &Findings) {
    let record = deployment.record();
    checks::during(&jobs.all(), &record, findings);
}

/// Waits until all jobs that were taken have ended and each box takes one more.
fn settle(deployment: &Deployment, boxes: &Boxes, jobs: &Jobs, findings: &Findings) {
    let end = Instant::now() + CALM;
    let mut left: Vec<usize> = (0..boxes.addresses.len()).collect();
    while Instant::now() < end && (!left.is_empty() || !jobs.open().is_empty()) {
        left.retain(|number| !takes(*number, boxes, jobs));
        look(deployment, jobs, findings);
        std::thread::sleep(LOOK);
    }
    for number in left {
        findings.tell("", format!("box {number} takes no job once all is well"));
    }
}

/// Returns true when a box takes a job.
fn takes(number: usize, boxes: &Boxes, jobs: &Jobs) -> bool {
    let id = format!("ffff{number:012x}");
    if !jobs.all().contains_key(&id) {
        jobs.ask(&id, 1);
    }
    let taken = matches!(
        boxes.call(number, "POST", &id, &callers::job(1)),
        Answer::Status(200, _)
    );
    if taken {
        jobs.note(&id, |job| job.told = Told::Taken);
    }
    taken
}

fn outcome(
    mut deployment: Deployment,
    jobs: &Jobs,
    findings: &Findings,
    faults: Faults,
    cut_short: bool,
) -> Outcome {
    let broken = findings.all();
    let logs = match broken.is_empty() {
        true => Vec::new(),
        false => deployment.keep_output(),
    };
    let all = jobs.all();
    let told = |told| all.values().filter(|job| job.told == told).count();
    let completed = all.values().filter(|job| job.ended == "completed").count();
    Outcome {
        broken,
        jobs: [all.len(), told(Told::Taken), told(Told::Denied), completed],
        faults: faults.counts,
        logs,
        cut_short,
    }
}

/// Returns the course of a job by what the boxes wrote.
pub fn history(id: &str, logs: &[PathBuf]) -> String {
    let told = Command::new(binary())
        .arg("explain")
        .arg(id)
        .args(logs)
        .output();
    match told {
        Ok(told) => String::from_utf8_lossy(&told.stdout).into_owned(),
        Err(e) => format!("no history: {e}"),
    }
}
