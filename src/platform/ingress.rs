//! Parses callers' HTTP requests about jobs, and builds the replies to them.

use http::header::{ALLOW, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderValue, Method, StatusCode};
use serde_json::json;

use super::wire::{self, Job, Step};
use crate::queues::Queues;
use crate::sched::job::JobState;
use crate::sched::message::{Answer, JobRequest};
use crate::sched::spec::{JobSpec, Resources, Schedule, StepSpec};
use crate::utils::clock::Millis;
use crate::web::{Reply, Request};

/// Length of a job's id in characters.
const ID_LENGTH: usize = 16;
/// Most bytes of a job's spec text.
const MAX_SPEC_BYTES: usize = 4_000;
/// Milliseconds that a caller waits for its answer if its request does not say so.
const DEFAULT_TIMEOUT: Millis = 3_000;

/// Returns how many milliseconds the caller waits for its answer.
pub fn caller_timeout(request: &Request) -> Millis {
    let value = request.headers.get(wire::DEADLINE);
    let Some(value) = value else {
        return DEFAULT_TIMEOUT;
    };
    let millis = value.to_str().ok().and_then(|t| t.parse().ok());
    millis.unwrap_or_else(|| {
        log::warn!(target: "desk", "event=bad-deadline value={value:?} taken_ms={DEFAULT_TIMEOUT}");
        DEFAULT_TIMEOUT
    })
}

/// Returns the job request in an HTTP request, or the reply to an invalid one.
pub fn parse_request(request: &Request, queues: &Queues) -> Result<JobRequest, Box<Reply>> {
    let host = request.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.unwrap_or("").split(':').next().unwrap_or("");
    let Some((route, rest)) = queues.find(host, request.uri.path()) else {
        let reply = Reply::text(StatusCode::NOT_FOUND, "no such queue\n");
        return Err(reply.into());
    };
    let queue = route.queue.clone();
    if rest.is_empty() && request.method == Method::GET {
        return Ok(JobRequest::Count(queue.name));
    }
    if rest.len() != ID_LENGTH || !rest.bytes().all(|b| b.is_ascii_hexdigit()) {
        let text = format!("a job's id has {ID_LENGTH} hex digits\n");
        return Err(Reply::text(StatusCode::BAD_REQUEST, text).into());
    }
    let id = rest.into();
    match request.method {
        Method::GET => Ok(JobRequest::Show(id)),
        Method::DELETE => Ok(JobRequest::Cancel(id)),
        Method::POST => Ok(JobRequest::Submit {
            id,
            spec: Box::new(parse_job(&request.body)?),
            queue,
        }),
        _ => {
            let mut reply = Reply::text(StatusCode::METHOD_NOT_ALLOWED, "GET, POST or DELETE\n");
            let allowed = HeaderValue::from_static("GET, POST, DELETE");
            reply.headers.insert(ALLOW, allowed);
            Err(reply.into())
        }
    }
}

/// Returns the specification of the job in a request's body, or the reply to an invalid one.
fn parse_job(body: &[u8]) -> Result<JobSpec, Box<Reply>> {
    let invalid =
        |text: String| Box::new(Reply::text(StatusCode::BAD_REQUEST, format!("{text}\n")));
    let job: Job = serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))?;
    if job.spec.len() > MAX_SPEC_BYTES {
        return Err(invalid(format!(
            "a spec has at most {MAX_SPEC_BYTES} bytes"
        )));
    }
    Ok(JobSpec {
        payload: job.spec,
        steps: job.steps.into_iter().map(step_spec).collect(),
        schedule: (job.max_runs > 0).then_some(Schedule {
            rounds: job.max_runs,
            first: job.initial_delay_ms,
            interval: job.interval_ms,
        }),
    })
}

/// Returns the specification of a step.
fn step_spec(step: Step) -> StepSpec {
    StepSpec {
        count: step.count,
        resources: Resources {
            cpu: step.cpu,
            memory: step.mem_mb,
            gpu: step.gpu,
        },
        estimate: step.estimate_ms,
        depends_on: step.after,
        image: step.image,
        label: step.requires,
        rack: step.affinity,
        max_per_worker: step.anti_affinity,
        latency_target: step.target_ms,
        max_disruptions: step.may_miss,
        checkpoints: step.saves_progress,
        gang: step.gang,
        one_rack: step.same_rack,
        speculative: step.speculative,
        lasting: step.persistent,
        best_effort: step.fills,
    }
}

/// Returns the HTTP reply for an answer.
pub fn to_reply(answer: &Answer) -> Reply {
    match answer {
        Answer::Accepted | Answer::Cancelled => json_reply(StatusCode::OK, json!({})),
        Answer::State(state) => json_reply(StatusCode::OK, json!({ "state": state_name(*state) })),
        Answer::Waiting(count) => json_reply(StatusCode::OK, json!({ "pending": count })),
        Answer::Unknown => Reply::text(StatusCode::GONE, "no such job\n"),
        Answer::Invalid(reason) => Reply::text(StatusCode::BAD_REQUEST, format!("{reason}\n")),
        Answer::InDoubt => Reply::text(StatusCode::GATEWAY_TIMEOUT, "not known yet\n"),
        Answer::Refused(after) => refused_reply(*after),
    }
}

/// Returns the reply to a refused request, with the time after which the caller should retry.
fn refused_reply(after: Millis) -> Reply {
    let mut reply = Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not taken\n");
    let seconds = after.div_ceil(1_000);
    reply
        .headers
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    reply
}

/// Returns a job's state as callers see it.
fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}

/// Returns a reply with a JSON body.
fn json_reply(status: StatusCode, value: serde_json::Value) -> Reply {
    let mut reply = Reply::text(status, value.to_string());
    let kind = HeaderValue::from_static("application/json");
    reply.headers.insert(CONTENT_TYPE, kind);
    reply
}
