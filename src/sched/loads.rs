//! The own loads of serving tasks, estimated from all tasks of their step.
//!
//! Tasks of one step share their users, so their loads move together. What a task
//! shows beyond the load of the others is what fillers beside it take.

use std::collections::HashMap;

use super::job::StepKey;
use crate::utils::clock::Millis;

/// Variance of one measured load, without what fillers add: tails are whole
/// milliseconds, which is 0.05 of a server near an idle tail of 10.
const NOISE: f64 = 0.002;
/// Variance that a reading gains with each second, as loads move by up to 0.1 in one.
const AGEING: f64 = 0.01;
/// Milliseconds after which a reading says nothing any more.
const OLD: Millis = 1_500;
/// Variance of a load that nothing was measured of.
const UNKNOWN: f64 = 0.04;
/// Own load of a task that was not measured.
pub(super) const UNMEASURED: f64 = 0.5;
/// Part of a new disagreement in that of a step.
const GAIN: f64 = 0.05;

/// An own load and how sure it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Busy share of the server that is the task's own.
    pub load: f64,
    /// Variance of that.
    pub variance: f64,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    index: u32,
    at: Millis,
    load: f64,
    variance: f64,
}

#[derive(Debug, Default)]
struct StepLoad {
    readings: Vec<Reading>,
    /// Mean square by which tasks differ from the others beyond their noise.
    unlike: f64,
}

/// Readings of the tasks of each step.
#[derive(Debug, Default)]
pub(super) struct OwnLoads {
    steps: HashMap<StepKey, StepLoad>,
}

impl OwnLoads {
    /// Takes in what a task of a step was measured to load its server with, less
    /// what fillers are thought to take with this variance.
    pub fn record(&mut self, step: StepKey, index: u32, load: f64, mix_variance: f64, now: Millis) {
        let variance = NOISE + mix_variance;
        let others = self.estimate_from_others(step, index, now);
        let entry = self.steps.entry(step).or_default();
        if let Some(others) = others {
            let beyond = (load - others.load).powi(2) - variance - others.variance;
            entry.unlike = (entry.unlike + (beyond - entry.unlike) * GAIN).max(0.0);
        }
        entry
            .readings
            .retain(|r| r.index != index && now < r.at + OLD);
        entry.readings.push(Reading {
            index,
            at: now,
            load,
            variance,
        });
    }

    /// Returns what the other tasks of a step tell of the own load of one.
    pub fn estimate_from_others(&self, step: StepKey, index: u32, now: Millis) -> Option<Estimate> {
        let entry = self.steps.get(&step)?;
        let others = entry.readings.iter().filter(|r| r.index != index);
        let estimate = mean(others, now)?;
        Some(Estimate {
            variance: estimate.variance + entry.unlike,
            ..estimate
        })
    }

    /// Returns the own load of a task, out of its own readings and the others'.
    pub fn estimate(&self, step: StepKey, index: u32, now: Millis) -> Estimate {
        let own = self.steps.get(&step).and_then(|entry| {
            let own = entry.readings.iter().filter(|r| r.index == index);
            mean(own, now)
        });
        let unknown = Estimate {
            load: UNMEASURED,
            variance: UNKNOWN,
        };
        match (own, self.estimate_from_others(step, index, now)) {
            (Some(a), Some(b)) => joined(a, b),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => unknown,
        }
    }

    /// Forgets steps of which nothing was heard of late.
    pub fn remove_stale(&mut self, now: Millis) {
        self.steps
            .retain(|_, entry| entry.readings.iter().any(|r| now < r.at + OLD));
    }
}

/// Returns the mean of readings, each weighted by how sure it is by now.
fn mean<'a>(readings: impl Iterator<Item = &'a Reading>, now: Millis) -> Option<Estimate> {
    let (mut weights, mut loads) = (0.0, 0.0);
    for reading in readings.filter(|r| now < r.at + OLD) {
        let age = (now - reading.at) as f64 / 1_000.0;
        let weight = 1.0 / (reading.variance + AGEING * age);
        weights += weight;
        loads += weight * reading.load;
    }
    (weights > 0.0).then(|| Estimate {
        load: loads / weights,
        variance: 1.0 / weights,
    })
}

/// Joins two estimates of one load.
fn joined(a: Estimate, b: Estimate) -> Estimate {
    let part = b.variance / (a.variance + b.variance);
    Estimate {
        load: a.load * part + b.load * (1.0 - part),
        variance: a.variance * part,
    }
}
