//! Workers that crash: by a task, or by themselves. Another life of a crashed worker is
//! back at the same address some time later.

use std::collections::{BTreeMap, VecDeque};

use super::{FakeWorker, World, listing};
use crate::sched::message::{DirectoryEntry, Event};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds of silence after which the entry of a worker goes.
const UNLISTED: Millis = 3_300;
/// Milliseconds until another life is back, unless a test says otherwise.
const BACK: Millis = 3_400;

/// Tasks that ran on a worker when it crashed.
type Victims = Vec<String>;

/// What crashes workers, and what has become of them.
pub struct Crashes {
    /// Milliseconds after its start at which a task crashes its worker, by task.
    pub by_task: BTreeMap<String, Millis>,
    /// Milliseconds until another life is back.
    pub back: Millis,
    /// All crashes so far.
    pub all: Vec<Victims>,
    /// Entries that change, in the order of their times.
    due: VecDeque<(Millis, Name, DirectoryEntry)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            by_task: BTreeMap::new(),
            back: BACK,
            all: Vec::new(),
            due: VecDeque::new(),
        }
    }
}

impl Crashes {
    /// Returns how many workers have crashed under a task.
    pub fn under(&self, task: &str) -> usize {
        let under = |tasks: &&Victims| tasks.iter().any(|t| t == task);
        self.all.iter().filter(under).count()
    }

    /// Has an entry change at a time.
    fn plan(&mut self, at: Millis, id: Name, entry: DirectoryEntry) {
        self.due.push_back((at, id, entry));
        self.due.make_contiguous().sort_by_key(|(at, ..)| *at);
    }
}

impl World {
    /// Has a worker crash, with all that it runs; another life comes back later.
    pub fn crash(&mut self, id: &str) {
        let worker = self.workers.remove(id).expect("worker");
        self.crashes.all.push(worker.tasks().cloned().collect());
        let lives = self.crashes.all.len();
        let port = worker.listing.address.port();
        let next = listing(&format!("{id}-{lives}"), port);
        let (gone, back) = (self.now + UNLISTED, self.now + self.crashes.back);
        self.crashes.plan(gone, id.into(), DirectoryEntry::Removed);
        let entry = DirectoryEntry::Listed(next.clone());
        self.crashes.plan(back, next.id, entry);
    }

    /// Crashes the workers whose tasks do so now, and brings back those whose time has come.
    pub(super) fn crash_due(&mut self) {
        let now = self.now;
        let by_task = &self.crashes.by_task;
        let fatal = |worker: &FakeWorker| {
            let mut runs = worker.began();
            runs.any(|(task, began)| by_task.get(task).is_some_and(|d| began + d <= now))
        };
        let doomed = self.workers.values().filter(|w| fatal(w));
        let doomed: Vec<Name> = doomed.map(|w| w.listing.id.clone()).collect();
        for id in doomed {
            self.crash(&id);
        }
        while self.crashes.due.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, id, entry)) = self.crashes.due.pop_front() else {
                return;
            };
            if let DirectoryEntry::Listed(listing) = &entry {
                let worker = FakeWorker::new(listing.clone());
                self.workers.insert(id.clone(), worker);
            }
            self.tell(Event::DirectoryChanged(vec![(id, entry)]));
        }
    }
}
