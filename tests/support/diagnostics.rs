//! What is told of a wait that was in vain.

use std::process::Child;
use std::time::{Duration, Instant};

/// Observations at what is waited for: how long they took, and what the last one saw.
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

    /// Takes a look and keeps what it saw.
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

/// A pause far above `PAUSE` tells that the machine stood still, a long look that
/// a connection was made and had no answer.
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

/// Returns what a process is doing by the kernel's word.
pub fn process_state(child: &Child) -> String {
    let read = |name: &str| {
        let path = format!("/proc/{}/{name}", child.id());
        std::fs::read_to_string(path).unwrap_or_else(|e| e.to_string())
    };
    let status = read("status");
    let kept = |l: &&str| l.starts_with("State") || l.contains("ctxt_switches");
    let lines: Vec<&str> = status.lines().filter(kept).collect();
    let (stat, wait, call) = (read("stat"), read("wchan"), read("syscall"));
    format!("{lines:?}, waits in {wait}, system call {call}, stat {stat}")
}
