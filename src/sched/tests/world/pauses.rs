//! Simulates a box whose process is stopped for a while and then handles what has arrived meanwhile
//! in any order, also after another box has replaced it as the owner.

use std::collections::VecDeque;

use super::calls::Scheduled;
use super::owners::EarlierOwner;
use super::{World, owner_row};
use crate::sched::fences::next_epoch;
use crate::sched::message::Event;
use crate::utils::clock::Millis;

/// Where events come from; those of one source are handled in their order.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    Directory,
    Cordons,
    History,
    /// The call with this serial number.
    Call(u64),
}

impl Source {
    fn of(event: &Event, serial: u64) -> Self {
        match event {
            Event::Directory(_) | Event::DirectoryChanged(_) => Self::Directory,
            Event::Cordoned(_) => Self::Cordons,
            Event::History(_) => Self::History,
            _ => Self::Call(serial),
        }
    }
}

impl World {
    /// Stops the process of the owner for `span` milliseconds. Its timers go on, and half of the
    /// calls that it has just made are sent only when it resumes.
    pub fn stop_process(&mut self, span: Millis) {
        if self.now < self.suspended_until {
            return;
        }
        let resumed = self.now + span;
        self.suspended_until = resumed;
        self.process_stopped = true;
        for ((at, serial), due) in std::mem::take(&mut self.scheduled) {
            let at = match &due {
                Scheduled::Call(epoch, ..) if *epoch == self.epoch && self.random.chance(0.5) => {
                    resumed + 1
                }
                Scheduled::Call(..) | Scheduled::Delayed(..) => at,
                Scheduled::Event(epoch, _) | Scheduled::History(epoch, _)
                    if *epoch != self.epoch =>
                {
                    at
                }
                Scheduled::Event(..) | Scheduled::History(..) => at.max(resumed),
            };
            self.scheduled.insert((at, serial), due);
        }
    }

    /// Replaces the stopped owner, which goes on when its process resumes, until it learns of that
    /// from its next commit.
    pub fn replace_stopped_owner(&mut self, inherited: Millis) {
        let (epoch, suspended_until) = (self.epoch, self.suspended_until);
        let owner = self.begin_owner(owner_row(next_epoch(epoch)), inherited);
        let earlier = EarlierOwner {
            owner,
            suspended_until,
            process_stopped: true,
        };
        self.earlier.owners.insert(epoch, earlier);
    }

    /// Draws the order of the events that have arrived while a process was stopped.
    pub(super) fn resume_if_due(&mut self) {
        let now = self.now;
        if self.process_stopped && now >= self.suspended_until {
            self.process_stopped = false;
            self.draw_order(self.epoch);
        }
        let earlier = self.earlier.owners.iter();
        let resumed = earlier.filter(|(_, e)| e.process_stopped && e.suspended_until == now);
        let epochs: Vec<u64> = resumed.map(|(epoch, _)| *epoch).collect();
        for epoch in epochs {
            self.draw_order(epoch);
        }
    }

    /// Puts the due events of an owner into a drawn order.
    fn draw_order(&mut self, owner: u64) {
        let now = self.now;
        let is_due = |at: Millis, due: &Scheduled| {
            at <= now && matches!(due, Scheduled::Event(epoch, _) if *epoch == owner)
        };
        let due = self
            .scheduled
            .iter()
            .filter(|((at, _), due)| is_due(*at, due));
        let keys: Vec<(Millis, u64)> = due.map(|(key, _)| *key).collect();
        let mut waiting: VecDeque<(Source, Event)> = VecDeque::new();
        for key in &keys {
            if let Some(Scheduled::Event(_, event)) = self.scheduled.remove(key) {
                waiting.push_back((Source::of(&event, key.1), event));
            }
        }
        for key in keys {
            let drawn = self.random.below(waiting.len() as u64) as usize;
            let source = waiting[drawn].0;
            let first = waiting.iter().position(|(s, _)| *s == source);
            let Some((_, event)) = first.and_then(|i| waiting.remove(i)) else {
                return;
            };
            self.scheduled.insert(key, Scheduled::Event(owner, event));
        }
    }
}
