//! State machine of an entry box: routes requests, owns cells and follows the configuration.
//!
//! [`Engine`] performs no I/O and reads no clock: [`Engine::step`] takes an event and the current
//! time and returns actions. The surrounding tasks perform the actions and report their outcomes
//! as further events. Randomised simulations drive the same code.

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

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the box.
    pub name: Name,
    /// Number that differs at each start of the box.
    pub boot: u64,
    /// RPC address for other boxes.
    pub rpc: SocketAddr,
    /// Hall of the box.
    pub hall: Name,
    /// Durations of leases and promises.
    pub lease_timings: LeaseTimings,
    /// Intervals of periodic work.
    pub intervals: Intervals,
    /// Scheduling policy for requests and tasks.
    pub policy: crate::cell::Policy,
    /// Retention time and clock skew for deduplication.
    pub dedup_timings: DedupTimings,
}

/// Time of an event, on the boot-time clock and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Milliseconds since boot, including time in which the machine was suspended.
    pub millis: Millis,
    /// Microseconds since boot, including time in which the machine was suspended.
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

/// Heartbeat message between boxes, with the load and the recent moves of the sender's cells.
#[derive(Clone, Debug, PartialEq)]
pub struct Greeting {
    /// Incarnation of the sender.
    pub from: Name,
    /// RPC address of the sender.
    pub rpc: SocketAddr,
    /// Hall of the sender.
    pub hall: Name,
    /// Version of the sender's active configuration.
    pub config: u64,
    /// True if the sender is stopping.
    pub stopping: bool,
    /// Incarnation that the sender asks for a promise not to take over, if any.
    pub ask: Option<Name>,
    /// Time of sending, on the sender's clock.
    pub sent: Millis,
    /// Number of cells that the sender has ever acquired or released. If it has grown by more
    /// than the rows in `moved`, the receiver rereads the owners of all cells.
    pub moves: u64,
    /// Rows of the latest of these cells, listed for a few heartbeats after a change.
    pub moved: Vec<VersionedCell>,
    /// Loads of the sender's cells.
    pub loads: Vec<CellLoad>,
}

/// Outcome of forwarding a request to another box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The complete answer was received.
    Answered,
    /// The request was not run.
    NotRun {
        /// Why the request was not run.
        reason: Reason,
        /// Milliseconds after which the caller may retry.
        retry_after: Millis,
        /// Number of retries that the request has left.
        retries: u32,
    },
    /// The request may have run.
    Unknown,
}

/// Result of a request as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint has answered; its answer is passed on.
    Answer,
    /// The request was not run.
    NotRun {
        /// Why the request was not run.
        reason: Reason,
        /// Milliseconds after which the caller may retry.
        retry_after: Millis,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: &'static str,
    },
}

/// Outcome of a call to a worker.
#[derive(Clone, Debug)]
pub enum WorkerCallOutcome {
    /// A poll of the worker's state.
    Polled {
        /// Time of sending, in ms on the boot-time clock.
        sent: Millis,
        /// Round number of the poll.
        round: u64,
        /// Ended runs that the poll acknowledged.
        acks: Vec<RunId>,
        /// Outcome of the poll.
        outcome: PollOutcome,
    },
    /// A start of a run.
    Started(RunId, CallOutcome),
    /// A stop of a run.
    Stopped(RunId, CallOutcome),
    /// A throttle of a run, with the share of its cores in thousandths.
    Throttled(RunId, u32, CallOutcome),
}

