//! Messages that wait for the owner's task.

use std::time::Duration;

use futures::StreamExt;
use futures::channel::mpsc::UnboundedReceiver;
use monoio::time::timeout;

use super::message::{Message, Sent};
use crate::sched::backlog::{Backlog, Class};

/// Waiting messages, and the channel from which more come.
pub struct Inbox {
    receiver: UnboundedReceiver<Sent>,
    backlog: Backlog<Sent>,
}

impl Inbox {
    /// Returns the inbox that is filled from a channel.
    pub fn new(receiver: UnboundedReceiver<Sent>) -> Self {
        Self {
            receiver,
            backlog: Backlog::default(),
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
        self.backlog.pop()
    }

    /// Returns true when no received message waits.
    pub fn is_empty(&self) -> bool {
        self.backlog.is_empty()
    }

    fn add(&mut self, sent: Sent) {
        let class = match &sent.message {
            Message::Request(..) => Class::Request,
            Message::Event(_, event) => Class::of(event),
            _ => Class::Urgent,
        };
        self.backlog.push(class, sent);
    }
}
