//! Calls to workers: polls, and starts, stops and throttles of runs.

use std::net::SocketAddr;
use std::rc::Rc;

use super::driver::{Context, Message};
use crate::cell::{
    Action, CallOutcome, PollOutcome, PollReply, Run, RunId, RunReport, RunState, Sample, Shape,
    Size,
};
use crate::constants::PER_MILLE;
use crate::engine::{Event, WorkerCallOutcome};
use crate::proto::{self, worker_client::WorkerClient};
use crate::rpc::client::CallError;
use crate::utils::Name;
use crate::utils::clock::{self, Millis};

/// Time limit of a call in milliseconds, and of connecting before it.
const CALL_TIMEOUT: Millis = 2_000;

/// Worker to call, and the cell and epoch for which the call is made.
struct CallTarget {
    context: Rc<Context>,
    cell: Name,
    epoch: u64,
    rpc: SocketAddr,
}

/// Makes the call for a cell's action and reports the outcome to the engine.
pub async fn call(context: Rc<Context>, cell: Name, epoch: u64, action: Action) {
    let target = |rpc| CallTarget {
        context: context.clone(),
        cell: cell.clone(),
        epoch,
        rpc,
    };
    let (worker, outcome) = match action {
        Action::Poll {
            worker,
            rpc,
            acks,
            renew,
            round,
        } => (worker, poll(target(rpc), acks, renew, round).await),
        Action::Start {
            worker,
            rpc,
            run,
            work,
        } => {
            let id = run.id;
            let outcome = start(target(rpc), run, work).await;
            (worker, WorkerCallOutcome::Started(id, outcome))
        }
        Action::Stop {
            worker,
            rpc,
            run,
            checkpoint,
        } => {
            let outcome = stop(target(rpc), run, checkpoint).await;
            (worker, WorkerCallOutcome::Stopped(run, outcome))
        }
        Action::Throttle {
            worker,
            rpc,
            run,
            share,
        } => {
            let outcome = throttle(target(rpc), run, share).await;
            (worker, WorkerCallOutcome::Throttled(run, share, outcome))
        }
        Action::Send { .. } | Action::Refuse { .. } | Action::Write { .. } => return,
    };
    let event = Event::WorkerCallEnded {
        cell,
        epoch,
        worker,
        outcome,
    };
    context.send(Message::Event(event));
}

impl CallTarget {
    /// Returns the time after which the worker must ignore the call, in ms since the Unix epoch.
    ///
    /// The call is void when this box's lease ends, and before the owner concludes that a lost
    /// start cannot take effect any more.
    fn not_after(&self) -> Millis {
        let task_lease = self.context.settings.intervals.task_lease;
        clock::wall() + self.context.send_time_left().min(task_lease)
    }

    /// Connects, then checks right before the call is sent that this box may still send.
    async fn connect(&self) -> Result<crate::rpc::client::Channel, CallError> {
        let channel = self.context.channel(self.rpc);
        channel.connect(CALL_TIMEOUT).await?;
        match self.context.may_send() {
            true => Ok(channel),
            false => Err(CallError::NotSent("lease lapsed".into())),
        }
    }
}

/// Polls a worker: acknowledges ended runs, renews its runs if `renew`, and reads its state.
async fn poll(target: CallTarget, acks: Vec<RunId>, renew: bool, round: u64) -> WorkerCallOutcome {
    let task_lease = target.context.settings.intervals.task_lease;
    let sent = clock::now();
    let request = proto::SyncRequest {
        cell: target.cell.to_string(),
        epoch: target.epoch,
        lease: if renew { task_lease } else { 0 },
        acks: acks.clone(),
        round,
        not_after: target.not_after(),
    };
    let result = match target.connect().await {
        Ok(channel) => {
            let call = |c| async move { WorkerClient::new(c).sync(request).await };
            channel.call(CALL_TIMEOUT, call).await
        }
        Err(e) => Err(e),
    };
    let outcome = match result {
        Ok(reply) => PollOutcome::Reply(poll_reply(reply)),
        Err(CallError::NotSent(_)) => PollOutcome::NotSent,
        Err(_) => PollOutcome::Lost,
    };
    WorkerCallOutcome::Polled {
        sent,
        round,
        acks,
        outcome,
    }
}

