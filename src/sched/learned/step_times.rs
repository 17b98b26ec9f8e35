//! Run times of the ended tasks of single steps.
//!
//! Load: the declared run times of one kind are off by another factor in each job. The tasks of one
//! step share their declaration, so a run is best compared with its siblings on other workers.

use std::collections::{HashMap, VecDeque};

use crate::sched::job::StepKey;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Ends kept for each step.
const MAX_ENDS: usize = 15;
/// Siblings on other workers from which on their median counts: one long run among three does not
/// change it.
const MIN_SIBLINGS: usize = 3;
/// Most steps that are remembered; the one that was added first is removed first.
const MAX_STEPS: usize = 2_048;

/// Run times of ended tasks, by step.
#[derive(Default)]
pub(in crate::sched) struct StepTimes {
    steps: HashMap<StepKey, VecDeque<(Name, Millis)>>,
    /// The steps in the order in which they were added.
    order: VecDeque<StepKey>,
}

impl StepTimes {
    /// Records the run time of an ended task of a step.
    pub fn record(&mut self, step: StepKey, worker: &Name, measured: Millis) {
        if !self.steps.contains_key(&step) {
            self.order.push_back(step);
        }
        if self.order.len() > MAX_STEPS
            && let Some(oldest) = self.order.pop_front()
        {
            self.steps.remove(&oldest);
        }
        let ends = self.steps.entry(step).or_default();
        if ends.len() == MAX_ENDS {
            ends.pop_front();
        }
        ends.push_back((worker.clone(), measured));
    }

    /// Returns the median run time of the ended tasks of a step on other workers; `None` while
    /// these are too few.
    pub fn reference(&self, step: StepKey, worker: &Name) -> Option<Millis> {
        let ends = self.steps.get(&step)?.iter();
        let others = ends.filter(|(on, _)| on != worker);
        let mut times: Vec<Millis> = others.map(|(_, measured)| *measured).collect();
        times.sort_unstable();
        (times.len() >= MIN_SIBLINGS).then(|| times[times.len() / 2])
    }
}
