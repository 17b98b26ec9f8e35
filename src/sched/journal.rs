//! Group commits: changed jobs are written together, one commit at a time.
//!
//! Each commit also rewrites the owner's row on the condition of its version.
//! So an owner that was replaced writes nothing more, and a commit without an
//! answer can no longer take effect once a later one has.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::incarnation::Incarnation;
use super::job::TaskKey;
use super::message::{Answer, CommitOutcome, Ticket, Write};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Table of the owner's row.
pub const OWNER_TABLE: &str = "owner";
/// Table of the specifications of jobs, written once.
pub const SPEC_TABLE: &str = "spec";
/// Table of the states of jobs.
pub const JOB_TABLE: &str = "job";
/// Table of jobs that are over.
pub const HISTORY_TABLE: &str = "past";
/// Table of what owners learned.
pub const ESTIMATES_TABLE: &str = "belief";
/// Key of the interference factors between images.
pub const INTERFERENCE_KEY: &str = "pressure";
/// Key of the owner's row.
pub const OWNER_KEY: &str = "owner";

/// Entries that the store takes in one commit.
const ENTRIES: usize = 100;
/// Those beside the rows of jobs: the owner's row, the condition on it and the row of
/// what was learned.
const OTHER_ENTRIES: usize = 3;
/// Most that a job needs: its small row put and the two others removed.
const JOB_ENTRIES: usize = 3;
/// Bytes of rows in one commit, half of the store's bound, as rows grow by
/// a third on the wire.
const BYTES_LIMIT: usize = 500_000;
/// Milliseconds between two commits, to let changes gather.
const PAUSE: Millis = 4;
/// Milliseconds until a commit that had no effect is tried again, and between
/// one that is in doubt and the next.
const RETRY: Millis = 60;
/// Milliseconds after which an idle owner confirms that it still is the owner.
const CONFIRM: Millis = 300;

/// Milliseconds in which an owner that gives the cell up writes what has changed
/// before it says so: some commits. With 1,100 starts a second changes never ceased,
/// and a planned stop held the cell for the 5.2 s until its process ended.
const LAST: Millis = 100;

/// The owner's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// Name of the owning box.
    pub name: Name,
    /// Incarnation of the owning process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Where other boxes reach it.
    pub address: std::net::SocketAddr,
    /// Counts owners.
    pub epoch: u64,
    /// Counts its commits.
    pub seq: u64,
    /// True once no owner before it can extend a lease on a worker.
    #[serde(default)]
    pub settled: bool,
    /// True once it has given the cell up.
    #[serde(default)]
    pub released: bool,
    /// Thousandths of cores that an owner should have: most that one had, or that
    /// a box has for which the cell was given up.
    #[serde(default)]
    pub cores: u32,
}

impl OwnerRow {
    /// Returns true when both were written by the same life of the same box as
    /// the same owner. Boxes that start in the same millisecond share the
    /// number of their life.
    pub fn same_owner(&self, other: &Self) -> bool {
        self.name == other.name
            && self.incarnation == other.incarnation
            && self.epoch == other.epoch
    }
}

/// What waits for a job's row to be in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterCommit {
    /// The answer to a caller.
    Reply(Ticket, Answer),
    /// The start of a run.
    Start(TaskKey, u32),
    /// The acknowledgement of an end to a worker.
    Acknowledge(Incarnation, u64),
}

/// Returns how many more writes a commit with these has room for.
pub fn spare_entries(writes: &[Write]) -> usize {
    // One is the condition.
    ENTRIES.saturating_sub(writes.len() + 1)
}

/// How the last commit changed what is known.
#[derive(Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The jobs are in the store as they were when it was built.
    Stored(Vec<(u32, Vec<AfterCommit>)>),
    /// Nothing is settled; it will be written again.
    Retry,
    /// Another box owns the cell.
    Deposed,
}

/// A commit on its way.
struct Flight {
    number: u64,
    sent: Millis,
    released: bool,
    jobs: Vec<(u32, Vec<AfterCommit>)>,
}

/// The owner's commits.
pub struct Journal {
    row: OwnerRow,
    /// Version of the owner's row in the store.
    version: u64,
    /// Changed jobs in the order in which they are written.
    order: VecDeque<u32>,
    /// The same jobs, with what waits for their rows.
    waiting: BTreeMap<u32, Vec<AfterCommit>>,
    flight: Option<Flight>,
    /// When the next commit may be sent.
    next: Millis,
    /// When the store last confirmed that this is the owner: when a commit that took
    /// effect was sent, or the read after the load.
    confirmed: Millis,
    /// When an idle owner confirms it again. A new one does so at once: its row has not
    /// changed while it loaded, and others may wait for that.
    idle: Millis,
    /// Milliseconds that the last commit took.
    took: Millis,
    /// True while the outcome of a commit is not known.
    in_doubt: bool,
    /// True when the last commit that ended is not known to have taken effect.
    failed: bool,
    /// Since when the cell is to be given up.
    leaving: Option<Millis>,
    /// True once the store holds that the cell was given up.
    left: bool,
}

impl Journal {
    /// Returns the journal of an owner whose row was written as `version`, and which the
    /// store confirmed by a call sent at `now`.
    pub fn new(row: OwnerRow, version: u64, now: Millis) -> Self {
        Self {
            row,
            version,
            order: VecDeque::new(),
            waiting: BTreeMap::new(),
            flight: None,
            next: now,
            confirmed: now,
            idle: now,
            took: 0,
            in_doubt: false,
            failed: false,
            leaving: None,
            left: false,
        }
    }

