//! Serves the worker's stand-in: requests over HTTP and its control over gRPC.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tonic::{Request, Response, Status};

use super::state::{ActiveRequest, Refusal, Start, SyncRequest, Worker, WorkerRun};
use crate::cell::{Reason, RunReport, RunState, Shape, Size};
use crate::constants;
use crate::proto::{self, worker_faults_server, worker_server};
use crate::rpc;
use crate::utils::drain::Drain;
use crate::utils::hash::mix;
use crate::utils::{clock, listen};
use crate::web::server::Limits;
use crate::web::{self, Reply};

/// Range in which the time of requests varies around its mean, in thousandths.
const JITTER: u64 = 300;

/// Options of a stand-in worker.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of its endpoint.
    pub http: SocketAddr,
    /// Address of its control RPC.
    pub rpc: SocketAddr,
    /// Capacity.
    pub shape: Shape,
    /// Microseconds that a request takes without interference; a header can ask for more.
    pub service_time: u64,
    /// False for a worker that accepts calls whatever their epoch, round or time.
    pub fencing: bool,
}

/// A worker and its time per request; clones share the worker.
#[derive(Clone)]
struct SharedWorker {
    worker: Arc<Mutex<Worker>>,
    service_time: u64,
}

impl SharedWorker {
    fn worker(&self) -> MutexGuard<'_, Worker> {
        self.worker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[tonic::async_trait]
impl worker_server::Worker for SharedWorker {
    async fn sync(
        &self,
        request: Request<proto::SyncRequest>,
    ) -> Result<Response<proto::SyncReply>, Status> {
        let request = request.into_inner();
        let sync = SyncRequest {
            epoch: request.epoch,
            round: request.round,
            lease: request.lease,
            not_after: request.not_after,
            acks: request.acks,
        };
        let now = clock::now();
        let mut worker = self.worker();
        let reports = worker.sync(now, clock::wall(), &sync);
        let (tickets, foreign) = worker.request_tickets();
        let samples = worker.take_due_samples(now);
        let samples = samples.into_iter().map(|(age, s)| proto::Sample {
            age,
            kind: s.kind.to_string(),
            others: s.others.iter().map(|o| o.to_string()).collect(),
            slowdown: (s.slowdown * f64::from(constants::PER_MILLE)) as u32,
            busy: s.busy,
        });
        Ok(Response::new(proto::SyncReply {
            refused: reports.is_none(),
            epoch: worker.epoch,
            shape: Some(shape_message(worker.shape)),
            tickets,
            foreign,
            runs: reports
                .unwrap_or_default()
                .iter()
                .map(run_message)
                .collect(),
            samples: samples.collect(),
            leaving: worker.leaving,
        }))
    }

    async fn start(
        &self,
        request: Request<proto::StartRequest>,
    ) -> Result<Response<proto::RunReply>, Status> {
        let request = request.into_inner();
        let size = request.size.unwrap_or_default();
        let run = WorkerRun {
            id: request.run,
            job: request.job.into(),
            task: request.task,
            kind: request.kind.into(),
            size: Size {
                cores: size.cores,
                memory: size.memory,
                accelerators: size.accelerators,
            },
            share: request.share.clamp(1, constants::PER_MILLE),
            state: RunState::Running,
            work: request.work,
            done: request.done as f64,
            saved: request.done,
            lease_end: 0,
        };
        let start = Start {
            epoch: request.epoch,
            round: request.round,
            lease: request.lease,
            not_after: request.not_after,
            run,
        };
        let result = self.worker().start(clock::now(), clock::wall(), start);
        Ok(Response::new(run_reply(result.map(|()| 0))))
    }

    async fn stop(
        &self,
        request: Request<proto::StopRequest>,
    ) -> Result<Response<proto::RunReply>, Status> {
        let order = request.into_inner();
        let result = self
            .worker()
            .stop(clock::now(), order.epoch, order.run, order.checkpoint);
        Ok(Response::new(run_reply(result)))
    }

    async fn throttle(
        &self,
        request: Request<proto::ThrottleRequest>,
    ) -> Result<Response<proto::RunReply>, Status> {
        let order = request.into_inner();
        let result = self
            .worker()
            .throttle(clock::now(), order.epoch, order.run, order.share);
        Ok(Response::new(run_reply(result.map(|()| 0))))
    }
}

#[tonic::async_trait]
impl worker_faults_server::WorkerFaults for SharedWorker {
    async fn set(
        &self,
        request: Request<proto::WorkerFault>,
    ) -> Result<Response<proto::WorkerFaultReply>, Status> {
        let request = request.into_inner();
        let mut worker = self.worker();
        worker.faults.fail_runs = request.fail_tasks;
        worker.faults.request_delay = request.slow_ms;
        worker.leaving = request.leaving;
        Ok(Response::new(proto::WorkerFaultReply {}))
    }

