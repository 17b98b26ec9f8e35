//! Learns how much each kind of work slows down each other kind beside it on a worker.
//!
//! The `entry` daemon's cells use the estimates directly, on slowdowns that workers measure. The
//! scheduler of the `serve` daemon uses them in `sched::interference`, which first converts tail
//! latencies to additive quantities.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::utils::Name;

/// Parameters of the estimation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelParameters {
    /// Interference assumed for a pair of kinds that was never measured.
    pub prior: f64,
    /// Variance of the prior.
    pub variance: f64,
    /// Variance of one measurement.
    pub noise: f64,
    /// Variance that a pair gains with each measurement, because interference shifts with load.
    pub drift: f64,
    /// Standard deviations that [`InterferenceEstimates::upper_estimate`] adds to the mean.
    pub caution: f64,
}

impl Default for ModelParameters {
    /// Returns parameters for slowdowns of whole tasks, where 1 is a task that runs alone.
    fn default() -> Self {
        Self {
            prior: 0.15,
            variance: 0.25,
            noise: 0.04,
            drift: 0.0005,
            caution: 0.5,
        }
    }
}

/// One measurement of the slowdown of a kind of work on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Kind that was measured.
    pub kind: Name,
    /// Kinds that ran beside it.
    pub others: Vec<Name>,
    /// Run time divided by the run time alone; 1 without interference.
    pub slowdown: f64,
    /// True when the worker was more than half busy with requests.
    pub busy: bool,
}

/// The estimate for one pair of kinds, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairEstimate {
    /// Kind that is slowed down.
    pub victim: Name,
    /// Kind that causes the slowdown.
    pub culprit: Name,
    /// True for the band of high load.
    pub busy: bool,
    /// Expected slowdown above 1.
    pub mean: f64,
    /// Variance of the mean.
    pub variance: f64,
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

/// Estimates of the interference for each pair of kinds and load band.
///
/// The model is additive: the slowdown of a kind is 1 plus the interference of each kind beside
/// it, weighted by its share. Each measurement updates the estimates by a Kalman step with a
/// diagonal covariance, so that uncertain pairs change most.
#[derive(Clone, Debug, Default)]
pub struct InterferenceEstimates {
    parameters: ModelParameters,
    /// Index of each kind in the keys of `pairs`.
    kinds: HashMap<Name, u32>,
    pairs: HashMap<Pair, Estimate>,
}

impl InterferenceEstimates {
    /// Returns estimates without measurements.
    pub fn new(parameters: ModelParameters) -> Self {
        Self {
            parameters,
            ..Self::default()
        }
    }

    /// Returns the mean plus `caution` standard deviations of the slowdown above 1 that
    /// `culprit` causes `victim`; at least 0.
    pub fn upper_estimate(&self, victim: &str, culprit: &str, busy: bool) -> f64 {
        let estimate = self.estimate(victim, culprit, busy);
        (estimate.mean + self.parameters.caution * estimate.variance.sqrt()).max(0.0)
    }

    /// Returns the mean and variance of the slowdown above 1 that `culprit` causes `victim`.
    pub fn mean_and_variance(&self, victim: &str, culprit: &str, busy: bool) -> (f64, f64) {
        let estimate = self.estimate(victim, culprit, busy);
        (estimate.mean, estimate.variance)
    }

    /// Updates the estimates by a sample; all of its `others` have equal weights.
    pub fn learn(&mut self, sample: &Sample) {
        if sample.others.is_empty() || !sample.slowdown.is_finite() {
            return;
        }
        let others: Vec<(Name, f64)> = sample.others.iter().map(|o| (o.clone(), 1.0)).collect();
        let excess = sample.slowdown - 1.0;
        self.learn_weighted(&sample.kind, &others, excess, sample.busy, 0.0);
    }

    /// Updates the estimates by the measured slowdown above 1 (`excess`) of `victim` beside
    /// `others`, which are kinds with their weights. The measurement's variance is `variance`
    /// plus the noise of the parameters.
    pub fn learn_weighted(
        &mut self,
        victim: &Name,
        others: &[(Name, f64)],
        excess: f64,
        busy: bool,
        variance: f64,
    ) {
        let noise = self.parameters.noise + variance;
        let victim = self.kind_index(victim);
        let pairs: Vec<(Pair, f64)> = others
            .iter()
            .map(|(other, weight)| {
                let culprit = self.kind_index(other);
                let pair = Pair {
                    victim,
                    culprit,
                    busy,
                };
                (pair, *weight)
            })
            .collect();
        let prior = self.prior();
        let estimate = |p: &Pair| self.pairs.get(p).copied().unwrap_or(prior);
        let expected: f64 = pairs.iter().map(|(p, w)| w * estimate(p).mean).sum();
        let uncertainty: f64 = pairs
            .iter()
            .map(|(p, w)| w * w * estimate(p).variance)
            .sum();
        let error = excess - expected;
        for (pair, weight) in pairs {
            let estimate = self.pairs.entry(pair).or_insert(prior);
            let gain = weight * estimate.variance / (uncertainty + noise);
            estimate.mean += gain * error;
            estimate.variance = estimate.variance * (1.0 - gain * weight) + self.parameters.drift;
        }
    }

    /// Returns all estimates in the form in which they are stored.
    pub fn export(&self) -> Vec<PairEstimate> {
        let names: HashMap<u32, &Name> = self.kinds.iter().map(|(n, k)| (*k, n)).collect();
        let exported = |(pair, estimate): (&Pair, &Estimate)| PairEstimate {
            victim: names[&pair.victim].clone(),
            culprit: names[&pair.culprit].clone(),
            busy: pair.busy,
            mean: estimate.mean,
            variance: estimate.variance,
        };
        let mut all: Vec<PairEstimate> = self.pairs.iter().map(exported).collect();
        all.sort_by(|a, b| (&a.victim, &a.culprit).cmp(&(&b.victim, &b.culprit)));
        all
    }

    /// Adds stored estimates; they replace those of the same pairs.
    pub fn import(&mut self, all: Vec<PairEstimate>) {
        for stored in all {
            let pair = Pair {
                victim: self.kind_index(&stored.victim),
                culprit: self.kind_index(&stored.culprit),
                busy: stored.busy,
            };
            let estimate = Estimate {
                mean: stored.mean,
                variance: stored.variance,
            };
            self.pairs.insert(pair, estimate);
        }
    }

    fn prior(&self) -> Estimate {
        Estimate {
            mean: self.parameters.prior,
            variance: self.parameters.variance,
        }
    }

    fn estimate(&self, victim: &str, culprit: &str, busy: bool) -> Estimate {
        let ids = self.kinds.get(victim).zip(self.kinds.get(culprit));
        let Some((&victim, &culprit)) = ids else {
            return self.prior();
        };
        let pair = |busy| Pair {
            victim,
            culprit,
            busy,
        };
        let exact = self.pairs.get(&pair(busy));
        // Without an estimate in this load band, the other band's is closer than the prior.
        let nearest = exact.or_else(|| self.pairs.get(&pair(!busy)));
        nearest.copied().unwrap_or_else(|| self.prior())
    }

    /// Returns the index of a kind; a new kind gets the next one.
    fn kind_index(&mut self, name: &Name) -> u32 {
        let next = self.kinds.len() as u32;
        *self.kinds.entry(name.clone()).or_insert(next)
    }
}
