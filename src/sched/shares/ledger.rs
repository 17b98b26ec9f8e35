//! State of the shares at the owner: the groups of open jobs, their limits, counts and weights.
//! Load: one queue or one size of job floods the others.
//!
//! A new owner rebuilds the state from the rows of jobs that it loads; until enough is known of a
//! group its weight is 1. Jobs that run until they are cancelled or by a schedule have no one end,
//! and are not tracked.

use std::collections::{BTreeSet, HashMap};

use crate::sched::job::{Job, Outcome};
use crate::sched::owner::Owner;
use crate::sched::shares::groups::{GroupId, Groups};
use crate::sched::shares::order::{WORTHLESS_FACTOR, allowed_duration, round_work};
use crate::sched::shares::outcomes::{Outcomes, Tally, Verdict};
use crate::sched::shares::weights::{Weight, floor_weights, queue_factors};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two log lines about one group. Its share may cross the floor with each end
/// of a job.
const LOG_INTERVAL: Millis = 1_000;

/// An open job that is tracked.
#[derive(Clone, Copy, Debug)]
pub(in crate::sched) struct OpenJob {
    group: GroupId,
    /// Wall time until which it is on time.
    due: Millis,
    /// Wall time after which it has no value.
    lapse: Millis,
}

/// A job whose tracking begins.
pub(in crate::sched) struct Entry<'a> {
    /// Number of the job.
    pub number: u32,
    /// Queue of the job.
    pub queue: &'a Name,
    /// Priority of the queue.
    pub priority: u32,
    /// Declared work of the job.
    pub work: f64,
    /// Wall time until which it is on time.
    pub due: Millis,
    /// Wall time after which it has no value.
    pub lapse: Millis,
}

/// Weights of the groups, and what they follow from.
#[derive(Default)]
pub(in crate::sched) struct Shares {
    groups: Groups,
    /// Counts of the groups.
    pub outcomes: Outcomes,
    /// Tracked jobs by number.
    pub open: HashMap<u32, OpenJob>,
    /// Next limit of each open job.
    limits: BTreeSet<(Millis, u32)>,
    weights: Vec<Weight>,
    /// Core-milliseconds that each group was given, decayed like the counts.
    served: Vec<f64>,
    /// Whether each group was below its floor in its last log line, and when that was.
    logged: HashMap<GroupId, (bool, Millis)>,
}

impl Shares {
    /// Begins to track a job, and returns its group; `None` when the job is not tracked.
    pub fn accept(&mut self, entry: &Entry<'_>) -> Option<GroupId> {
        let member = self.groups.add(entry.queue, entry.priority, entry.work)?;
        if member.replaced {
            for group in Groups::siblings(member.group) {
                self.forget(group);
            }
        }
        let job = OpenJob {
            group: member.group,
            due: entry.due,
            lapse: entry.lapse,
        };
        self.open.insert(entry.number, job);
        self.limits.insert((entry.due, entry.number));
        Some(member.group)
    }

    /// Clears what is known of a group that now belongs to another queue.
    fn forget(&mut self, group: GroupId) {
        self.outcomes.clear(group);
        self.logged.remove(&group);
        if let Some(weight) = self.weights.get_mut(group) {
            *weight = Weight::NEUTRAL;
        }
        if let Some(served) = self.served.get_mut(group) {
            *served = 0.0;
        }
    }

    /// Ends the tracking of a job that ended at the wall time `at`. Only a completed job counts as
    /// on time; failures and cancellations say nothing about shares.
    pub fn end(&mut self, number: u32, outcome: Outcome, at: Millis) {
        self.pass_limits(number, at);
        let Some(job) = self.open.remove(&number) else {
            return;
        };
        self.limits.remove(&(job.due, number));
        self.limits.remove(&(job.lapse, number));
        self.groups.remove(job.group);
        if outcome == Outcome::Completed && at <= job.due {
            self.outcomes.record(job.group, Verdict::OnTime, at, at);
        }
    }

    /// Ends the tracking of a job that was refused after all, which says nothing about shares.
    pub fn withdraw(&mut self, number: u32) {
        if let Some(job) = self.open.remove(&number) {
            self.limits.remove(&(job.due, number));
            self.limits.remove(&(job.lapse, number));
            self.groups.remove(job.group);
        }
    }

