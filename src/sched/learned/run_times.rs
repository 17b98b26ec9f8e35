//! Learned run times of tasks of one kind.
//!
//! Load: declared run times are off by a constant factor of their kind, a few tasks of a kind take
//! several times as long as the others, and run times grow while the owner serves. The ratios of
//! measured to declared run times are kept for each kind in a histogram over the last ends, so that
//! single long runs change the tail and not the median.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Unit of a ratio in the histograms.
const THOUSANDTHS: f64 = 1_000.0;
/// Highest ratio that is kept, in thousandths. Declared times are off by up to a factor of ten, and
/// long runs take seven times as long as others.
const MAX_RATIO: u64 = 1_000_000;
/// Highest ratio in a snapshot: a quantile is the upper end of its range, up to 1 % above.
const MAX_STORED_RATIO: u64 = MAX_RATIO + MAX_RATIO / 100;
/// Significant digits of a ratio: an error of 1 % is far below the spread of run times.
const DIGITS: u8 = 2;
/// Ends after which a window is full. Quantiles are those of the last full window and the present
/// one, so that a change of run times has reached the median after this many ends.
const WINDOW: u64 = 50;
/// Ends from which on the median is used: two long runs among five do not change it by much.
const MIN_ENDS: u64 = 5;
/// Ends from which on the tail is used: before that, no end lies beyond the 95th percentile.
const MIN_TAIL_ENDS: u64 = 20;
/// Most kinds that are remembered; the one that ended least recently is removed first. Each takes
/// 15 KB.
const MAX_KINDS: usize = 256;
/// Quantiles in a snapshot, in hundredths. Each stands for the same number of ends.
const STORED_QUANTILES: [u32; 10] = [5, 15, 25, 35, 45, 55, 65, 75, 85, 95];
/// Highest ratio of the upper to the lower quartile with which the median tells what a single task
/// should take: with a wider spread a worker that is slower by four is not told from a normal one.
const MAX_QUARTILES: f64 = 2.0;

/// Tasks whose run times are alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(in crate::sched) struct Kind {
    /// Name of the queue.
    pub queue: Name,
    /// Image of the step; empty when unnamed.
    pub image: Name,
}

/// Learned ratios of one kind, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(in crate::sched) struct StoredKind {
    /// Name of the queue.
    pub queue: Name,
    /// Image of the step.
    pub image: Name,
    /// Ends that the quantiles stand for.
    pub ends: u64,
    /// Ratios at `STORED_QUANTILES`, in thousandths.
    pub ratios: Vec<u64>,
}

/// Ratios of one kind.
struct Ratios {
    /// Ratios of the last full window and the present one.
    all: Histogram<u32>,
    /// Ratios of the present window.
    window: Histogram<u32>,
    /// Quantiles of `all`, which are read much more often than they change.
    median: f64,
    tail: f64,
    /// Ratio of the upper to the lower quartile.
    quartiles: f64,
    /// Number of the last end among those of all kinds.
    last_end: u64,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_RATIO, DIGITS).expect("the bounds are valid")
}

impl Ratios {
    fn new() -> Self {
        Self {
            all: histogram(),
            window: histogram(),
            median: 1.0,
            tail: 1.0,
            quartiles: 1.0,
            last_end: 0,
        }
    }

    /// Adds an end with this ratio in thousandths.
    fn add(&mut self, ratio: u64) {
        let ratio = ratio.clamp(1, MAX_RATIO);
        if self.window.len() >= WINDOW {
            self.all = self.window.clone();
            self.window.reset();
        }
        self.all.saturating_record(ratio);
        self.window.saturating_record(ratio);
    }

    /// Adds `ends` ends with one ratio in thousandths that belong to the last full window. In the
    /// present window, which replaces the last one as a whole, stored quantiles would stay only in
    /// part, as they come in the order of their size.
    fn add_earlier(&mut self, ratio: u64, ends: u32) {
        self.all
            .saturating_record_n(ratio.clamp(1, MAX_RATIO), ends);
    }

    fn update_quantiles(&mut self) {
        let quantile = |q: f64| self.all.value_at_quantile(q).max(1) as f64 / THOUSANDTHS;
        let (lower, upper) = (quantile(0.25), quantile(0.75));
        (self.median, self.tail) = (quantile(0.5), quantile(0.95));
        self.quartiles = upper / lower;
    }

    fn stored(&self, kind: &Kind) -> StoredKind {
        let ratio = |q: &u32| self.all.value_at_quantile(f64::from(*q) / 100.0);
        StoredKind {
            queue: kind.queue.clone(),
            image: kind.image.clone(),
            ends: self.all.len(),
            ratios: STORED_QUANTILES.iter().map(ratio).collect(),
        }
    }
}

