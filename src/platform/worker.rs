//! Client of the workers: sends orders and decodes their replies.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::Value;

use super::wire::{self, EndRow, OrderReply, RunRow, RunStart, RunStop};
use crate::sched::message::{
    ActiveRun, EndedRun, OrderAck, Poll, Refusal, Reply, Report, RunOutcome, Start, Stop, Throttle,
};
use crate::table::encode;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::web::client::Pool;
use crate::web::{self, WebError};

/// Largest reply in bytes: a report of 500 completions and all runs of a worker.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Timeout of an order in milliseconds: hundreds of times the usual answer time, and well under
/// the length of a lease.
const ORDER_TIMEOUT: Millis = 700;

/// Client of all workers.
#[derive(Clone)]
pub struct Workers {
    pool: Pool,
}

impl Workers {
    /// Returns a client that keeps at most `idle` idle connections in total, apart from one to
    /// each worker, which is always kept.
    pub fn new(idle: usize) -> Self {
        Self {
            pool: Pool::new(MAX_REPORT_BYTES).with_max_idle(idle),
        }
    }

    /// Starts a run; the reply holds the worker's clock and boot time.
    pub async fn start(&self, start: &Start) -> Reply<OrderAck> {
        let body = encode(&RunStart {
            task: &start.task,
            run: start.run,
            spec: &start.payload,
            deadline_ms: start.lease,
            fence: start.fence,
            last_checkpoint: &start.checkpoint,
            ticket: &start.permit,
        });
        let reply = self.send_order(start.address, "/run-start", body, &start.incarnation.id, 0);
        reply.await.map(to_ack)
    }

    /// Stops a run; the reply holds the worker's clock and boot time.
    pub async fn stop(&self, stop: &Stop) -> Reply<OrderAck> {
        let body = encode(&RunStop {
            task: &stop.task,
            run: stop.run,
            fence: stop.fence,
        });
        let reply = self.send_order(stop.address, "/run-stop", body, &stop.incarnation.id, 0);
        reply.await.map(to_ack)
    }

    /// Changes the speed of a run; the reply holds the worker's clock and boot time.
    pub async fn throttle(&self, throttle: &Throttle) -> Reply<OrderAck> {
        let body = encode(&wire::Throttle {
            task: &throttle.task,
            run: throttle.run,
            percent: throttle.percent,
            fence: throttle.fence,
        });
        let reply = self.send_order(throttle.address, "/pace", body, &throttle.incarnation.id, 0);
        reply.await.map(to_ack)
    }

    /// Polls a worker: extends its lease and returns its report.
    pub async fn poll(&self, poll: &Poll) -> Reply<Report> {
        let body = encode(&wire::PollRequest {
            deadline_ms: poll.lease,
            fence: poll.fence,
            last_seen: poll.acknowledged,
            wait_ms: poll.wait,
        });
        let reply = self.send_order(poll.address, "/hold", body, &poll.incarnation.id, poll.wait);
        reply.await.map(to_report)
    }

    /// Sends an order to a worker and decodes the reply; `wait` is for how many milliseconds the
    /// worker may hold back its answer.
    async fn send_order(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        incarnation: &str,
        wait: Millis,
    ) -> Reply<OrderReply> {
        let call = wire::call(
            &self.pool,
            address,
            Method::POST,
            path,
            Some(body),
            Some(incarnation),
            ORDER_TIMEOUT + wait,
        );
        match call.await {
            Ok(reply) => decode_reply(path, &reply),
            Err(WebError::NotListening) => Reply::NotListening,
            Err(e) if e.is_unsent() => Reply::NotSent,
            Err(e) => {
                log::debug!(target: "worker", "worker={incarnation} call={path} event=lost cause=\"{e}\"");
                Reply::Lost
            }
        }
    }
}

/// Returns the reply's body, or why the worker refused the order. A status that is not in the
/// protocol may come from a proxy and does not show whether the order was carried out.
pub(super) fn decode_reply(path: &str, reply: &web::Reply) -> Reply<OrderReply> {
    let body = match decode_body(&reply.body) {
        Ok(body) => body,
        Err(e) if reply.status == StatusCode::OK => {
            log::error!(target: "worker", "call={path} event=malformed cause=\"{e}\"");
            return Reply::Lost;
        }
        // A refusal need not have a body.
        Err(_) => OrderReply::default(),
    };
    match reply.status {
        StatusCode::OK => Reply::Ok(body),
        StatusCode::CONFLICT => Reply::Refused(parse_refusal(path, &body.reason)),
        StatusCode::MISDIRECTED_REQUEST => Reply::Refused(Refusal::Replaced),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Reply::Refused(Refusal::Unwell)
        }
        status => {
            let text = String::from_utf8_lossy(&reply.body);
            log::warn!(target: "worker", "call={path} event=refused status={status} body=\"{text}\"");
            match status {
                StatusCode::BAD_REQUEST => Reply::Refused(Refusal::Unfit),
                _ => Reply::Lost,
            }
        }
    }
}

