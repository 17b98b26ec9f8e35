//! When exchanges with workers are due.
//!
//! Kept apart from the workers, so that not all of them are looked at after each event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::owner::Owner;
use super::worker::PollState;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Times of exchanges, the earliest first; some may hold no more.
#[derive(Default)]
pub(super) struct PollSchedule {
    entries: BinaryHeap<Reverse<(Millis, Name)>>,
}

impl Owner {
    /// Sets when the next exchange with a worker is due.
    pub(super) fn schedule_poll(&mut self, name: &Name, at: Millis) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.poll = PollState::Due(at);
            self.poll_schedule.entries.push(Reverse((at, name.clone())));
        }
    }

    /// Returns the workers with which an exchange is due now.
    pub(super) fn take_due_polls(&mut self) -> Vec<Name> {
        let mut names = Vec::new();
        while let Some(Reverse((at, name))) = self.poll_schedule.entries.peek() {
            let holds = self.workers.get(name).map(|w| w.poll) == Some(PollState::Due(*at));
            if holds && *at > self.now.steady {
                break;
            }
            if holds && !names.contains(name) {
                names.push(name.clone());
            }
            self.poll_schedule.entries.pop();
        }
        names
    }

    /// Returns when the next exchange is due.
    pub(super) fn next_poll(&self) -> Option<Millis> {
        self.poll_schedule
            .entries
            .peek()
            .map(|Reverse((at, _))| *at)
    }
}
