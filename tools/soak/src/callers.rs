//! Callers that submit jobs, retry, give up, cancel, and poll the state of jobs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use willowpoint::utils::random::Random;

use crate::checks::{self, Findings};
use crate::client::{Answer, Client, RETRY_DELAY};
use crate::jobs::{Jobs, SubmitStatus};
use crate::plan::Plan;
use crate::platform::record::Record;
use crate::platform::support::wait_for;
use crate::platform::worker::{DURATION_SPEC, LASTING_SPEC};
use crate::platform::{FIRST_RACK, PATH, PROFILE};

/// Attempts to submit a job, each at the next box.
const MAX_ATTEMPTS: usize = 6;
/// Longest pause between two jobs of a caller, in milliseconds, in a run of the default sizes.
const MAX_PAUSE: u64 = 400;
/// Factor of this pause in a run with bursts. Without it the callers use nearly all of the workers
/// all the time, and a copy of a slow run is started only where a worker has room for it.
const SPARE_FACTOR: u64 = 4;
/// Number of callers that submit jobs in bursts only. Each waits for its answer, up to 3.5 s while the
/// store or the owner fails; eight offered less than the workers can do then.
pub const BURST_CALLERS: usize = 24;
/// Work that these offer, as a multiple of what the workers can do.
const OVERLOAD: u64 = 4;
/// Cores of a worker.
pub const WORKER_CORES: u64 = 4;
/// Most jobs of a caller without a final answer, so that calls stay few while none is answered.
const MAX_PENDING: usize = 64;
/// Pause of a caller that has nothing to do.
const IDLE_PAUSE: Duration = Duration::from_millis(10);
/// Largest number of tasks in a step.
const MAX_TASKS: u64 = 3;
/// Share of the accepted jobs that are cancelled.
const CANCEL_SHARE: f64 = 0.1;
/// Estimate for a task of unspecified duration, in ms.
const DEFAULT_ESTIMATE: u64 = 300;
/// Id of the job with lasting tasks.
const LASTING_ID: &str = "eeee000000000001";
/// Pause between two polls of all open jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The boxes' addresses and the state that callers share.
#[derive(Clone)]
pub struct Boxes {
    pub addresses: Vec<SocketAddr>,
    /// Set once callers should stop.
    pub stop: Arc<AtomicBool>,
    /// The runs that workers recorded.
    pub record: Arc<Mutex<Record>>,
    /// Number of answers to submissions by status; 0 for those without an answer.
    pub answers: Arc<Mutex<BTreeMap<u16, u32>>>,
    /// Work of the jobs that callers submitted first in bursts, in core-milliseconds.
    pub offered: Arc<AtomicU64>,
}

impl Boxes {
    fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("the lock is not poisoned")
    }

    /// Returns a client of the boxes.
    pub fn client(&self) -> Client {
        Client::new(&self.addresses)
    }

    fn count(&self, answer: &Answer) {
        let status = match answer {
            Answer::Status(status, _) | Answer::Refused(status, _) => *status,
            Answer::NotSent | Answer::Lost => 0,
        };
        let mut answers = self.answers.lock().expect("the lock is not poisoned");
        *answers.entry(status).or_insert(0) += 1;
    }
}

/// When a caller submits new jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// At any time.
    Steady,
    /// In bursts.
    Bursts,
}

/// A job without a final answer to its submission.
struct Pending {
    id: String,
    queue: &'static str,
    body: String,
    first_box: usize,
    attempts: usize,
    all_refused: bool,
    /// Time of the next attempt.
    due: Instant,
}

/// A caller that submits jobs and repeats refused and unanswered attempts.
struct Submitter {
    role: Role,
    number: usize,
    count: u64,
    plan: Plan,
    started: Instant,
    random: Random,
    boxes: Boxes,
    client: Client,
    jobs: Jobs,
    pending: Vec<Pending>,
    /// Longest pause after a new job, in ms.
    max_pause: u64,
}

/// Spawns a caller that submits jobs until it is stopped. `started` is the start of the run.
pub fn spawn_submitter(
    number: usize,
    role: Role,
    plan: &Plan,
    started: Instant,
    boxes: Boxes,
    jobs: Jobs,
) -> JoinHandle<()> {
    let mut submitter = Submitter {
        role,
        number,
        count: 0,
        plan: plan.clone(),
        started,
        random: Random::new(plan.seed ^ (number as u64 + 1)),
        client: boxes.client(),
        boxes,
        jobs,
        pending: Vec::new(),
        max_pause: match role {
            Role::Steady => steady_pause(plan),
            Role::Bursts => burst_pause(plan),
        },
    };
    std::thread::spawn(move || submitter.run())
}

