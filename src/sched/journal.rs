//! The owner's group commits: changed jobs are written together, one commit at a time.
//!
//! Each commit also rewrites the owner's row, on the condition that the row still has the
//! expected version. An owner that was replaced therefore writes nothing more, and a commit
//! without an answer can no longer take effect once a later commit has.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::followers::{CONFIRMATION_SPAN, Followers};
use super::incarnation::Incarnation;
use super::job::TaskKey;
use super::message::{Answer, CommitOutcome, Ticket, Write};
use super::refused_jobs::RefusedJobs;
use super::write_queue::WriteQueue;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Table of the owner's row.
pub const OWNER_TABLE: &str = "owner";
/// Table of the specifications of jobs; a specification is written once.
pub const SPEC_TABLE: &str = "spec";
/// Table of the states of jobs.
pub const JOB_TABLE: &str = "job";
/// Table of finished jobs.
pub const HISTORY_TABLE: &str = "past";
/// Table of estimates that owners learned from measurements.
pub const ESTIMATES_TABLE: &str = "belief";
/// Key of the interference factors between images.
pub const INTERFERENCE_KEY: &str = "pressure";
/// Key of the snapshot of learned run times and worker speeds.
pub const LEARNED_KEY: &str = "learned";
/// Key of the owner's row.
pub const OWNER_KEY: &str = "owner";

/// Most entries that the store accepts in one commit.
const MAX_COMMIT_ENTRIES: usize = 100;
/// Entries reserved beside the rows of jobs: the owner's row, the condition on it and the
/// rows of estimates.
const RESERVED_ENTRIES: usize = 4;
/// Most entries of one job: its history row is put, its state and specification are removed.
const MAX_JOB_ENTRIES: usize = 3;
/// Bytes of rows after which no more jobs are added to a commit: half of the store's limit,
/// as rows grow by a third on the wire.
const COMMIT_BYTES: usize = 500_000;
/// Milliseconds between two commits, in which changes gather.
const COMMIT_PAUSE: Millis = 4;
/// Milliseconds until a commit that had no effect is retried, and from the sending of a
/// commit that is in doubt to the next.
const RETRY_PAUSE: Millis = 60;
/// Milliseconds after which an owner without changes commits its row, to confirm that it
/// still is the owner.
const CONFIRM_INTERVAL: Millis = 300;

/// Milliseconds in which an owner that releases the cell still writes pending changes before
/// it writes the release: some commits. At 1,100 starts a second changes never cease; without
/// this limit a planned stop held the cell for 5.2 s, until its process ended.
const MAX_RELEASE_DELAY: Millis = 100;

/// The row that names the owner of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// Name of the owning box.
    pub name: Name,
    /// Incarnation of the owning process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address at which other boxes reach the owner.
    pub address: SocketAddr,
    /// Epoch of the owner: the highest fence of its orders. An owner of the previous release
    /// uses its epoch, one higher than that of the owner before, as its only fence.
    pub epoch: u64,
    /// Number of the owner's last commit.
    pub seq: u64,
    /// True once no earlier owner can extend a lease on a worker.
    #[serde(default)]
    pub settled: bool,
    /// Milliseconds from the writing of this row within which the leases granted by earlier owners
    /// end, unless it is `settled`; none in the row of an owner of the previous release.
    #[serde(default)]
    pub inherited: Option<Millis>,
    /// Addresses of the boxes that all have to confirm the owner for it to extend leases while the
    /// store does not.
    #[serde(default)]
    pub followers: Vec<SocketAddr>,
    /// True once the owner has released the cell.
    #[serde(default)]
    pub released: bool,
    /// Thousandths of cores that an owner should have: the most that any owner had, or those
    /// of the box for which the cell was released.
    #[serde(default)]
    pub cores: u32,
}

impl OwnerRow {
    /// Returns true when the box with this name and address wrote the row. A machine may be given
    /// the name of another one that still runs, but only one process can hold an address.
    pub fn is_from_box(&self, name: &str, address: SocketAddr) -> bool {
        &*self.name == name && self.address == address
    }

    /// Returns true when both rows were written by the same incarnation of the same box in
    /// the same epoch. The name is compared as well because boxes that start in the same
    /// millisecond have the same incarnation number.
    pub fn is_same_owner(&self, other: &Self) -> bool {
        self.name == other.name
            && self.incarnation == other.incarnation
            && self.epoch == other.epoch
    }
}

