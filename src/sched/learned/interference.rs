//! Learned model of how much best-effort tasks interfere with the serving tasks beside them.
//!
//! The tail latency of a serving task behaves like that of a queue: with a share `x` of its
//! server busy, it is the tail of an idle server divided by `1 - x`. Measured tails are converted
//! to busy shares, which are additive: the task's own load plus, for each best-effort task, its
//! processor share times an interference factor. The factors are learned for each pair of images,
//! from the busy share of a serving task beyond the own load estimated from the other tasks of its
//! step. The estimates are those of [`crate::interference`], with images as kinds of work.

use std::collections::HashMap;

use crate::interference::{InterferenceEstimates, ModelParameters, PairEstimate};
use crate::sched::colocation::BestEffortTask;
use crate::sched::learned::loads::DEFAULT_LOAD;
use crate::sched::spec::StepSpec;
use crate::sched::worker::{ImageShares, Worker};
use crate::utils::Name;

/// Prior of the factor of a pair of images, and the noise of one report: shares and tails are
/// imprecise.
const MODEL: ModelParameters = ModelParameters {
    prior: 1.0,
    variance: 4.0,
    noise: 0.004,
    drift: 0.0005,
    caution: 0.3,
};
/// How far the own load of a serving task may rise while a best-effort task beside it runs.
///
/// Own loads swing by half around their mean in 10 s and more, while a best-effort task runs for
/// 2 s. The rise ends at `PEAK_LOAD`.
const LOAD_RISE: f64 = 0.25;
/// Own load that is rarely exceeded.
const PEAK_LOAD: f64 = 0.72;
/// Busy share at which a tail is at its latency target of five idle tails.
const TARGET_BUSY: f64 = 0.8;
/// Weight of pressure on a serving task that stays below its target, relative to excess. A task
/// that takes all that a serving task leaves free then costs about a third of a worker's load, so
/// that a burst is spread, and no task waits for this reason alone.
const PRESSURE: f64 = 0.2;
/// Share of a worker's processors below which nothing is learned of a best-effort task.
const MIN_SHARE: f64 = 0.005;

/// Interference factors of pairs of images, learned from reports.
pub struct InterferenceModel {
    estimates: InterferenceEstimates,
    /// Numbers of images by name.
    numbers: HashMap<Name, ImageNumber>,
    /// Cautious factors by victim and culprit, cached because placement reads thousands of them.
    factors: Vec<Vec<f64>>,
    /// True when something was learned since the last export.
    changed: bool,
}

/// Returns how much a best-effort task that adds `added` busy share presses on a serving task, where
/// others, also those not yet reported, add `present` and `headroom` is left by its own load. The
/// more of the headroom is taken, the higher it is.
fn pressure(added: f64, present: f64, headroom: f64) -> f64 {
    let taken = (present + added) / headroom.max(added).max(f64::MIN_POSITIVE);
    added * taken.min(1.0)
}

/// Index of an image in the interference model.
pub type ImageNumber = usize;

impl Default for InterferenceModel {
    fn default() -> Self {
        Self {
            estimates: InterferenceEstimates::new(MODEL),
            numbers: HashMap::new(),
            factors: Vec::new(),
            changed: false,
        }
    }
}

/// How differently best-effort images interfere with each two images: the sums of the absolute
/// differences of their factors.
pub struct ImageDistances(Vec<Vec<f64>>);

impl ImageDistances {
    /// Returns the distance between two images; 0 if either is unknown.
    pub fn between(&self, a: ImageNumber, b: ImageNumber) -> f64 {
        let row = self.0.get(a);
        row.and_then(|r| r.get(b)).copied().unwrap_or(0.0)
    }
}

impl InterferenceModel {
    /// Returns all estimates for storage if something was learned since the last export.
    pub fn export(&mut self) -> Option<Vec<PairEstimate>> {
        std::mem::take(&mut self.changed).then(|| self.estimates.export())
    }

    /// Adopts the estimates that an earlier owner stored.
    pub fn import(&mut self, all: Vec<PairEstimate>) {
        self.estimates.import(all.clone());
        for known in all {
            self.cache_factor(&known.victim, &known.culprit);
        }
    }

    /// Updates the cached factor of a pair.
    fn cache_factor(&mut self, victim: &Name, culprit: &Name) {
        let row = self.intern(victim);
        let column = self.intern(culprit);
        self.factors[row][column] = self.estimates.upper_estimate(victim, culprit, false);
    }

