//! Callers that submit jobs, retry, give up, cancel, and poll the state of jobs.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};
use willowpoint::utils::random::Random;

use crate::checks::{self, Findings};
use crate::jobs::{Jobs, SubmitStatus};
use crate::plan::Plan;
use crate::platform::record::Record;
use crate::platform::support::wait_for;
use crate::platform::worker::{DURATION_SPEC, LASTING_SPEC};
use crate::platform::{HOST, PATH};

/// Read timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Connect timeout of a request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to submit a job, each at the next box.
const MAX_ATTEMPTS: usize = 6;
/// Pause between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest pause between two jobs of a caller, in milliseconds, in a run of the default sizes.
const MAX_PAUSE: u64 = 400;
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

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answered with this status and body.
    Status(u16, String),
    /// No connection was made, so the request was not sent.
    NotSent,
    /// The request may have been sent, but no answer was received.
    Lost,
}

/// The boxes' addresses and the state that callers share.
#[derive(Clone)]
pub struct Boxes {
    pub addresses: Vec<SocketAddr>,
    /// Set once callers should stop.
    pub stop: Arc<AtomicBool>,
    /// The runs that workers recorded.
    pub record: Arc<Mutex<Record>>,
}

impl Boxes {
    fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("the lock is not poisoned")
    }

    /// Sends a request to the box of index `number` modulo the number of boxes.
    pub fn call(&self, number: usize, method: &str, id: &str, body: &str) -> Answer {
        let address = self.addresses[number % self.addresses.len()];
        let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
            return Answer::NotSent;
        };
        let head = format!(
            "{method} {PATH}{id} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n\
             x-deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        send_request(stream, &(head + body)).unwrap_or(Answer::Lost)
    }
}

fn send_request(mut stream: TcpStream, request: &str) -> Option<Answer> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = text.split_once("\r\n\r\n")?;
    Some(Answer::Status(status, body.into()))
}

/// Spawns a caller that submits jobs until it is stopped.
pub fn spawn_submitter(number: usize, plan: &Plan, boxes: Boxes, jobs: Jobs) -> JoinHandle<()> {
    let mut random = Random::new(plan.seed ^ (number as u64 + 1));
    let durations = plan.durations.clone();
    let max_pause = MAX_PAUSE * plan.relative_load() / 100;
    std::thread::spawn(move || {
        let mut count = 0;
        while !boxes.stop_requested() {
            count += 1;
            let id = format!("{number:04x}{count:012x}");
            let tasks = 1 + random.below(MAX_TASKS) as u32;
            let duration = match durations[..] {
                [duration] => duration,
                _ => durations[random.below(durations.len() as u64) as usize],
            };
            let body = two_step_job(tasks, Some(duration));
            jobs.insert(&id, tasks);
            submit_job(&mut random, &boxes, &jobs, &id, &body);
            let pause = Duration::from_millis(random.below(max_pause));
            std::thread::sleep(pause);
        }
    })
}

fn submit_job(random: &mut Random, boxes: &Boxes, jobs: &Jobs, id: &str, body: &str) {
    let first = random.below(1_000) as usize;
    let mut all_refused = true;
    for attempt in 0..MAX_ATTEMPTS {
        match boxes.call(first + attempt, "POST", id, body) {
            Answer::Status(200, _) => {
                jobs.update(id, |job| job.status = SubmitStatus::Accepted);
                return maybe_cancel(random, boxes, jobs, id);
            }
            Answer::Status(503, _) | Answer::NotSent => {}
            Answer::Status(..) | Answer::Lost => all_refused = false,
        }
        std::thread::sleep(RETRY_DELAY);
    }
    if all_refused {
        jobs.update(id, |job| job.status = SubmitStatus::Refused);
    }
}

/// Submits a job of one step whose tasks run until it is cancelled; returns its id.
pub fn submit_lasting(boxes: &Boxes, jobs: &Jobs, tasks: u32) -> &'static str {
    let step = json!({ "count": tasks, "cpu": 1000, "memMb": 100, "persistent": true });
    let body = json!({ "spec": LASTING_SPEC, "steps": [step] }).to_string();
    jobs.insert(LASTING_ID, tasks);
    jobs.update(LASTING_ID, |job| job.lasting = true);
    let mut attempt = 0;
    wait_for("the lasting job to be accepted", || {
        attempt += 1;
        let answer = boxes.call(attempt, "POST", LASTING_ID, &body);
        matches!(answer, Answer::Status(200, _))
    });
    jobs.update(LASTING_ID, |job| job.status = SubmitStatus::Accepted);
    LASTING_ID
}

/// Returns the JSON body of a job of two steps, the second of which depends on the first. Its tasks
/// take `duration` milliseconds, or as long as their worker's tasks take by default.
pub fn two_step_job(tasks: u32, duration: Option<u64>) -> String {
    let estimate = duration.unwrap_or(DEFAULT_ESTIMATE);
    let step = json!({ "count": tasks, "cpu": 1000, "memMb": 100, "estimateMs": estimate });
    let mut second = step.clone();
    second["after"] = json!([0]);
    let spec = duration.map_or("text".into(), |ms| format!("{DURATION_SPEC}{ms}"));
    json!({ "spec": spec, "steps": [step, second] }).to_string()
}

fn maybe_cancel(random: &mut Random, boxes: &Boxes, jobs: &Jobs, id: &str) {
    if !random.chance(CANCEL_SHARE) {
        return;
    }
    jobs.update(id, |job| job.cancel_requested = true);
    let number = random.below(1_000) as usize;
    if let Answer::Status(200, _) = boxes.call(number, "DELETE", id, "") {
        let done = checks::count_done(&boxes.record(), id);
        jobs.update(id, |job| job.done_at_cancel = Some(done));
    }
}

/// Spawns a thread that polls all open jobs in turn and reports those with a wrong state.
pub fn spawn_poller(boxes: Boxes, jobs: Jobs, findings: Findings) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut number = 0;
        while !boxes.stop_requested() || !jobs.open().is_empty() {
            for id in jobs.open() {
                number += 1;
                poll_state(number, &boxes, &jobs, &findings, &id);
                if findings.waiting_stopped() {
                    return;
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    })
}

fn poll_state(number: usize, boxes: &Boxes, jobs: &Jobs, findings: &Findings, id: &str) {
    match boxes.call(number, "GET", id, "") {
        Answer::Status(200, body) => {
            let shown: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
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
