//! Runs: single executions of tasks on workers.

use super::Size;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Id of a run, unique within its cell: the owner's epoch in the upper 32 bits, then a
/// counter.
pub type RunId = u64;

/// Phase of a run, as far as the owner of the cell knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start was sent.
    Starting,
    /// The start was not answered; it may have taken effect.
    InDoubt,
    /// The worker confirmed the start.
    Running,
    /// The stop was sent.
    Stopping,
}

/// A run as the owner of the cell accounts for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Id of the run.
    pub id: RunId,
    /// Job of the task.
    pub job: Name,
    /// Number of the task within the job.
    pub task: u32,
    /// Kind of work.
    pub kind: Name,
    /// Size of the run at its full share.
    pub size: Size,
    /// Thousandths of its cores that the run may use.
    pub share: u32,
    /// Thousandths of its cores that are always accounted for: an unanswered call may have
    /// raised the share to this value.
    pub share_floor: u32,
    /// True while a call that changes the share is in progress.
    pub throttle_pending: bool,
    /// Phase of the run.
    pub phase: RunPhase,
    /// Milliseconds of work saved by checkpoints before the run started.
    pub saved: Millis,
    /// Milliseconds of work done, as last reported.
    pub progress: Millis,
    /// When the phase or the share was last confirmed, or else when the start was sent.
    pub phase_since: Millis,
    /// Round of the last polls sent before the start.
    pub poll_round: u64,
    /// True for work that must start within seconds.
    pub urgent: bool,
}

impl Run {
    /// Returns true when the worker has not confirmed the start.
    pub fn is_start_unconfirmed(&self) -> bool {
        matches!(self.phase, RunPhase::Starting | RunPhase::InDoubt)
    }
}

/// State of a run, as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The run is in progress.
    Running,
    /// The task is done.
    Finished,
    /// The run failed.
    Failed,
    /// The run was stopped or its lease lapsed.
    Stopped,
}

/// A worker's report on one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// Id of the run.
    pub id: RunId,
    /// Job of the task.
    pub job: Name,
    /// Number of the task within the job.
    pub task: u32,
    /// Kind of work.
    pub kind: Name,
    /// Size that the run was started with.
    pub size: Size,
    /// State of the run.
    pub state: RunState,
    /// Milliseconds of work done; for an ended run, those saved by a checkpoint.
    pub progress: Millis,
    /// Thousandths of its cores that the run may use.
    pub share: u32,
    /// Measured use in thousandths of a core; measurements arrive late.
    pub usage: u32,
}

/// How a call to start, stop or throttle a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call took effect; for a stop, with the milliseconds of work saved by a checkpoint.
    Done(Millis),
    /// The call had no effect.
    Refused,
    /// The call was not answered; it may have taken effect.
    Lost,
}