    /// Returns the number of an image, assigning one to an image that has none.
    pub fn intern(&mut self, image: &Name) -> ImageNumber {
        if let Some(number) = self.numbers.get(image) {
            return *number;
        }
        let number = self.numbers.len();
        self.numbers.insert(image.clone(), number);
        let prior = self.estimates.upper_estimate(image, image, false);
        self.factors.iter_mut().for_each(|row| row.push(prior));
        self.factors.push(vec![prior; number + 1]);
        number
    }

    /// Returns the number of an image; `ImageNumber::MAX` if it is unknown.
    pub fn image_number(&self, image: &str) -> ImageNumber {
        self.numbers.get(image).copied().unwrap_or(ImageNumber::MAX)
    }

    /// Returns the cautious factor of a pair of images.
    pub(in crate::sched) fn factor(&self, victim: ImageNumber, culprit: ImageNumber) -> f64 {
        let row = self.factors.get(victim);
        row.and_then(|r| r.get(culprit))
            .copied()
            .unwrap_or(MODEL.prior)
    }

    /// Returns the distances between all images.
    ///
    /// They are computed at once because a search for swaps reads the distances of a few images
    /// thousands of times.
    pub fn distances(&self) -> ImageDistances {
        let row_distance = |a: &Vec<f64>, b: &Vec<f64>| -> f64 {
            a.iter().zip(b).map(|(a, b)| (a - b).abs()).sum()
        };
        let row_distances =
            |row: &Vec<f64>| self.factors.iter().map(|b| row_distance(row, b)).collect();
        ImageDistances(self.factors.iter().map(row_distances).collect())
    }

    /// Returns the busy share that a best-effort task of `cpu` thousandths of cores adds to a
    /// serving task while it runs at full speed.
    fn added_load(
        &self,
        victim: ImageNumber,
        culprit: ImageNumber,
        cpu: u64,
        capacity: u64,
    ) -> f64 {
        self.factor(victim, culprit) * cpu as f64 / capacity.max(1) as f64
    }

    /// Returns the busy share beyond `TARGET_BUSY` that one more task of a step would cause on a
    /// worker: of the task itself if it is a serving task, else added to the serving tasks there.
    ///
    /// `number` is that of the step's image.
    pub fn excess_with(&self, worker: &Worker, step: &StepSpec, number: ImageNumber) -> f64 {
        let capacity = worker.listing.capacity.cpu;
        let colocation = &worker.colocation;
        let interference = |victim: ImageNumber| -> f64 {
            let load =
                |task: &BestEffortTask| self.added_load(victim, task.image, task.cpu, capacity);
            colocation.best_effort.iter().map(load).sum()
        };
        if !step.best_effort {
            return (PEAK_LOAD + interference(number) - TARGET_BUSY).max(0.0);
        }
        let over = colocation.serving.iter().map(|victim| {
            let own = victim.own_load.unwrap_or(DEFAULT_LOAD);
            let rising = || (own + LOAD_RISE).min(PEAK_LOAD.max(own));
            let peak = victim.expected_load.unwrap_or_else(rising);
            let added = self.added_load(victim.image, number, step.resources.cpu, capacity);
            let present = interference(victim.image);
            let before = peak + present - TARGET_BUSY;
            let excess = (before + added).max(0.0) - before.max(0.0);
            let pressure = match victim.expected_load {
                Some(load) => PRESSURE * pressure(added, present, TARGET_BUSY - load),
                None => 0.0,
            };
            excess + pressure
        });
        over.sum()
    }

    /// Returns the busy share that a mix of best-effort tasks adds to a serving image, without
    /// caution, and its variance.
    pub(in crate::sched) fn mix_load(&self, victim: &str, mix: &ImageShares) -> (f64, f64) {
        let (mut load, mut variance) = (0.0, 0.0);
        for (image, share) in mix {
            let (mean, spread) = self.estimates.mean_and_variance(victim, image, false);
            load += mean * share;
            variance += spread * share * share;
        }
        (load.max(0.0), variance)
    }

    /// Learns from the busy share that a mix of best-effort tasks added to a serving task, which
    /// is known with this variance.
    pub(in crate::sched) fn learn(
        &mut self,
        victim: &Name,
        mix: &ImageShares,
        load: f64,
        variance: f64,
    ) {
        let shares = mix.iter().filter(|(_, share)| **share > MIN_SHARE);
        let shares: Vec<(Name, f64)> = shares.map(|(i, s)| (i.clone(), *s)).collect();
        if !shares.is_empty() {
            self.estimates
                .learn_weighted(victim, &shares, load, false, variance);
            shares
                .iter()
                .for_each(|(image, _)| self.cache_factor(victim, image));
            self.changed = true;
        }
    }
}
