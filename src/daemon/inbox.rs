//! Messages that wait for the owner's task, in the order in which it handles them.
//!
//! A box that is short of processor has hundreds of messages waiting. Those that decide whether it
//! stays the owner go first: with a commit's outcome behind them, the next commit would be so late
//! that other boxes take the owner for gone. Requests and replies of workers follow in turns: callers
//! wait for a second or two, and neither may hold up the other for longer than it takes itself.

use std::collections::VecDeque;
use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use monoio::time::timeout;

use super::message::{Message, Sent};
use crate::sched::message::Event;

/// Waiting messages.
pub struct Inbox {
    receiver: UnboundedReceiver<Sent>,
    urgent: VecDeque<Sent>,
    requests: VecDeque<Sent>,
    others: VecDeque<Sent>,
    /// True when a request goes before a reply.
    request_next: bool,
}

impl Inbox {
    /// Returns the inbox that is filled from a channel.
    pub fn new(receiver: UnboundedReceiver<Sent>) -> Self {
        Self {
            receiver,
            urgent: VecDeque::new(),
            requests: VecDeque::new(),
            others: VecDeque::new(),
            request_next: false,
        }
    }

    /// Waits until a message is there or the time is over; returns false once no more can come.
    pub async fn wait(&mut self, limit: Duration) -> bool {
        if !self.is_empty() {
            return true;
        }
        match timeout(limit, self.receiver.next()).await {
            Ok(Some(sent)) => self.add(sent),
            Ok(None) => return false,
            Err(_) => {}
        }
        true
    }

    /// Returns the next message to handle.
    pub fn next(&mut self) -> Option<Sent> {
        while let Ok(sent) = self.receiver.try_recv() {
            self.add(sent);
        }
        if let Some(urgent) = self.urgent.pop_front() {
            return Some(urgent);
        }
        self.request_next = !self.request_next;
        let (first, second) = match self.request_next {
            true => (&mut self.requests, &mut self.others),
            false => (&mut self.others, &mut self.requests),
        };
        first.pop_front().or_else(|| second.pop_front())
    }

    /// Returns true when no received message waits.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.requests.is_empty() && self.others.is_empty()
    }

    fn add(&mut self, sent: Sent) {
        let queue = match &sent.message {
            Message::Request(..) => &mut self.requests,
            Message::Event(_, Event::Cordoned(_) | Event::CommitEnded(..)) => &mut self.urgent,
            Message::Event(..) => &mut self.others,
            _ => &mut self.urgent,
        };
        queue.push_back(sent);
    }
}