/// An action that waits until a job's row is in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterCommit {
    /// Answers a caller.
    Reply(Ticket, Answer),
    /// Starts a run.
    Start(TaskKey, u32),
    /// Acknowledges a completion to the worker that reported it.
    Acknowledge(Incarnation, u64),
}

impl AfterCommit {
    /// Returns true when a caller waits for the action.
    fn is_reply(&self) -> bool {
        matches!(self, Self::Reply(..))
    }
}

/// Returns how many more writes fit into a commit with the given ones.
pub fn spare_entries(writes: &[Write]) -> usize {
    // One entry is the condition.
    MAX_COMMIT_ENTRIES.saturating_sub(writes.len() + 1)
}

/// What the outcome of a commit means for the jobs in it.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitResolution {
    /// The jobs are in the store as they were when the commit was built.
    Stored(Vec<(u32, Vec<AfterCommit>)>),
    /// The jobs will be written again.
    Retry,
    /// The store refuses the rows of this job. It will be written again from time to time.
    Unstorable(u32),
    /// Another box owns the cell.
    Deposed,
}

/// A commit that was sent and has not ended.
struct InFlight {
    number: u64,
    sent: Millis,
    released: bool,
    jobs: Vec<(u32, Vec<AfterCommit>)>,
}

/// The changes that are to be written, and the state of the owner's commits.
pub struct Journal {
    row: OwnerRow,
    /// Version of the owner's row in the store.
    version: u64,
    /// Changed jobs in the order in which they are written.
    queue: WriteQueue,
    /// The same jobs, with the actions that wait for their rows.
    changed: BTreeMap<u32, Vec<AfterCommit>>,
    in_flight: Option<InFlight>,
    /// Jobs of refused commits.
    refused: RefusedJobs,
    /// Jobs of commits whose outcome is unknown, until a later commit has stored them.
    doubtful: BTreeSet<u32>,
    /// When the next commit may be sent.
    next_commit: Millis,
    /// When the last call was sent by which the store confirmed this owner: a commit that
    /// took effect, or the read after the load.
    confirmed: Millis,
    /// The boxes that confirm this owner.
    followers: Followers,
    /// When the leases granted by earlier owners have ended.
    inherited_end: Millis,
    /// When an owner without changes confirms itself again. A new owner does so at once: its
    /// row did not change while it loaded, and other boxes may wait for such a change.
    next_confirm: Millis,
    /// Milliseconds that the last successful commit took.
    last_duration: Millis,
    /// True while the outcome of a commit is unknown.
    in_doubt: bool,
    /// True when the last commit that ended is not known to have taken effect.
    failed: bool,
    /// Since when the cell is being released.
    releasing_since: Option<Millis>,
    /// True once the release is in the store.
    released: bool,
}

impl Journal {
    /// Returns the journal of an owner whose row has the given version, and which the store
    /// confirmed by a call sent at `now`.
    pub fn new(row: OwnerRow, version: u64, now: Millis) -> Self {
        Self {
            followers: Followers::new(&row.followers, now),
            inherited_end: now,
            row,
            version,
            queue: WriteQueue::default(),
            changed: BTreeMap::new(),
            in_flight: None,
            refused: RefusedJobs::default(),
            doubtful: BTreeSet::new(),
            next_commit: now,
            confirmed: now,
            next_confirm: now,
            last_duration: 0,
            in_doubt: false,
            failed: false,
            releasing_since: None,
            released: false,
        }
    }

    /// Returns the epoch of the owner.
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Returns when the last call was sent by which the store confirmed this owner.
    pub fn last_confirmed(&self) -> Millis {
        self.confirmed
    }

    /// Returns true while no other box can have replaced this owner, or a box that has replaced it
    /// waits until the leases that this owner extends now have ended. Leases are extended for at
    /// most `longest` milliseconds without the store.
    pub fn may_extend_leases(&self, longest: Millis, now: Millis) -> bool {
        let unconfirmed = now.saturating_sub(self.confirmed);
        let recent = unconfirmed < CONFIRMATION_SPAN;
        unconfirmed < longest && (recent || self.followers.all_confirm(now))
    }

    /// Records a ping that has returned the clock reading `confirmed` of this owner.
    pub fn record_confirmation(&mut self, follower: SocketAddr, confirmed: Millis, now: Millis) {
        self.followers.record_confirmation(follower, confirmed, now);
    }

    /// Returns a follower that has not confirmed this owner for a while, if there is one.
    pub fn unconfirming(&self, now: Millis) -> Option<SocketAddr> {
        self.followers.unconfirming(now)
    }

