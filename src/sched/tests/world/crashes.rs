//! Workers that crash: by a task, or by themselves. Another life of a crashed worker is
//! back at the same address some time later.

use std::collections::{BTreeMap, VecDeque};

use super::{FakeWorker, World, listing};
use crate::sched::message::{DirectoryEntry, Event};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds of silence after which the entry of a worker goes.
const UNLIST_DELAY: Millis = 3_300;
/// Milliseconds until another life is back, unless a test says otherwise.
const RESTART_DELAY: Millis = 3_400;

/// Tasks that ran on a worker when it crashed.
type Victims = Vec<String>;

/// What crashes workers, and what has become of them.
pub struct Crashes {
    /// Milliseconds after its start at which a task crashes its worker, by task.
    pub by_task: BTreeMap<String, Millis>,
    /// Milliseconds until another life is back.
    pub restart_delay: Millis,
    /// All crashes so far.
    pub victims: Vec<Victims>,
    /// Entries that change, in the order of their times.
    directory_changes: VecDeque<(Millis, Name, DirectoryEntry)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            by_task: BTreeMap::new(),
            restart_delay: RESTART_DELAY,
            victims: Vec::new(),
            directory_changes: VecDeque::new(),
        }
    }
}

impl Crashes {
    /// Returns how many workers have crashed under a task.
    pub fn count_with(&self, task: &str) -> usize {
        let under = |tasks: &&Victims| tasks.iter().any(|t| t == task);
        self.victims.iter().filter(under).count()
    }

    /// Has an entry change at a time.
    fn schedule_change(&mut self, at: Millis, id: Name, entry: DirectoryEntry) {
        self.directory_changes.push_back((at, id, entry));
        self.directory_changes
            .make_contiguous()
            .sort_by_key(|(at, ..)| *at);
    }
}

impl World {
    /// Has a worker crash, with all that it runs; another life comes back later.
    pub fn crash(&mut self, id: &str) {
        let worker = self.workers.remove(id).expect("worker");
        self.crashes.victims.push(worker.tasks().cloned().collect());
        let crashes = self.crashes.victims.len();
        let port = worker.listing.address.port();
        let next = listing(&format!("{id}-{crashes}"), port);
        let (gone, back) = (
            self.now + UNLIST_DELAY,
            self.now + self.crashes.restart_delay,
        );
        self.crashes
            .schedule_change(gone, id.into(), DirectoryEntry::Removed);
        let entry = DirectoryEntry::Listed(next.clone());
        self.crashes.schedule_change(back, next.id, entry);
    }

    /// Crashes the workers whose tasks do so now, and brings back those whose time has come.
    pub(super) fn apply_due_crashes(&mut self) {
        let now = self.now;
        let by_task = &self.crashes.by_task;
        let fatal = |worker: &FakeWorker| {
            let mut runs = worker.start_times();
            runs.any(|(task, began)| by_task.get(task).is_some_and(|d| began + d <= now))
        };
        let crashing = self.workers.values().filter(|w| fatal(w));
        let crashing: Vec<Name> = crashing.map(|w| w.listing.id.clone()).collect();
        for id in crashing {
            self.crash(&id);
        }
        while self
            .crashes
            .directory_changes
            .front()
            .is_some_and(|(at, ..)| *at <= now)
        {
            let Some((_, id, entry)) = self.crashes.directory_changes.pop_front() else {
                return;
            };
            if let DirectoryEntry::Listed(listing) = &entry {
                let worker = FakeWorker::new(listing.clone());
                self.workers.insert(id.clone(), worker);
            }
            self.notify(Event::DirectoryChanged(vec![(id, entry)]));
        }
    }
}
