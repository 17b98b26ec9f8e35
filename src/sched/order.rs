//! The order in which waiting tasks are placed.

use std::collections::HashMap;

use super::job::{Job, Phase, StepKey, TaskKey};
use super::owner::Owner;
use crate::utils::clock::Millis;

/// A job that takes more than this many times its aim is worth nothing.
const WORTHLESS: Millis = 3;

/// Milliseconds after which a lasting task that ran before goes before all
/// others: the platform wants it to run again within 6 s of its last run, also
/// while the workers are full, and a stop and a start take up to 1.5 s.
const BACK_WAIT: Millis = 1_500;
/// Milliseconds after which a lasting task that never ran goes before all others:
/// what it is worth does not lapse, unlike that of tasks that are due.
const FIRST_WAIT: Millis = 6_000;

/// What a job can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Prospect {
    /// It can still be on time.
    OnTime,
    /// It can still be late.
    Late,
    /// It is worth nothing any more.
    Lost,
}

/// Whether a task goes before others whatever its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Room was made for it, which would lie idle while others go first.
    Promised,
    /// It should have started.
    Overdue,
    /// It waits its turn.
    Usual,
}

/// Place in the order: the urgency, the queue's priority, whether it lasts, what its job
/// can still earn, and when that is due.
type Rank = (Urgency, u32, bool, Prospect, Millis, Turn);

/// Whose turn it is to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Turn {
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
    /// tasks is cheap enough to follow the one before at once: starts were held at 600 a
    /// second where room for 1,400 was free (starts by second of a played day).
    pub(super) fn order(&self) -> Vec<Turn> {
        let mut known: HashMap<(u32, u32), (Prospect, Millis)> = HashMap::new();
        let mut last = None;
        let mut ranks: Vec<Rank> = Vec::new();
        for (key, since) in &self.ready {
            let (step, promised) = (key.of_step(), self.promises.contains_key(key));
            if last == Some(step) && !promised {
                continue;
            }
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let prospect = || prospect(job, key.round as usize, self.now.wall);
            let (prospect, due) = *known.entry((key.job, key.round)).or_insert_with(prospect);
            let lasting = job.step(*key).lasting;
            let urgency = match promised {
                true => Urgency::Promised,
                false if self.overdue(*key, *since) => Urgency::Overdue,
                false => Urgency::Usual,
            };
            let turn = match promised || lasting {
                true => Turn::Task(*key),
                false => Turn::Step(step),
            };
            if turn == Turn::Step(step) {
                last = Some(step);
            }
            let priority = job.row.queue.priority;
            ranks.push((urgency, priority, lasting, prospect, due, turn));
        }
        ranks.sort_unstable();
        ranks.into_iter().map(|rank| rank.5).collect()
    }

    /// Returns the waiting tasks that have a turn together.
    pub(super) fn waiting_of(&self, turn: Turn) -> Vec<TaskKey> {
        let step = match turn {
            Turn::Task(key) => return vec![key],
            Turn::Step(step) => step,
        };
        let from = step.task(0);
        let waiting = self.ready.range(from..).map(|(key, _)| *key);
        let own = waiting.take_while(|key| key.of_step() == step);
        own.filter(|key| !self.promises.contains_key(key)).collect()
    }

    /// Returns true when a task that waits since then should have started,
    /// whatever else waits: one of a job that lasts.
    pub(super) fn overdue(&self, key: TaskKey, since: Millis) -> bool {
        let job = &self.jobs[&key.job];
        let wait = if self.away.contains(&key) {
            BACK_WAIT
        } else {
            FIRST_WAIT
        };
        job.step(key).lasting && self.now.steady >= since + wait
    }
}

/// Returns what a round of a job can still earn, and when it is due.
pub(super) fn prospect(job: &Job, round: usize, wall: Millis) -> (Prospect, Millis) {
    let queue = &job.row.queue;
    let start = match job.spec.schedule {
        Some(schedule) => schedule.first + schedule.interval * round as u64,
        None => job.row.accepted,
    };
    let aim = queue.slack + job.ideal() * u64::from(queue.stretch) / 1_000;
    let end = wall + remaining(job, round);
    let prospect = match end {
        _ if end <= start + aim => Prospect::OnTime,
        _ if end <= start + aim * WORTHLESS => Prospect::Late,
        _ => Prospect::Lost,
    };
    (prospect, start + aim)
}

/// Returns the declared milliseconds of the longest chain of steps not done.
fn remaining(job: &Job, round: usize) -> Millis {
    let done = |step: usize| {
        job.row.rounds[round][step]
            .iter()
            .all(|t| t.phase == Phase::Done)
    };
    job.chain(|step| {
        if done(step) {
            0
        } else {
            job.spec.steps[step].estimate
        }
    })
}
