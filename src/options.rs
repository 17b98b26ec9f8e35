//! Command-line arguments and settings files, parsed and checked once at the start.

pub mod args;
mod check;
pub mod daemon;
pub mod entry;
mod reader;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use crate::cell::Policy;
use crate::lease::LeaseTimings;
use crate::logs::LogSettings;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::web::server::Limits;

pub use reader::{Finding, is_name};

/// Checks a settings file of either daemon. A file that sets `platform.store` is for the daemon of
/// `serve`, any other one for that of `entry`.
pub fn check_file(path: &str) -> Result<(), Vec<Finding>> {
    let text = entry::read_file(path)?;
    let mut reader = reader::Reader::new(path, &text).map_err(|f| vec![f])?;
    match reader.contains("platform.store") {
        true => daemon::parse(path, &text).map(drop),
        false => entry::parse(path, &text).map(drop),
    }
}

/// Settings of the `entry` daemon, after all checks.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the box; a restart keeps it.
    pub name: Name,
    /// Hall that the box is in.
    pub hall: Name,
    /// Listening address for callers.
    pub web: SocketAddr,
    /// Listening address for other boxes and for operators.
    pub rpc: SocketAddr,
    /// Listening address for health, readiness and metrics.
    pub admin: SocketAddr,
    /// Address of the platform's RPC service.
    pub platform: SocketAddr,
    /// Longest duration of a call to the platform, in milliseconds.
    pub call_timeout: Millis,
    /// Durations of the box's lease and of its successors' promises.
    pub lease_timings: LeaseTimings,
    /// Intervals and timeouts of background work.
    pub intervals: Intervals,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Parameters of routing and scheduling decisions.
    pub policy: Policy,
    /// Fraction, from 0 to 1, of the requests without a trace context that are traced.
    pub trace_share: f64,
    /// Format and levels of the log.
    pub logs: LogSettings,
}

/// Intervals and timeouts of background work, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Intervals {
    /// Interval between two heartbeats to the same box.
    pub heartbeat: Millis,
    /// Interval between two reads of the configuration's head row and of the list of workers.
    pub poll: Millis,
    /// Interval between two polls of the same worker.
    pub worker_poll: Millis,
    /// Interval between two commits of changed job shards.
    pub shard_write: Millis,
    /// Length of a task's lease on its worker.
    pub task_lease: Millis,
    /// Longest time that a planned stop waits for requests and tasks in progress.
    pub stop_timeout: Millis,
}
