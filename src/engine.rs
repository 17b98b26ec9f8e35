//! The decisions of one entry box, put together.
//!
//! [`Engine`] is plain state without sockets or clocks: an event and the time
//! go in, actions come out. The tasks around it carry the actions out and
//! bring back how they ended. Randomised runs drive the same code.

mod cells;
mod config_sync;
mod in_flight;
mod job_shards;
mod outcomes;
mod ownership;
mod peers;
mod requests;
mod state;
mod table_calls;
mod views;

use std::net::SocketAddr;

use crate::cell::{CallOutcome, ListedWorker, PollOutcome, Reason, RunId, SendOutcome, Shape};
use crate::claim::VersionedCell;
use crate::config::Config;
use crate::dedup::DedupTimings;
use crate::lease::LeaseTimings;
use crate::options::Intervals;
use crate::request::Meta;
use crate::route::CellLoad;
use crate::table::{Call, Outcome};
use crate::utils::Name;
use crate::utils::clock::Millis;

pub use state::Engine;
pub use views::{BoxView, Query, StatusView, TaskView, View, WorkerView};

/// What the decisions need to know from the settings.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the box.
    pub name: Name,
    /// Number that is new at each start.
    pub boot: u64,
    /// Address for other boxes.
    pub rpc: SocketAddr,
    /// Hall in which it stands.
    pub hall: Name,
    /// Lease and promises.
    pub lease_timings: LeaseTimings,
    /// Intervals.
    pub intervals: Intervals,
    /// Decisions about requests and tasks.
    pub policy: crate::cell::Policy,
    /// Retention and clock skew of deduplication.
    pub dedup_timings: DedupTimings,
}

/// The time of an event.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Milliseconds on the steady clock.
    pub millis: Millis,
    /// Microseconds on the steady clock.
    pub micros: u64,
    /// Milliseconds since the Unix epoch.
    pub wall: Millis,
}

impl Now {
    /// Reads the clocks.
    pub fn read() -> Self {
        use crate::utils::clock;
        let micros = clock::micros();
        Self {
            millis: micros / 1_000,
            micros,
            wall: clock::wall(),
        }
    }
}

/// What boxes tell each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Greeting {
    /// Incarnation of the sender.
    pub from: Name,
    /// Address of the sender.
    pub rpc: SocketAddr,
    /// Hall of the sender.
    pub hall: Name,
    /// Version of the configuration in force there.
    pub config: u64,
    /// True when it is stopping.
    pub stopping: bool,
    /// Incarnation that is asked for a promise, if one is.
    pub ask: Option<Name>,
    /// When it was sent, on the sender's clock.
    pub sent: Millis,
    /// Cells that the sender has won and given away; when more than it tells of
    /// are new, the owners are to be read again.
    pub moves: u64,
    /// The last of these, while they are news.
    pub moved: Vec<VersionedCell>,
    /// Load of the sender's cells.
    pub loads: Vec<CellLoad>,
}

/// How a request that was handed to another box ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The whole answer came.
    Answered,
    /// It was not run.
    NotRun {
        /// Why.
        reason: Reason,
        /// Milliseconds after which to come back.
        retry_after: Millis,
        /// Sends that are left to it.
        retries: u32,
    },
    /// It may have run.
    Unknown,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint's whole answer.
    Answer,
    /// It was not run.
    NotRun {
        /// Why.
        reason: Reason,
        /// Milliseconds after which to come back.
        retry_after: Millis,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: &'static str,
    },
}