    /// Sets when the leases granted by earlier owners have ended.
    pub fn set_inherited_end(&mut self, at: Millis) {
        self.inherited_end = at;
    }

    /// Returns the milliseconds that the last successful commit took.
    pub fn last_commit_duration(&self) -> Millis {
        self.last_duration
    }

    /// Returns true while the outcome of a commit is unknown.
    pub fn in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Returns true when the last commit that ended is not known to have taken effect.
    pub fn last_commit_failed(&self) -> bool {
        self.failed
    }

    /// Marks a job as changed.
    pub fn mark_changed(&mut self, job: u32) {
        if let Entry::Vacant(entry) = self.changed.entry(job) {
            entry.insert(Vec::new());
            self.queue.push(job);
        }
    }

    /// Marks a job as changed, with an action to run once its row is stored.
    pub fn run_after_commit(&mut self, job: u32, action: AfterCommit) {
        self.mark_changed(job);
        if action.is_reply() {
            self.queue.expedite(job);
        }
        if let Some(actions) = self.changed.get_mut(&job) {
            actions.push(action);
        }
    }

    /// Forgets the changes of a job that the store does not have, and returns the actions that
    /// waited for them; `None` if a commit with the job may take effect.
    pub fn withdraw(&mut self, job: u32) -> Option<Vec<AfterCommit>> {
        let mut in_flight = self.in_flight.iter().flat_map(|commit| &commit.jobs);
        if self.doubtful.contains(&job) || in_flight.any(|(number, _)| *number == job) {
            return None;
        }
        self.queue.remove(job);
        self.refused.forget(job);
        self.changed.remove(&job)
    }

    /// Records in the owner's row that no earlier owner can extend a lease any more.
    pub fn mark_predecessors_ended(&mut self) {
        self.row.settled = true;
    }

    /// Releases the cell once all changes are written, or after a short delay.
    pub fn release(&mut self, now: Millis) {
        self.releasing_since.get_or_insert(now);
        self.next_commit = now;
    }

    /// Releases the cell for a larger box with this many thousandths of cores.
    pub fn release_to_larger(&mut self, cores: u32, now: Millis) {
        self.row.cores = cores;
        self.release(now);
    }

    /// Returns true once the cell is being released.
    pub fn is_releasing(&self) -> bool {
        self.releasing_since.is_some()
    }

    /// Returns true once the release is in the store. The next owner recovers changes that
    /// are not in the store as after an owner that failed.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Returns when the next commit is due; `None` while one is in flight.
    pub fn next_due(&self) -> Option<Millis> {
        let confirm_at = match self.queue.is_empty() && !self.is_releasing() {
            true => self.next_confirm.min(self.refused.next_retry()),
            false => 0,
        };
        self.in_flight
            .is_none()
            .then_some(self.next_commit.max(confirm_at))
    }

    /// Returns the next commit if one is due: its number, the version that the owner's row
    /// must have, and the writes. `rows` returns the writes of a job.
    pub fn build_commit(
        &mut self,
        now: Millis,
        mut rows: impl FnMut(u32) -> Vec<Write>,
    ) -> Option<(u64, u64, Vec<Write>)> {
        let confirm_due =
            now >= self.next_confirm.min(self.refused.next_retry()) || self.is_releasing();
        let blocked = self.in_flight.is_some() || now < self.next_commit || self.released;
        if blocked || (self.queue.is_empty() && !confirm_due) {
            return None;
        }
        self.row.seq += 1;
        self.row.followers = self.followers.listed(now);
        self.row.inherited = Some(self.inherited_end.saturating_sub(now));
        let mut writes = Vec::new();
        let mut jobs = Vec::new();
        let mut bytes = 0;
        let most = MAX_COMMIT_ENTRIES - RESERVED_ENTRIES - MAX_JOB_ENTRIES;
        let alone = self.refused.take_due(now);
        let most_jobs = self.refused.most_jobs();
        while writes.len() <= most && bytes < COMMIT_BYTES && jobs.len() < most_jobs {
            let next = match alone {
                Some(job) if jobs.is_empty() => Some(job),
                Some(_) => None,
                None => self.queue.pop(writes.len() < most / 2),
            };
            let Some(job) = next else {
                break;
            };
            let actions = self.changed.remove(&job).unwrap_or_default();
            let job_writes = rows(job);
            let size = |w: &Write| w.value.as_ref().map_or(0, Bytes::len);
            bytes += job_writes.iter().map(size).sum::<usize>();
            writes.extend(job_writes);
            jobs.push((job, actions));
        }
        let overdue = self
            .releasing_since
            .is_some_and(|since| now >= since + MAX_RELEASE_DELAY);
        self.row.released |= overdue || (self.is_releasing() && self.queue.is_empty());
        writes.push(self.owner_write());
        let number = self.row.seq;
        self.in_flight = Some(InFlight {
            number,
            sent: now,
            released: self.row.released,
            jobs,
        });
        Some((number, self.version, writes))
    }

