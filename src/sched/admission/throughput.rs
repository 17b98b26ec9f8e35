//! Measured rates of ended work while tasks wait, for queues that submit more than
//! the workers complete for many seconds.
//!
//! Ends are only counted while tasks of their lane wait. Without waiting tasks the rate at which work
//! ends is that at which it is submitted, and says nothing about the capacity.

use std::collections::VecDeque;

use super::forecast::Lanes;
use crate::utils::clock::Millis;

/// Milliseconds over which rates are measured: several run times of usual tasks, and short enough
/// that a loss of workers shows before the jobs accepted meanwhile are worthless.
pub(in crate::sched) const WINDOW: Millis = 6_000;
/// Milliseconds of waiting after which the rate is known. Shorter measurements depend on the ends
/// of few tasks.
pub(in crate::sched) const MEASURED_AFTER: Millis = 3_000;
/// Milliseconds without waiting tasks after which an overload is over. Shorter pauses occur while
/// an overload lasts, when many tasks end at once.
const PAUSE: Millis = 1_000;

/// Ended work of one lane in the last seconds.
#[derive(Default)]
struct Lane {
    /// When tasks ended, and their work.
    ended: VecDeque<(Millis, f64)>,
    /// Since when tasks wait; `None` while none do.
    since: Option<Millis>,
    /// When tasks last waited.
    last: Millis,
}

impl Lane {
    /// Records whether tasks wait now, and forgets what is older than the window.
    fn observe(&mut self, waits: bool, now: Millis) {
        if waits {
            self.last = now;
            if self.since.is_none() {
                self.since = Some(now);
                self.ended.clear();
            }
        } else if now >= self.last + PAUSE {
            self.since = None;
        }
        while self.ended.front().is_some_and(|e| e.0 + WINDOW <= now) {
            self.ended.pop_front();
        }
    }

    /// Returns the milliseconds for which tasks have waited without a pause.
    fn lasted(&self, now: Millis) -> Millis {
        self.since.map_or(0, |since| now.saturating_sub(since))
    }

    /// Returns the rate at which work ends; 0 until it was measured for some seconds.
    fn rate(&self, now: Millis) -> f64 {
        let lasted = self.lasted(now);
        if lasted < MEASURED_AFTER {
            return 0.0;
        }
        let ended: f64 = self.ended.iter().map(|(_, work)| work).sum();
        ended / lasted.min(WINDOW) as f64
    }
}

/// Ended work of the last seconds, by lane.
#[derive(Default)]
pub(in crate::sched) struct Throughput {
    lanes: [Lane; 2],
}

impl Throughput {
    /// Records whether tasks of each lane wait now, and forgets what is older than the windows.
    pub fn observe(&mut self, waits: [bool; 2], now: Millis) {
        for (lane, waits) in self.lanes.iter_mut().zip(waits) {
            lane.observe(waits, now);
        }
    }

    /// Records the end of a task.
    pub fn record_end(&mut self, lane: usize, work: f64, now: Millis) {
        self.lanes[lane].ended.push_back((now, work));
    }

    /// Returns the rates at which work ends; 0 until they were measured for some seconds.
    pub fn rates(&self, now: Millis) -> Lanes {
        self.lanes.each_ref().map(|lane| lane.rate(now))
    }
}
