//! Computes the order in which waiting tasks are placed.

use crate::sched::job::{Job, Phase, Queue, StepKey, TaskKey};
use crate::sched::owner::Owner;
use crate::sched::shares::weights::weighted_cost;
use crate::sched::spec::StepSpec;
use crate::utils::clock::Millis;

/// A job that takes more than this many times the time allowed for it has no value left.
pub(in crate::sched) const WORTHLESS_FACTOR: Millis = 3;

/// Milliseconds after which a lasting task that has run before is placed before all others. The
/// platform requires it to run again within 6 s of its last run, also on full workers, and a
/// stop and a start take up to 1.5 s.
const RESTART_OVERDUE: Millis = 1_500;
/// Milliseconds after which a lasting task that has never run is placed before all others. It can
/// wait longer, as its value does not lapse, unlike that of tasks with a due time.
const FIRST_START_OVERDUE: Millis = 6_000;

/// Whether a round of a job can still be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::sched) enum Prospect {
    /// The round can still be on time.
    OnTime,
    /// The round will be late, but still has a value.
    Late,
    /// The round has no value left.
    Worthless,
}

/// Urgency of a task, which decides before the priority of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Resources are reserved for the task and would be idle while others are placed first.
    Reserved,
    /// The lasting task has run and should already run again.
    Restart,
    /// The lasting task has never run and should already run. Restarts precede it: with too little
    /// capacity for all, each further task that runs shortens the turns of the others.
    FirstStart,
    /// The task has no urgency.
    Usual,
}

impl Urgency {
    /// Returns true for a task that should already run.
    fn is_overdue(self) -> bool {
        matches!(self, Self::Restart | Self::FirstStart)
    }
}

/// Longest time that the critical path takes, in tenths of its declared time. Under high
/// load it takes 11 to 14: the longest task of a step takes longer than its typical one, starts
/// take time, and best-effort tasks are throttled.
pub(in crate::sched) const RUN_TIME_TENTHS: u64 = 14;
/// Part of the value of a typical job of a queue that every job has; the rest is proportional to
/// the job's work.
const BASE_VALUE: f64 = 0.3;
/// Weight of a new job in the moving average of its queue's typical work.
const TYPICAL_WORK_WEIGHT: f64 = 0.05;

/// Sort key of an entry, lowest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    urgency: Urgency,
    /// Priority of the queue.
    priority: u32,
    /// Since when an overdue task waits; 0 for other tasks.
    since: Millis,
    /// Tasks that end precede lasting ones.
    lasting: bool,
    prospect: Prospect,
    /// Relative cost of the round.
    cost: u64,
    /// When the round is due.
    due: Millis,
    entry: OrderEntry,
}

/// What decides the rank of a round of a job.
#[derive(Clone, Copy)]
struct RoundValue {
    prospect: Prospect,
    /// Remaining work divided by the value of the job, both relative to a typical job of the
    /// queue, in millionths.
    relative_cost: u64,
    /// When the round is due, in milliseconds since the Unix epoch.
    due: Millis,
}

/// Waiting tasks that have one place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::sched) enum OrderEntry {
    /// A task that may rank differently from others of its step.
    Task(TaskKey),
    /// All other waiting tasks of a step, as they rank the same.
    Step(StepKey),
}

impl Owner {
    /// Returns the waiting tasks in the order in which they should start.
    ///
    /// Tasks are ordered by step: a burst leaves many thousand tasks waiting, and each placement
    /// pass orders them. There are twenty times fewer steps, so that a pass over 14,000 tasks is
    /// cheap enough to follow the last one at once and delays no start on a free worker.
    pub(in crate::sched) fn placement_order(&self) -> Vec<OrderEntry> {
        // The tasks of a round follow each other.
        let mut current: Option<((u32, u32), RoundValue)> = None;
        let mut last = None;
        let mut ranks: Vec<Rank> = Vec::new();
        let weighs = self.settings.mechanisms.shares;
        for (key, since) in &self.ready {
            let (step, reserved) = (key.step_key(), self.reservations.contains_key(key));
            if last == Some(step) && !reserved {
                continue;
            }
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let round = (key.job, key.round);
            let value = match current {
                Some((known, value)) if known == round => value,
                _ => {
                    let mut value = self.round_value(job, key.round as usize);
                    if weighs {
                        let weight = self.shares.weight(job.group);
                        value.relative_cost = weighted_cost(value.relative_cost, weight);
                    }
                    value
                }
            };
            current = Some((round, value));
            let lasting = job.step(*key).lasting;
            let since = self.interrupted.get(key).unwrap_or(since);
            let urgency = match reserved {
                true => Urgency::Reserved,
                false => self.urgency(*key, *since),
            };
            let entry = match reserved || lasting {
                true => OrderEntry::Task(*key),
                false => OrderEntry::Step(step),
            };
            if entry == OrderEntry::Step(step) {
                last = Some(step);
            }
            ranks.push(Rank {
                urgency,
                priority: job.row.queue.priority,
                since: if urgency.is_overdue() { *since } else { 0 },
                lasting,
                prospect: value.prospect,
                cost: value.relative_cost,
                due: value.due,
                entry,
            });
        }
        ranks.sort_unstable();
        ranks.into_iter().map(|rank| rank.entry).collect()
    }

