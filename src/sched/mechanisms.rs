//! Mechanisms that can be switched off, to measure what each is worth.

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Switches {
    /// Runs give way to tasks that fit nowhere.
    pub preempt: bool,
    /// Workers rest after several failed runs, and count as worse before.
    pub rest: bool,
    /// Fillers are slowed before serving tasks pass their targets.
    pub throttle: bool,
    /// Fillers and serving tasks are placed by learned pressure.
    pub pressure: bool,
    /// Serving tasks swap places while fillers wait.
    pub swap: bool,
    /// Owners go on with what earlier ones learned.
    pub recall: bool,
}

impl Switches {
    /// All mechanisms.
    pub const ON: Self = Self {
        preempt: true,
        rest: true,
        throttle: true,
        pressure: true,
        swap: true,
        recall: true,
    };
}
