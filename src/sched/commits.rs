//! The owner's commits: the rows that they write, and the actions that wait until these are stored.

use std::collections::HashMap;

use bytes::Bytes;

use super::job::{Job, Outcome, TaskKey};
use super::job_rows::{job_writes, remove};
use super::journal::{
    AfterCommit, CommitResolution, ESTIMATES_TABLE, HISTORY_TABLE, INTERFERENCE_KEY, LEARNED_KEY,
    spare_entries,
};
use super::message::{Action, CommitOutcome, Write};
use super::owner::Owner;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Most finished jobs that one sweep archives: after an upgrade there may be thousands with
/// large rows, and starts wait behind their writes.
const MAX_ARCHIVED: usize = 8;

/// Milliseconds between two writes of the estimates. A new owner needs some seconds to learn the
/// unwritten ones again.
const ESTIMATES_INTERVAL: Millis = 3_000;

impl Owner {
    /// Sends the changed rows if a commit is due.
    pub(super) fn commit_if_due(&mut self) {
        let (jobs, placed_on) = (&mut self.jobs, &self.placed_on);
        let limit = self.settings.row_bytes;
        let rows = |number| {
            let Some(job) = jobs.get_mut(&number) else {
                return Vec::new();
            };
            job.archived =
                job.stored && !job.is_open() && has_no_placed_task(placed_on, number, job);
            job_writes(job, limit)
        };
        let Some((number, version, mut writes)) = self.journal.build_commit(self.now.steady, rows)
        else {
            return;
        };
        writes.extend(self.estimates_writes());
        let most = spare_entries(&writes);
        writes.extend(self.expiry_writes(most));
        self.actions.push(Action::Commit {
            number,
            version,
            writes,
        });
    }

    /// Returns the removals of up to `most` finished jobs that ended too long ago to be
    /// remembered. They are added to commits that are sent anyway.
    fn expiry_writes(&mut self, most: usize) -> Vec<Write> {
        let end = self.now.wall.saturating_sub(self.settings.retention);
        let expired = self.history.expire(end, most).iter();
        let write = |id| remove(HISTORY_TABLE, id);
        expired.map(write).collect()
    }

    /// Returns the writes of the learned estimates once per interval.
    fn estimates_writes(&mut self) -> Vec<Write> {
        if self.now.steady < self.next_estimates {
            return Vec::new();
        }
        self.next_estimates = self.now.steady + ESTIMATES_INTERVAL;
        let factors = self.interference.export();
        let factors = factors.map(|f| (INTERFERENCE_KEY, crate::table::encode(&f)));
        let learned = self.learned_row().map(|row| (LEARNED_KEY, row));
        let write = |(key, value): (&str, Bytes)| Write {
            table: ESTIMATES_TABLE,
            key: key.into(),
            value: Some(value),
        };
        // A commit with a row that is too large would be refused with those of all jobs in it.
        let fits = |(key, value): &(&str, Bytes)| {
            let fits = value.len() <= self.settings.row_bytes;
            if !fits {
                log::error!(target: "journal", "event=row-too-large key={key} bytes={}", value.len());
            }
            fits
        };
        let rows = factors.into_iter().chain(learned);
        rows.filter(fits).map(write).collect()
    }

    /// Handles the outcome of a commit.
    pub(super) fn handle_commit_outcome(&mut self, number: u64, outcome: CommitOutcome) {
        match self.journal.resolve(number, outcome, self.now.steady) {
            CommitResolution::Retry => self.history.finish_expiry(false),
            CommitResolution::Unstorable(number) => {
                self.history.finish_expiry(false);
                if let Some(job) = self.jobs.get(&number) {
                    log::error!(target: "job", "job={} event=row-refused stored={}", job.id, job.stored);
                }
            }
            CommitResolution::Deposed => {
                self.deposed = true;
            }
            CommitResolution::Stored(jobs) => {
                self.history.finish_expiry(true);
                for (number, actions) in jobs {
                    self.job_stored(number, actions);
                }
            }
        }
    }

    /// Records that a job's rows are in the store and runs the actions that waited for them.
    fn job_stored(&mut self, number: u32, actions: Vec<AfterCommit>) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.stored = true;
            job.stored_outcome = job.sent_outcome;
            let ended = job.stored_outcome != Outcome::Open;
            if job.archived {
                self.move_to_history(number);
            } else if ended {
                self.stop_job(number);
            }
        }
        for action in actions {
            match action {
                AfterCommit::Reply(ticket, answer) => self.reply(ticket, answer),
                AfterCommit::Start(key, run) => self.start_run(key, run),
                AfterCommit::Acknowledge(worker, end) => self.acknowledge_completion(&worker, end),
            }
        }
    }

    /// Marks some finished jobs without placed tasks as changed, so that the next commit
    /// archives them: jobs left by an earlier version of the software, and jobs whose last
    /// task was released without a change of the row.
    pub(super) fn archive_finished(&mut self) {
        let finished = |job: &Job| job.stored_outcome != Outcome::Open && !job.archived;
        let jobs = self.jobs.iter().filter(|(_, job)| finished(job));
        let unplaced =
            jobs.filter(|(number, job)| has_no_placed_task(&self.placed_on, **number, job));
        let numbers: Vec<u32> = unplaced
            .map(|(number, _)| *number)
            .take(MAX_ARCHIVED)
            .collect();
        for number in numbers {
            self.journal.mark_changed(number);
        }
    }
}

/// Returns true when no task of a job is known to be on a worker.
fn has_no_placed_task(placed_on: &HashMap<TaskKey, Name>, number: u32, job: &Job) -> bool {
    !job.tasks(number)
        .any(|(key, _)| placed_on.contains_key(&key))
}
