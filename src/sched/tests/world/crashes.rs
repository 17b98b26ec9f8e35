//! Simulates crashes of workers, with or without a task as the cause. A new incarnation starts at
//! the same address some time later.

use std::collections::{BTreeMap, VecDeque};

use super::{FakeWorker, World, listing};
use crate::sched::message::{DirectoryEntry, Event};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds after a crash when the worker's directory entry is removed.
const UNLIST_DELAY: Millis = 3_300;
/// Default time from a crash until the next incarnation is listed, in milliseconds.
const RESTART_DELAY: Millis = 3_400;

/// Tasks that ran on a worker when it crashed.
type Victims = Vec<String>;

/// Tasks that crash workers, and the crashes so far.
pub struct Crashes {
    /// Milliseconds from the start of a task to the crash of its worker, for each crashing task.
    pub crash_delays: BTreeMap<String, Millis>,
    /// Milliseconds from a crash until the next incarnation is listed.
    pub restart_delay: Millis,
    /// Tasks that ran on the worker, for each crash so far.
    pub victims: Vec<Victims>,
    /// Changes of directory entries to come, ordered by time.
    directory_changes: VecDeque<(Millis, Name, DirectoryEntry)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            crash_delays: BTreeMap::new(),
            restart_delay: RESTART_DELAY,
            victims: Vec::new(),
            directory_changes: VecDeque::new(),
        }
    }
}

impl Crashes {
    /// Returns the number of crashes of workers that ran a task.
    pub fn count_with(&self, task: &str) -> usize {
        let ran_task = |tasks: &&Victims| tasks.iter().any(|t| t == task);
        self.victims.iter().filter(ran_task).count()
    }

    /// Schedules a change of a directory entry.
    fn schedule_change(&mut self, at: Millis, id: Name, entry: DirectoryEntry) {
        self.directory_changes.push_back((at, id, entry));
        self.directory_changes
            .make_contiguous()
            .sort_by_key(|(at, ..)| *at);
    }
}

impl World {
    /// Crashes a worker with all its runs, and schedules its next incarnation.
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

    /// Crashes workers whose tasks are due to crash them, and applies due changes of entries.
    pub(super) fn apply_due_crashes(&mut self) {
        let now = self.now;
        let crash_delays = &self.crashes.crash_delays;
        let fatal = |worker: &FakeWorker| {
            let mut runs = worker.start_times();
            runs.any(|(task, began)| {
                crash_delays
                    .get(task)
                    .is_some_and(|delay| began + delay <= now)
            })
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