/// Returns the longest pause of a caller at any time.
fn steady_pause(plan: &Plan) -> u64 {
    let factor = match plan.bursts.is_empty() {
        true => 1,
        false => SPARE_FACTOR,
    };
    factor * MAX_PAUSE * plan.relative_load() / 100
}

/// Returns the longest pause of a caller in bursts, so that all of them offer `OVERLOAD` times what
/// the workers can do.
fn burst_pause(plan: &Plan) -> u64 {
    let duration = plan.durations.iter().sum::<u64>() / plan.durations.len() as u64;
    // Two steps with half of the most tasks and one more, of one core each.
    let job_work = duration * (MAX_TASKS + 1);
    let capacity = plan.workers as u64 * WORKER_CORES;
    let mean_pause = BURST_CALLERS as u64 * job_work / (OVERLOAD * capacity);
    (2 * mean_pause).max(1)
}

impl Submitter {
    fn run(&mut self) {
        while !self.boxes.stop_requested() {
            let now = Instant::now();
            let due = self.pending.iter().position(|p| p.due <= now);
            let pause = match due {
                Some(index) => {
                    let pending = self.pending.swap_remove(index);
                    self.attempt(pending);
                    Duration::ZERO
                }
                None if self.may_submit() => {
                    let pending = self.new_job();
                    self.attempt(pending);
                    Duration::from_millis(self.random.below(self.max_pause))
                }
                None => IDLE_PAUSE,
            };
            std::thread::sleep(pause);
        }
        for pending in std::mem::take(&mut self.pending) {
            self.give_up(&pending);
        }
    }

    fn may_submit(&self) -> bool {
        let active = self.role == Role::Steady || self.in_burst();
        active && self.pending.len() < MAX_PENDING
    }

    fn in_burst(&self) -> bool {
        let now = self.started.elapsed().as_millis() as u64;
        self.plan.bursts.iter().any(|burst| burst.contains(now))
    }

    fn new_job(&mut self) -> Pending {
        self.count += 1;
        let in_burst = self.in_burst();
        let id = format!("{:04x}{:012x}", self.number, self.count);
        let random = &mut self.random;
        let tasks = 1 + random.below(MAX_TASKS) as u32;
        let duration = match self.plan.durations[..] {
            [duration] => duration,
            ref several => several[random.below(several.len() as u64) as usize],
        };
        let queue = PROFILE.queues[random.below(PROFILE.queues.len() as u64) as usize].path;
        let style = STYLES[random.below(STYLES.len() as u64) as usize];
        if style == Style::Speculative {
            let steps = (0..2).map(|step| format!("{id}.0.{step}."));
            self.boxes.record().speculative.extend(steps);
        }
        self.jobs.insert(&id, tasks, queue);
        if in_burst {
            let work = 2 * u64::from(tasks) * duration;
            self.boxes.offered.fetch_add(work, Ordering::Relaxed);
        }
        Pending {
            id,
            queue,
            body: two_step_job(tasks, Some(duration), style),
            first_box: random.below(1_000) as usize,
            attempts: 0,
            all_refused: true,
            due: Instant::now(),
        }
    }

    /// Makes the next attempt to submit a job.
    fn attempt(&mut self, mut pending: Pending) {
        let (number, id) = (pending.first_box + pending.attempts, pending.id.clone());
        pending.attempts += 1;
        let path = format!("{}{id}", pending.queue);
        let answer = self.client.call(number, "POST", &path, &pending.body);
        self.boxes.count(&answer);
        let delay = match answer {
            Answer::Status(200, _) => {
                self.jobs
                    .update(&id, |job| job.status = SubmitStatus::Accepted);
                return self.maybe_cancel(&id, &path);
            }
            Answer::Refused(_, after) => {
                self.jobs.update(&id, |job| job.refusals += 1);
                after
            }
            Answer::NotSent => RETRY_DELAY,
            Answer::Status(..) | Answer::Lost => {
                pending.all_refused = false;
                RETRY_DELAY
            }
        };
        pending.due = Instant::now() + delay;
        match pending.attempts < MAX_ATTEMPTS {
            true => self.pending.push(pending),
            false => self.give_up(&pending),
        }
    }

