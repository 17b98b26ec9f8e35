//! Diagnostics for waits that time out.

use std::process::Child;
use std::time::{Duration, Instant};

/// Durations of the observations of an awaited condition, the pauses between them, and the last
/// observed value.
pub struct Observations {
    started: Instant,
    ended: Instant,
    longest_observation: Duration,
    longest_pause: Duration,
    last_observed: String,
}

impl Observations {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            ended: Instant::now(),
            longest_observation: Duration::ZERO,
            longest_pause: Duration::ZERO,
            last_observed: String::new(),
        }
    }

    /// Makes an observation and records its value and duration.
    pub fn observe<T: std::fmt::Debug>(&mut self, observe: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        self.longest_pause = self.longest_pause.max(start - self.ended);
        let observed = observe();
        self.ended = Instant::now();
        self.longest_observation = self.longest_observation.max(self.ended - start);
        self.last_observed = format!("{observed:?}");
        observed
    }
}

/// A pause far above `POLL_INTERVAL` shows that the whole machine stalled. A long observation shows
/// that a connection was accepted but not answered.
impl std::fmt::Display for Observations {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            longest_observation,
            longest_pause,
            ..
        } = self;
        let after = self.ended - self.started;
        let last = &self.last_observed;
        write!(
            f,
            "longest observation {longest_observation:?}, longest pause {longest_pause:?}, \
             last observation after {after:?}: {last}"
        )
    }
}

/// Returns the kernel's view of a process: its state, context switches, wait channel and system
/// call.
pub fn process_state(child: &Child) -> String {
    let read = |name: &str| {
        let path = format!("/proc/{}/{name}", child.id());
        std::fs::read_to_string(path).unwrap_or_else(|e| e.to_string())
    };
    let status = read("status");
    let is_relevant = |l: &&str| l.starts_with("State") || l.contains("ctxt_switches");
    let lines: Vec<&str> = status.lines().filter(is_relevant).collect();
    let (stat, wait_channel, call) = (read("stat"), read("wchan"), read("syscall"));
    format!("{lines:?}, waits in {wait_channel}, system call {call}, stat {stat}")
}