async fn start(target: CallTarget, run: Run, work: Millis) -> CallOutcome {
    let request = proto::StartRequest {
        cell: target.cell.to_string(),
        epoch: target.epoch,
        lease: target.context.settings.intervals.task_lease,
        run: run.id,
        job: run.job.to_string(),
        task: run.task,
        size: Some(proto::Size {
            cores: run.size.cores,
            memory: run.size.memory,
            accelerators: run.size.accelerators,
        }),
        kind: run.kind.to_string(),
        work,
        done: run.saved,
        round: run.poll_round,
        not_after: target.not_after(),
        share: run.share,
    };
    let result = match target.connect().await {
        Ok(channel) => {
            let call = |c| async move { WorkerClient::new(c).start(request).await };
            channel.call(CALL_TIMEOUT, call).await
        }
        Err(e) => Err(e),
    };
    call_outcome(result)
}

async fn stop(target: CallTarget, run: RunId, checkpoint: bool) -> CallOutcome {
    let request = proto::StopRequest {
        cell: target.cell.to_string(),
        epoch: target.epoch,
        run,
        checkpoint,
    };
    let result = match target.connect().await {
        Ok(channel) => {
            let call = |c| async move { WorkerClient::new(c).stop(request).await };
            channel.call(CALL_TIMEOUT, call).await
        }
        Err(e) => Err(e),
    };
    call_outcome(result)
}

async fn throttle(target: CallTarget, run: RunId, share: u32) -> CallOutcome {
    let request = proto::ThrottleRequest {
        cell: target.cell.to_string(),
        epoch: target.epoch,
        run,
        share,
    };
    let result = match target.connect().await {
        Ok(channel) => {
            let call = |c| async move { WorkerClient::new(c).throttle(request).await };
            channel.call(CALL_TIMEOUT, call).await
        }
        Err(e) => Err(e),
    };
    call_outcome(result)
}

fn call_outcome(result: Result<proto::RunReply, CallError>) -> CallOutcome {
    match result {
        Ok(reply) if reply.done => CallOutcome::Done(reply.progress),
        Ok(_) | Err(CallError::NotSent(_)) => CallOutcome::Refused,
        Err(_) => CallOutcome::Lost,
    }
}

/// Converts the reply to a poll from its message.
pub(super) fn poll_reply(reply: proto::SyncReply) -> PollReply {
    PollReply {
        refused: reply.refused,
        shape: shape_from_proto(reply.shape.unwrap_or_default()),
        tickets: reply.tickets,
        foreign_requests: reply.foreign,
        runs: reply.runs.into_iter().map(run_report).collect(),
        samples: reply.samples.into_iter().map(sample_from_proto).collect(),
        leaving: reply.leaving,
    }
}

/// Converts a shape from its message.
pub fn shape_from_proto(shape: proto::Shape) -> Shape {
    Shape {
        slots: shape.slots,
        connections: shape.connections,
        cores: shape.cores,
        memory: shape.memory,
        accelerators: shape.accelerators,
    }
}

/// Converts a run's report from its message. A run in an unknown state counts as running: it is
/// neither taken for lost nor acknowledged as ended.
fn run_report(run: proto::Run) -> RunReport {
    let state = match run.state() {
        proto::RunState::Running | proto::RunState::Unknown => RunState::Running,
        proto::RunState::Finished => RunState::Finished,
        proto::RunState::Failed => RunState::Failed,
        proto::RunState::Stopped => RunState::Stopped,
    };
    let size = run.size.unwrap_or_default();
    RunReport {
        id: run.run,
        job: run.job.into(),
        task: run.task,
        kind: run.kind.into(),
        size: Size {
            cores: size.cores,
            memory: size.memory,
            accelerators: size.accelerators,
        },
        state,
        progress: run.progress,
        share: run.throttle,
        usage: run.usage,
    }
}

fn sample_from_proto(sample: proto::Sample) -> Sample {
    Sample {
        kind: sample.kind.into(),
        others: sample.others.into_iter().map(Name::from).collect(),
        slowdown: f64::from(sample.slowdown) / f64::from(PER_MILLE),
        busy: sample.busy,
    }
}
