//! How much one kind of work slows another, learned from late measurements.

use std::collections::HashMap;

use crate::utils::Name;

/// Slowdown assumed of a pair that was never seen together.
const PRIOR: f64 = 0.15;
/// Variance of that assumption.
const PRIOR_VARIANCE: f64 = 0.25;
/// Variance of one measurement.
const NOISE: f64 = 0.04;
/// Variance that a pair gains with each measurement, as harm shifts with load.
const DRIFT: f64 = 0.0005;
/// Standard deviations added to an estimate when caution is asked for.
const CAUTION: f64 = 0.5;

/// One measurement of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Kind that was measured.
    pub kind: Name,
    /// Kinds that ran beside it.
    pub others: Vec<Name>,
    /// Run time over the run time alone; 1 when nothing hurt it.
    pub slowdown: f64,
    /// True when the worker was more than half busy with requests.
    pub busy: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Pair {
    victim: u32,
    culprit: u32,
    busy: bool,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    variance: f64,
}

const UNSEEN: Estimate = Estimate {
    mean: PRIOR,
    variance: PRIOR_VARIANCE,
};

/// Estimates of harm for each pair of kinds and load band.
///
/// The model is additive: the slowdown of a kind is 1 plus the harm of each
/// kind beside it. Each measurement moves the estimates by a Kalman step with
/// a diagonal covariance, so that uncertain pairs move most.
#[derive(Clone, Debug, Default)]
pub struct Harm {
    kinds: HashMap<Name, u32>,
    pairs: HashMap<Pair, Estimate>,
}

impl Harm {
    /// Returns the expected harm of `culprit` to `victim`, with caution added.
    pub fn of(&self, victim: &str, culprit: &str, busy: bool) -> f64 {
        let estimate = self.estimate(victim, culprit, busy);
        (estimate.mean + CAUTION * estimate.variance.sqrt()).max(0.0)
    }

    /// Returns the estimate without caution and its variance.
    pub fn estimated(&self, victim: &str, culprit: &str, busy: bool) -> (f64, f64) {
        let estimate = self.estimate(victim, culprit, busy);
        (estimate.mean, estimate.variance)
    }

    /// Returns the number of pairs that were measured.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Takes in a measurement.
    pub fn learn(&mut self, sample: &Sample) {
        if sample.others.is_empty() || !sample.slowdown.is_finite() {
            return;
        }
        let victim = self.kind(&sample.kind);
        let pairs: Vec<Pair> = sample
            .others
            .iter()
            .map(|other| Pair {
                victim,
                culprit: self.kind(other),
                busy: sample.busy,
            })
            .collect();
        let known = |p: &Pair| self.pairs.get(p).copied().unwrap_or(UNSEEN);
        let expected: f64 = pairs.iter().map(|p| known(p).mean).sum();
        let spread: f64 = pairs.iter().map(|p| known(p).variance).sum();
        let error = sample.slowdown - 1.0 - expected;
        for pair in pairs {
            let estimate = self.pairs.entry(pair).or_insert(UNSEEN);
            let gain = estimate.variance / (spread + NOISE);
            estimate.mean += gain * error;
            estimate.variance = estimate.variance * (1.0 - gain) + DRIFT;
        }
    }

    fn estimate(&self, victim: &str, culprit: &str, busy: bool) -> Estimate {
        let ids = self.kinds.get(victim).zip(self.kinds.get(culprit));
        let Some((&victim, &culprit)) = ids else {
            return UNSEEN;
        };
        let pair = |busy| Pair {
            victim,
            culprit,
            busy,
        };
        let exact = self.pairs.get(&pair(busy));
        // The other band tells more than nothing.
        let near = exact.or_else(|| self.pairs.get(&pair(!busy)));
        near.copied().unwrap_or(UNSEEN)
    }

    fn kind(&mut self, name: &Name) -> u32 {
        let next = self.kinds.len() as u32;
        *self.kinds.entry(name.clone()).or_insert(next)
    }
}
