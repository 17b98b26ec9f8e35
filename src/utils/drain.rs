//! A planned end of tasks that hold connections: it is told to them, and
//! waited for.

use std::convert::Infallible;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::future::Shared;
use futures::{FutureExt, StreamExt};
use monoio::time::timeout;

use super::clock::Millis;

/// The task's side: tells when the end has begun, and holds it up while it lives.
#[derive(Clone)]
pub struct Drain {
    begun: Option<Shared<oneshot::Receiver<()>>>,
    _hold: Option<mpsc::UnboundedSender<Infallible>>,
}

/// The owner's side of a [`Drain`].
pub struct DrainTrigger {
    begin: oneshot::Sender<()>,
    holds: mpsc::UnboundedReceiver<Infallible>,
}

impl Drain {
    /// Returns a drain with what begins it.
    pub fn new() -> (DrainTrigger, Self) {
        let (begin, begun) = oneshot::channel();
        let (hold, holds) = mpsc::unbounded();
        let drain = Self {
            begun: Some(begun.shared()),
            _hold: Some(hold),
        };
        (DrainTrigger { begin, holds }, drain)
    }

    /// Returns a drain that never begins, for servers that end with their process.
    pub fn never() -> Self {
        Self {
            begun: None,
            _hold: None,
        }
    }

    /// Returns when the end has begun.
    pub async fn begun(&self) {
        match self.begun.clone() {
            // A trigger that is dropped begins the end as well.
            Some(begun) => drop(begun.await),
            None => std::future::pending().await,
        }
    }

    /// Returns true once the end has begun.
    pub fn has_begun(&self) -> bool {
        self.begun().now_or_never().is_some()
    }
}

impl DrainTrigger {
    /// Begins the end and waits until no task holds it up; false when `limit`
    /// milliseconds were not enough.
    pub async fn finish(mut self, limit: Millis) -> bool {
        drop(self.begin);
        let ended = self.holds.next();
        timeout(Duration::from_millis(limit), ended).await.is_ok()
    }
}