/// Input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer has fired.
    Tick,
    /// A caller's request arrived.
    Request {
        /// Number of the request on this box.
        ticket: u64,
        /// Checked headers of the request.
        meta: Meta,
    },
    /// A request arrived that another box has forwarded.
    Forwarded {
        /// Number of the request on this box.
        ticket: u64,
        /// Checked headers of the request.
        meta: Meta,
        /// Cell in which the request runs. If `None`, this box owns the dedup shard and chooses a
        /// cell.
        cell: Option<Name>,
        /// Dedup shard of the request's id; `None` for a repeatable request.
        dedup_shard: Option<Name>,
        /// Epoch of the dedup shard that admitted the request, or 0 if this box deduplicates it.
        epoch: u64,
    },
    /// A send to a worker's endpoint ended.
    SendEnded {
        /// Number of the request.
        ticket: u64,
        /// Outcome of the send.
        outcome: SendOutcome,
    },
    /// A forward to another box ended.
    ForwardEnded {
        /// Number of the request.
        ticket: u64,
        /// Outcome of the forward.
        outcome: ForwardOutcome,
    },
    /// A call to the table ended.
    TableCallEnded {
        /// Number of the call.
        op: u64,
        /// Time of sending, in ms on the boot-time clock.
        sent: Millis,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// A read of the list of workers ended; `None` if it failed.
    WorkersListed(Option<Vec<ListedWorker>>),
    /// A call to a worker ended.
    WorkerCallEnded {
        /// Cell of the worker.
        cell: Name,
        /// Epoch of the cell under which the call was made.
        epoch: u64,
        /// Name of the worker.
        worker: Name,
        /// Outcome of the call.
        outcome: WorkerCallOutcome,
    },
    /// A greeting of another box arrived.
    GreetingReceived {
        /// Number of the greeting on this box.
        ticket: u64,
        /// The greeting.
        greeting: Greeting,
    },
    /// A greeting to another box ended.
    GreetingEnded {
        /// Incarnation of the receiver.
        to: Name,
        /// Time of sending, in ms on the boot-time clock.
        sent: Millis,
        /// Greeting in the reply and whether the promise was given; `None` without a reply.
        reply: Option<(Greeting, bool)>,
    },
    /// A fetch of a peer's configuration ended; `None` if it failed.
    SnapshotEnded(Option<Config>),
    /// Job shards were added to cells, or jobs were cancelled.
    Hint {
        /// Cells with new job shards.
        cells: Vec<Name>,
        /// Cancelled jobs.
        cancelled: Vec<Name>,
    },
    /// A view of the state is requested.
    Query {
        /// Number of the query on this box.
        ticket: u64,
        /// Requested view.
        query: Query,
    },
    /// A planned stop is requested.
    Stop,
}

/// Output of the engine: an operation for the surrounding tasks to perform.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a worker's endpoint, unless the lease of this box has ended by then.
    Send {
        /// Number of the request.
        ticket: u64,
        /// Cell of the worker.
        cell: Name,
        /// Epoch of the cell.
        epoch: u64,
        /// Address of the endpoint.
        http: SocketAddr,
        /// Milliseconds until the deadline of the request.
        time_left: Millis,
    },
    /// Forward a request to another box.
    Forward {
        /// Number of the request.
        ticket: u64,
        /// RPC address of the box.
        to: SocketAddr,
        /// Headers of the request, with its remaining time and retries.
        meta: Meta,
        /// Cell in which the request runs; `None` if the receiver is to choose.
        cell: Option<Name>,
        /// Dedup shard of the request's id; `None` for a repeatable request.
        dedup_shard: Option<Name>,
        /// Epoch of the dedup shard that admitted the request, or 0.
        epoch: u64,
    },
    /// Answer a request.
    Finish {
        /// Number of the request.
        ticket: u64,
        /// Result for the caller or the box that forwarded the request.
        verdict: Verdict,
        /// Number of retries that the request has left.
        retries: u32,
    },
    /// Call the table.
    CallTable {
        /// Number of the call.
        op: u64,
        /// Operation on the table.
        call: Call,
    },
    /// Read the list of workers.
    ListWorkers,
    /// Call a worker.
    CallWorker {
        /// Cell of the worker.
        cell: Name,
        /// Epoch of the cell.
        epoch: u64,
        /// Action that the cell requests.
        action: crate::cell::Action,
    },
    /// Send a greeting to another box.
    Greet {
        /// Incarnation of the receiver.
        to: Name,
        /// RPC address of the receiver.
        rpc: SocketAddr,
        /// The greeting.
        greeting: Greeting,
    },
    /// Answer a greeting.
    AnswerGreeting {
        /// Number of the received greeting.
        ticket: u64,
        /// Greeting of this box for the reply.
        greeting: Greeting,
        /// True if this box gives the requested promise.
        promised: bool,
    },
    /// Fetch the whole configuration from the box at this RPC address.
    FetchSnapshot(SocketAddr),
    /// Notify another box of new job shards or cancelled jobs.
    Hint {
        /// RPC address of the box.
        rpc: SocketAddr,
        /// Cells with new job shards.
        cells: Vec<Name>,
        /// Cancelled jobs.
        cancelled: Vec<Name>,
    },
    /// Answer a query.
    AnswerQuery {
        /// Number of the query.
        ticket: u64,
        /// Requested view of the state.
        view: View,
    },
    /// Close idle connections to the endpoints of a cell that this box no longer owns.
    Disconnect(Vec<SocketAddr>),
    /// Drain the servers and exit: the planned stop is complete except for requests that the
    /// servers have already read.
    Exit {
        /// Time limit for the drain, in ms.
        within: Millis,
    },
}

/// Returns the maximum of the shapes in each dimension.
pub fn max_shape(shapes: impl Iterator<Item = Shape>) -> Shape {
    shapes.fold(Shape::default(), |max, shape| Shape {
        slots: max.slots.max(shape.slots),
        connections: max.connections.max(shape.connections),
        cores: max.cores.max(shape.cores),
        memory: max.memory.max(shape.memory),
        accelerators: max.accelerators.max(shape.accelerators),
    })
}