    /// Counts the limits of a job that passed before `at`.
    fn pass_limits(&mut self, number: u32, at: Millis) {
        let Some(job) = self.open.get(&number).copied() else {
            return;
        };
        if at > job.due && self.limits.remove(&(job.due, number)) {
            self.outcomes
                .record(job.group, Verdict::Late, job.due, job.due);
            self.limits.insert((job.lapse, number));
        }
        if at > job.lapse && self.limits.remove(&(job.lapse, number)) {
            self.outcomes
                .record(job.group, Verdict::Worthless, job.lapse, job.due);
        }
    }

    /// Counts the jobs that have passed a limit, and updates the weights.
    pub fn advance(&mut self, wall: Millis) {
        let factor = self.outcomes.decay(wall);
        self.served.iter_mut().for_each(|s| *s *= factor);
        let passed: Vec<u32> = self
            .limits
            .range(..(wall, 0))
            .map(|(_, number)| *number)
            .collect();
        for number in passed {
            self.pass_limits(number, wall);
        }
        self.update_weights();
        self.log_changes(wall);
    }

    fn update_weights(&mut self) {
        self.weights = vec![Weight::NEUTRAL; self.groups.len()];
        let mut by_priority: HashMap<u32, Vec<GroupId>> = HashMap::new();
        for group in 0..self.groups.len() {
            let priority = self.groups.describe(group).2;
            by_priority.entry(priority).or_default().push(group);
        }
        for groups in by_priority.values() {
            let tallies: Vec<Tally> = groups.iter().map(|g| self.outcomes.tally(*g)).collect();
            for (group, weight) in groups.iter().zip(floor_weights(&tallies)) {
                self.weights[*group] = weight;
            }
        }
        self.update_queue_factors();
    }

    /// Updates the factors of the queues that have open jobs.
    fn update_queue_factors(&mut self) {
        for queues in self.groups.active_queues().into_values() {
            let served = |first: &GroupId| Groups::siblings(*first).map(|g| self.served(g));
            let served: Vec<f64> = queues.iter().map(|first| served(first).sum()).collect();
            for (first, factor) in queues.into_iter().zip(queue_factors(&served)) {
                for group in Groups::siblings(first) {
                    self.weights[group].queue = factor;
                }
            }
        }
    }

    /// Logs the groups that have fallen below their floor or are above it again.
    fn log_changes(&mut self, wall: Millis) {
        for (group, weight) in self.weights.iter().enumerate() {
            let (below, at) = self.logged.get(&group).copied().unwrap_or((false, 0));
            if below == weight.is_below_floor() || wall < at + LOG_INTERVAL {
                continue;
            }
            self.logged.insert(group, (!below, wall));
            let (queue, size, priority) = self.groups.describe(group);
            let tally = self.outcomes.tally(group);
            log::info!(target: "job", "event=share queue={queue} size={size:?} priority={priority} below_floor={} on_time={:.1} late={:.1} worthless={:.1} relative={:.2} weight={:.2}", !below, tally.on_time, tally.late, tally.worthless, weight.relative, weight.factor);
        }
    }

    /// Returns the factor by which the worth of the jobs of a group counts; 1 without a group.
    pub fn weight(&self, group: Option<GroupId>) -> f64 {
        let weight = group.and_then(|g| self.weights.get(g));
        weight.map_or(1.0, |w| w.factor * w.queue)
    }

    /// Records that a job of a group was given this work of the workers.
    pub fn serve(&mut self, group: GroupId, work: f64) {
        if self.served.len() <= group {
            self.served.resize(group + 1, 0.0);
        }
        self.served[group] += work;
    }

    /// Returns the work that a group was given lately.
    pub fn served(&self, group: GroupId) -> f64 {
        self.served.get(group).copied().unwrap_or(0.0)
    }
}

impl Owner {
    /// Begins to track a job, and counts it at once if it has already ended.
    pub(in crate::sched) fn track_shares(&mut self, number: u32) {
        let job = &self.jobs[&number];
        if !self.settings.mechanisms.shares || !has_one_end(job) {
            return;
        }
        let (queue, accepted) = (&job.row.queue, job.row.accepted);
        let allowed = allowed_duration(job);
        let group = self.shares.accept(&Entry {
            number,
            queue: &queue.name,
            priority: queue.priority,
            work: round_work(job),
            due: accepted.saturating_add(allowed),
            lapse: accepted.saturating_add(allowed.saturating_mul(WORTHLESS_FACTOR)),
        });
        if !job.is_open() {
            self.shares.end(number, job.row.outcome, job.row.ended);
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.group = group;
        }
    }
}

/// Returns true for a job that runs once and ends by itself.
fn has_one_end(job: &Job) -> bool {
    job.spec.schedule.is_none() && job.spec.steps.iter().all(|step| !step.lasting)
}
