//! Sends requests to entry boxes at a given rate and counts how they end.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use serde::Serialize;

use crate::constants;
use crate::utils::clock::{self, Millis};
use crate::utils::random::Random;
use crate::web::client::Pool;
use crate::web::{Reply, Request, WebError};

/// Largest answer in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// One in this many requests is not repeatable.
const NOT_REPEATABLE_EVERY: u64 = 4;

/// Plan of an open-loop load: requests are sent whether or not earlier ones were answered.
#[derive(Clone, Debug)]
pub struct Plan {
    /// HTTP addresses of the entry boxes for callers.
    pub boxes: Vec<SocketAddr>,
    /// Requested service.
    pub service: String,
    /// Requests per second.
    pub rate: f64,
    /// Milliseconds for which requests are sent.
    pub duration: Millis,
    /// Milliseconds from a request to its deadline.
    pub deadline: Millis,
    /// Seed of the arrival times and target boxes.
    pub seed: u64,
}

/// Results of the load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Number of requests for each verdict that the caller received.
    pub verdicts: BTreeMap<String, u64>,
    /// Answers that belong to another request or are truncated.
    pub wrong: u64,
    /// Microseconds until each answer of an endpoint, sorted.
    #[serde(skip)]
    pub latencies_us: Vec<u64>,
}

impl Report {
    /// Returns the microseconds within which `fraction` of the answers came; 0 without answers.
    pub fn quantile(&self, fraction: f64) -> u64 {
        if self.latencies_us.is_empty() {
            return 0;
        }
        let last = self.latencies_us.len() - 1;
        self.latencies_us[(last as f64 * fraction).round() as usize]
    }

    /// Returns the number of requests with a verdict.
    pub fn count(&self, verdict: &str) -> u64 {
        self.verdicts.get(verdict).copied().unwrap_or(0)
    }
}

/// Sends the requests of a plan; returns when all of them have ended.
pub async fn run(plan: Plan) -> Report {
    let report = Rc::new(RefCell::new(Report::default()));
    let pool = Pool::new(MAX_ANSWER);
    let mut random = Random::new(plan.seed);
    let start = clock::micros();
    let end = start + plan.duration * 1_000;
    let mut next = start as f64;
    let mut tasks = Vec::new();
    let mut number = 0;
    loop {
        next += random.exponential(1e6 / plan.rate);
        if next as u64 >= end {
            break;
        }
        let now = clock::micros();
        if next as u64 > now {
            monoio::time::sleep(Duration::from_micros(next as u64 - now)).await;
        }
        number += 1;
        let target = plan.boxes[random.below(plan.boxes.len() as u64) as usize];
        let request = request(&plan, number);
        let task = send(pool.clone(), target, request, plan.deadline, report.clone());
        tasks.push(monoio::spawn(task));
    }
    for task in tasks {
        task.await;
    }
    let mut report = report.borrow().clone();
    report.latencies_us.sort_unstable();
    report
}

/// A request and the answer that is expected for it.
struct LoadRequest {
    request: Request,
    expected_answer: Bytes,
}

fn request(plan: &Plan, number: u64) -> LoadRequest {
    let id = format!("load-{}-{number}", plan.seed);
    let body = Bytes::from(format!("body of {id}"));
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set("host", "willowpoint");
    set(constants::SERVICE, &plan.service);
    set(constants::ID, &id);
    set(constants::DEADLINE, &plan.deadline.to_string());
    if number.is_multiple_of(NOT_REPEATABLE_EVERY) {
        set(constants::REPEATABLE, "no");
        set(constants::RESEND, "no");
        set(constants::ISSUED, &clock::wall().to_string());
    }
    LoadRequest {
        expected_answer: Bytes::from(format!("{id}\nbody of {id}")),
        request: Request {
            method: Method::POST,
            uri: Uri::from_static("/load"),
            headers,
            charge: None,
            body,
        },
    }
}

async fn send(
    pool: Pool,
    target: SocketAddr,
    load: LoadRequest,
    deadline: Millis,
    report: Rc<RefCell<Report>>,
) {
    let start = clock::micros();
    let result = pool
        .call(target, load.request, deadline + 1_000, || true)
        .await;
    let micros = clock::micros() - start;
    let verdict = verdict(&result);
    let mut report = report.borrow_mut();
    if verdict == "answer" {
        report.latencies_us.push(micros);
        let correct = matches!(&result, Ok(reply) if reply.body == load.expected_answer);
        report.wrong += u64::from(!correct);
    }
    *report.verdicts.entry(verdict).or_default() += 1;
}

/// Returns the verdict that the caller received, followed by the reason when there is one.
fn verdict(result: &Result<Reply, WebError>) -> String {
    let reply = match result {
        Ok(reply) => reply,
        Err(e) if e.is_unsent() => return "not reached".into(),
        Err(_) => return "connection lost".into(),
    };
    let header = |name: &str| reply.headers.get(name).and_then(|v| v.to_str().ok());
    let verdict = header(constants::VERDICT).unwrap_or("no verdict");
    match header(constants::REASON) {
        Some(reason) => format!("{verdict}: {reason}"),
        None => verdict.into(),
    }
}
