//! Weights of groups of jobs against each other. Load: one queue or one size of job floods the
//! others of its priority.

use crate::sched::shares::outcomes::Tally;

/// Share of jobs on time, relative to the mean of the groups of one priority, below which a group
/// moves ahead: half of the mean is the least that the callers of any group should get.
const FLOOR: f64 = 0.5;
/// Highest weight. With a higher one the largest jobs take the capacity of many more small ones.
const MAX_WEIGHT: f64 = 2.0;
/// Decayed count of jobs below which a group keeps the weight 1, as nothing is known of it.
const MIN_TOTAL: f64 = 1.0;

/// Share and weight of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::sched) struct Weight {
    /// Share of the jobs on time, relative to the mean of the priority.
    pub relative: f64,
    /// Factor for a group below its floor.
    pub factor: f64,
    /// Factor for a queue that was given less than an equal part of the work.
    pub queue: f64,
}

impl Weight {
    /// The weight of a group of which too little is known.
    pub const NEUTRAL: Self = Self {
        relative: 1.0,
        factor: 1.0,
        queue: 1.0,
    };

    /// Returns true when the group is below its floor.
    pub fn is_below_floor(self) -> bool {
        self.factor > 1.0
    }
}

/// Returns the weights of the groups of one priority from their counts.
pub(in crate::sched) fn floor_weights(tallies: &[Tally]) -> Vec<Weight> {
    let share = |t: &Tally| match t.total() >= MIN_TOTAL {
        true => t.on_time_share(),
        false => None,
    };
    let shares: Vec<Option<f64>> = tallies.iter().map(share).collect();
    let known: Vec<f64> = shares.iter().flatten().copied().collect();
    let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
    let weight = |share: Option<f64>| {
        let Some(share) = share.filter(|_| mean > 0.0) else {
            return Weight::NEUTRAL;
        };
        let relative = share / mean;
        Weight {
            relative,
            queue: 1.0,
            factor: (FLOOR / relative.max(FLOOR / MAX_WEIGHT)).max(1.0),
        }
    };
    shares.into_iter().map(weight).collect()
}

/// Returns for each queue of one priority the factor by which the worth of its jobs counts, from the
/// work that each was given lately: more for one that was given less than an equal part. A queue
/// that floods the others so bears the cost itself.
pub(in crate::sched) fn queue_factors(served: &[f64]) -> Vec<f64> {
    let equal = served.iter().sum::<f64>() / served.len().max(1) as f64;
    let factor = |work: &f64| match *work > 0.0 {
        true => (equal / work).clamp(1.0, MAX_WEIGHT),
        false => 1.0,
    };
    served.iter().map(factor).collect()
}

/// Returns the cost of a job whose worth counts by a weight.
pub(in crate::sched) fn weighted_cost(cost: u64, weight: f64) -> u64 {
    (cost as f64 / weight.max(1.0)) as u64
}
