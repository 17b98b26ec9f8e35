//! The order in which waiting tasks are placed.

use std::collections::HashMap;

use super::job::{Job, Phase, StepKey, TaskKey};
use super::owner::Owner;
use super::spec::StepSpec;
use crate::utils::clock::Millis;

/// A job that takes more than this many times its aim is worth nothing.
const WORTHLESS_FACTOR: Millis = 3;

/// Milliseconds after which a lasting task that ran before goes before all
/// others: the platform wants it to run again within 6 s of its last run, also
/// while the workers are full, and a stop and a start take up to 1.5 s.
const RESTART_OVERDUE: Millis = 1_500;
/// Milliseconds after which a lasting task that never ran goes before all others:
/// what it is worth does not lapse, unlike that of tasks that are due.
const FIRST_START_OVERDUE: Millis = 6_000;

/// What a job can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Prospect {
    /// It can still be on time.
    OnTime,
    /// It can still be late.
    Late,
    /// It is worth nothing any more.
    Worthless,
}

/// Whether a task goes before others whatever its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Room was made for it, which would lie idle while others go first.
    Reserved,
    /// It should have started.
    Overdue,
    /// It waits its turn.
    Usual,
}

/// Longest that runs of the longest chain take, in tenths of their declared time: the
/// longest task of a step takes longer than the step's typical one, starts take their time,
/// and fillers are slowed. Measured on busy days, 11 to 14.
const RUN_TIME_TENTHS: u64 = 14;
/// Worth of a job of any size, as a part of that of a typical job of its queue; the rest
/// grows with its work.
const BASE_VALUE: f64 = 0.3;
/// Part of a new job's work in what is taken for typical of its queue.
const TYPICAL_WORK_WEIGHT: f64 = 0.05;

/// Place in the order: the urgency, the queue's priority, whether it lasts, what its job
/// can still earn, the work left for that, when it is due, and whose turn it is.
type Rank = (Urgency, u32, bool, Prospect, u64, Millis, OrderEntry);

/// What a round of a job can still earn.
#[derive(Clone, Copy)]
struct RoundValue {
    prospect: Prospect,
    /// Work left for each part of its worth, in millionths of a typical job's work.
    relative_cost: u64,
    /// When it is due, in milliseconds since the Unix epoch.
    due: Millis,
}

/// Whose turn it is to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum OrderEntry {
    /// One task, which goes before or after others of its step.
    Task(TaskKey),
    /// All other waiting tasks of a step, as they rank alike.
    Step(StepKey),
}

impl Owner {
    /// Returns the waiting tasks in the order in which they should start.
    ///
    /// Load pattern: a burst leaves many thousand tasks waiting, and each pass of placing
    /// orders them. By steps, of which there are twenty times fewer, a pass over 14,000
    /// tasks is cheap enough to follow the one before at once, and holds no start up where
    /// there is room.
    pub(super) fn placement_order(&self) -> Vec<OrderEntry> {
        let mut known: HashMap<(u32, u32), RoundValue> = HashMap::new();
        let mut last = None;
        let mut ranks: Vec<Rank> = Vec::new();
        for (key, since) in &self.ready {
            let (step, promised) = (key.step_key(), self.reservations.contains_key(key));
            if last == Some(step) && !promised {
                continue;
            }
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let claim = || self.round_value(job, key.round as usize);
            let claim = *known.entry((key.job, key.round)).or_insert_with(claim);
            let lasting = job.step(*key).lasting;
            let urgency = match promised {
                true => Urgency::Reserved,
                false if self.is_overdue(*key, *since) => Urgency::Overdue,
                false => Urgency::Usual,
            };
            let turn = match promised || lasting {
                true => OrderEntry::Task(*key),
                false => OrderEntry::Step(step),
            };
            if turn == OrderEntry::Step(step) {
                last = Some(step);
            }
            let priority = job.row.queue.priority;
            let RoundValue {
                prospect,
                relative_cost: price,
                due,
            } = claim;
            ranks.push((urgency, priority, lasting, prospect, price, due, turn));
        }
        ranks.sort_unstable();
        ranks.into_iter().map(|rank| rank.6).collect()
    }