/// How a call to a worker ended.
#[derive(Clone, Debug)]
pub enum WorkerCallOutcome {
    /// An exchange.
    Polled {
        /// When it was sent.
        sent: Millis,
        /// Its round.
        round: u64,
        /// Ends that it acknowledged.
        acks: Vec<RunId>,
        /// How it ended.
        outcome: PollOutcome,
    },
    /// A start.
    Started(RunId, CallOutcome),
    /// A stop.
    Stopped(RunId, CallOutcome),
    /// A throttle, with its share.
    Throttled(RunId, u32, CallOutcome),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A caller's request came.
    Request {
        /// Number given to it by this box.
        ticket: u64,
        /// What it says of itself.
        meta: Meta,
    },
    /// Another box handed a request over.
    Forwarded {
        /// Number given to it by this box.
        ticket: u64,
        /// What it says of itself.
        meta: Meta,
        /// Cell that is to run it; none for the owner of the dedup shard to choose.
        cell: Option<Name>,
        /// Dedup shard of its id, for a request that is not repeatable.
        dedup_shard: Option<Name>,
        /// Epoch of the dedup shard, or 0 when this box is to deduplicate.
        epoch: u64,
    },
    /// A send to a worker ended.
    SendEnded {
        /// The request.
        ticket: u64,
        /// How it ended.
        outcome: SendOutcome,
    },
    /// A hand-over to another box ended.
    ForwardEnded {
        /// The request.
        ticket: u64,
        /// How it ended.
        outcome: ForwardOutcome,
    },
    /// A call to the table ended.
    TableCallEnded {
        /// Number of the call.
        op: u64,
        /// When it was sent.
        sent: Millis,
        /// How it ended.
        outcome: Outcome,
    },
    /// The list of workers came, or none.
    WorkersListed(Option<Vec<ListedWorker>>),
    /// A call to a worker ended.
    WorkerCallEnded {
        /// Cell of the worker.
        cell: Name,
        /// Epoch under which the call was made.
        epoch: u64,
        /// Name of the worker.
        worker: Name,
        /// How it ended.
        outcome: WorkerCallOutcome,
    },
    /// Another box greets.
    GreetingReceived {
        /// Number of the greeting at this box.
        ticket: u64,
        /// What it says.
        greeting: Greeting,
    },
    /// A greeting was answered, or not.
    GreetingEnded {
        /// Incarnation that was greeted.
        to: Name,
        /// When it was sent.
        sent: Millis,
        /// The answer, and whether the promise was given.
        reply: Option<(Greeting, bool)>,
    },
    /// A peer's whole configuration came, or not.
    SnapshotEnded(Option<Config>),
    /// New job shards lie in cells, or jobs were cancelled.
    Hint {
        /// Cells with new job shards.
        cells: Vec<Name>,
        /// Jobs that were cancelled.
        cancelled: Vec<Name>,
    },
    /// Somebody asks for a view of the state.
    Query {
        /// Number of the question at this box.
        ticket: u64,
        /// What is asked.
        query: Query,
    },
    /// A planned stop begins.
    Stop,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a worker, if the lease still holds right then.
    Send {
        /// The request.
        ticket: u64,
        /// Cell of the worker.
        cell: Name,
        /// Epoch of the ownership.
        epoch: u64,
        /// Address of the endpoint.
        http: SocketAddr,
        /// Milliseconds until its deadline.
        time_left: Millis,
    },
    /// Hand a request to another box.
    Forward {
        /// The request.
        ticket: u64,
        /// Address of the box.
        to: SocketAddr,
        /// What it says of itself, with what is left of its time and sends.
        meta: Meta,
        /// Cell that is to run it.
        cell: Option<Name>,
        /// Dedup shard of its id.
        dedup_shard: Option<Name>,
        /// Epoch of the dedup shard, or 0.
        epoch: u64,
    },
    /// Answer a request.
    Finish {
        /// The request.
        ticket: u64,
        /// What the caller or the handing box is told.
        verdict: Verdict,
        /// Sends that are left to it.
        retries: u32,
    },
    /// Call the table.
    CallTable {
        /// Number of the call.
        op: u64,
        /// The call.
        call: Call,
    },
    /// Read the list of workers.
    ListWorkers,
    /// Call a worker.
    CallWorker {
        /// Cell of the worker.
        cell: Name,
        /// Epoch of the ownership.
        epoch: u64,
        /// What to do.
        action: crate::cell::Action,
    },
    /// Greet another box.
    Greet {
        /// Its incarnation.
        to: Name,
        /// Its address.
        rpc: SocketAddr,
        /// What to say.
        greeting: Greeting,
    },
    /// Answer a greeting.
    AnswerGreeting {
        /// Number of the greeting.
        ticket: u64,
        /// What to say.
        greeting: Greeting,
        /// True when the promise is given.
        promised: bool,
    },
    /// Ask a peer for its whole configuration.
    FetchSnapshot(SocketAddr),
    /// Tell another box of new job shards or cancelled jobs.
    Hint {
        /// Its address.
        rpc: SocketAddr,
        /// Cells with new job shards.
        cells: Vec<Name>,
        /// Jobs that were cancelled.
        cancelled: Vec<Name>,
    },
    /// Answer a question.
    AnswerQuery {
        /// Number of the question.
        ticket: u64,
        /// The view.
        view: View,
    },
    /// Close idle connections to endpoints of a cell that was given up.
    Disconnect(Vec<SocketAddr>),
    /// The planned stop is complete but for what the servers have read.
    Exit {
        /// Milliseconds within which they are to end.
        within: Millis,
    },
}

/// Returns the largest of some shapes, each dimension by itself.
pub fn largest(shapes: impl Iterator<Item = Shape>) -> Shape {
    shapes.fold(Shape::default(), |max, shape| Shape {
        slots: max.slots.max(shape.slots),
        connections: max.connections.max(shape.connections),
        cores: max.cores.max(shape.cores),
        memory: max.memory.max(shape.memory),
        accelerators: max.accelerators.max(shape.accelerators),
    })
}
