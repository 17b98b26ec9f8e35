//! Scheduling mechanisms that can be switched off one by one to measure what each contributes.

/// Which scheduling mechanisms are enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Preempts runs for tasks that fit on no worker.
    pub preempt: bool,
    /// Quarantines workers after several failed runs, and ranks them lower before that.
    pub quarantine: bool,
    /// Slows best-effort tasks before serving tasks exceed their latency targets.
    pub throttle: bool,
    /// Places best-effort and serving tasks by their learned interference.
    pub interference: bool,
    /// Swaps serving tasks between workers while best-effort tasks wait.
    pub swap: bool,
    /// Starts each owner from the interference factors that earlier owners learned.
    pub warm_start: bool,
    /// Refuses jobs that would end worthless by the measured load.
    pub admission: bool,
    /// Weighs queues, sizes of jobs and halls against each other.
    pub shares: bool,
    /// Uses learned run times and worker speeds instead of declared ones.
    pub learning: bool,
    /// Starts copies of slow runs of speculative steps.
    pub copies: bool,
    /// Spreads best-effort tasks by the expected load of serving tasks, and weighs waiting for a rack
    /// against running elsewhere.
    pub spreading: bool,
    /// Stores learned state for the next owner.
    pub snapshot: bool,
}

impl Mechanisms {
    /// The mechanisms that are enabled unless the settings say otherwise: all but those for hard
    /// load.
    pub const DEFAULT: Self = Self {
        admission: false,
        shares: false,
        learning: false,
        copies: false,
        spreading: false,
        snapshot: false,
        ..Self::ON
    };
    /// All mechanisms enabled.
    pub const ON: Self = Self {
        preempt: true,
        quarantine: true,
        throttle: true,
        interference: true,
        swap: true,
        warm_start: true,
        admission: true,
        shares: true,
        learning: true,
        copies: true,
        spreading: true,
        snapshot: true,
    };
}
