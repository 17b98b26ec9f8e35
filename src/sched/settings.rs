//! Settings of a cell's owner.

use super::mechanisms::Mechanisms;
use crate::utils::clock::Millis;

/// Best-effort tasks are halted after this fraction (1/n) of the longest allowed breach of a
/// latency target; the rest allows for reports and orders that get lost.
const HALT_DIVISOR: Millis = 4;

/// Durations and mechanisms that the platform and the settings give an owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerSettings {
    /// Length of a lease that is granted to a worker, in milliseconds.
    pub lease_length: Millis,
    /// Longest lease that a worker accepts, in milliseconds; it cuts a longer one down to this.
    pub longest_lease: Millis,
    /// Longest time that an owner extends leases without a confirmed commit, in milliseconds.
    pub max_unconfirmed: Millis,
    /// Least time that a worker runs on after its listing was removed, in milliseconds.
    pub drain_time: Millis,
    /// Time between two heartbeats of a worker in its directory entry, in milliseconds.
    pub heartbeat: Millis,
    /// Longest time that best-effort tasks may keep a serving task over its latency target, in
    /// milliseconds.
    pub max_breach: Millis,
    /// Factor by which a task runs longer outside the rack that holds its data.
    pub far_factor: f64,
    /// Time for which the state of a finished job can be queried, in milliseconds.
    pub retention: Millis,
    /// Largest value of a row in the store, in bytes.
    pub row_bytes: usize,
    /// Most bytes that the accepted jobs may take in memory.
    pub job_memory: usize,
    /// Mechanisms that are enabled.
    pub mechanisms: Mechanisms,
}

impl OwnerSettings {
    /// Returns the time over its target after which all best-effort tasks beside a serving task
    /// are halted, whatever the interference model predicts, in milliseconds.
    pub(super) fn halt_after(&self) -> Millis {
        self.max_breach / HALT_DIVISOR
    }
}