/// Run times of ended tasks in relation to the declared ones, by kind.
#[derive(Default)]
pub(in crate::sched) struct RunTimes {
    kinds: HashMap<Kind, Ratios>,
    /// Number of recorded ends.
    ends: u64,
}

impl RunTimes {
    /// Records the run time of an ended task. Tasks without a declared run time have no ratio.
    pub fn record(&mut self, kind: &Kind, declared: Millis, measured: Millis) {
        if declared == 0 {
            return;
        }
        self.ends += 1;
        let ratio = (measured as f64 / declared as f64 * THOUSANDTHS).round() as u64;
        let number = self.ends;
        let ratios = self.ratios_of(kind);
        ratios.add(ratio);
        ratios.last_end = number;
        ratios.update_quantiles();
    }

    /// Returns the ratios of a kind, and removes another kind if there are too many.
    fn ratios_of(&mut self, kind: &Kind) -> &mut Ratios {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            let oldest = self.kinds.iter().min_by_key(|(_, ratios)| ratios.last_end);
            let oldest = oldest.map(|(kind, _)| kind.clone());
            oldest.and_then(|kind| self.kinds.remove(&kind));
        }
        self.kinds.entry(kind.clone()).or_insert_with(Ratios::new)
    }

    /// Returns the run time that half of the tasks of a kind exceed, given the declared one.
    pub fn expected(&self, kind: &Kind, declared: Millis) -> Millis {
        match self.known(kind, MIN_ENDS) {
            Some(ratios) => scale(declared, ratios.median),
            None => declared,
        }
    }

    /// Returns the run time that one task of a kind in 20 exceeds, given the declared one; `None`
    /// before enough tasks have ended.
    pub fn tail(&self, kind: &Kind, declared: Millis) -> Option<Millis> {
        let ratios = self.known(kind, MIN_TAIL_ENDS)?;
        Some(scale(declared, ratios.tail))
    }

    /// Returns the run time against which a single run may be judged; `None` before enough tasks
    /// have ended, and when the run times of the kind differ too much.
    pub fn reference(&self, kind: &Kind, declared: Millis) -> Option<Millis> {
        let ratios = self.known(kind, MIN_TAIL_ENDS)?;
        (ratios.quartiles <= MAX_QUARTILES).then(|| scale(declared, ratios.median))
    }

    fn known(&self, kind: &Kind, ends: u64) -> Option<&Ratios> {
        let ratios = self.kinds.get(kind)?;
        (ratios.all.len() >= ends).then_some(ratios)
    }

    /// Returns the number of recorded ends.
    pub fn ends(&self) -> u64 {
        self.ends
    }

    /// Returns the learned ratios for storage, the most recently used kinds first.
    pub fn export(&self) -> Vec<StoredKind> {
        let mut kinds: Vec<(&Kind, &Ratios)> = self.kinds.iter().collect();
        kinds.sort_by(|a, b| b.1.last_end.cmp(&a.1.last_end).then(a.0.cmp(b.0)));
        kinds
            .into_iter()
            .map(|(k, ratios)| ratios.stored(k))
            .collect()
    }

    /// Imports stored ratios of kinds that are not known yet. `weight`, from 0 to 1, is the part
    /// of their ends that still counts. Returns the number of imported kinds.
    pub fn import(&mut self, stored: &[StoredKind], weight: f64) -> usize {
        let mut imported = 0;
        for entry in stored.iter().take(MAX_KINDS) {
            let count = STORED_QUANTILES.len();
            let ends = entry.ends.min(2 * WINDOW) as f64 * weight.clamp(0.0, 1.0);
            let each = (ends / count as f64).round() as u32;
            let kind = Kind {
                queue: entry.queue.clone(),
                image: entry.image.clone(),
            };
            if each == 0 || !is_plausible(&entry.ratios) || self.kinds.contains_key(&kind) {
                continue;
            }
            let mut ratios = Ratios::new();
            for ratio in &entry.ratios {
                ratios.add_earlier(*ratio, each);
            }
            ratios.update_quantiles();
            self.kinds.insert(kind, ratios);
            imported += 1;
        }
        imported
    }
}

/// Returns true for ratios that an owner may have stored: one for each quantile, none of them lower
/// than the one before.
fn is_plausible(ratios: &[u64]) -> bool {
    let bounded = |ratio: &u64| (1..=MAX_STORED_RATIO).contains(ratio);
    ratios.len() == STORED_QUANTILES.len() && ratios.is_sorted() && ratios.iter().all(bounded)
}

/// Returns a run time times a ratio, at least 1 ms unless the run time is 0.
fn scale(declared: Millis, ratio: f64) -> Millis {
    match declared {
        0 => 0,
        _ => ((declared as f64 * ratio).round() as Millis).max(1),
    }
}