    /// Returns what a round of a job can still earn.
    ///
    /// Load pattern: more work than fits. By due time alone, everything ends just late: each
    /// job is worked on until it can't be on time any more. By the work left for what it is
    /// worth, what is nearly done ends, and less is begun in vain.
    fn round_value(&self, job: &Job, round: usize) -> RoundValue {
        let (prospect, due) = prospect(job, round, self.now.wall);
        let queue = &job.row.queue.name;
        let typical = self
            .typical_work
            .get(queue)
            .copied()
            .unwrap_or(0.0)
            .max(1.0);
        let worth = BASE_VALUE + (1.0 - BASE_VALUE) * round_work(job) / typical;
        let left = remaining_work(job, round) / typical;
        let price = (left / worth * 1e6) as u64;
        RoundValue {
            prospect,
            relative_cost: price,
            due,
        }
    }

    /// Takes in the work of a job in what is typical of its queue.
    pub(super) fn learn_typical_work(&mut self, number: u32) {
        let job = &self.jobs[&number];
        let work = round_work(job);
        let queue = job.row.queue.name.clone();
        let typical = self.typical_work.entry(queue).or_insert(work);
        *typical += (work - *typical) * TYPICAL_WORK_WEIGHT;
    }

    /// Returns the waiting tasks that have a turn together.
    pub(super) fn waiting_tasks(&self, turn: OrderEntry) -> Vec<TaskKey> {
        let step = match turn {
            OrderEntry::Task(key) => return vec![key],
            OrderEntry::Step(step) => step,
        };
        let from = step.task(0);
        let waiting = self.ready.range(from..).map(|(key, _)| *key);
        let own = waiting.take_while(|key| key.step_key() == step);
        own.filter(|key| !self.reservations.contains_key(key))
            .collect()
    }

    /// Returns true when a task that waits since then should have started,
    /// whatever else waits: one of a job that lasts.
    pub(super) fn is_overdue(&self, key: TaskKey, since: Millis) -> bool {
        let job = &self.jobs[&key.job];
        let wait = if self.interrupted.contains(&key) {
            RESTART_OVERDUE
        } else {
            FIRST_START_OVERDUE
        };
        job.step(key).lasting && self.now.steady >= since + wait
    }
}

/// Returns the declared work of one task of a step, in thousandths of cores times
/// milliseconds; never 0, as tasks without either are work too.
fn task_work(step: &StepSpec) -> f64 {
    step.resources.cpu.max(1) as f64 * step.estimate.max(1) as f64
}

/// Returns the declared work of a round of a job.
fn round_work(job: &Job) -> f64 {
    let steps = job.spec.steps.iter();
    steps.map(|s| f64::from(s.count) * task_work(s)).sum()
}

/// Returns the declared work of the tasks of a round that are not done.
fn remaining_work(job: &Job, round: usize) -> f64 {
    let steps = job.row.rounds[round].iter().zip(&job.spec.steps);
    let left = steps.map(|(tasks, step)| {
        let open = tasks.iter().filter(|t| t.phase != Phase::Done).count();
        open as f64 * task_work(step)
    });
    left.sum()
}

/// Returns what a round of a job can still earn, and when it is due.
pub(super) fn prospect(job: &Job, round: usize, wall: Millis) -> (Prospect, Millis) {
    let queue = &job.row.queue;
    let start = match job.spec.schedule {
        Some(schedule) => schedule.first + schedule.interval * round as u64,
        None => job.row.accepted,
    };
    let aim = queue.slack + job.ideal_duration() * u64::from(queue.stretch) / 1_000;
    let end = wall + remaining_duration(job, round) * RUN_TIME_TENTHS / 10;
    let prospect = match end {
        _ if end <= start + aim => Prospect::OnTime,
        _ if end <= start + aim * WORTHLESS_FACTOR => Prospect::Late,
        _ => Prospect::Worthless,
    };
    (prospect, start + aim)
}

/// Returns the declared milliseconds of the longest chain of steps not done.
fn remaining_duration(job: &Job, round: usize) -> Millis {
    let done = |step: usize| {
        job.row.rounds[round][step]
            .iter()
            .all(|t| t.phase == Phase::Done)
    };
    job.critical_path(|step| {
        if done(step) {
            0
        } else {
            job.spec.steps[step].estimate
        }
    })
}
