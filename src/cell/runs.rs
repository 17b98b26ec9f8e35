//! Runs: one task on one worker for one time.

use super::Size;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Number of a run, unique for ever within its cell: the epoch, then a counter.
pub type RunId = u64;

/// How far a run is, as its owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Its start was sent.
    Starting,
    /// Its start may have taken effect.
    InDoubt,
    /// It runs.
    Running,
    /// Its stop was sent.
    Stopping,
}

/// A run as its owner counts it.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Number of the run.
    pub id: RunId,
    /// Job of the task.
    pub job: Name,
    /// Number of the task within the job.
    pub task: u32,
    /// Kind of work.
    pub kind: Name,
    /// Size that is reserved, before the throttle.
    pub size: Size,
    /// Thousandths of its cores that it may use.
    pub share: u32,
    /// Thousandths of its cores that it may come to use by a raise without an
    /// answer; never counted less.
    pub share_floor: u32,
    /// True while a change of its share has no outcome.
    pub throttle_pending: bool,
    /// How far it is.
    pub phase: RunPhase,
    /// Milliseconds of work done before it started.
    pub saved: Millis,
    /// Milliseconds of work done, as last reported.
    pub progress: Millis,
    /// When its present phase was confirmed.
    pub phase_since: Millis,
    /// Round of the exchange before its start.
    pub poll_round: u64,
    /// True for work that must start within seconds.
    pub urgent: bool,
}

impl Run {
    /// Returns true when its start may or may not have taken effect.
    pub fn is_start_unconfirmed(&self) -> bool {
        matches!(self.phase, RunPhase::Starting | RunPhase::InDoubt)
    }
}

/// How a run ended or goes on, as its worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It runs.
    Running,
    /// It finished.
    Finished,
    /// It failed.
    Failed,
    /// It was stopped or its lease lapsed.
    Stopped,
}

/// A worker's word on one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// Number of the run.
    pub id: RunId,
    /// Job of the task.
    pub job: Name,
    /// Number of the task within the job.
    pub task: u32,
    /// Kind of work.
    pub kind: Name,
    /// Size that it was started with.
    pub size: Size,
    /// How it ended or goes on.
    pub state: RunState,
    /// Milliseconds of work done; for an ended run, those that are kept.
    pub progress: Millis,
    /// Thousandths of its cores that it may use.
    pub share: u32,
    /// Thousandths of a core used, as measured late.
    pub usage: u32,
}

/// How a call about one run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It took effect; milliseconds of work kept, for a stop.
    Done(Millis),
    /// It had no effect.
    Refused,
    /// It may have had its effect.
    Lost,
}
