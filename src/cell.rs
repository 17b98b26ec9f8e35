//! What the owner of a cell decides: which worker runs a request or a task,
//! who waits, who yields and who is refused.
//!
//! One [`Cell`] counts the room of its workers in one place. It is plain
//! state: events and the time go in, actions come out.

mod outcome;
mod requests;
mod runs;
mod shard;
mod start;
mod state;
mod throttling;
mod worker;
mod writes;

#[cfg(test)]
mod tests;

pub use crate::interference::{InterferenceEstimates, Sample};
pub use requests::{Class, PendingRequest, SendOutcome};
pub use runs::{CallOutcome, Run, RunId, RunPhase, RunReport, RunState};
pub use shard::{JobShard, TaskState};
pub use state::{Cell, ListedWorker, PollOutcome, PollReply, Quota, SentPoll, Timings};
pub use worker::Worker;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::constants::WHOLE;
use crate::job;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Declared size of one task or request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a core.
    pub cores: u32,
    /// Mebibytes.
    pub memory: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Size {
    /// Returns what is held of it at a share of its cores, in thousandths.
    pub fn with_core_share(self, share: u32) -> Self {
        let cores = u64::from(self.cores) * u64::from(share) / u64::from(WHOLE);
        Self {
            cores: cores as u32,
            ..self
        }
    }
}

impl std::fmt::Display for Size {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let cores = f64::from(self.cores) / 1_000.0;
        let Self {
            memory,
            accelerators,
            ..
        } = self;
        write!(
            f,
            "{cores} cores, {memory} MiB, {accelerators} accelerators"
        )
    }
}

/// What a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Requests at once.
    pub slots: u32,
    /// Connections at once, from all boxes.
    pub connections: u32,
    /// Thousandths of a core.
    pub cores: u32,
    /// Mebibytes.
    pub memory: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Shape {
    /// Returns true when an empty worker of this shape could run it.
    pub fn has_capacity_for(&self, size: Size) -> bool {
        size.cores <= self.cores
            && size.memory <= self.memory
            && size.accelerators <= self.accelerators
    }
}

/// How a worker is chosen among those with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// By learned interference, latency and load: the policy.
    Learned,
    /// The first that fits: a baseline.
    First,
    /// The one with the least in progress: a baseline.
    LeastLoaded,
    /// Any, by a seeded generator: a baseline.
    Random,
    /// Each in turn: a baseline.
    RoundRobin,
}

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Weight of the services' tail against batch throughput, from 0 to 1.
    pub tail_weight: f64,
    /// Requests that may wait in a cell.
    pub queue_limit: usize,
    /// Further sends that one request may make over all hops.
    pub retries: u32,
    /// Deadline in milliseconds of a request that gives none.
    pub default_deadline: Millis,
    /// Share of a worker's cores that batch tasks leave free.
    pub reserve: f64,
    /// Choice of the worker for a request.
    pub request_selection: Selection,
    /// Choice of the worker for a task.
    pub task_selection: Selection,
    /// True when tasks that hurt are throttled, and evicted only after that.
    pub throttling: bool,
    /// Failed runs after which a task is given up.
    pub failure_limit: u32,
    /// Milliseconds of a worker's first quarantine; each further one doubles it.
    pub first_quarantine: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            tail_weight: 0.5,
            queue_limit: 256,
            retries: 2,
            default_deadline: 10_000,
            reserve: 0.1,
            request_selection: Selection::Learned,
            task_selection: Selection::Learned,
            throttling: true,
            failure_limit: 3,
            first_quarantine: 30_000,
        }
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// No worker has room and the queue is too long.
    NoRoom,
    /// The deadline has passed or can't be met.
    Deadline,
    /// Batch gave way to latency-critical requests.
    Shed,
    /// The box does not own the cell, or not any more.
    NotOwner,
    /// The lease lapsed before the request was sent.
    Lapsed,
    /// No endpoint could be reached.
    Unreachable,
    /// The endpoint refused it before running it.
    Refused,
    /// The box is stopping or moving the cell.
    Stopping,
    /// The box has no configuration or no view of the cells yet.
    NotReady,
    /// The service is not in the configuration.
    NoService,
    /// The request itself is malformed.
    Invalid,
}

impl Reason {
    /// Returns the word for headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no-room",
            Self::Deadline => "deadline",
            Self::Shed => "shed",
            Self::NotOwner => "not-owner",
            Self::Lapsed => "lapsed",
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Stopping => "stopping",
            Self::NotReady => "not-ready",
            Self::NoService => "no-service",
            Self::Invalid => "invalid",
        }
    }

    /// Returns the reason for a word, or [`Reason::Refused`].
    pub fn parse(word: &str) -> Self {
        let all = [
            Self::NoRoom,
            Self::Deadline,
            Self::Shed,
            Self::NotOwner,
            Self::Lapsed,
            Self::Unreachable,
            Self::Refused,
            Self::Stopping,
            Self::NotReady,
            Self::NoService,
            Self::Invalid,
        ];
        all.into_iter()
            .find(|r| r.as_str() == word)
            .unwrap_or(Self::Refused)
    }
}

/// What a cell asks to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker.
    Send {
        /// The request.
        ticket: u64,
        /// Name of the worker.
        worker: Name,
        /// Address of its endpoint.
        http: SocketAddr,
    },
    /// Answer a request as not run.
    Refuse {
        /// The request.
        ticket: u64,
        /// Why.
        reason: Reason,
        /// Milliseconds after which to come back.
        retry_after: Millis,
    },
    /// Exchange state with a worker and renew the leases of its runs.
    Poll {
        /// Name of the worker.
        worker: Name,
        /// Address of its control RPC.
        rpc: SocketAddr,
        /// Runs whose end is recorded.
        acks: Vec<RunId>,
        /// True to renew the leases of its runs.
        renew: bool,
        /// Counts exchanges; starts of an earlier round are void after it.
        round: u64,
    },
    /// Start a run.
    Start {
        /// Name of the worker.
        worker: Name,
        /// Address of its control RPC.
        rpc: SocketAddr,
        /// The run.
        run: Run,
        /// Milliseconds of work to do in all.
        work: Millis,
    },
    /// Stop a run.
    Stop {
        /// Name of the worker.
        worker: Name,
        /// Address of its control RPC.
        rpc: SocketAddr,
        /// The run.
        run: RunId,
        /// True to keep its work.
        checkpoint: bool,
    },
    /// Set the share of its cores that a run may use.
    Throttle {
        /// Name of the worker.
        worker: Name,
        /// Address of its control RPC.
        rpc: SocketAddr,
        /// The run.
        run: RunId,
        /// Thousandths.
        share: u32,
    },
    /// Write a job shard's row.
    Write {
        /// Key of the row.
        key: Name,
        /// Version the row must have.
        expected_version: u64,
        /// New contents.
        row: job::JobShardRow,
    },
}
