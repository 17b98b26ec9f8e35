//! Floor of the processors for tasks that end, beside lasting tasks.
//!
//! Load: workers are lost, and the rest has too little capacity for the lasting tasks alone. These
//! take turns, and without a floor they take all capacity: tasks that end wait until enough of the
//! lost workers are replaced, by which time most of their jobs are worthless.

/// Tasks that end may take this fraction (1/n) of the processors from lasting tasks. With a fifth of
/// the workers lost, three in ten lasting tasks then wait for their turn: 2.6 s after each turn of
/// 6 s, less than the 6 s that the platform allows.
const FLOOR_DIVISOR: u64 = 8;

/// Thousandths of cores that tasks of a service with reserved processors hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::sched) struct Usage {
    /// Held by tasks that end, or reserved for them.
    pub ending: u64,
    /// Held by lasting tasks.
    pub lasting: u64,
    /// Needed by lasting tasks that have run and wait to run again.
    pub waiting: u64,
    /// Of all workers that accept tasks.
    pub capacity: u64,
}

impl Usage {
    /// Returns true when lasting tasks do not all fit and tasks that end hold less than their floor.
    /// Lasting tasks that all fit are interrupted in small numbers instead.
    pub fn is_below_floor(self) -> bool {
        let scarce = self.lasting + self.waiting > self.capacity;
        scarce && self.ending * FLOOR_DIVISOR < self.ending + self.lasting
    }
}
