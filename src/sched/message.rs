//! What the owner is told and what it asks for.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::history::HistoryPage;
use super::incarnation::{BootTime, Incarnation};
use super::job::{JobState, Queue, StepKey, TaskKey};
use super::spec::JobSpec;
use super::worker::Listing;
use crate::cordons::Halls;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Names the caller's side of a request until it is answered.
pub type Ticket = u64;

/// A caller's request about jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRequest {
    /// Accept and keep a job.
    Submit {
        /// Id chosen by the caller.
        id: Name,
        /// What is to run.
        spec: Box<JobSpec>,
        /// Queue as configured now.
        queue: Queue,
    },
    /// Cancel a job.
    Cancel(Name),
    /// Tell how far a job is.
    Show(Name),
    /// Count the jobs of a queue of which no task has begun.
    Count(Name),
}

impl JobRequest {
    /// Returns the id of the job or the name of the queue that is asked about.
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
    /// The job is accepted and kept.
    Accepted,
    /// The cancel is kept.
    Cancelled,
    /// How far the job is.
    State(JobState),
    /// No such job.
    Unknown,
    /// Jobs of the queue that have not begun.
    Waiting(u64),
    /// Nothing was done; come back after so many milliseconds.
    Refused(Millis),
    /// It may or may not have been done.
    InDoubt,
    /// The request itself is wrong; what is wrong with it.
    Invalid(String),
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint; empty for none.
    pub checkpoint: Name,
    /// Percent of its work that is done; of a lasting task, its speed once it is at work.
    pub progress: u32,
    /// Processor share in use, or the latency tail in milliseconds of a
    /// serving task, over the last half second.
    pub gauge: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped as ordered.
    Stopped,
    /// The worker's lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// An ended run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end, counted from the start of the worker's incarnation.
    pub number: u64,
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Last checkpoint; empty for none.
    pub checkpoint: Name,
}

/// Everything a worker tells in one exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Time on the worker's clock.
    pub clock: Millis,
    /// When the worker started.
    pub boot: BootTime,
    /// Runs there.
    pub running: Vec<ActiveRun>,
    /// Ends that were not acknowledged yet, 500 at most.
    pub ended: Vec<EndedRun>,
}

/// What a worker tells with its answer to an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderAck {
    /// Time on the worker's clock.
    pub clock: Millis,
    /// When the worker started.
    pub boot: BootTime,
}

/// Why a worker did not do what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a newer owner.
    Fenced,
    /// The run is not above one that ended or was stopped there.
    Old,
    /// The lease in the order had ended already.
    Late,
    /// The task does not fit.
    Full,
    /// It needs a permit, and the one that the order brought does not hold.
    NoPermit,
    /// It does not take the order, for another reason.
    Unfit,
    /// It is unhealthy and did nothing.
    Unwell,
    /// Another incarnation of the worker answers at this address.
    Replaced,
}

/// How an order to a worker went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<T> {
    /// Done, with the worker's word.
    Ok(T),
    /// Not done.
    Refused(Refusal),
    /// Not sent.
    NotSent,
    /// No answer: it may be done, now or later.
    Lost,
}

impl<T> Reply<T> {
    /// Returns the same reply with another word of the worker.
    pub fn map<U>(self, word: impl FnOnce(T) -> U) -> Reply<U> {
        match self {
            Self::Ok(value) => Reply::Ok(word(value)),
            Self::Refused(refusal) => Reply::Refused(refusal),
            Self::NotSent => Reply::NotSent,
            Self::Lost => Reply::Lost,
        }
    }
}

/// How a commit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; version of its rows.
    Done(u64),
    /// A condition failed; what the owner's row holds now.
    Conflict(Option<(u64, Bytes)>),
    /// It had no effect and will have none.
    NotDone,
    /// It may take effect, now or later.
    Unknown,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Table of the row.
    pub table: &'static str,
    /// Key of the row.
    pub key: Name,
    /// New value; none removes the row.
    pub value: Option<Bytes>,
}

/// Which workers may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// Ids of workers, each with the permit that a start there has to bring.
    pub permits: Vec<(Name, Name)>,
    /// Milliseconds for which that holds.
    pub valid_for: Millis,
}

/// A question to the advisor of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Its name.
    pub name: String,
    /// Ids of the workers that it is about.
    pub workers: Vec<Name>,
}

/// What the directory says under the id of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEntry {
    /// A worker that may be used.
    Listed(Listing),
    /// Something that names no worker to use, as another writer may leave it.
    Unusable,
    /// Nothing any more.
    Removed,
}

/// What the owner is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks.
    Request(Ticket, JobRequest),
    /// The whole directory was read.
    Directory(Vec<(Name, DirectoryEntry)>),
    /// Entries of the directory changed.
    DirectoryChanged(Vec<(Name, DirectoryEntry)>),
    /// These halls are cordoned, and no others.
    Cordoned(Halls),
    /// An exchange ended.
    Polled(Poll, Reply<Report>),
    /// A start ended.
    Started(TaskKey, u32, Incarnation, Reply<OrderAck>),
    /// A stop ended.
    Stopped(TaskKey, u32, Incarnation, Reply<OrderAck>),
    /// A change of speed ended.
    Throttled(TaskKey, u32, u32, Incarnation, Reply<OrderAck>),
    /// A question about these workers to the advisor ended.
    Advised(StepKey, Vec<Name>, Reply<Advice>),
    /// A commit ended.
    CommitEnded(u64, CommitOutcome),
    /// Jobs that are over were read.
    History(HistoryPage),
    /// Time passes.
    Tick,
}

impl Event {
    /// Returns the name of its kind.
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
}

/// An exchange with a worker: extends its lease and asks for its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The worker, as it is known to have started.
    pub incarnation: Incarnation,
    /// When it was sent, on the clock of this box.
    pub sent: Millis,
    /// Where it is.
    pub address: SocketAddr,
    /// End of the lease on its clock; none leaves it as it is.
    pub lease: Option<Millis>,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Highest end that may be forgotten; 0 for none.
    pub acknowledged: u64,
    /// Milliseconds that it may wait for an end.
    pub wait: Millis,
}

/// A start of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub key: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker, as it is known to have started.
    pub incarnation: Incarnation,
    /// Where it is.
    pub address: SocketAddr,
    /// Name of the task.
    pub task: String,
    /// Text of the job.
    pub text: Name,
    /// End of the lease on the worker's clock.
    pub lease: Millis,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Name,
    /// Permit of the advisor to run it there; empty where none is needed.
    pub permit: Name,
}

/// A stop of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The task.
    pub key: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker, as it is known to have started.
    pub incarnation: Incarnation,
    /// Where it is.
    pub address: SocketAddr,
    /// Name of the task.
    pub task: String,
    /// Epoch of the owner.
    pub epoch: u64,
}

/// A change of the speed of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// The task.
    pub key: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker, as it is known to have started.
    pub incarnation: Incarnation,
    /// Where it is.
    pub address: SocketAddr,
    /// Name of the task.
    pub task: String,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Share of its full speed at which it may work, in percent.
    pub percent: u32,
}

/// What the owner asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller.
    Reply(Ticket, Answer),
    /// Exchange with a worker.
    Poll(Poll),
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Change the speed of a run.
    Throttle(Throttle),
    /// Ask the advisor.
    RequestAdvice(AdviceRequest),
    /// Write rows, on the condition that the owner's row has this version.
    Commit {
        /// Number of the commit.
        number: u64,
        /// Version that the owner's row must have.
        version: u64,
        /// Rows to write, the owner's row among them.
        writes: Vec<Write>,
    },
}
