//! The order in which waiting tasks are placed.

use std::collections::HashMap;

use super::job::{Job, Phase, TaskKey};
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
enum Prospect {
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

/// Place of a task in the order: its urgency, the queue's priority, whether it
/// lasts, what its job can still earn, and when that is due.
type Rank = (Urgency, u32, bool, Prospect, Millis, TaskKey);

impl Owner {
    /// Returns the waiting tasks in the order in which they should start.
    pub(super) fn order(&self) -> Vec<TaskKey> {
        let mut known: HashMap<(u32, u32), (Prospect, Millis)> = HashMap::new();
        let rank = |(key, since): (&TaskKey, &Millis)| -> Option<Rank> {
            let job = self.jobs.get(&key.job)?;
            let round = key.round;
            let prospect = || prospect(job, round as usize, self.now.wall);
            let (prospect, due) = *known.entry((key.job, round)).or_insert_with(prospect);
            let lasting = job.step(*key).lasting;
            let urgency = match self.promises.contains_key(key) {
                true => Urgency::Promised,
                false if self.overdue(*key, *since) => Urgency::Overdue,
                false => Urgency::Usual,
            };
            let priority = job.row.queue.priority;
            Some((urgency, priority, lasting, prospect, due, *key))
        };
        let mut ranks: Vec<Rank> = self.ready.iter().filter_map(rank).collect();
        ranks.sort_unstable();
        ranks.into_iter().map(|rank| rank.5).collect()
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
fn prospect(job: &Job, round: usize, wall: Millis) -> (Prospect, Millis) {
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
