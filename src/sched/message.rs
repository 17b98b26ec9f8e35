//! The owner's messages: events that it receives, and actions that it returns.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::history::HistoryPage;
use super::incarnation::{BootTime, Incarnation};
use super::job::{JobState, Queue, StepKey, TaskKey};
use super::sequence::Sequence;
use super::spec::JobSpec;
use super::worker::Listing;
use crate::cordons::Halls;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Number that identifies a caller's pending request.
pub type Ticket = u64;

/// A caller's request about jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Accepts and stores a job.
    Submit {
        /// Id chosen by the caller.
        id: Name,
        /// The job's specification.
        spec: Box<JobSpec>,
        /// The queue as configured when the job was submitted.
        queue: Queue,
    },
    /// Cancels the job with this id.
    Cancel(Name),
    /// Asks for the state of the job with this id.
    Show(Name),
    /// Counts the jobs of the named queue of which no task has started.
    Count(Name),
}

impl JobRequest {
    /// Returns the bytes that the description of a submitted job takes in memory.
    pub fn memory(&self) -> usize {
        match self {
            Self::Submit { spec, .. } => spec.memory(),
            Self::Cancel(_) | Self::Show(_) | Self::Count(_) => 0,
        }
    }

    /// Returns the id of the job or the name of the queue that the request concerns.
    pub fn subject(&self) -> &Name {
        match self {
            Self::Submit { id, .. } => id,
            Self::Cancel(name) | Self::Show(name) | Self::Count(name) => name,
        }
    }
}

/// The answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is accepted and stored.
    Accepted,
    /// The cancellation is stored, or the job was already over.
    Cancelled,
    /// State of the job.
    State(JobState),
    /// The job does not exist.
    Unknown,
    /// Number of the queue's jobs that have not started.
    Waiting(u64),
    /// Nothing was done; the caller may retry after this many milliseconds.
    Refused(Millis),
    /// The outcome is unknown: the request may or may not have taken effect.
    InDoubt,
    /// The request is invalid, with the reasons.
    Invalid(String),
}

/// A run that a worker reports as present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint; empty for none.
    pub checkpoint: Name,
    /// Percent of the work that is done; for a lasting task, its speed in percent once it is ready.
    pub progress: u32,
    /// Thousandths of cores in use, or the tail latency in milliseconds of a serving task, over
    /// the last half second.
    pub gauge: u64,
}

/// The outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It completed its work.
    Done,
    /// It failed, because of the task or of the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended before it.
    Broken,
    /// The other members of its gang did not arrive in time.
    Alone,
    /// The worker reported an outcome that this build can't decode.
    Unknown,
}

/// A run that ended on a worker, with the outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the completion, counted from the start of the worker's incarnation.
    pub number: u64,
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// Outcome of the run.
    pub outcome: RunOutcome,
    /// Last checkpoint; empty for none.
    pub checkpoint: Name,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Time on the worker's clock, in milliseconds.
    pub clock: Millis,
    /// When the worker started.
    pub boot: BootTime,
    /// Runs on the worker.
    pub running: Vec<ActiveRun>,
    /// Completions that are not acknowledged yet, at most 500.
    pub ended: Vec<EndedRun>,
    /// Number of rows that can't be decoded and are in neither list.
    pub unreadable: usize,
}

/// A worker's answer to an order that it carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderAck {
    /// Time on the worker's clock, in milliseconds.
    pub clock: Millis,
    /// When the worker started.
    pub boot: BootTime,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has received an order with a higher fence.
    Fenced,
    /// A run of the task with the same or a higher number ended or was stopped on the worker.
    Old,
    /// The lease in the order had already expired.
    Late,
    /// The task does not fit into the worker's free resources.
    Full,
    /// The task needs a permit, and the permit in the order is not valid.
    NoPermit,
    /// The worker refused the order for another reason.
    Unfit,
    /// The worker is unhealthy and did nothing.
    Unwell,
    /// Another incarnation of the worker answers at this address.
    Replaced,
}

/// The result of a call to a worker or to the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<T> {
    /// The call was carried out, with this answer.
    Ok(T),
    /// The call was refused.
    Refused(Refusal),
    /// The call was not sent.
    NotSent,
    /// The call was not sent, as no process listens at the address.
    NotListening,
    /// The call has no answer: it may take effect, now or later.
    Lost,
}

impl<T> Reply<T> {
    /// Converts the answer of a call that was carried out.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Reply<U> {
        match self {
            Self::Ok(value) => Reply::Ok(convert(value)),
            Self::Refused(refusal) => Reply::Refused(refusal),
            Self::NotSent => Reply::NotSent,
            Self::NotListening => Reply::NotListening,
            Self::Lost => Reply::Lost,
        }
    }
}

/// The outcome of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit took effect; its rows have this version.
    Done(u64),
    /// The condition failed; version and value of the owner's row, none without a row.
    Conflict(Option<(u64, Bytes)>),
    /// The commit had no effect and will have none.
    NotDone,
    /// The commit may take effect, now or later.
    Unknown,
    /// The store refuses the commit for what it contains. It may take effect all the same, as
    /// something between may have answered.
    Refused,
}

/// A change of one row in a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: Name,
    /// New value; `None` removes the row.
    pub value: Option<Bytes>,
}

