//! Paces the owner's work by what its box can do, for boxes that are short of processor.
//!
//! Placement passes and sweeps go through all that waits: where the box is slow, the next one would
//! be due as soon as one ends, and leave no time for commits, leases and reports. And each start
//! causes calls and reports later: with more starts than the box can process, all replies wait, those
//! about urgent tasks among them.

use super::completions::BATCH_DELAY;
use super::owner::Owner;
use crate::utils::clock::Millis;

/// Placement passes take at most one of this many parts of the time.
const PASS_PARTS: u64 = 3;
/// Sweeps take at most one of this many parts of the time.
const SWEEP_PARTS: u64 = 6;

/// Mean time in milliseconds that replies may wait before fewer tasks are started: a small part of
/// the shortest tasks and of the time that callers allow.
const LAG_LIMIT: Millis = 150;
/// Milliseconds between two changes of the start rate: several times the time from a placement
/// through its commit to the reply to the start.
const ADJUST_INTERVAL: Millis = 200;
/// Lowest limit of starts per second: lasting tasks that are overdue start even on a box that can't
/// keep up with its reports.
const MIN_RATE: f64 = 100.0;
/// Limit of starts per second above which none is needed.
const MAX_RATE: f64 = 10_000.0;
/// Factors on the limit while replies wait for too long, and while they don't.
const DECREASE: f64 = 0.9;
const INCREASE: f64 = 1.1;
/// Weight of the last interval in the moving average of the answered starts per second.
const RATE_WEIGHT: f64 = 0.3;
/// Starts that may be saved up, in seconds of the limit.
const SAVED_SECONDS: f64 = 0.1;

/// Milliseconds from a report of ended runs to the next poll while the box does not keep up: a part
/// of the time that short tasks take.
const LONG_BATCH_DELAY: Millis = 250;

/// Periodic work that the current event has caused, and the limit of starts.
#[derive(Default)]
pub(super) struct Pacing {
    /// True after a placement pass.
    pub placed: bool,
    /// True after a sweep for due and expired state.
    pub swept: bool,
    /// Limit of the tasks that are started per second.
    pub starts: StartRate,
}

/// Limit of the tasks that are started per second.
#[derive(Default)]
pub(super) struct StartRate {
    /// Starts per second; `None` while the box keeps up.
    pub limit: Option<f64>,
    /// Starts that are allowed now; negative after a pass that placed more.
    allowed: f64,
    /// When `allowed` was last brought up to date.
    updated: Millis,
    /// When the limit was last adjusted.
    adjusted: Millis,
    /// Number of messages since then, and the milliseconds that they have waited in all.
    messages: (u64, Millis),
    /// Mean time that messages waited in the interval before.
    lag: Millis,
    /// Number of starts since then that were answered.
    answered: u32,
    /// Moving average of the answered starts per second.
    rate: f64,
}

impl StartRate {
    /// Records for how long a message has waited to be handled.
    pub fn record_lag(&mut self, lag: Millis) {
        self.messages.0 += 1;
        self.messages.1 += lag;
    }

    /// Records that a start was answered.
    pub fn record_answer(&mut self) {
        self.answered += 1;
    }

    /// Records that tasks were placed.
    pub fn record_starts(&mut self, count: usize) {
        self.allowed -= count as f64;
    }

    /// Returns the number of tasks that may be placed now.
    pub fn allowance(&mut self, now: Millis) -> usize {
        let seconds = now.saturating_sub(self.updated) as f64 / 1_000.0;
        self.updated = now;
        let Some(limit) = self.limit else {
            self.allowed = 0.0;
            return usize::MAX;
        };
        let saved = limit * SAVED_SECONDS;
        // A large gang holds back others for as long as may be saved up, and no longer.
        self.allowed = (self.allowed.max(-saved) + limit * seconds).min(saved);
        self.allowed.max(0.0) as usize
    }

    /// Lowers the limit while replies wait for too long, and raises it again afterwards.
    pub fn adjust(&mut self, now: Millis) {
        let span = now.saturating_sub(self.adjusted);
        if span < ADJUST_INTERVAL {
            return;
        }
        let answered = f64::from(self.answered) * 1_000.0 / span as f64;
        self.rate += (answered - self.rate) * RATE_WEIGHT;
        let (messages, waited) = self.messages;
        let lag = waited.checked_div(messages).unwrap_or(0);
        let known = self.limit.unwrap_or(MAX_RATE);
        let limit = match lag > LAG_LIMIT {
            // The replies to starts under an earlier limit still wait.
            true if lag < self.lag => known,
            true => (known.min(self.rate.max(answered)) * DECREASE).max(MIN_RATE),
            false => known * INCREASE,
        };
        self.limit = Some(limit).filter(|l| *l < MAX_RATE);
        self.lag = lag;
        self.adjusted = now;
        self.messages = (0, 0);
        self.answered = 0;
    }
}

impl Owner {
    /// Records how many microseconds handling the last event took on this box, and sets the next pass
    /// and sweep accordingly.
    pub fn record_decision_time(&mut self, micros: u64) {
        let next = |parts: u64| self.now.steady + micros * parts / 1_000;
        if self.pacing.placed {
            self.next_pass = self.next_pass.max(next(PASS_PARTS));
        }
        if self.pacing.swept {
            self.next_sweep = self.next_sweep.max(next(SWEEP_PARTS));
        }
    }

    /// Returns the milliseconds from a report of ended runs to the next poll of that worker. While the
    /// box does not keep up, more ends are reported at once.
    pub(super) fn batch_delay(&self) -> Millis {
        match self.start_limit() {
            Some(_) => LONG_BATCH_DELAY,
            None => BATCH_DELAY,
        }
    }

    /// Returns the limit of starts per second; `None` while the box keeps up.
    pub fn start_limit(&self) -> Option<f64> {
        self.pacing.starts.limit
    }

    /// Records for how many milliseconds an event has waited to be handled.
    pub fn record_lag(&mut self, lag: Millis) {
        self.pacing.starts.record_lag(lag);
    }
}
