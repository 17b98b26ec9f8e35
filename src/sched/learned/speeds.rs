//! Learned speeds of workers.
//!
//! Load: a fifth of the workers become slower by a factor of four and recover later. The ratio of
//! run times on a worker to those elsewhere is averaged on a logarithmic scale. The average fades,
//! so that a worker is tried again; while its last judgement was slow, only one task at a time is
//! meant to try it.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Highest ratio that one run counts as. Three runs in a hundred take seven times as long on any
/// worker; without a bound one of them would count as much as two runs on a slow worker.
const MAX_RATIO: f64 = 4.0;
/// Lowest ratio that one run counts as.
const MIN_RATIO: f64 = 0.5;
/// Slowness from which on a worker counts as slow.
pub(in crate::sched) const SLOW: f64 = 2.0;
/// Slowness under which a slow worker counts as normal again, and ratio under which a run counts
/// as one at normal speed.
const NORMAL: f64 = 1.5;
/// Slowness up to which workers are treated alike: run times vary by that much on any worker.
const ALIKE: f64 = 1.25;
/// Weight of a run. Three slow runs in a row are needed with a ratio of 4: two long runs in a row
/// occur in one of 1,100 pairs of ends, which is one a second on a cell of 490 workers.
const GAIN: f64 = 0.28;
/// Weight of a slow run on a worker that counts as slow: its last judgement is confirmed.
const CONFIRMING_GAIN: f64 = 0.6;
/// Weight of a run at normal speed on a worker that counts as slow. No run is that fast on a slow
/// worker, so that two of them suffice.
const RECOVERY_GAIN: f64 = 0.5;
/// Milliseconds in which a logarithm fades by half. A slowness of 4 is under `NORMAL` after 3.6 s.
const HALF_LIFE: f64 = 2_000.0;
/// Milliseconds without a run after which a slow worker counts as normal, and after which a worker
/// is forgotten.
const MAX_AGE: Millis = 20_000;

/// A change of what a worker counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sched) enum SpeedChange {
    /// The worker counts as slow.
    Slow,
    /// The worker counts as normal again.
    Normal,
}

/// The learned speed of one worker, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(in crate::sched) struct StoredSpeed {
    /// Id of the worker.
    pub worker: Name,
    /// Slowness after the last run, in thousandths.
    pub slowness: u64,
    /// Milliseconds from that run to the writing.
    pub age: Millis,
}

/// What is known of a worker.
#[derive(Clone, Copy, Debug)]
struct Speed {
    /// Logarithm of the slowness at `at`.
    log: f64,
    /// When the last run was recorded.
    at: Millis,
    /// True while the worker counts as slow.
    slow: bool,
}

impl Speed {
    /// Returns the faded logarithm.
    fn log_at(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.log * (-age / HALF_LIFE).exp2()
    }

    fn slowness_at(&self, now: Millis) -> f64 {
        match self.log_at(now).exp() {
            slowness if slowness > ALIKE => slowness,
            _ => 1.0,
        }
    }

    fn is_expired(&self, now: Millis) -> bool {
        now >= self.at + MAX_AGE
    }
}

/// How much longer tasks run on each worker than tasks of the same kind elsewhere.
#[derive(Default)]
pub(in crate::sched) struct Speeds {
    workers: HashMap<Name, Speed>,
    /// Until when a worker may have a slowness of more than 1, so that placement need not look up
    /// each worker while all are normal.
    raised_until: Millis,
    /// Number of workers that count as slow.
    slow: usize,
}

impl Speeds {
    /// Records the run time of a task on a worker in relation to that expected elsewhere. Returns
    /// what changes by it.
    pub fn record(&mut self, worker: &Name, ratio: f64, now: Millis) -> Option<SpeedChange> {
        if !ratio.is_finite() || ratio <= 0.0 {
            return None;
        }
        let new = Speed {
            log: 0.0,
            at: now,
            slow: false,
        };
        let speed = self.workers.entry(worker.clone()).or_insert(new);
        let (log, was_slow) = (speed.log_at(now), speed.slow);
        let measured = ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        let gain = match was_slow {
            true if ratio < NORMAL => RECOVERY_GAIN,
            true => CONFIRMING_GAIN,
            false => GAIN,
        };
        speed.log = log + (measured - log) * gain;
        speed.at = now;
        speed.slow = match was_slow {
            true => ratio >= NORMAL || speed.log >= NORMAL.ln(),
            false => speed.log >= SLOW.ln(),
        };
        let (raised, is_slow) = (speed.log > ALIKE.ln(), speed.slow);
        if raised || is_slow {
            self.raised_until = self.raised_until.max(now + MAX_AGE);
        }
        self.count_change(was_slow, is_slow)
    }