/// Decodes the body of a reply. Rows that don't decode hide no others.
fn decode_body(body: &[u8]) -> Result<OrderReply, serde_json::Error> {
    let strict = serde_json::from_slice::<OrderReply>(body);
    strict.or_else(|_| {
        let loose = serde_json::from_slice::<OrderReply<Value, Value>>(body)?;
        Ok(decode_rows(loose))
    })
}

/// Decodes the rows of a reply one by one.
fn decode_rows(reply: OrderReply<Value, Value>) -> OrderReply {
    let rows = reply.running.len() + reply.finished.len();
    let running: Vec<RunRow> = reply.running.iter().filter_map(decode_run).collect();
    let finished: Vec<EndRow> = reply.finished.iter().filter_map(decode_end).collect();
    let unreadable = rows - running.len() - finished.len();
    log::error!(target: "worker", "event=malformed rows={rows} unreadable={unreadable}");
    OrderReply {
        clock_ms: reply.clock_ms,
        born: reply.born,
        reason: reply.reason,
        running,
        finished,
        unreadable,
    }
}

/// Decodes the row of an active run; further fields are ignored.
fn decode_run(row: &Value) -> Option<RunRow> {
    let run = row.get(1)?.as_u64()?.try_into().ok()?;
    let progress = row.get(3)?.as_u64()?.try_into().ok()?;
    let gauge = row.get(4)?.as_f64()?;
    Some((text(row, 0)?, run, text(row, 2)?, progress, gauge))
}

/// Decodes the row of a completion; further fields are ignored. The outcome is empty, which no
/// outcome is, if it or the checkpoint doesn't decode.
fn decode_end(row: &Value) -> Option<EndRow> {
    let number = row.get(0)?.as_u64()?;
    let run = row.get(2)?.as_u64()?.try_into().ok()?;
    let outcome = text(row, 3).zip(text(row, 4));
    let (outcome, checkpoint) = outcome.unwrap_or_default();
    Some((number, text(row, 1)?, run, outcome, checkpoint))
}

/// Returns a text of a row.
fn text(row: &Value, index: usize) -> Option<Name> {
    row.get(index)?.as_str().map(Name::from)
}

/// Returns the refusal for the reason that a worker gives on the wire.
fn parse_refusal(path: &str, reason: &str) -> Refusal {
    match reason {
        "fence" => Refusal::Fenced,
        "old" => Refusal::Old,
        "late" => Refusal::Late,
        "room" => Refusal::Full,
        "ticket" => Refusal::NoPermit,
        other => {
            log::warn!(target: "worker", "call={path} event=refused reason=\"{other}\"");
            Refusal::Unfit
        }
    }
}

/// Returns the worker's clock and boot time in a reply.
fn to_ack(body: OrderReply) -> OrderAck {
    OrderAck {
        clock: body.clock_ms,
        boot: body.born,
    }
}

/// Returns the report in a reply. Completions are numbered from 1.
pub(super) fn to_report(body: OrderReply) -> Report {
    let rows = body.finished.len();
    let running = body
        .running
        .into_iter()
        .map(|(task, run, checkpoint, progress, gauge)| ActiveRun {
            task,
            run,
            checkpoint,
            progress,
            gauge: gauge.max(0.0) as u64,
        });
    let ended: Vec<EndedRun> = body
        .finished
        .into_iter()
        .filter(|row| row.0 > 0)
        .map(|(number, task, run, outcome, checkpoint)| EndedRun {
            number,
            task,
            run,
            outcome: parse_outcome(&outcome),
            checkpoint,
        })
        .collect();
    Report {
        clock: body.clock_ms,
        boot: body.born,
        running: running.collect(),
        unreadable: body.unreadable + rows - ended.len(),
        ended,
    }
}

/// Returns the outcome of a run by its name on the wire.
fn parse_outcome(name: &str) -> RunOutcome {
    match name {
        "done" => RunOutcome::Done,
        "failed" => RunOutcome::Failed,
        "stopped" => RunOutcome::Stopped,
        "lapsed" => RunOutcome::Lapsed,
        "broken" => RunOutcome::Broken,
        "alone" => RunOutcome::Alone,
        other => {
            log::debug!(target: "worker", "event=malformed end=\"{other}\"");
            RunOutcome::Unknown
        }
    }
}
