//! Callers' requests over HTTP.

use std::rc::Rc;

use futures::channel::oneshot;
use http::StatusCode;

use super::dispatch::set;
use super::driver::{Context, Load, Message, Outcome};
use crate::cell::Reason;
use crate::constants;
use crate::engine::Verdict;
use crate::metrics::{self, AnswerLabels};
use crate::request;
use crate::trace;
use crate::utils::clock;
use crate::web::{self, Reply};

/// Milliseconds after which to come back when the box is stopping.
const COME_BACK: u64 = 200;

/// Takes a caller's request to its answer.
pub async fn handle(context: Rc<Context>, request: web::Request) -> Reply {
    let start = clock::micros();
    let hop = context_of(&context, &request);
    let (mut reply, answer) = match request::parse(&request.headers, &context.settings.policy) {
        Ok(meta) => {
            let load = Load {
                request,
                trace: hop,
            };
            let (reply, result) = oneshot::channel();
            context.send(Message::Request { meta, load, reply });
            match result.await {
                Ok(outcome) => told(outcome),
                // The box has stopped between the request and its answer.
                Err(_) => unknown("stopping"),
            }
        }
        Err(findings) => invalid(&findings),
    };
    let micros = clock::micros() - start;
    metrics::get().request_seconds.observe(micros as f64 / 1e6);
    metrics::get().answers.get_or_create(&answer).inc();
    hop.end("entry", micros, answer.verdict);
    if hop.sampled {
        set(&mut reply.headers, constants::TRACEPARENT, &hop.header());
    }
    reply
}

fn context_of(context: &Context, request: &web::Request) -> trace::Context {
    let header = request.headers.get(constants::TRACEPARENT);
    let given = header
        .and_then(|h| h.to_str().ok())
        .and_then(trace::Context::parse);
    given.unwrap_or_else(|| {
        let draw = crate::utils::hash::mix(clock::micros()) as f64 / u64::MAX as f64;
        trace::Context::new(draw < context.settings.trace_share)
    })
}

fn told(outcome: Outcome) -> (Reply, AnswerLabels) {
    match (outcome.verdict, outcome.reply) {
        (Verdict::Answer, Some(mut reply)) => {
            set(&mut reply.headers, constants::VERDICT, "answer");
            let answer = AnswerLabels {
                verdict: "answer",
                reason: "",
            };
            (reply, answer)
        }
        (
            Verdict::NotRun {
                reason,
                retry_after,
            },
            _,
        ) => not_run(reason.as_str(), retry_after),
        (Verdict::Unknown { reason }, _) => unknown(reason),
        (Verdict::Answer, None) => unknown("answer-lost"),
    }
}

fn not_run(reason: &'static str, after: u64) -> (Reply, AnswerLabels) {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let text = format!("not run: {reason}; come back in {after} ms\n");
    let mut reply = Reply::text(status, text);
    set(&mut reply.headers, constants::VERDICT, "not-run");
    set(&mut reply.headers, constants::REASON, reason);
    let seconds = after.div_ceil(1_000).to_string();
    set(&mut reply.headers, "retry-after", &seconds);
    set(
        &mut reply.headers,
        constants::RETRY_AFTER,
        &after.to_string(),
    );
    if reason == Reason::Stopping.as_str() {
        set(&mut reply.headers, "connection", "close");
    }
    let answer = AnswerLabels {
        verdict: "not-run",
        reason,
    };
    (reply, answer)
}

fn unknown(reason: &'static str) -> (Reply, AnswerLabels) {
    let text = format!("unknown: it may have run ({reason})\n");
    let mut reply = Reply::text(StatusCode::GATEWAY_TIMEOUT, text);
    set(&mut reply.headers, constants::VERDICT, "unknown");
    set(&mut reply.headers, constants::REASON, reason);
    let answer = AnswerLabels {
        verdict: "unknown",
        reason,
    };
    (reply, answer)
}

fn invalid(findings: &[request::HeaderError]) -> (Reply, AnswerLabels) {
    metrics::get().malformed.inc();
    let mut text = String::from("not run: invalid\n");
    for finding in findings {
        text.push_str(&format!("{}: {}\n", finding.header, finding.problem));
    }
    let (mut reply, answer) = not_run("invalid", COME_BACK);
    reply.status = StatusCode::BAD_REQUEST;
    reply.body = text.into();
    reply.headers.remove("retry-after");
    reply.headers.remove(constants::RETRY_AFTER);
    (reply, answer)
}
