//! What is told of a wait that was in vain.

use std::process::Child;
use std::time::{Duration, Instant};

/// Looks at what is waited for: how long they took, and what the last one saw.
pub struct Looks {
    began: Instant,
    ended: Instant,
    look: Duration,
    pause: Duration,
    last: String,
}

impl Looks {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            ended: Instant::now(),
            look: Duration::ZERO,
            pause: Duration::ZERO,
            last: String::new(),
        }
    }

    /// Takes a look and keeps what it saw.
    pub fn look<T: std::fmt::Debug>(&mut self, at: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        self.pause = self.pause.max(start - self.ended);
        let seen = at();
        self.ended = Instant::now();
        self.look = self.look.max(self.ended - start);
        self.last = format!("{seen:?}");
        seen
    }
}

/// A pause far above `PAUSE` tells that the machine stood still, a long look that
/// a connection was made and had no answer.
impl std::fmt::Display for Looks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { look, pause, .. } = self;
        let after = self.ended - self.began;
        let last = &self.last;
        write!(
            f,
            "longest look {look:?}, longest pause {pause:?}, the last after {after:?} saw {last}"
        )
    }
}

/// Returns what a process is doing by the kernel's word.
pub fn doing(child: &Child) -> String {
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
