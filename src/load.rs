//! Load on entry boxes, and what came of it.

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

/// Bytes of an answer at most.
const ANSWER: usize = 1 << 20;
/// Every how many requests one is not repeatable.
const HOLD: u64 = 4;

/// Load that arrives whether or not earlier requests were answered.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Callers' addresses of the entry boxes.
    pub boxes: Vec<SocketAddr>,
    /// Service that is asked for.
    pub service: String,
    /// Requests a second.
    pub rate: f64,
    /// Milliseconds of load.
    pub span: Millis,
    /// Milliseconds until an answer is worthless.
    pub deadline: Millis,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// What came of the load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests by what the caller was told.
    pub verdicts: BTreeMap<String, u64>,
    /// Answers that belong to another request, or are cut.
    pub wrong: u64,
    /// Microseconds to the endpoint's answer, sorted.
    #[serde(skip)]
    pub micros: Vec<u64>,
}

impl Report {
    /// Returns the microseconds within which a part of the answers came.
    pub fn quantile(&self, part: f64) -> u64 {
        if self.micros.is_empty() {
            return 0;
        }
        let last = self.micros.len() - 1;
        self.micros[(last as f64 * part).round() as usize]
    }

    /// Returns the number of requests told so.
    pub fn count(&self, verdict: &str) -> u64 {
        self.verdicts.get(verdict).copied().unwrap_or(0)
    }
}

/// Puts load on boxes; returns when every request has come to its end.
pub async fn run(plan: Plan) -> Report {
    let report = Rc::new(RefCell::new(Report::default()));
    let pool = Pool::new(ANSWER);
    let mut random = Random::new(plan.seed);
    let start = clock::micros();
    let end = start + plan.span * 1_000;
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
        let one = one(pool.clone(), target, request, plan.deadline, report.clone());
        tasks.push(monoio::spawn(one));
    }
    for task in tasks {
        task.await;
    }
    let mut report = report.borrow().clone();
    report.micros.sort_unstable();
    report
}

/// A request with the answer that it should get.
struct Asked {
    request: Request,
    answer: Bytes,
}

fn request(plan: &Plan, number: u64) -> Asked {
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
    if number.is_multiple_of(HOLD) {
        set(constants::REPEATABLE, "no");
        set(constants::RESEND, "no");
        set(constants::ISSUED, &clock::wall().to_string());
    }
    Asked {
        answer: Bytes::from(format!("{id}\nbody of {id}")),
        request: Request {
            method: Method::POST,
            uri: Uri::from_static("/load"),
            headers,
            body,
        },
    }
}

async fn one(
    pool: Pool,
    target: SocketAddr,
    asked: Asked,
    deadline: Millis,
    report: Rc<RefCell<Report>>,
) {
    let start = clock::micros();
    let result = pool
        .call(target, asked.request, deadline + 1_000, || true)
        .await;
    let micros = clock::micros() - start;
    let verdict = verdict(&result);
    let mut report = report.borrow_mut();
    if verdict == "answer" {
        report.micros.push(micros);
        let right = matches!(&result, Ok(reply) if reply.body == asked.answer);
        report.wrong += u64::from(!right);
    }
    *report.verdicts.entry(verdict).or_default() += 1;
}

/// Returns what a caller was told: the verdict, and the reason when it is not
/// an answer.
fn verdict(result: &Result<Reply, WebError>) -> String {
    let reply = match result {
        Ok(reply) => reply,
        Err(WebError::NotSent(_) | WebError::Held) => return "not reached".into(),
        Err(_) => return "connection lost".into(),
    };
    let header = |name: &str| reply.headers.get(name).and_then(|v| v.to_str().ok());
    let verdict = header(constants::VERDICT).unwrap_or("no verdict");
    match header(constants::REASON) {
        Some(reason) => format!("{verdict}: {reason}"),
        None => verdict.into(),
    }
}
