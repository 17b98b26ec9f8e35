//! The history of finished jobs: small rows in a table of their own, which a new owner reads
//! while it already serves.
//!
//! Loading them together with the open jobs would delay a new owner's service by seconds.

use std::collections::{BTreeSet, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::admission::rejection::{OUTAGE_AFTER, RETRY_AFTER, outage_retry_after};
use super::job::{Outcome, TaskKey, parse_task_name};
use super::message::{Answer, JobRequest, Ticket};
use super::owner::Owner;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Most requests that may wait until the history is complete: five times the jobs submitted
/// during the 1.45 s that a caller's box waits, at 28 jobs a second.
const MAX_PARKED: usize = 200;

/// A key that names no task, for runs whose job is finished or unknown.
pub(super) const NO_TASK: TaskKey = TaskKey {
    job: u32::MAX,
    round: 0,
    step: 0,
    index: 0,
};

/// The row of a finished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Final outcome of the job.
    #[serde(rename = "o")]
    pub outcome: Outcome,
    /// When the job ended, in milliseconds since the Unix epoch.
    #[serde(rename = "e")]
    pub ended: Millis,
}

/// A page of finished jobs, as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryPage {
    /// Jobs by id.
    pub rows: Vec<(Name, HistoryRow)>,
    /// Ids of jobs whose rows cannot be read.
    pub unreadable: Vec<Name>,
    /// True when no page follows.
    pub last: bool,
}

/// The finished jobs that are known so far.
#[derive(Default)]
pub(super) struct History {
    rows: HashMap<Name, HistoryRow>,
    /// The same jobs by the time of their end, so that expired jobs are found cheaply.
    by_end: BTreeSet<(Millis, Name)>,
    /// Jobs whose rows the commit in flight removes.
    expiring: Vec<Name>,
    /// Jobs whose rows were removed, kept until all pages were read: an older page may
    /// still contain them.
    removed: HashSet<Name>,
    /// True once all rows were read.
    is_complete: bool,
    /// Requests that wait until it is known whether their job is finished.
    parked: Vec<(Ticket, JobRequest)>,
}

impl History {
    /// Returns the row of a finished job.
    pub fn get(&self, id: &str) -> Option<&HistoryRow> {
        self.rows.get(id)
    }

    /// Returns true once all rows were read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Adds a finished job whose row is in the store.
    pub fn add(&mut self, id: Name, row: HistoryRow) {
        self.by_end.insert((row.ended, id.clone()));
        self.rows.insert(id, row);
    }

    /// Adds a job of a page, which may be older than what this owner has written since.
    fn merge(&mut self, id: Name, row: HistoryRow) {
        if !self.removed.contains(&id) && !self.rows.contains_key(&id) {
            self.add(id, row);
        }
    }

    /// Returns up to `most` jobs that ended before `end`, for the next commit to remove.
    pub fn expire(&mut self, end: Millis, most: usize) -> &[Name] {
        let expired = self.by_end.iter().take_while(|(ended, _)| *ended < end);
        self.expiring = expired.take(most).map(|(_, id)| id.clone()).collect();
        &self.expiring
    }

    /// Forgets the expiring jobs if the commit that removes their rows took effect.
    pub fn finish_expiry(&mut self, committed: bool) {
        let expiring = std::mem::take(&mut self.expiring);
        for id in expiring.into_iter().filter(|_| committed) {
            if let Some(row) = self.rows.remove(&id) {
                self.by_end.remove(&(row.ended, id.clone()));
            }
            if !self.is_complete {
                self.removed.insert(id);
            }
        }
    }

    /// Records that all rows were read; returns the requests that waited for this.
    fn mark_complete(&mut self) -> Vec<(Ticket, JobRequest)> {
        self.is_complete = true;
        self.removed = HashSet::new();
        self.take_parked()
    }

    /// Returns true while requests are parked.
    pub fn has_parked(&self) -> bool {
        !self.parked.is_empty()
    }

    /// Removes and returns the parked requests.
    pub fn take_parked(&mut self) -> Vec<(Ticket, JobRequest)> {
        std::mem::take(&mut self.parked)
    }
}

impl Owner {
    /// Merges a page of finished jobs into the history; after the last page, handles the
    /// requests that waited for it.
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
        let (jobs, count) = (self.history.rows.len(), parked.len());
        log::info!(target: "owner", "event=past-known jobs={jobs} parked={count}");
        for (ticket, request) in parked {
            self.handle_request(ticket, request);
        }
    }

    /// Parks a request until it is known that its job is not finished, and that no later owner
    /// holds the job. Refuses the request when too many are parked.
    pub(super) fn park(&mut self, ticket: Ticket, request: JobRequest) {
        if self.history.parked.len() >= MAX_PARKED {
            log::info!(target: "job", "job={} event=refused reason=too-many-parked", request.subject());
            return self.reply(ticket, Answer::Refused(RETRY_AFTER));
        }
        log::info!(target: "job", "job={} event=parked", request.subject());
        self.history.parked.push((ticket, request));
    }

    /// Refuses the parked requests while the store is unreachable, as new jobs are refused.
    pub(super) fn refuse_parked(&mut self) {
        if self.history.parked.is_empty() {
            return;
        }
        let Some(silent) = self.store_outage(OUTAGE_AFTER) else {
            return;
        };
        let parked = self.history.take_parked();
        log::info!(target: "job", "event=refused reason=store-away parked={} silent_ms={silent}", parked.len());
        for (ticket, _) in parked {
            self.reply(ticket, Answer::Refused(outage_retry_after(silent)));
        }
    }

    /// Moves a job to the history once the commit that archives its rows took effect.
    pub(super) fn move_to_history(&mut self, number: u32) {
        let Some(job) = self.remove_job(number) else {
            return;
        };
        self.failed_on.retain(|key, _| key.job != number);
        self.deferred.retain(|key, _| key.job != number);
        let row = HistoryRow {
            outcome: job.stored_outcome,
            ended: job.row.ended,
        };
        self.history.add(job.id, row);
    }

    /// Returns true when the named task belongs to a finished job.
    pub(super) fn is_finished_task(&self, task: &str) -> bool {
        parse_task_name(task).is_some_and(|(id, ..)| self.history.get(id).is_some())
    }
}
