//! How much fillers slow the serving tasks beside them.
//!
//! The tail of a serving task behaves like that of a queue: with a share `x`
//! of its server busy, it is the tail of an idle one over `1 - x`. Measured
//! tails are turned into such shares, which add up: the task's own load and a
//! part for each filler, its processor share times what its image presses on
//! the serving image. These factors are learned for each pair of images, from
//! what a task shows beyond the own load that the others of its step tell of.

use std::collections::HashMap;

use super::colocation::BestEffortTask;
use super::loads::UNMEASURED;
use super::spec::StepSpec;
use super::worker::{ImageShares, Worker};
use crate::harm::{Harm, Known, Model};
use crate::utils::Name;

/// Factor of a pair of images before any was measured, and the noise of one report:
/// shares and tails are rough.
const MODEL: Model = Model {
    prior: 1.0,
    variance: 4.0,
    noise: 0.004,
    drift: 0.0005,
    caution: 0.3,
};
/// How far the own load of a serving task may rise while a filler that is
/// placed beside it runs, and where that ends: own loads swing by a half
/// around their mean, over ten seconds and more, while a task runs for two.
const RISE: f64 = 0.25;
/// Own load that is not exceeded often.
const PEAK: f64 = 0.72;
/// Busy share at which a tail is at its target of five idle tails.
const BORNE: f64 = 0.8;
/// Share of a worker's processors below which a filler tells nothing.
const SLIGHT: f64 = 0.005;
/// What is known of how fillers slow serving tasks.
pub struct InterferenceModel {
    harm: Harm,
    /// Numbers of images.
    numbers: HashMap<Name, ImageNumber>,
    /// Factors with caution by victim and culprit, since placement asks for
    /// thousands of them.
    factors: Vec<Vec<f64>>,
    /// True when something was learned since it was last kept.
    learned: bool,
}

/// Number of an image.
pub type ImageNumber = usize;

impl Default for InterferenceModel {
    fn default() -> Self {
        Self {
            harm: Harm::new(MODEL),
            numbers: HashMap::new(),
            factors: Vec::new(),
            learned: false,
        }
    }
}

/// How differently fillers press on each two images: sums of differences of their factors.
pub struct ImageDistances(Vec<Vec<f64>>);

impl ImageDistances {
    /// Returns the distance of two images, 0 where one is not known.
    pub fn between(&self, a: ImageNumber, b: ImageNumber) -> f64 {
        let row = self.0.get(a);
        row.and_then(|r| r.get(b)).copied().unwrap_or(0.0)
    }
}

impl InterferenceModel {
    /// Returns what was learned, to be kept, if that is more than before.
    pub fn export(&mut self) -> Option<Vec<Known>> {
        std::mem::take(&mut self.learned).then(|| self.harm.export())
    }

    /// Goes on with what an earlier owner learned.
    pub fn import(&mut self, all: Vec<Known>) {
        self.harm.import(all.clone());
        for known in all {
            self.cache_factor(&known.victim, &known.culprit);
        }
    }

    /// Keeps the factor of a pair at hand.
    fn cache_factor(&mut self, victim: &Name, culprit: &Name) {
        let row = self.intern(victim);
        let column = self.intern(culprit);
        self.factors[row][column] = self.harm.of(victim, culprit, false);
    }

    /// Returns the number of an image, a new one when it was not met before.
    pub fn intern(&mut self, image: &Name) -> ImageNumber {
        if let Some(number) = self.numbers.get(image) {
            return *number;
        }
        let number = self.numbers.len();
        self.numbers.insert(image.clone(), number);
        let unseen = self.harm.of(image, image, false);
        self.factors.iter_mut().for_each(|row| row.push(unseen));
        self.factors.push(vec![unseen; number + 1]);
        number
    }

    /// Returns the number of an image, or one that stands for unknown images.
    pub fn image_number(&self, image: &str) -> ImageNumber {
        self.numbers.get(image).copied().unwrap_or(ImageNumber::MAX)
    }

    /// Returns the factor of a pair of images, with caution.
    pub(super) fn factor(&self, victim: ImageNumber, culprit: ImageNumber) -> f64 {
        let row = self.factors.get(victim);
        row.and_then(|r| r.get(culprit))
            .copied()
            .unwrap_or(MODEL.prior)
    }

    /// Returns how differently fillers press on each two images.
    ///
    /// All at once, as a look for swaps asks thousands of times for those of a few images.
    pub fn distances(&self) -> ImageDistances {
        let apart = |a: &Vec<f64>, b: &Vec<f64>| -> f64 {
            a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum()
        };
        let of_row = |row: &Vec<f64>| self.factors.iter().map(|b| apart(row, b)).collect();
        ImageDistances(self.factors.iter().map(of_row).collect())
    }

    /// Returns the part of a serving image's server that a filler takes at full pace.
    fn load_part(&self, victim: ImageNumber, culprit: ImageNumber, cpu: u64, capacity: u64) -> f64 {
        self.factor(victim, culprit) * cpu as f64 / capacity.max(1) as f64
    }

    /// Returns how far the serving tasks of a worker would be over their goal
    /// with one more task of a step there; `number` is that of its image.
    pub fn excess_with(&self, worker: &Worker, step: &StepSpec, number: ImageNumber) -> f64 {
        let capacity = worker.listing.capacity.cpu;
        let colocation = &worker.colocation;
        let parts = |victim: ImageNumber| -> f64 {
            let load_part = |f: &BestEffortTask| self.load_part(victim, f.image, f.cpu, capacity);
            colocation.best_effort.iter().map(load_part).sum()
        };
        if !step.best_effort {
            return (PEAK + parts(number) - BORNE).max(0.0);
        }
        let over = colocation.serving.iter().map(|victim| {
            let own = victim.own_load.unwrap_or(UNMEASURED);
            let peak = (own + RISE).min(PEAK.max(own));
            let added = self.load_part(victim.image, number, step.resources.cpu, capacity);
            let before = peak + parts(victim.image) - BORNE;
            (before + added).max(0.0) - before.max(0.0)
        });
        over.sum()
    }

    /// Returns the part of a serving image's server that a mix of fillers takes,
    /// without caution, and the variance of that.
    pub(super) fn mix_load(&self, victim: &str, mix: &ImageShares) -> (f64, f64) {
        let (mut load, mut variance) = (0.0, 0.0);
        for (image, share) in mix {
            let (mean, spread) = self.harm.estimated(victim, image, false);
            load += mean * share;
            variance += spread * share * share;
        }
        (load.max(0.0), variance)
    }

    /// Learns from the part of a serving task's server that fillers took, which is
    /// known with a variance.
    pub(super) fn learn(&mut self, victim: &Name, mix: &ImageShares, taken: f64, variance: f64) {
        let shares = mix.iter().filter(|(_, share)| **share > SLIGHT);
        let shares: Vec<(Name, f64)> = shares.map(|(i, s)| (i.clone(), *s)).collect();
        if !shares.is_empty() {
            self.harm
                .learn_weighted(victim, &shares, taken, false, variance);
            shares
                .iter()
                .for_each(|(image, _)| self.cache_factor(victim, image));
            self.learned = true;
        }
    }
}
