//! Estimates of the own loads of serving tasks: their busy shares without interference.
//!
//! The tasks of one step share their users, so their loads move together. The load of a task
//! beyond that of the others is the interference of best-effort tasks beside it.

use std::collections::HashMap;

use crate::sched::job::StepKey;
use crate::utils::clock::Millis;

/// Variance of one measured load without the uncertainty of the interference. Tails are whole
/// milliseconds, which is 0.05 of a server near an idle tail of 10 ms.
const NOISE_VARIANCE: f64 = 0.002;
/// Variance that a reading gains per second, because loads move by up to 0.1 in a second.
const DRIFT_VARIANCE: f64 = 0.01;
/// Milliseconds after which a reading is ignored.
const MAX_AGE: Millis = 1_500;
/// Variance of the load of a task without readings.
const UNKNOWN_VARIANCE: f64 = 0.04;
/// Own load assumed of a task without readings.
pub(in crate::sched) const DEFAULT_LOAD: f64 = 0.5;
/// Seconds in which the weight of a reading in the trend falls to 1/e. Loads swing in 10 s and
/// more, so a longer memory would report a rise after it has ended.
const TREND_MEMORY: f64 = 1.2;
/// Inverse variance of a trend before any reading: loads move by up to 0.1 in a second.
const TREND_PRIOR: f64 = 100.0;
/// Largest trend per second in either direction, for the same reason with some margin.
const MAX_TREND: f64 = 0.15;
/// Weight of a new reading in the divergence of its step.
const DIVERGENCE_GAIN: f64 = 0.05;

/// An estimated own load and its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::sched) struct Estimate {
    /// Busy share of the server without interference.
    pub load: f64,
    /// Variance of the load.
    pub variance: f64,
}

/// One measured own load of a task.
#[derive(Clone, Copy, Debug)]
struct Reading {
    index: u32,
    at: Millis,
    load: f64,
    variance: f64,
}

/// Weighted sums over the readings of a step, from which a line is fitted. Times are in seconds
/// relative to the last reading.
#[derive(Debug, Default)]
struct TrendSums {
    at: Millis,
    weight: f64,
    time: f64,
    square: f64,
    load: f64,
    product: f64,
}

impl TrendSums {
    /// Adds a load that was measured at `now` with this weight.
    fn add(&mut self, load: f64, weight: f64, now: Millis) {
        if !self.is_recent(now) {
            *self = Self::default();
        }
        let span = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.at = self.at.max(now);
        self.square += span * (span * self.weight - 2.0 * self.time);
        self.time -= span * self.weight;
        self.product -= span * self.load;
        let kept = (-span / TREND_MEMORY).exp();
        self.weight = self.weight * kept + weight;
        self.time *= kept;
        self.square *= kept;
        self.load = self.load * kept + weight * load;
        self.product *= kept;
    }

    /// Returns true while the last reading is recent enough to be used.
    fn is_recent(&self, now: Millis) -> bool {
        now < self.at + MAX_AGE
    }

    /// Returns the slope of the fitted line per second; 0 without recent readings.
    fn slope(&self, now: Millis) -> f64 {
        if !self.is_recent(now) || self.weight <= 0.0 {
            return 0.0;
        }
        let spread = self.square - self.time * self.time / self.weight;
        let joint = self.product - self.time * self.load / self.weight;
        (joint / (spread.max(0.0) + TREND_PRIOR)).clamp(-MAX_TREND, MAX_TREND)
    }
}

/// The readings of the tasks of one step.
#[derive(Debug, Default)]
struct StepLoad {
    readings: Vec<Reading>,
    /// Variance between the tasks of the step beyond the noise of their readings.
    divergence: f64,
    trend: TrendSums,
}

/// Own loads of serving tasks, by step.
#[derive(Debug, Default)]
pub(in crate::sched) struct OwnLoads {
    steps: HashMap<StepKey, StepLoad>,
}

impl OwnLoads {
    /// Records the measured load of a task, from which the estimated interference was already
    /// subtracted; `mix_variance` is the variance of that interference. A load or variance that is
    /// no finite number is ignored.
    pub fn record(&mut self, step: StepKey, index: u32, load: f64, mix_variance: f64, now: Millis) {
        let variance = NOISE_VARIANCE + mix_variance;
        if !load.is_finite() || !variance.is_finite() {
            return;
        }
        let others = self.estimate_from_others(step, index, now);
        let entry = self.steps.entry(step).or_default();
        if let Some(others) = others {
            let squared = (load - others.load).powi(2) - variance - others.variance;
            entry.divergence =
                (entry.divergence + (squared - entry.divergence) * DIVERGENCE_GAIN).max(0.0);
        }
        entry.trend.add(load, 1.0 / variance, now);
        entry
            .readings
            .retain(|r| r.index != index && now < r.at + MAX_AGE);
        entry.readings.push(Reading {
            index,
            at: now,
            load,
            variance,
        });
    }

    /// Returns the own load of a task as estimated from the other tasks of its step.
    pub fn estimate_from_others(&self, step: StepKey, index: u32, now: Millis) -> Option<Estimate> {
        let entry = self.steps.get(&step)?;
        let others = entry.readings.iter().filter(|r| r.index != index);
        let estimate = weighted_mean(others, now)?;
        Some(Estimate {
            variance: estimate.variance + entry.divergence,
            ..estimate
        })
    }

    /// Returns the own load of a task, estimated from its own readings and those of the others.
    pub fn estimate(&self, step: StepKey, index: u32, now: Millis) -> Estimate {
        let own = self.steps.get(&step).and_then(|entry| {
            let own = entry.readings.iter().filter(|r| r.index == index);
            weighted_mean(own, now)
        });
        let default = Estimate {
            load: DEFAULT_LOAD,
            variance: UNKNOWN_VARIANCE,
        };
        match (own, self.estimate_from_others(step, index, now)) {
            (Some(a), Some(b)) => combine(a, b),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => default,
        }
    }

    /// Returns by how much the own loads of a step's tasks rise per second; 0 while unknown.
    pub fn trend(&self, step: StepKey, now: Millis) -> f64 {
        let entry = self.steps.get(&step);
        entry.map_or(0.0, |entry| entry.trend.slope(now))
    }

    /// Removes steps without recent readings.
    pub fn remove_stale(&mut self, now: Millis) {
        self.steps
            .retain(|_, entry| entry.readings.iter().any(|r| now < r.at + MAX_AGE));
    }
}

/// Returns the mean of the readings, weighted by the inverse of their variances at `now`.
fn weighted_mean<'a>(readings: impl Iterator<Item = &'a Reading>, now: Millis) -> Option<Estimate> {
    let (mut weights, mut loads) = (0.0, 0.0);
    for reading in readings.filter(|r| now < r.at + MAX_AGE) {
        let age = (now - reading.at) as f64 / 1_000.0;
        let weight = 1.0 / (reading.variance + DRIFT_VARIANCE * age);
        weights += weight;
        loads += weight * reading.load;
    }
    (weights > 0.0).then(|| Estimate {
        load: loads / weights,
        variance: 1.0 / weights,
    })
}

/// Combines two estimates of the same load, weighted by the inverse of their variances.
fn combine(a: Estimate, b: Estimate) -> Estimate {
    let part = b.variance / (a.variance + b.variance);
    Estimate {
        load: a.load * part + b.load * (1.0 - part),
        variance: a.variance * part,
    }
}
