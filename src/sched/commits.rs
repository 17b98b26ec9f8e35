//! Commits of the owner: what they write, and what goes on once they are kept.

use super::job::{Job, Outcome};
use super::journal::{After, BELIEF_TABLE, JOB_TABLE, PRESSURE_KEY, SPEC_TABLE, Settled};
use super::message::{Action, Write, Written};
use super::owner::Owner;
use crate::utils::clock::Millis;

/// Milliseconds between two writes of what was learned: it is learned anew
/// within some seconds, at the cost of those.
const BELIEFS: Millis = 3_000;

impl Owner {
    /// Sends what the store has to hold, if a commit is due.
    pub(super) fn commit(&mut self) {
        let (wall, remember) = (self.now.wall, self.bounds.remember);
        let jobs = &mut self.jobs;
        let rows = |number| match jobs.get_mut(&number) {
            Some(job) => rows(job, wall > job.row.ended.saturating_add(remember)),
            None => Vec::new(),
        };
        if let Some((number, version, mut writes)) = self.journal.build(self.now.steady, rows) {
            writes.extend(self.beliefs());
            self.actions.push(Action::Commit {
                number,
                version,
                writes,
            });
        }
    }

    /// Returns the row of what was learned, now and then.
    fn beliefs(&mut self) -> Option<Write> {
        if self.now.steady < self.next_beliefs {
            return None;
        }
        self.next_beliefs = self.now.steady + BELIEFS;
        let known = self.pressure.export()?;
        Some(Write {
            table: BELIEF_TABLE,
            key: PRESSURE_KEY.into(),
            value: Some(crate::table::encode(&known)),
        })
    }

    /// Takes in how a commit went.
    pub(super) fn written(&mut self, number: u64, written: Written) {
        match self.journal.settle(number, written, self.now.steady) {
            Settled::Again => {}
            Settled::Deposed => {
                self.deposed = true;
            }
            Settled::Kept(jobs) => {
                for (number, afters) in jobs {
                    self.kept(number, afters);
                }
            }
        }
    }

    /// Goes on with what has waited for a job's row to be in the store.
    fn kept(&mut self, number: u32, afters: Vec<After>) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.stored = true;
            job.kept = job.sent;
            let removed = job.removed;
            let ended = job.kept != Outcome::Open;
            if removed {
                let id = job.id.clone();
                self.ids.remove(&id);
                self.jobs.remove(&number);
            } else if ended {
                self.stop_all(number);
            }
        }
        for after in afters {
            match after {
                After::Reply(ticket, answer) => self.reply(ticket, answer),
                After::Start(key, run) => self.start(key, run),
                After::Seen(worker, end) => self.end_stored(&worker, end),
            }
        }
    }

    /// Marks jobs for removal whose state need not be told any more.
    pub(super) fn expire(&mut self) {
        let (wall, remember) = (self.now.wall, self.bounds.remember);
        let old = |job: &Job| job.kept != Outcome::Open && wall > job.row.ended + remember;
        let expired: Vec<u32> = self
            .jobs
            .iter()
            .filter(|(_, job)| old(job))
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.journal.touch(number);
        }
    }
}

/// Returns the writes that bring the rows of a job up to date, or remove them
/// once its end has expired.
fn rows(job: &mut Job, expired: bool) -> Vec<Write> {
    job.sent = job.row.outcome;
    let ended = job.kept != Outcome::Open;
    let write = |table, value| Write {
        table,
        key: job.id.clone(),
        value,
    };
    if ended && expired {
        job.removed = true;
        return vec![write(JOB_TABLE, None), write(SPEC_TABLE, None)];
    }
    let mut rows = vec![write(JOB_TABLE, Some(crate::table::encode(&job.row)))];
    if !job.stored {
        rows.push(write(SPEC_TABLE, Some(crate::table::encode(&*job.spec))));
    }
    rows
}
