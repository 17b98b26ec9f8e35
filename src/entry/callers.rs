//! Answers callers' HTTP requests and reports the verdict in the reply's headers.

use std::rc::Rc;

use futures::channel::oneshot;
use http::StatusCode;

use super::dispatch::set_header;
use super::driver::{Context, Message, RequestOutcome, TracedRequest};
use crate::cell::Reason;
use crate::constants;
use crate::engine::Verdict;
use crate::metrics::{self, AnswerLabels};
use crate::request;
use crate::trace;
use crate::utils::clock;
use crate::web::{self, Reply};

/// Value in milliseconds of the retry headers of an invalid request. The headers are removed before
/// the reply is sent, since a retry would be invalid too.
const INVALID_RETRY_AFTER: u64 = 200;

/// Returns the reply to a caller's request, and records its metrics and its span.
pub async fn handle(context: Rc<Context>, request: web::Request) -> Reply {
    let start = clock::micros();
    let hop = trace_context(&context, &request);
    let (mut reply, answer) = match request::parse(&request.headers, &context.settings.policy) {
        Ok(meta) => {
            let request = TracedRequest {
                request,
                trace: hop,
            };
            let (reply_to, result) = oneshot::channel();
            context.send(Message::Request {
                meta,
                request,
                reply_to,
            });
            match result.await {
                Ok(outcome) => outcome_reply(outcome),
                // The box stopped before the request was answered.
                Err(_) => unknown_reply("stopping"),
            }
        }
        Err(errors) => invalid_reply(&errors),
    };
    let micros = clock::micros() - start;
    metrics::get().request_seconds.observe(micros as f64 / 1e6);
    metrics::get().answers.get_or_create(&answer).inc();
    hop.end("entry", micros, answer.verdict);
    if hop.sampled {
        set_header(&mut reply.headers, constants::TRACEPARENT, &hop.header());
    }
    reply
}

/// Returns the trace context of a request's header, or that of a new trace, which is sampled at
/// random.
fn trace_context(context: &Context, request: &web::Request) -> trace::Context {
    let header = request.headers.get(constants::TRACEPARENT);
    let received = header
        .and_then(|h| h.to_str().ok())
        .and_then(trace::Context::parse);
    received.unwrap_or_else(|| {
        let random = crate::utils::hash::mix(clock::micros()) as f64 / u64::MAX as f64;
        trace::Context::new(random < context.settings.trace_share)
    })
}

/// Returns the reply to the caller and its metric labels.
fn outcome_reply(outcome: RequestOutcome) -> (Reply, AnswerLabels) {
    match (outcome.verdict, outcome.reply) {
        (Verdict::Answer, Some(mut reply)) => {
            set_header(&mut reply.headers, constants::VERDICT, "answer");
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
        ) => not_run_reply(reason.as_str(), retry_after),
        (Verdict::Unknown { reason }, _) => unknown_reply(reason),
        (Verdict::Answer, None) => unknown_reply("answer-lost"),
    }
}

fn not_run_reply(reason: &'static str, retry_after: u64) -> (Reply, AnswerLabels) {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let text = format!("not run: {reason}; retry in {retry_after} ms\n");
    let mut reply = Reply::text(status, text);
    set_header(&mut reply.headers, constants::VERDICT, "not-run");
    set_header(&mut reply.headers, constants::REASON, reason);
    let seconds = retry_after.div_ceil(1_000).to_string();
    set_header(&mut reply.headers, "retry-after", &seconds);
    set_header(
        &mut reply.headers,
        constants::RETRY_AFTER,
        &retry_after.to_string(),
    );
    if reason == Reason::Stopping.as_str() {
        set_header(&mut reply.headers, "connection", "close");
    }
    let answer = AnswerLabels {
        verdict: "not-run",
        reason,
    };
    (reply, answer)
}

fn unknown_reply(reason: &'static str) -> (Reply, AnswerLabels) {
    let text = format!("unknown: the request may have run ({reason})\n");
    let mut reply = Reply::text(StatusCode::GATEWAY_TIMEOUT, text);
    set_header(&mut reply.headers, constants::VERDICT, "unknown");
    set_header(&mut reply.headers, constants::REASON, reason);
    let answer = AnswerLabels {
        verdict: "unknown",
        reason,
    };
    (reply, answer)
}

/// Returns the reply to a request with invalid headers, which names them and asks for no retry.
fn invalid_reply(errors: &[request::HeaderError]) -> (Reply, AnswerLabels) {
    metrics::get().malformed_messages.inc();
    let mut text = String::from("not run: invalid\n");
    for error in errors {
        text.push_str(&format!("{}: {}\n", error.header, error.problem));
    }
    let (mut reply, answer) = not_run_reply("invalid", INVALID_RETRY_AFTER);
    reply.status = StatusCode::BAD_REQUEST;
    reply.body = text.into();
    reply.headers.remove("retry-after");
    reply.headers.remove(constants::RETRY_AFTER);
    (reply, answer)
}
