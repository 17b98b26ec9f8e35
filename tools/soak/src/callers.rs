//! Callers: they hand jobs in, come again, give up, cancel, and ask how jobs go on.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};
use willowpoint::utils::random::Random;

use crate::checks::{self, Findings};
use crate::jobs::{Jobs, Told};
use crate::platform::support::wait_for;
use crate::platform::worker::{LASTING_SPEC, Record};
use crate::platform::{HOST, PATH};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(3_500);
/// How long a caller waits for a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Boxes that a caller asks before it gives up.
const TRIES: usize = 6;
/// Pause between two tries.
const RETRY: Duration = Duration::from_millis(150);
/// Longest pause between two jobs of a caller, in milliseconds.
const PAUSE: u64 = 400;
/// Most tasks of a step.
const TASKS: u64 = 3;
/// Part of the jobs that are cancelled.
const CANCELLED: f64 = 0.1;
/// Id of the job whose tasks are lasting.
const LASTING_ID: &str = "eeee000000000001";
/// Pause between two looks at the jobs that are open.
const LOOK: Duration = Duration::from_millis(50);

/// An answer, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A status and a body.
    Status(u16, String),
    /// The request did not leave the caller.
    Unsent,
    /// It may have arrived.
    Lost,
}

/// The boxes as callers reach them.
#[derive(Clone)]
pub struct Boxes {
    pub addresses: Vec<SocketAddr>,
    pub stop: Arc<AtomicBool>,
    /// What the workers ran.
    pub record: Arc<Mutex<Record>>,
}

impl Boxes {
    /// Returns true once callers should end.
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("no holder panicked")
    }

    /// Sends a request to a box of a number, counted on from the first again.
    pub fn call(&self, number: usize, method: &str, id: &str, body: &str) -> Answer {
        let address = self.addresses[number % self.addresses.len()];
        let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT) else {
            return Answer::Unsent;
        };
        let head = format!(
            "{method} {PATH}{id} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n\
             x-deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        answer(stream, &(head + body)).unwrap_or(Answer::Lost)
    }
}

fn answer(mut stream: TcpStream, request: &str) -> Option<Answer> {
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = text.split_once("\r\n\r\n")?;
    Some(Answer::Status(status, body.into()))
}

/// Starts a caller that hands in jobs until it is stopped.
pub fn submit(number: usize, seed: u64, boxes: Boxes, jobs: Jobs) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut random = Random::new(seed ^ (number as u64 + 1));
        let mut count = 0;
        while !boxes.stopped() {
            count += 1;
            let id = format!("{number:04x}{count:012x}");
            let tasks = 1 + random.below(TASKS) as u32;
            hand_in(&mut random, &boxes, &jobs, &id, tasks);
            let pause = Duration::from_millis(random.below(PAUSE));
            std::thread::sleep(pause);
        }
    })
}

fn hand_in(random: &mut Random, boxes: &Boxes, jobs: &Jobs, id: &str, tasks: u32) {
    jobs.ask(id, tasks);
    let body = job(tasks);
    let first = random.below(1_000) as usize;
    let mut sure = true;
    for turn in 0..TRIES {
        match boxes.call(first + turn, "POST", id, &body) {
            Answer::Status(200, _) => {
                jobs.note(id, |job| job.told = Told::Taken);
                return cancel_some(random, boxes, jobs, id);
            }
            Answer::Status(503, _) | Answer::Unsent => {}
            Answer::Status(..) | Answer::Lost => sure = false,
        }
        std::thread::sleep(RETRY);
    }
    if sure {
        jobs.note(id, |job| job.told = Told::Denied);
    }
}

/// Hands in a job of one step whose tasks run until it is cancelled; returns its id.
pub fn lasting(boxes: &Boxes, jobs: &Jobs, tasks: u32) -> &'static str {
    let step = json!({ "count": tasks, "cpu": 1000, "memMb": 100, "persistent": true });
    let body = json!({ "spec": LASTING_SPEC, "steps": [step] }).to_string();
    jobs.ask(LASTING_ID, tasks);
    jobs.note(LASTING_ID, |job| job.lasting = true);
    let mut turn = 0;
    wait_for("the lasting job to be taken", || {
        turn += 1;
        let answer = boxes.call(turn, "POST", LASTING_ID, &body);
        matches!(answer, Answer::Status(200, _))
    });
    jobs.note(LASTING_ID, |job| job.told = Told::Taken);
    LASTING_ID
}

/// Returns a job of two steps.
pub fn job(tasks: u32) -> String {
    let step = json!({ "count": tasks, "cpu": 1000, "memMb": 100, "estimateMs": 300 });
    let mut second = step.clone();
    second["after"] = json!([0]);
    json!({ "spec": "text", "steps": [step, second] }).to_string()
}

fn cancel_some(random: &mut Random, boxes: &Boxes, jobs: &Jobs, id: &str) {
    if !random.chance(CANCELLED) {
        return;
    }
    jobs.note(id, |job| job.unwanted = true);
    let number = random.below(1_000) as usize;
    if let Answer::Status(200, _) = boxes.call(number, "DELETE", id, "") {
        let done = checks::done(&boxes.record(), id);
        jobs.note(id, |job| job.cancelled = Some(done));
    }
}

/// Starts one that asks for all open jobs in turn, and tells of those shown falsely.
pub fn follow(boxes: Boxes, jobs: Jobs, findings: Findings) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut number = 0;
        while !boxes.stopped() || !jobs.open().is_empty() {
            for id in jobs.open() {
                number += 1;
                look(number, &boxes, &jobs, &findings, &id);
                if findings.given_up() {
                    return;
                }
            }
            std::thread::sleep(LOOK);
        }
    })
}

fn look(number: usize, boxes: &Boxes, jobs: &Jobs, findings: &Findings, id: &str) {
    match boxes.call(number, "GET", id, "") {
        Answer::Status(200, body) => {
            let shown: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
            let state = shown["state"].as_str().unwrap_or_default();
            if ["completed", "failed", "cancelled"].contains(&state) {
                jobs.note(id, |job| job.ended = state.into());
            }
            if state.is_empty() {
                findings.tell(id, format!("is shown without a state: {body}"));
            }
        }
        Answer::Status(410, _) => {
            findings.tell(id, "a job that was taken is not known".into());
            jobs.note(id, |job| job.ended = "unknown".into());
        }
        _ => {}
    }
}
