//! Simulates a box whose process is stopped for a while and then handles what has arrived meanwhile
//! in any order, also after another box has replaced it as the owner.

use std::collections::VecDeque;

use super::World;
use super::calls::Scheduled;
use crate::sched::message::Event;
use crate::sched::owner::Owner;
use crate::utils::clock::Millis;

/// A stopped owner that another one has replaced. It learns of that from its next commit.
pub(super) struct ReplacedOwner {
    owner: Owner,
    epoch: u64,
    resumes: Millis,
}

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
                Scheduled::Call(call, _)
                    if call.epoch() == self.epoch && self.random.chance(0.5) =>
                {
                    resumed + 1
                }
                Scheduled::Call(..) | Scheduled::Delayed(..) => at,
                Scheduled::Event(..) | Scheduled::History(..) => at.max(resumed),
            };
            self.scheduled.insert((at, serial), due);
        }
    }

    /// Replaces the stopped owner, which goes on when its process resumes.
    pub fn replace_stopped_owner(&mut self, inherited: Millis) {
        let (epoch, resumes) = (self.epoch, self.suspended_until);
        let owner = self.replace_owner(inherited);
        self.replaced = Some(ReplacedOwner {
            owner,
            epoch,
            resumes,
        });
    }

    /// Returns until when the owner that receives an event is stopped or suspended.
    pub(super) fn resumption_of(&self, due: &Scheduled) -> Millis {
        let replaced = self.replaced.as_ref();
        let replaced = replaced.filter(|r| matches!(due, Scheduled::Event(e, _) if *e == r.epoch));
        replaced.map_or(self.suspended_until, |r| r.resumes)
    }

    /// Draws the order of the events that have arrived while a process was stopped.
    pub(super) fn resume_if_due(&mut self) {
        if self.process_stopped && self.now >= self.suspended_until {
            self.process_stopped = false;
            self.draw_order(self.epoch);
        }
        let resumed = |r: &ReplacedOwner| r.resumes == self.now;
        if let Some(epoch) = self
            .replaced
            .as_ref()
            .filter(|r| resumed(r))
            .map(|r| r.epoch)
        {
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

    /// Has a replaced owner handle an event, unless its term has ended.
    pub(super) fn handle_replaced(&mut self, epoch: u64, event: Event) {
        let Some(mut replaced) = self.replaced.take_if(|r| r.epoch == epoch) else {
            return;
        };
        let current = std::mem::replace(&mut self.epoch, epoch);
        std::mem::swap(&mut self.owner, &mut replaced.owner);
        self.handle(event);
        std::mem::swap(&mut self.owner, &mut replaced.owner);
        self.epoch = current;
        self.replaced = Some(replaced).filter(|r| !r.owner.is_deposed());
    }

    /// Lets a replaced owner do what is due.
    pub(super) fn tick_replaced(&mut self) {
        let resumed = |r: &&ReplacedOwner| self.now >= r.resumes;
        if let Some(epoch) = self.replaced.as_ref().filter(resumed).map(|r| r.epoch) {
            self.handle_replaced(epoch, Event::Tick);
        }
    }
}