    async fn count(
        &self,
        _: Request<proto::WorkerCountRequest>,
    ) -> Result<Response<proto::WorkerCountReply>, Status> {
        let worker = self.worker();
        let counts = &worker.counts;
        let ids = counts.request_ids.iter().map(|(id, count)| proto::IdCount {
            id: id.to_string(),
            count: *count,
        });
        Ok(Response::new(proto::WorkerCountReply {
            requests: counts.requests,
            peak: counts.peak_requests,
            overloads: counts.capacity_refusals,
            fenced: counts.fenced_calls,
            doubled: counts.duplicate_starts,
            starts: counts.starts,
            ids: ids.collect(),
            running: worker
                .runs
                .values()
                .filter(|r| r.state == RunState::Running)
                .count() as u32,
        }))
    }
}

fn shape_message(shape: Shape) -> proto::Shape {
    proto::Shape {
        slots: shape.slots,
        connections: shape.connections,
        cores: shape.cores,
        memory: shape.memory,
        accelerators: shape.accelerators,
    }
}

fn run_message(report: &RunReport) -> proto::Run {
    let state = match report.state {
        RunState::Running => proto::RunState::Running,
        RunState::Finished => proto::RunState::Finished,
        RunState::Failed => proto::RunState::Failed,
        RunState::Stopped => proto::RunState::Stopped,
    };
    proto::Run {
        run: report.id,
        job: report.job.to_string(),
        task: report.task,
        state: state.into(),
        progress: report.progress,
        size: Some(proto::Size {
            cores: report.size.cores,
            memory: report.size.memory,
            accelerators: report.size.accelerators,
        }),
        kind: report.kind.to_string(),
        throttle: report.share,
        usage: report.usage,
    }
}

fn run_reply(result: Result<u64, Refusal>) -> proto::RunReply {
    proto::RunReply {
        done: result.is_ok(),
        reason: result
            .err()
            .map(refusal_name)
            .unwrap_or_default()
            .to_string(),
        progress: result.unwrap_or(0),
    }
}

fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Fenced => "fenced",
        Refusal::Full => "full",
        Refusal::Leaving => "leaving",
        Refusal::Missing => "missing",
    }
}

async fn handle_request(shared: SharedWorker, request: web::Request) -> Reply {
    let headers = &request.headers;
    let ticket = number(headers, constants::TICKET);
    let active = ActiveRequest {
        ticket,
        epoch: number(headers, constants::EPOCH),
        service: text(headers, constants::SERVICE).into(),
    };
    let epoch = active.epoch;
    let not_after = match number(headers, constants::NOT_AFTER) {
        0 => u64::MAX,
        at => at,
    };
    let service = active.service.clone();
    let admitted = {
        let mut worker = shared.worker();
        worker
            .begin_request(clock::now(), clock::wall(), active, not_after)
            .map(|()| worker.slowdown(&service))
    };
    let slowdown = match admitted {
        Ok(slowdown) => slowdown,
        Err(refusal) => return refusal_reply(refusal),
    };
    let id = text(headers, constants::ID);
    if !id.is_empty() {
        shared.worker().record_request_id(id.into());
    }
    let requested = number(headers, constants::WORK).max(shared.service_time);
    let jitter = 1_000 - JITTER / 2 + mix(ticket ^ epoch) % JITTER;
    let micros = (requested as f64 * slowdown * jitter as f64 / 1_000.0) as u64;
    let delay = shared.worker().faults.request_delay * 1_000;
    if micros + delay > 0 {
        monoio::time::sleep(Duration::from_micros(micros + delay)).await;
    }
    shared.worker().finish_request(ticket, epoch);
    let mut reply = Reply {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: echo(id, &request.body),
    };
    if let Some(trace) = headers.get(constants::TRACEPARENT) {
        reply.headers.insert(constants::TRACEPARENT, trace.clone());
    }
    reply
}

/// Returns the id and the body of a request, so that a caller can match the reply to its request.
fn echo(id: &str, body: &Bytes) -> Bytes {
    if id.is_empty() {
        return body.clone();
    }
    let mut reply = format!("{id}\n").into_bytes();
    reply.extend_from_slice(body);
    Bytes::from(reply)
}

/// Returns the reply to a request that was refused before it ran.
fn refusal_reply(refusal: Refusal) -> Reply {
    let mut reply = Reply::text(StatusCode::SERVICE_UNAVAILABLE, refusal_name(refusal));
    let verdict = http::HeaderValue::from_static("not-run");
    reply.headers.insert(constants::VERDICT, verdict);
    let reason = http::HeaderValue::from_static(Reason::Refused.as_str());
    reply.headers.insert(constants::REASON, reason);
    reply
}

fn text<'h>(headers: &'h HeaderMap, name: &str) -> &'h str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
}

fn number(headers: &HeaderMap, name: &str) -> u64 {
    text(headers, name).parse().unwrap_or(0)
}

/// Serves a worker without end.
pub async fn serve(options: Options) -> eyre::Result<()> {
    let mut worker = Worker::new(options.shape);
    worker.faults.fencing = options.fencing;
    let shared = SharedWorker {
        worker: Arc::new(Mutex::new(worker)),
        service_time: options.service_time,
    };
    let web = listen::bind(options.http)?;
    let control = listen::bind(options.rpc)?;
    let limits = Limits {
        head: 64 << 10,
        body: 64 << 20,
        connections: options.shape.connections as usize,
        memory: 1 << 30,
        idle: 600_000,
        request: 600_000,
        stall: 600_000,
        answer: 600_000,
    };
    let endpoint = shared.clone();
    let handle = move |request| handle_request(endpoint.clone(), request);
    monoio::spawn(web::server::serve(web, limits, Drain::never(), handle));
    let calls = worker_server::WorkerServer::new(shared.clone());
    let faults = worker_faults_server::WorkerFaultsServer::new(shared);
    rpc::server::serve(control, Drain::never(), move |request| {
        let (mut calls, mut faults) = (calls.clone(), faults.clone());
        async move {
            use tower_service::Service;
            let service = request
                .uri()
                .path()
                .split('/')
                .nth(1)
                .unwrap_or("")
                .to_string();
            let reply = match service.as_str() {
                "willowpoint.v1.Worker" => calls.call(request).await,
                "willowpoint.v1.WorkerFaults" => faults.call(request).await,
                _ => return rpc::server::unimplemented(),
            };
            reply.unwrap_or_else(|never| match never {})
        }
    })
    .await;
    Ok(())
}
