//! How much one kind of work slows another, learned from measurements.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::utils::Name;

/// What is assumed before and about measurements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Harm assumed of a pair that was never seen together.
    pub prior: f64,
    /// Variance of that assumption.
    pub variance: f64,
    /// Variance of one measurement.
    pub noise: f64,
    /// Variance that a pair gains with each measurement, as harm shifts with load.
    pub drift: f64,
    /// Standard deviations added to an estimate when caution is asked for.
    pub caution: f64,
}

impl Default for Model {
    /// Suits slowdowns of whole tasks, where 1 is a task alone.
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

/// An estimate as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// Kind that suffers.
    pub victim: Name,
    /// Kind that it suffers from.
    pub culprit: Name,
    /// True for the band of high load.
    pub busy: bool,
    /// Expected harm.
    pub mean: f64,
    /// Variance of that.
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

/// Estimates of harm for each pair of kinds and load band.
///
/// The model is additive: the slowdown of a kind is 1 plus the harm of each
/// kind beside it, weighted by its share. Each measurement moves the estimates
/// by a Kalman step with a diagonal covariance, so that uncertain pairs move
/// most.
#[derive(Clone, Debug, Default)]
pub struct Harm {
    model: Model,
    kinds: HashMap<Name, u32>,
    pairs: HashMap<Pair, Estimate>,
}

impl Harm {
    /// Returns estimates that start from a model.
    pub fn new(model: Model) -> Self {
        Self {
            model,
            ..Self::default()
        }
    }

    /// Returns the expected harm of `culprit` to `victim`, with caution added.
    pub fn of(&self, victim: &str, culprit: &str, busy: bool) -> f64 {
        let estimate = self.estimate(victim, culprit, busy);
        (estimate.mean + self.model.caution * estimate.variance.sqrt()).max(0.0)
    }

    /// Returns the estimate without caution and its variance.
    pub fn estimated(&self, victim: &str, culprit: &str, busy: bool) -> (f64, f64) {
        let estimate = self.estimate(victim, culprit, busy);
        (estimate.mean, estimate.variance)
    }

    /// Takes in a measurement in which each kind beside it counts alike.
    pub fn learn(&mut self, sample: &Sample) {
        if sample.others.is_empty() || !sample.slowdown.is_finite() {
            return;
        }
        let others: Vec<(Name, f64)> = sample.others.iter().map(|o| (o.clone(), 1.0)).collect();
        let suffered = sample.slowdown - 1.0;
        self.learn_weighted(&sample.kind, &others, suffered, sample.busy, 0.0);
    }

    /// Takes in what a kind suffered beside others with their weights, known with a
    /// variance beyond the noise of one measurement.
    pub fn learn_weighted(
        &mut self,
        victim: &Name,
        others: &[(Name, f64)],
        suffered: f64,
        busy: bool,
        variance: f64,
    ) {
        let noise = self.model.noise + variance;
        let victim = self.kind(victim);
        let pairs: Vec<(Pair, f64)> = others
            .iter()
            .map(|(other, weight)| {
                let culprit = self.kind(other);
                let pair = Pair {
                    victim,
                    culprit,
                    busy,
                };
                (pair, *weight)
            })
            .collect();
        let unseen = self.unseen();
        let known = |p: &Pair| self.pairs.get(p).copied().unwrap_or(unseen);
        let expected: f64 = pairs.iter().map(|(p, w)| w * known(p).mean).sum();
        let spread: f64 = pairs.iter().map(|(p, w)| w * w * known(p).variance).sum();
        let error = suffered - expected;
        for (pair, weight) in pairs {
            let estimate = self.pairs.entry(pair).or_insert(unseen);
            let gain = weight * estimate.variance / (spread + noise);
            estimate.mean += gain * error;
            estimate.variance = estimate.variance * (1.0 - gain * weight) + self.model.drift;
        }
    }

    /// Returns all estimates, to be kept.
    pub fn export(&self) -> Vec<Known> {
        let names: HashMap<u32, &Name> = self.kinds.iter().map(|(n, k)| (*k, n)).collect();
        let known = |(pair, estimate): (&Pair, &Estimate)| Known {
            victim: names[&pair.victim].clone(),
            culprit: names[&pair.culprit].clone(),
            busy: pair.busy,
            mean: estimate.mean,
            variance: estimate.variance,
        };
        let mut all: Vec<Known> = self.pairs.iter().map(known).collect();
        all.sort_by(|a, b| (&a.victim, &a.culprit).cmp(&(&b.victim, &b.culprit)));
        all
    }

    /// Takes in estimates that were kept.
    pub fn import(&mut self, all: Vec<Known>) {
        for known in all {
            let pair = Pair {
                victim: self.kind(&known.victim),
                culprit: self.kind(&known.culprit),
                busy: known.busy,
            };
            let estimate = Estimate {
                mean: known.mean,
                variance: known.variance,
            };
            self.pairs.insert(pair, estimate);
        }
    }

    fn unseen(&self) -> Estimate {
        Estimate {
            mean: self.model.prior,
            variance: self.model.variance,
        }
    }

    fn estimate(&self, victim: &str, culprit: &str, busy: bool) -> Estimate {
        let ids = self.kinds.get(victim).zip(self.kinds.get(culprit));
        let Some((&victim, &culprit)) = ids else {
            return self.unseen();
        };
        let pair = |busy| Pair {
            victim,
            culprit,
            busy,
        };
        let exact = self.pairs.get(&pair(busy));
        // The other band tells more than nothing.
        let near = exact.or_else(|| self.pairs.get(&pair(!busy)));
        near.copied().unwrap_or_else(|| self.unseen())
    }

    fn kind(&mut self, name: &Name) -> u32 {
        let next = self.kinds.len() as u32;
        *self.kinds.entry(name.clone()).or_insert(next)
    }
}