/// The advisor's answer: which workers may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// Ids of permitted workers, each with the permit that a start there must carry.
    pub permits: Vec<(Name, Name)>,
    /// Milliseconds for which the permits are valid.
    pub valid_for: Millis,
}

/// A query to the advisor of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Name of the step.
    pub name: String,
    /// Ids of the workers to advise on.
    pub workers: Vec<Name>,
}

/// The directory's entry under a worker's id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEntry {
    /// A usable worker.
    Listed(Listing),
    /// An entry that describes no usable worker; other writers may leave one.
    Unusable,
    /// The entry was removed.
    Removed,
}

/// An event that the owner handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Request(Ticket, JobRequest),
    /// The whole directory was read.
    Directory(Vec<(Name, DirectoryEntry)>),
    /// Entries of the directory changed.
    DirectoryChanged(Vec<(Name, DirectoryEntry)>),
    /// The set of cordoned halls, complete.
    Cordoned(Halls),
    /// A poll ended.
    Polled(Poll, Reply<Report>),
    /// The order to start a run ended: task, number of the run, worker and reply.
    Started(TaskKey, u32, Incarnation, Reply<OrderAck>),
    /// The order to stop a run ended: task, number of the run, worker and reply.
    Stopped(TaskKey, u32, Incarnation, Reply<OrderAck>),
    /// The order to change a run's speed ended: task, number of the run, percent, worker and
    /// reply.
    Throttled(TaskKey, u32, u32, Incarnation, Reply<OrderAck>),
    /// A query to the advisor ended: step, workers asked about, and reply.
    Advised(StepKey, Vec<Name>, Reply<Advice>),
    /// The commit with this number ended.
    CommitEnded(u64, CommitOutcome),
    /// A page of finished jobs was read.
    History(HistoryPage),
    /// Time has passed.
    Tick,
}

impl Event {
    /// Returns the name of the event's kind, a label of metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Request(..) => "ask",
            Self::Directory(_) | Self::DirectoryChanged(_) => "directory",
            Self::Cordoned(_) => "cordoned",
            Self::Polled(..) => "held",
            Self::Started(..) => "started",
            Self::Stopped(..) => "stopped",
            Self::Throttled(..) => "paced",
            Self::Advised(..) => "advised",
            Self::CommitEnded(..) => "written",
            Self::History(_) => "past",
            Self::Tick => "tick",
        }
    }

    /// Returns true for an event that ends a call to a worker.
    pub fn ends_call(&self) -> bool {
        matches!(
            self,
            Self::Polled(..) | Self::Started(..) | Self::Stopped(..) | Self::Throttled(..)
        )
    }
}

/// A poll of a worker: extends its lease and asks for its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The worker's incarnation that the poll is meant for.
    pub incarnation: Incarnation,
    /// Position of the poll among all polls and events; identifies it.
    pub sequence: Sequence,
    /// When the poll was sent, in milliseconds on the clock of this box.
    pub sent: Millis,
    /// Address of the worker.
    pub address: SocketAddr,
    /// End of the lease on the worker's clock; `None` leaves the lease as it is.
    pub lease: Option<Millis>,
    /// Fence: the worker does nothing if it has seen a higher one.
    pub fence: u64,
    /// Highest acknowledged completion, 0 for none; the worker may forget completions up to it.
    pub acknowledged: u64,
    /// Milliseconds that the worker may wait for a completion before it answers.
    pub wait: Millis,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub key: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker's incarnation that the order is meant for.
    pub incarnation: Incarnation,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Name of the task.
    pub task: String,
    /// Opaque text of the job, handed to the worker.
    pub payload: Name,
    /// End of the lease on the worker's clock.
    pub lease: Millis,
    /// Fence: the worker does nothing if it has seen a higher one.
    pub fence: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Name,
    /// The advisor's permit to run the task on the worker; empty where none is needed.
    pub permit: Name,
}

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The task.
    pub key: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker's incarnation that the order is meant for.
    pub incarnation: Incarnation,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Name of the task.
    pub task: String,
    /// Fence: the worker does nothing if it has seen a higher one.
    pub fence: u64,
}

/// An order to change the speed of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// The task.
    pub key: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker's incarnation that the order is meant for.
    pub incarnation: Incarnation,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Name of the task.
    pub task: String,
    /// Fence: the worker does nothing if it has seen a higher one.
    pub fence: u64,
    /// Percent of full speed at which the run may work.
    pub percent: u32,
}

/// An action that the owner returns and the code that drives it carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answers a caller.
    Reply(Ticket, Answer),
    /// Polls a worker.
    Poll(Poll),
    /// Starts a run.
    Start(Start),
    /// Stops a run.
    Stop(Stop),
    /// Changes the speed of a run.
    Throttle(Throttle),
    /// Sends a query to the advisor.
    RequestAdvice(AdviceRequest),
    /// Writes rows on the condition that the owner's row has the given version.
    Commit {
        /// Number of the commit.
        number: u64,
        /// Version that the owner's row must have.
        version: u64,
        /// Rows to write, the owner's row among them.
        writes: Vec<Write>,
    },
}

impl Action {
    /// Returns true for an action that begins a call to a worker.
    pub fn begins_call(&self) -> bool {
        matches!(
            self,
            Self::Poll(_) | Self::Start(_) | Self::Stop(_) | Self::Throttle(_)
        )
    }
}
