//! Pacing: how often the owner does work that may wait, by the time that its decisions take.

use super::owner::Owner;

impl Owner {
    /// Records how many microseconds this box took for the decisions about the last event. Does
    /// nothing yet.
    pub fn record_decision_time(&mut self, _micros: u64) {}
}
