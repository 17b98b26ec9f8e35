//! Order in which the owner handles what waits for it.
//!
//! On a box that is short of processor hundreds of messages wait. Those that decide whether it stays
//! the owner go first: with the outcome of a commit behind them, the next commit would be so late that
//! other boxes take the owner for gone. Requests and replies of workers follow alternately: callers
//! wait for a second or two, and neither may hold up the other for longer than it takes itself.

use std::collections::VecDeque;

use super::message::Event;
use crate::utils::clock::Millis;

/// Milliseconds for which the owner handles messages before other tasks of the box run: answers to
/// pings and the answers of the store and the workers wait meanwhile.
pub const TIME_SLICE: Millis = 10;

/// What decides when a message is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// It is about the ownership of the cell, or limits what the owner may start.
    Urgent,
    /// A caller waits for its answer.
    Request,
    /// All others.
    Usual,
}

impl Class {
    /// Returns the class of an event.
    pub fn of(event: &Event) -> Self {
        match event {
            Event::CommitEnded(..) | Event::Cordoned(_) => Self::Urgent,
            Event::Request(..) => Self::Request,
            _ => Self::Usual,
        }
    }
}

/// Waiting messages.
pub struct Backlog<T> {
    urgent: VecDeque<T>,
    requests: VecDeque<T>,
    others: VecDeque<T>,
    /// True when a request goes before a message of the usual class.
    request_next: bool,
}

impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Self {
            urgent: VecDeque::new(),
            requests: VecDeque::new(),
            others: VecDeque::new(),
            request_next: true,
        }
    }
}

impl<T> Backlog<T> {
    /// Adds a message.
    pub fn push(&mut self, class: Class, message: T) {
        let queue = match class {
            Class::Urgent => &mut self.urgent,
            Class::Request => &mut self.requests,
            Class::Usual => &mut self.others,
        };
        queue.push_back(message);
    }

    /// Removes and returns the message to handle next.
    pub fn pop(&mut self) -> Option<T> {
        if let Some(urgent) = self.urgent.pop_front() {
            return Some(urgent);
        }
        let (first, second) = match self.request_next {
            true => (&mut self.requests, &mut self.others),
            false => (&mut self.others, &mut self.requests),
        };
        self.request_next = !self.request_next;
        first.pop_front().or_else(|| second.pop_front())
    }

    /// Returns true when no message waits.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.requests.is_empty() && self.others.is_empty()
    }
}
