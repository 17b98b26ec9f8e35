//! Jobs that are over: small rows apart from those of open jobs, which a new owner
//! reads while it already serves.
//!
//! Read with the others, they would keep a new owner from serving for seconds.

use std::collections::{BTreeSet, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::admission::COME_BACK;
use super::job::{Outcome, TaskKey, parse_task_name};
use super::message::{Answer, JobRequest, Ticket};
use super::owner::Owner;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Requests that may wait until all jobs that are over are known: five times the jobs
/// handed in during the 1.45 s that a caller's box waits, at 28 a second.
const PARKED: usize = 200;

/// Names no task: for runs of jobs that are over, or that no job has.
pub(super) const NO_TASK: TaskKey = TaskKey {
    job: u32::MAX,
    round: 0,
    step: 0,
    index: 0,
};

/// The row of a job that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// How it ended.
    #[serde(rename = "o")]
    pub outcome: Outcome,
    /// Milliseconds since the Unix epoch of its end.
    #[serde(rename = "e")]
    pub ended: Millis,
}

/// A page of the jobs that are over, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryPage {
    /// Jobs by id.
    pub rows: Vec<(Name, HistoryRow)>,
    /// Ids of those whose rows can't be read.
    pub unreadable: Vec<Name>,
    /// True when no page follows.
    pub last: bool,
}

/// The jobs that are over, as far as they are known.
#[derive(Default)]
pub(super) struct History {
    known: HashMap<Name, HistoryRow>,
    /// The same jobs by their end, so that a look for expired ones is cheap.
    order: BTreeSet<(Millis, Name)>,
    /// Those whose rows the commit on its way removes.
    leaving: Vec<Name>,
    /// Those whose rows were removed while older pages may still come.
    removed: HashSet<Name>,
    /// True once all rows were read.
    is_complete: bool,
    /// Requests until then about jobs that may be over already.
    parked: Vec<(Ticket, JobRequest)>,
}

impl History {
    /// Returns a job that is over.
    pub fn get(&self, id: &str) -> Option<&HistoryRow> {
        self.known.get(id)
    }

    /// Returns true once an id that is not found here is that of no job.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Adds a job whose row is in the store.
    pub fn add(&mut self, id: Name, row: HistoryRow) {
        self.order.insert((row.ended, id.clone()));
        self.known.insert(id, row);
    }

    /// Adds a job out of a page that may be older than what this owner wrote.
    fn merge(&mut self, id: Name, row: HistoryRow) {
        if !self.removed.contains(&id) && !self.known.contains_key(&id) {
            self.add(id, row);
        }
    }

    /// Returns up to `most` jobs that ended before `end`, for a commit to remove.
    pub fn expire(&mut self, end: Millis, most: usize) -> &[Name] {
        let old = self.order.iter().take_while(|(ended, _)| *ended < end);
        self.leaving = old.take(most).map(|(_, id)| id.clone()).collect();
        &self.leaving
    }

    /// Takes in whether the commit that was to remove rows took effect.
    pub fn finish_expiry(&mut self, done: bool) {
        let leaving = std::mem::take(&mut self.leaving);
        for id in leaving.into_iter().filter(|_| done) {
            if let Some(row) = self.known.remove(&id) {
                self.order.remove(&(row.ended, id.clone()));
            }
            if !self.is_complete {
                self.removed.insert(id);
            }
        }
    }

    /// Takes in that there are no more rows; returns the requests that waited for that.
    fn mark_complete(&mut self) -> Vec<(Ticket, JobRequest)> {
        self.is_complete = true;
        self.removed = HashSet::new();
        self.take_parked()
    }

    /// Returns true while requests wait.
    pub fn has_parked(&self) -> bool {
        !self.parked.is_empty()
    }

    /// Returns the requests that wait, which wait no more.
    pub fn take_parked(&mut self) -> Vec<(Ticket, JobRequest)> {
        std::mem::take(&mut self.parked)
    }
}

impl Owner {
    /// Takes in a page of the jobs that are over.
    pub(super) fn merge_history(&mut self, page: HistoryPage) {
        self.unreadable_jobs.extend(page.unreadable);
        for (id, row) in page.rows {
            if !self.job_numbers.contains_key(&id) {
                self.history.merge(id, row);
            }
        }
        if !page.last || self.history.is_complete {
            return;
        }
        let parked = self.history.mark_complete();
        let (jobs, waited) = (self.history.known.len(), parked.len());
        log::info!(target: "owner", "event=past-known jobs={jobs} parked={waited}");
        for (ticket, ask) in parked {
            self.ask(ticket, ask);
        }
    }

    /// Has a request wait until it is known whether its job is over, or held by a later owner.
    pub(super) fn park(&mut self, ticket: Ticket, ask: JobRequest) {
        if self.history.parked.len() >= PARKED {
            log::info!(target: "job", "job={} event=refused reason=too-many-parked", ask.subject());
            return self.reply(ticket, Answer::Refused(COME_BACK));
        }
        log::info!(target: "job", "job={} event=parked", ask.subject());
        self.history.parked.push((ticket, ask));
    }

    /// Refuses the requests that wait, as new jobs are, while the store is away.
    pub(super) fn refuse_parked(&mut self) {
        if self.history.parked.is_empty() {
            return;
        }
        let Some(silent) = self.store_away() else {
            return;
        };
        let parked = self.history.take_parked();
        log::info!(target: "job", "event=refused reason=store-away parked={} silent_ms={silent}", parked.len());
        for (ticket, _) in parked {
            self.reply(ticket, Answer::Refused(COME_BACK));
        }
    }

    /// Goes on with the small row of a job whose commit has removed the others.
    pub(super) fn move_to_history(&mut self, number: u32) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        self.job_numbers.remove(&job.id);
        self.failed_on.retain(|key, _| key.job != number);
        self.deferred.retain(|key, _| key.job != number);
        let row = HistoryRow {
            outcome: job.stored_outcome,
            ended: job.row.ended,
        };
        self.history.add(job.id, row);
    }

    /// Returns true when a task, by its name, is of a job that is over.
    pub(super) fn is_finished_task(&self, task: &str) -> bool {
        parse_task_name(task).is_some_and(|(id, ..)| self.history.get(id).is_some())
    }
}