    fn count_change(&mut self, was_slow: bool, is_slow: bool) -> Option<SpeedChange> {
        match (was_slow, is_slow) {
            (false, true) => {
                self.slow += 1;
                Some(SpeedChange::Slow)
            }
            (true, false) => {
                self.slow = self.slow.saturating_sub(1);
                Some(SpeedChange::Normal)
            }
            _ => None,
        }
    }

    /// Returns the factor by which tasks run longer on a worker than elsewhere: 1 as elsewhere, 4
    /// for a worker that is slower by four.
    pub fn slowness(&self, worker: &Name, now: Millis) -> f64 {
        if now >= self.raised_until {
            return 1.0;
        }
        self.workers.get(worker).map_or(1.0, |s| s.slowness_at(now))
    }

    /// Returns the slowness that one more task beside `runs` others has to expect. A worker whose
    /// last judgement was slow is tried by one task at a time: it does not look fast to a second.
    pub fn slowness_beside(&self, worker: &Name, runs: usize, now: Millis) -> f64 {
        if now >= self.raised_until {
            return 1.0;
        }
        let Some(speed) = self.workers.get(worker) else {
            return 1.0;
        };
        match speed.slow && runs > 0 && !speed.is_expired(now) {
            true => speed.slowness_at(speed.at).max(SLOW),
            false => speed.slowness_at(now),
        }
    }

    /// Returns true while a worker counts as slow.
    pub fn is_slow(&self, worker: &Name) -> bool {
        self.slow > 0 && self.workers.get(worker).is_some_and(|s| s.slow)
    }

    /// Returns the number of workers that count as slow.
    pub fn slow_workers(&self) -> usize {
        self.slow
    }

    /// Returns true while at most a third of the workers with recent runs count as slow. When more
    /// do, the tasks have become longer rather than the workers slower.
    pub fn slow_are_few(&self) -> bool {
        self.slow * 3 <= self.workers.len()
    }

    /// Forgets workers without recent runs, and returns those that counted as slow.
    pub fn forget_idle(&mut self, now: Millis) -> Vec<Name> {
        let mut normal = Vec::new();
        self.workers.retain(|worker, speed| {
            let expired = speed.is_expired(now);
            if expired && speed.slow {
                normal.push(worker.clone());
            }
            !expired
        });
        self.slow = self.slow.saturating_sub(normal.len());
        normal.sort_unstable();
        normal
    }

    /// Returns the workers that count as slow for storage, those with the latest runs first.
    pub fn export(&self, now: Millis) -> Vec<StoredSpeed> {
        let slow = self.workers.iter().filter(|(_, speed)| speed.slow);
        let stored = |(worker, speed): (&Name, &Speed)| StoredSpeed {
            worker: worker.clone(),
            slowness: (speed.log.exp() * 1_000.0) as u64,
            age: now.saturating_sub(speed.at),
        };
        let mut all: Vec<StoredSpeed> = slow.map(stored).collect();
        all.sort_by(|a, b| a.age.cmp(&b.age).then(a.worker.cmp(&b.worker)));
        all
    }

    /// Imports workers that counted as slow in a snapshot written `age` milliseconds ago, unless
    /// they are known already or their runs are too old. Returns their number.
    pub fn import(&mut self, stored: &[StoredSpeed], age: Millis, now: Millis) -> usize {
        let before = self.slow;
        for entry in stored {
            let old = entry.age.saturating_add(age);
            let slowness = (entry.slowness as f64 / 1_000.0).min(MAX_RATIO);
            let known = self.workers.contains_key(&entry.worker);
            if old >= MAX_AGE || old > now || slowness < NORMAL || known {
                continue;
            }
            let speed = Speed {
                log: slowness.ln(),
                at: now - old,
                slow: true,
            };
            self.raised_until = self.raised_until.max(speed.at + MAX_AGE);
            self.workers.insert(entry.worker.clone(), speed);
            self.slow += 1;
        }
        self.slow - before
    }
}