    fn owner_write(&self) -> Write {
        Write {
            table: OWNER_TABLE,
            key: OWNER_KEY.into(),
            value: Some(crate::table::encode(&self.row)),
        }
    }

    /// Records the outcome of a commit and returns what it means for the jobs in it.
    pub fn resolve(
        &mut self,
        number: u64,
        outcome: CommitOutcome,
        now: Millis,
    ) -> CommitResolution {
        let Some(commit) = self.in_flight.take_if(|c| c.number == number) else {
            return CommitResolution::Retry;
        };
        self.failed = matches!(outcome, CommitOutcome::NotDone | CommitOutcome::Unknown);
        let refused = outcome == CommitOutcome::Refused;
        match outcome {
            CommitOutcome::Done(version) => {
                self.version = version;
                self.confirmed = commit.sent;
                self.next_confirm = commit.sent + CONFIRM_INTERVAL;
                self.last_duration = now - commit.sent;
                self.in_doubt = false;
                self.released = commit.released;
                self.next_commit = now + COMMIT_PAUSE;
                // The row was changed last when this commit was built.
                self.followers.forget_unlisted(&self.row.followers, now);
                for (job, _) in &commit.jobs {
                    self.doubtful.remove(job);
                    self.refused.forget(*job);
                }
                return CommitResolution::Stored(commit.jobs);
            }
            CommitOutcome::Conflict(row) => {
                if !self.adopt_version(row) {
                    return CommitResolution::Deposed;
                }
                self.next_commit = now;
            }
            CommitOutcome::NotDone => self.next_commit = now + RETRY_PAUSE,
            CommitOutcome::Unknown | CommitOutcome::Refused => {
                self.in_doubt = true;
                self.doubtful
                    .extend(commit.jobs.iter().map(|(job, _)| *job));
                // Without a pause, a store that resets connections would be called in a
                // busy loop.
                self.next_commit = now.max(commit.sent + RETRY_PAUSE);
            }
        }
        if refused {
            let jobs = commit.jobs.iter().map(|(job, _)| *job);
            if let Some(job) = self.refused.record(jobs.collect(), now) {
                self.hold_back(commit.jobs);
                return CommitResolution::Unstorable(job);
            }
        }
        self.requeue(commit.jobs);
        CommitResolution::Retry
    }

    /// Adopts the version of the stored row if an earlier commit of this owner wrote it;
    /// returns false otherwise.
    fn adopt_version(&mut self, row: Option<(u64, Bytes)>) -> bool {
        let Some((version, value)) = row else {
            return false;
        };
        let found: OwnerRow = match serde_json::from_slice(&value) {
            Ok(found) => found,
            Err(e) => {
                log::error!(target: "journal", "the owner's row does not decode: {e}");
                return false;
            }
        };
        let own = found.is_same_owner(&self.row);
        if own {
            self.version = version;
        }
        own
    }

    /// Keeps the actions of a job that is written again later and alone.
    fn hold_back(&mut self, jobs: Vec<(u32, Vec<AfterCommit>)>) {
        for (job, mut actions) in jobs {
            self.queue.remove(job);
            let later = self.changed.entry(job).or_default();
            actions.append(later);
            *later = actions;
        }
    }

    /// Puts the jobs of a commit that is to be written again back to the front of the queue.
    fn requeue(&mut self, jobs: Vec<(u32, Vec<AfterCommit>)>) {
        for (job, mut actions) in jobs.into_iter().rev() {
            let awaited = actions.iter().any(AfterCommit::is_reply);
            match self.changed.get_mut(&job) {
                Some(later) => {
                    actions.append(later);
                    *later = actions;
                    if awaited {
                        self.queue.expedite(job);
                    }
                }
                None => {
                    self.changed.insert(job, actions);
                    self.queue.put_back(job, awaited);
                }
            }
        }
    }
}