    fn give_up(&self, pending: &Pending) {
        if pending.all_refused {
            self.jobs
                .update(&pending.id, |job| job.status = SubmitStatus::Refused);
        }
    }

    fn maybe_cancel(&mut self, id: &str, path: &str) {
        if !self.random.chance(CANCEL_SHARE) {
            return;
        }
        self.jobs.update(id, |job| job.cancel_requested = true);
        let number = self.random.below(1_000) as usize;
        if let Answer::Status(200, _) = self.client.call(number, "DELETE", path, "") {
            let done = checks::count_done(&self.boxes.record(), id);
            self.jobs.update(id, |job| job.done_at_cancel = Some(done));
        }
    }
}

/// What the steps of a job ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    Plain,
    BestEffort,
    Speculative,
    /// Data on the first rack.
    Affinity,
}

/// Styles of the jobs of callers; each job draws one.
const STYLES: [Style; 6] = [
    Style::Plain,
    Style::Plain,
    Style::BestEffort,
    Style::Speculative,
    Style::Speculative,
    Style::Affinity,
];

/// Submits a job of one step whose tasks run until it is cancelled; returns its id.
pub fn submit_lasting(boxes: &Boxes, jobs: &Jobs, tasks: u32) -> &'static str {
    let step = json!({ "count": tasks, "cpu": 1000, "memMb": 100, "persistent": true });
    let body = json!({ "spec": LASTING_SPEC, "steps": [step] }).to_string();
    jobs.insert(LASTING_ID, tasks, PATH);
    let (mut client, path) = (boxes.client(), format!("{PATH}{LASTING_ID}"));
    jobs.update(LASTING_ID, |job| job.lasting = true);
    let mut attempt = 0;
    wait_for("the lasting job to be accepted", || {
        attempt += 1;
        let answer = client.call(attempt, "POST", &path, &body);
        matches!(answer, Answer::Status(200, _))
    });
    jobs.update(LASTING_ID, |job| job.status = SubmitStatus::Accepted);
    LASTING_ID
}

/// Returns the JSON body of a job of two steps, the second of which depends on the first. Its tasks
/// take `duration` milliseconds, or as long as their worker's tasks take by default.
pub fn two_step_job(tasks: u32, duration: Option<u64>, style: Style) -> String {
    let estimate = duration.unwrap_or(DEFAULT_ESTIMATE);
    let mut step = json!({ "count": tasks, "cpu": 1000, "memMb": 100, "estimateMs": estimate });
    match style {
        Style::Plain => {}
        Style::BestEffort => step["fills"] = json!(true),
        Style::Speculative => step["speculative"] = json!(true),
        Style::Affinity => step["affinity"] = json!(FIRST_RACK),
    }
    let mut second = step.clone();
    second["after"] = json!([0]);
    let spec = duration.map_or("text".into(), |ms| format!("{DURATION_SPEC}{ms}"));
    json!({ "spec": spec, "steps": [step, second] }).to_string()
}

/// Spawns a thread that polls all open jobs in turn and reports those with a wrong state.
pub fn spawn_poller(boxes: Boxes, jobs: Jobs, findings: Findings) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut number = 0;
        let mut client = boxes.client();
        // Jobs are accepted after the stop too, and none may be open when it is requested.
        while !findings.waiting_stopped() {
            for (id, queue) in jobs.open() {
                number += 1;
                let answer = client.call(number, "GET", &format!("{queue}{id}"), "");
                check_state(&answer, &jobs, &findings, &id);
                if findings.waiting_stopped() {
                    return;
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    })
}

fn check_state(answer: &Answer, jobs: &Jobs, findings: &Findings, id: &str) {
    match answer {
        Answer::Status(200, body) => {
            let shown: Value = serde_json::from_str(body).unwrap_or(Value::Null);
            let state = shown["state"].as_str().unwrap_or_default();
            if ["completed", "failed", "cancelled"].contains(&state) {
                jobs.update(id, |job| job.final_state = state.into());
            }
            if state.is_empty() {
                findings.report(id, format!("is shown without a state: {body}"));
            }
        }
        Answer::Status(410, _) => {
            findings.report(id, "an accepted job is not known".into());
            jobs.update(id, |job| job.final_state = "unknown".into());
        }
        _ => {}
    }
}
