//! Commits of the owner: what they write, and what goes on once they are kept.

use std::collections::HashMap;

use serde::Serialize;

use super::history::HistoryRow;
use super::job::{Job, Outcome, TaskKey};
use super::journal::{
    AfterCommit, ESTIMATES_TABLE, HISTORY_TABLE, INTERFERENCE_KEY, JOB_TABLE, Resolution,
    SPEC_TABLE, spare_entries,
};
use super::message::{Action, CommitOutcome, Write};
use super::owner::Owner;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Jobs that are over and still have their large rows, archived at a look at most:
/// after an upgrade there may be thousands, and starts wait behind them.
const TIDIED: usize = 8;

/// Milliseconds between two writes of what was learned: it is learned anew
/// within some seconds, at the cost of those.
const ESTIMATES_INTERVAL: Millis = 3_000;

impl Owner {
    /// Sends what the store has to hold, if a commit is due.
    pub(super) fn commit(&mut self) {
        let (jobs, placed) = (&mut self.jobs, &self.placed_on);
        let rows = |number| {
            let Some(job) = jobs.get_mut(&number) else {
                return Vec::new();
            };
            job.archived = job.stored && !job.is_open() && unplaced(placed, number, job);
            rows(job)
        };
        let Some((number, version, mut writes)) = self.journal.build_commit(self.now.steady, rows)
        else {
            return;
        };
        writes.extend(self.estimates());
        let most = spare_entries(&writes);
        writes.extend(self.expired(most));
        self.actions.push(Action::Commit {
            number,
            version,
            writes,
        });
    }

    /// Returns the removals of up to `most` rows that need not be told of any more;
    /// they go with commits that are sent anyway.
    fn expired(&mut self, most: usize) -> Vec<Write> {
        let end = self.now.wall.saturating_sub(self.settings.retention);
        let old = self.history.expire(end, most).iter();
        let write = |id| remove(HISTORY_TABLE, id);
        old.map(write).collect()
    }

    /// Returns the row of what was learned, now and then.
    fn estimates(&mut self) -> Option<Write> {
        if self.now.steady < self.next_estimates {
            return None;
        }
        self.next_estimates = self.now.steady + ESTIMATES_INTERVAL;
        let known = self.interference.export()?;
        Some(Write {
            table: ESTIMATES_TABLE,
            key: INTERFERENCE_KEY.into(),
            value: Some(crate::table::encode(&known)),
        })
    }

    /// Takes in how a commit went.
    pub(super) fn written(&mut self, number: u64, written: CommitOutcome) {
        match self.journal.resolve(number, written, self.now.steady) {
            Resolution::Retry => self.history.finish_expiry(false),
            Resolution::Deposed => {
                self.deposed = true;
            }
            Resolution::Stored(jobs) => {
                self.history.finish_expiry(true);
                for (number, afters) in jobs {
                    self.kept(number, afters);
                }
            }
        }
    }

    /// Goes on with what has waited for a job's row to be in the store.
    fn kept(&mut self, number: u32, afters: Vec<AfterCommit>) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.stored = true;
            job.stored_outcome = job.sent_outcome;
            let ended = job.stored_outcome != Outcome::Open;
            if job.archived {
                self.archived(number);
            } else if ended {
                self.stop_job(number);
            }
        }
        for after in afters {
            match after {
                AfterCommit::Reply(ticket, answer) => self.reply(ticket, answer),
                AfterCommit::Start(key, run) => self.start_run(key, run),
                AfterCommit::Acknowledge(worker, end) => self.acknowledge_completion(&worker, end),
            }
        }
    }

    /// Has some jobs archived that are over and of which nothing is placed any more:
    /// those that a release before this one left, and those freed without a change.
    pub(super) fn tidy(&mut self) {
        let ended = |job: &Job| job.stored_outcome != Outcome::Open && !job.archived;
        let jobs = self.jobs.iter().filter(|(_, job)| ended(job));
        let free = jobs.filter(|(number, job)| unplaced(&self.placed_on, **number, job));
        let numbers: Vec<u32> = free.map(|(number, _)| *number).take(TIDIED).collect();
        for number in numbers {
            self.journal.touch(number);
        }
    }
}

/// Returns true when no task of a job is on a worker, as far as is known.
fn unplaced(placed: &HashMap<TaskKey, Name>, number: u32, job: &Job) -> bool {
    !job.tasks(number).any(|(key, _)| placed.contains_key(&key))
}

fn put(table: &'static str, id: &Name, row: &impl Serialize) -> Write {
    Write {
        table,
        key: id.clone(),
        value: Some(crate::table::encode(row)),
    }
}

fn remove(table: &'static str, id: &Name) -> Write {
    Write {
        table,
        key: id.clone(),
        value: None,
    }
}

/// Returns the writes that bring the rows of a job up to date.
fn rows(job: &mut Job) -> Vec<Write> {
    job.sent_outcome = job.row.outcome;
    if job.archived {
        let finished = HistoryRow {
            outcome: job.row.outcome,
            ended: job.row.ended,
        };
        return vec![
            put(HISTORY_TABLE, &job.id, &finished),
            remove(JOB_TABLE, &job.id),
            remove(SPEC_TABLE, &job.id),
        ];
    }
    let mut rows = vec![put(JOB_TABLE, &job.id, &job.row)];
    if !job.stored {
        rows.push(put(SPEC_TABLE, &job.id, &*job.spec));
    }
    rows
}
