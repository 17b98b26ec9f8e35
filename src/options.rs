//! Settings: arguments and file, merged once into checked structs.

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

/// Checks a settings file of either kind of daemon: one that names a store is
/// for a box on the platform.
pub fn check_file(path: &str) -> Result<(), Vec<Finding>> {
    let text = entry::read_file(path)?;
    let mut reader = reader::Reader::new(path, &text).map_err(|f| vec![f])?;
    match reader.contains("platform.store") {
        true => daemon::parse(path, &text).map(drop),
        false => entry::parse(path, &text).map(drop),
    }
}

/// Checked settings of an entry box.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the box, the same after a restart.
    pub name: Name,
    /// Hall in which it stands.
    pub hall: Name,
    /// Address for callers.
    pub web: SocketAddr,
    /// Address for other boxes and for operators.
    pub rpc: SocketAddr,
    /// Address for health, readiness and metrics.
    pub admin: SocketAddr,
    /// Address of the platform's RPC.
    pub platform: SocketAddr,
    /// Bound of one call to the platform, in milliseconds.
    pub call_timeout: Millis,
    /// Lease of the box and promises.
    pub lease_timings: LeaseTimings,
    /// Times of the control work.
    pub intervals: Intervals,
    /// Bounds for callers' requests.
    pub limits: Limits,
    /// Decisions about requests and tasks.
    pub policy: Policy,
    /// Part of requests without a trace context that are traced, from 0 to 1.
    pub trace_share: f64,
    /// Logs.
    pub logs: LogSettings,
}

/// Intervals and timeouts of background work, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Intervals {
    /// Between two greetings to the same box.
    pub heartbeat: Millis,
    /// Between two reads of the table's head rows.
    pub poll: Millis,
    /// Between two exchanges with the same worker.
    pub worker_poll: Millis,
    /// Between two commits of the journal.
    pub journal: Millis,
    /// Lease of tasks on workers.
    pub task_lease: Millis,
    /// Longest wait of a planned stop for what is in progress.
    pub stop_timeout: Millis,
}
