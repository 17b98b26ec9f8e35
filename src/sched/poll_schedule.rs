//! Schedule of the polls of workers.
//!
//! The due times are kept in a heap, so that an event need not examine all workers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::owner::Owner;
use super::worker::PollState;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Most first polls of workers that are sent in a millisecond. Each opens a connection, and an owner
/// that opened thousands at once would neither commit nor answer callers for a second.
const FIRST_POLLS_PER_MS: u32 = 4;

/// Due times of polls, the earliest first. Superseded entries stay until they are the earliest.
#[derive(Default)]
pub(super) struct PollSchedule {
    entries: BinaryHeap<Reverse<(Millis, Name)>>,
    /// Time of the last first poll that was scheduled, and how many are scheduled then.
    first_polls: (Millis, u32),
}

impl PollSchedule {
    /// Returns when the next worker that has never been polled is polled.
    fn next_first_poll(&mut self, now: Millis) -> Millis {
        let (at, count) = self.first_polls;
        self.first_polls = match (at < now, count < FIRST_POLLS_PER_MS) {
            (true, _) => (now, 1),
            (false, true) => (at, count + 1),
            (false, false) => (at + 1, 1),
        };
        self.first_polls.0
    }
}

impl Owner {
    /// Sets when the next poll of a worker is due.
    pub(super) fn schedule_poll(&mut self, name: &Name, at: Millis) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.poll = PollState::Due(at);
            self.poll_schedule.entries.push(Reverse((at, name.clone())));
        }
    }

    /// Schedules the first poll of a worker.
    pub(super) fn schedule_first_poll(&mut self, name: &Name) {
        let at = self.poll_schedule.next_first_poll(self.now.steady);
        self.schedule_poll(name, at);
    }

    /// Removes the due entries from the schedule and returns their workers.
    pub(super) fn take_due_polls(&mut self) -> Vec<Name> {
        let mut names = Vec::new();
        while let Some(Reverse((at, name))) = self.poll_schedule.entries.peek() {
            let current = self.workers.get(name).map(|w| w.poll) == Some(PollState::Due(*at));
            if current && *at > self.now.steady {
                break;
            }
            // Equal entries follow each other.
            if current && names.last() != Some(name) {
                names.push(name.clone());
            }
            self.poll_schedule.entries.pop();
        }
        names
    }

    /// Returns the time of the earliest entry.
    pub(super) fn next_poll(&self) -> Option<Millis> {
        self.poll_schedule
            .entries
            .peek()
            .map(|Reverse((at, _))| *at)
    }
}
