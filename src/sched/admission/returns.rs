//! Retry times of jobs that are refused for load, and the memory of their first attempts, for
//! crowds of callers that would otherwise return at the same time.

use std::collections::{HashMap, VecDeque};

use super::forecast::{Demand, Forecast};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Shortest retry time: callers that return sooner find the same load.
pub(in crate::sched) const MIN_RETRY: Millis = 500;
/// Longest retry time: callers give up on a service that names longer ones.
pub(in crate::sched) const MAX_RETRY: Millis = 10_000;
/// Milliseconds for which a refused job is remembered: two of the longest retry times, so that a
/// caller that returns once more late keeps its place.
pub(in crate::sched) const RETRY_WINDOW: Millis = 2 * MAX_RETRY;
/// Most refused jobs that are remembered, which bounds the memory to about 1 MB.
pub(in crate::sched) const MAX_REMEMBERED: usize = 4_096;
/// Part of the interval by which consecutive retry times at the upper limit differ. The golden
/// ratio spreads any number of them evenly.
const SPREAD_STEP: f64 = 0.618_034;

/// Virtual queue of the callers that will return, and first attempts of refused jobs.
#[derive(Default)]
pub(in crate::sched) struct Returns {
    /// When the returning work reserved so far has been done.
    tail: f64,
    /// Position of the next retry time at the upper limit, from 0 to 1.
    spread: f64,
    /// First attempt of each refused job, by id.
    first: HashMap<Name, Millis>,
    /// The same jobs by the time of their first attempt.
    by_time: VecDeque<(Millis, Name)>,
}

impl Returns {
    /// Returns the milliseconds after which the caller of a refused job should return, and reserves
    /// the job's work in a virtual queue that drains at `rate`. A job that would be worthless by
    /// then reserves nothing, and its caller is told when new work is expected to be served.
    pub fn retry_after(&mut self, job: &Demand, wait: Forecast, rate: f64, now: Millis) -> Millis {
        let slot = self.tail.max((now + MIN_RETRY) as f64);
        let delay = slot as Millis - now;
        let own = job.ideal.max(wait.end.saturating_sub(wait.turn));
        let is_served = delay.saturating_add(own) <= job.left();
        if rate > 0.0 && delay <= MAX_RETRY && is_served {
            self.tail = slot + (job.work[0] + job.work[1]) / rate;
            return delay;
        }
        self.spread = (self.spread + SPREAD_STEP).fract();
        let reserved = (self.tail as Millis).saturating_sub(now);
        let expected = wait.turn.max(reserved).clamp(2 * MIN_RETRY, MAX_RETRY);
        // Later than half of the wait, so that many unservable callers return spread out.
        expected / 2 + (expected as f64 / 2.0 * self.spread) as Millis
    }

    /// Remembers the first attempt of a refused job.
    pub fn remember(&mut self, id: &Name, now: Millis) {
        self.forget_old(now);
        if self.first.contains_key(id) {
            return;
        }
        while self.by_time.len() >= MAX_REMEMBERED {
            self.forget_oldest();
        }
        self.first.insert(id.clone(), now);
        self.by_time.push_back((now, id.clone()));
    }

    /// Returns the milliseconds since the first attempt of a job, 0 for one that was not refused
    /// or whose first attempt is too long ago.
    pub fn waited(&self, id: &Name, now: Millis) -> Millis {
        let first = self.first.get(id).copied().unwrap_or(now);
        let waited = now.saturating_sub(first);
        if waited > RETRY_WINDOW { 0 } else { waited }
    }

    /// Forgets a job that was accepted.
    pub fn forget(&mut self, id: &Name) {
        if self.first.remove(id).is_some() {
            self.by_time.retain(|(_, known)| known != id);
        }
    }

    fn forget_old(&mut self, now: Millis) {
        let old = |first: &(Millis, Name)| first.0 + RETRY_WINDOW < now;
        while self.by_time.front().is_some_and(old) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_time.pop_front() {
            self.first.remove(&id);
        }
    }
}