    /// Returns the prospect, relative cost and due time of a round of a job.
    ///
    /// With more work than the workers can do, ordering by due time alone makes every job end
    /// just late, as each is worked on until it can't be on time any more. Ordering by remaining
    /// work per value finishes jobs that are nearly done and begins fewer that can't be on time.
    fn round_value(&self, job: &Job, round: usize) -> RoundValue {
        let (prospect, due) = prospect(job, round, self.now.wall);
        let queue = &job.row.queue.name;
        let typical = self.typical_work.get(queue).copied().unwrap_or(0.0);
        let left = remaining_work(job, round);
        let relative_cost = relative_cost(left, round_work(job), typical);
        RoundValue {
            prospect,
            relative_cost,
            due,
        }
    }

    /// Returns the relative cost of a round of a job, by which it is ordered.
    pub(in crate::sched) fn round_cost(&self, job: &Job, round: usize) -> u64 {
        self.round_value(job, round).relative_cost
    }

    /// Updates the typical work of a queue with that of a new job.
    pub(in crate::sched) fn learn_typical_work(&mut self, number: u32) {
        let job = &self.jobs[&number];
        let work = round_work(job);
        let queue = job.row.queue.name.clone();
        let typical = self.typical_work.entry(queue).or_insert(work);
        *typical += (work - *typical) * TYPICAL_WORK_WEIGHT;
    }

    /// Returns the waiting tasks of an entry of the order. Those for which workers rank the same
    /// follow each other.
    pub(in crate::sched) fn waiting_tasks(&self, entry: OrderEntry) -> Vec<TaskKey> {
        let step = match entry {
            OrderEntry::Task(key) => return vec![key],
            OrderEntry::Step(step) => step,
        };
        let from = step.task(0);
        let waiting = self.ready.range(from..).map(|(key, _)| *key);
        let own = waiting.take_while(|key| key.step_key() == step);
        let unreserved = own.filter(|key| !self.reservations.contains_key(key));
        let mut tasks: Vec<TaskKey> = unreserved.collect();
        tasks.sort_by_cached_key(|key| (self.failure_count(*key) > 0, self.is_suspect(*key)));
        tasks
    }

    /// Returns the urgency of a task without a reservation that is interrupted or waits since
    /// `since`.
    fn urgency(&self, key: TaskKey, since: Millis) -> Urgency {
        let waited = self.now.steady - since;
        if !self.jobs[&key.job].step(key).lasting {
            return Urgency::Usual;
        }
        match self.interrupted.contains_key(&key) {
            true if waited >= RESTART_OVERDUE => Urgency::Restart,
            false if waited >= FIRST_START_OVERDUE => Urgency::FirstStart,
            _ => Urgency::Usual,
        }
    }
}

/// Returns the remaining work of a round divided by the value of its job, both relative to a
/// typical job of the queue, in millionths.
pub(in crate::sched) fn relative_cost(left: f64, work: f64, typical: f64) -> u64 {
    let typical = typical.max(1.0);
    let value = BASE_VALUE + (1.0 - BASE_VALUE) * work / typical;
    (left / typical / value * 1e6) as u64
}

/// Returns the milliseconds in which a job of this ideal duration must end to be on time.
pub(in crate::sched) fn allowed(queue: &Queue, ideal: Millis) -> Millis {
    let stretched = u128::from(ideal) * u128::from(queue.stretch) / 1_000;
    let stretched = Millis::try_from(stretched).unwrap_or(Millis::MAX);
    queue.slack.saturating_add(stretched)
}

/// Returns the declared work of one task of a step, in thousandths of cores times milliseconds.
/// It is never 0, as tasks that declare nothing are work too.
pub(in crate::sched) fn task_work(step: &StepSpec) -> f64 {
    step.resources.cpu.max(1) as f64 * step.estimate.max(1) as f64
}

/// Returns the declared work of a round of a job.
pub(in crate::sched) fn round_work(job: &Job) -> f64 {
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

/// Returns the milliseconds that a round of a job may take to be on time.
pub(in crate::sched) fn allowed_duration(job: &Job) -> Millis {
    allowed(&job.row.queue, job.ideal_duration())
}

/// Returns the prospect of a round of a job, and when the round is due.
pub(in crate::sched) fn prospect(job: &Job, round: usize, wall: Millis) -> (Prospect, Millis) {
    let start = match job.spec.schedule {
        Some(schedule) => schedule.first + schedule.interval * round as u64,
        None => job.row.accepted,
    };
    let allowed = allowed_duration(job);
    let left = remaining_duration(job, round);
    let end = wall.saturating_add(left.saturating_mul(RUN_TIME_TENTHS) / 10);
    let due = start.saturating_add(allowed);
    let lapse = start.saturating_add(allowed.saturating_mul(WORTHLESS_FACTOR));
    let prospect = match end {
        _ if end <= due => Prospect::OnTime,
        _ if end <= lapse => Prospect::Late,
        _ => Prospect::Worthless,
    };
    (prospect, due)
}

/// Returns the declared duration of the critical path of the steps that are not done, in
/// milliseconds.
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
