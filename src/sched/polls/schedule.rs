//! Schedule of the polls of workers.
//!
//! The due times are kept in a heap, so that an event need not examine all workers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::sched::owner::Owner;
use crate::sched::worker::PollState;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Due times of polls, the earliest first. Superseded entries stay until they are the earliest.
#[derive(Default)]
pub(in crate::sched) struct PollSchedule {
    entries: BinaryHeap<Reverse<(Millis, Name)>>,
}

impl Owner {
    /// Sets when the next poll of a worker is due.
    pub(in crate::sched) fn schedule_poll(&mut self, name: &Name, at: Millis) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.poll = PollState::Due(at);
            self.poll_schedule.entries.push(Reverse((at, name.clone())));
        }
    }

    /// Removes the due entries from the schedule and returns their workers.
    pub(in crate::sched) fn take_due_polls(&mut self) -> Vec<Name> {
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
    pub(in crate::sched) fn next_poll(&self) -> Option<Millis> {
        self.poll_schedule
            .entries
            .peek()
            .map(|Reverse((at, _))| *at)
    }
}
