//! Decisions of a cell's owner: which worker gets a request or a task, which requests wait
//! or are refused, and which runs are throttled or evicted.
//!
//! A [`Cell`] accounts for the resources of all its workers. It does no I/O: its methods
//! take events and the time, and return actions.

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
pub use requests::{CellRequest, Class, SendOutcome};
pub use runs::{CallOutcome, Run, RunId, RunPhase, RunReport, RunState};
pub use shard::{JobShard, TaskState};
pub use state::{Cell, ListedWorker, PollOutcome, PollReply, Quota, SentPoll, Timings};
pub use worker::Worker;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::constants::PER_MILLE;
use crate::job;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Declared resources of one task or request.
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
    /// Returns the size with its cores scaled to `share` thousandths.
    pub fn with_core_share(self, share: u32) -> Self {
        let cores = u64::from(self.cores) * u64::from(share) / u64::from(PER_MILLE);
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

/// Capacity of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Largest number of concurrent connections from all boxes.
    pub connections: u32,
    /// Thousandths of a core.
    pub cores: u32,
    /// Mebibytes.
    pub memory: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Shape {
    /// Returns true when an empty worker of this shape has the resources for `size`.
    pub fn has_capacity_for(&self, size: Size) -> bool {
        size.cores <= self.cores
            && size.memory <= self.memory
            && size.accelerators <= self.accelerators
    }
}

/// How a worker is chosen among those with enough free resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// By learned interference, latency and load: the production policy.
    Learned,
    /// The first by name; a baseline for benchmarks.
    First,
    /// For a request the one with the fewest requests, for a task the one with the most free
    /// cores; a baseline for benchmarks.
    LeastLoaded,
    /// A random one, from a seeded generator; a baseline for benchmarks.
    Random,
    /// Each in turn; a baseline for benchmarks.
    RoundRobin,
}

/// Settings of a cell's decisions.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Weight of the services' tail latency against batch throughput, from 0 to 1.
    pub tail_weight: f64,
    /// Most requests that may wait in a cell.
    pub queue_limit: usize,
    /// Most retries of one request over all hops.
    pub retries: u32,
    /// Deadline in milliseconds of a request that declares none.
    pub default_deadline: Millis,
    /// Fraction of a worker's cores that tasks leave free, unless they are urgent.
    pub reserve: f64,
    /// Selection of the worker for a request.
    pub request_selection: Selection,
    /// Selection of the worker for a task.
    pub task_selection: Selection,
    /// True when runs that slow down services are throttled before they are evicted.
    pub throttling: bool,
    /// Failed runs after which a task has failed.
    pub failure_limit: u32,
    /// Milliseconds of a worker's first quarantine; each further quarantine doubles it.
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
    /// No worker accepts requests, or the queue is full.
    NoRoom,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// A batch request was removed from a full queue for a latency-critical one.
    Shed,
    /// The box does not own the cell, or no longer owns it.
    NotOwner,
    /// The lease lapsed before the request was sent.
    Lapsed,
    /// No endpoint could be reached.
    Unreachable,
    /// The endpoint refused the request before running it.
    Refused,
    /// The box is stopping or releasing the cell.
    Stopping,
    /// The box has no configuration or knows no cell yet.
    NotReady,
    /// The service is not in the configuration.
    NoService,
    /// The request is malformed.
    Invalid,
}

impl Reason {
    /// Returns the name used in headers, logs and metrics.
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

    /// Returns the reason with a name, or [`Reason::Refused`] for an unknown name.
    pub fn parse(name: &str) -> Self {
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
            .find(|r| r.as_str() == name)
            .unwrap_or(Self::Refused)
    }
}

/// An action that a cell requests from the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a worker.
    Send {
        /// Number of the request.
        ticket: u64,
        /// Name of the worker.
        worker: Name,
        /// Address of its endpoint.
        http: SocketAddr,
    },
    /// Answer a request as not run.
    Refuse {
        /// Number of the request.
        ticket: u64,
        /// Why the request was not run.
        reason: Reason,
        /// Milliseconds after which the caller may retry.
        retry_after: Millis,
    },
    /// Poll a worker for its state, and renew the leases of its runs if `renew`.
    Poll {
        /// Name of the worker.
        worker: Name,
        /// Address of its control RPC.
        rpc: SocketAddr,
        /// Runs whose end is recorded, so that the worker may forget them.
        acks: Vec<RunId>,
        /// True to renew the leases of its runs.
        renew: bool,
        /// Round of the poll; the worker then refuses starts of earlier rounds.
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
        /// Milliseconds of work of the whole task.
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
        /// True to save a checkpoint of its work.
        checkpoint: bool,
    },
    /// Set the share of its declared cores that a run may use.
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
    /// Write the row of a job shard.
    Write {
        /// Key of the row.
        key: Name,
        /// Version that the row must have.
        expected_version: u64,
        /// New content.
        row: job::JobShardRow,
    },
}
