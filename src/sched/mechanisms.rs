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
}

impl Mechanisms {
    /// All mechanisms enabled.
    pub const ON: Self = Self {
        preempt: true,
        quarantine: true,
        throttle: true,
        interference: true,
        swap: true,
        warm_start: true,
    };
}