    /// Returns the epoch of the owner.
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Returns when the last commit that took effect was sent.
    pub fn last_confirmed(&self) -> Millis {
        self.confirmed
    }

    /// Returns the milliseconds that the last commit took.
    pub fn last_commit_duration(&self) -> Millis {
        self.took
    }

    /// Returns true while the outcome of a commit is not known.
    pub fn in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Returns true when the last commit that ended is not known to have taken effect.
    pub fn last_commit_failed(&self) -> bool {
        self.failed
    }

    /// Marks a job as changed.
    pub fn touch(&mut self, job: u32) {
        if let Entry::Vacant(entry) = self.waiting.entry(job) {
            entry.insert(Vec::new());
            self.order.push_back(job);
        }
    }

    /// Marks a job as changed, with what waits for its row.
    pub fn run_after_commit(&mut self, job: u32, after: AfterCommit) {
        self.touch(job);
        if let Some(list) = self.waiting.get_mut(&job) {
            list.push(after);
        }
    }

    /// Has the row say that no owner before can extend a lease any more.
    pub fn mark_predecessors_ended(&mut self) {
        self.row.settled = true;
    }

    /// Gives the cell up once what has changed is written, or soon.
    pub fn release(&mut self, now: Millis) {
        self.leaving.get_or_insert(now);
        self.next = now;
    }

    /// Gives the cell up to a box with so many thousandths of cores.
    pub fn make_way(&mut self, cores: u32, now: Millis) {
        self.row.cores = cores;
        self.release(now);
    }

    /// Returns true once the cell is to be given up.
    pub fn is_releasing(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns true once the store holds the release. Changes that it does not hold
    /// are found by the next owner as after a lost one.
    pub fn is_released(&self) -> bool {
        self.left
    }

    /// Returns when the next commit is due, unless one is on its way.
    pub fn next_due(&self) -> Option<Millis> {
        let idle = match self.order.is_empty() && !self.is_releasing() {
            true => self.idle,
            false => 0,
        };
        self.flight.is_none().then_some(self.next.max(idle))
    }

    /// Returns the next commit when one is due; `rows` gives the rows of a job.
    pub fn build_commit(
        &mut self,
        now: Millis,
        mut rows: impl FnMut(u32) -> Vec<Write>,
    ) -> Option<(u64, u64, Vec<Write>)> {
        let idle = now >= self.idle || self.is_releasing();
        let waits = self.flight.is_some() || now < self.next || self.left;
        if waits || (self.order.is_empty() && !idle) {
            return None;
        }
        self.row.seq += 1;
        let mut writes = Vec::new();
        let mut jobs = Vec::new();
        let mut bytes = 0;
        let most = ENTRIES - OTHER_ENTRIES - JOB_ENTRIES;
        while writes.len() <= most && bytes < BYTES_LIMIT {
            let Some(job) = self.order.pop_front() else {
                break;
            };
            let list = self.waiting.remove(&job).unwrap_or_default();
            let made = rows(job);
            let size = |w: &Write| w.value.as_ref().map_or(0, Bytes::len);
            bytes += made.iter().map(size).sum::<usize>();
            writes.extend(made);
            jobs.push((job, list));
        }
        let last = self.leaving.is_some_and(|since| now >= since + LAST);
        self.row.released |= last || (self.is_releasing() && self.order.is_empty());
        writes.push(self.own_row());
        let number = self.row.seq;
        self.flight = Some(Flight {
            number,
            sent: now,
            released: self.row.released,
            jobs,
        });
        Some((number, self.version, writes))
    }

    fn own_row(&self) -> Write {
        Write {
            table: OWNER_TABLE,
            key: OWNER_KEY.into(),
            value: Some(crate::table::encode(&self.row)),
        }
    }

    /// Takes in how a commit ended.
    pub fn resolve(&mut self, number: u64, written: CommitOutcome, now: Millis) -> Resolution {
        let Some(flight) = self.flight.take_if(|f| f.number == number) else {
            return Resolution::Retry;
        };
        self.failed = matches!(written, CommitOutcome::NotDone | CommitOutcome::Unknown);
        match written {
            CommitOutcome::Done(version) => {
                self.version = version;
                self.confirmed = flight.sent;
                self.idle = flight.sent + CONFIRM;
                self.took = now - flight.sent;
                self.in_doubt = false;
                self.left = flight.released;
                self.next = now + PAUSE;
                return Resolution::Stored(flight.jobs);
            }
            CommitOutcome::Conflict(row) => {
                if !self.adopt(row) {
                    return Resolution::Deposed;
                }
                self.next = now;
            }
            CommitOutcome::NotDone => self.next = now + RETRY,
            CommitOutcome::Unknown => {
                self.in_doubt = true;
                // A store that resets connections would be asked without a pause.
                self.next = now.max(flight.sent + RETRY);
            }
        }
        self.restore(flight.jobs);
        Resolution::Retry
    }

    /// Accepts the version of a row that an earlier commit of this owner wrote.
    fn adopt(&mut self, row: Option<(u64, Bytes)>) -> bool {
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
        let own = found.same_owner(&self.row);
        if own {
            self.version = version;
        }
        own
    }

    /// Puts jobs whose commit had no effect back in front.
    fn restore(&mut self, jobs: Vec<(u32, Vec<AfterCommit>)>) {
        for (job, mut list) in jobs.into_iter().rev() {
            match self.waiting.get_mut(&job) {
                Some(later) => {
                    list.append(later);
                    *later = list;
                }
                None => {
                    self.waiting.insert(job, list);
                    self.order.push_front(job);
                }
            }
        }
    }
}
