//! Graceful shutdown of tasks that hold connections: signals them to end, and waits for them.

use std::convert::Infallible;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::future::Shared;
use futures::{FutureExt, StreamExt};
use monoio::time::timeout;

use super::clock::Millis;

/// Handle that a task holds: signals to it that the shutdown has begun, and delays the end of the
/// shutdown until the handle is dropped.
#[derive(Clone)]
pub struct Drain {
    begun: Option<Shared<oneshot::Receiver<()>>>,
    _guard: Option<mpsc::UnboundedSender<Infallible>>,
}

/// Handle that begins the shutdown of the tasks that hold a [`Drain`], and waits for its end.
pub struct DrainTrigger {
    begin: oneshot::Sender<()>,
    guards: mpsc::UnboundedReceiver<Infallible>,
}

impl Drain {
    /// Creates a drain and the trigger that begins it.
    pub fn new() -> (DrainTrigger, Self) {
        let (begin, begun) = oneshot::channel();
        let (guard, guards) = mpsc::unbounded();
        let drain = Self {
            begun: Some(begun.shared()),
            _guard: Some(guard),
        };
        (DrainTrigger { begin, guards }, drain)
    }

    /// Creates a drain that never begins, for servers that run until the process ends.
    pub fn never() -> Self {
        Self {
            begun: None,
            _guard: None,
        }
    }

    /// Waits until the shutdown has begun.
    pub async fn begun(&self) {
        match self.begun.clone() {
            // Dropping the trigger begins the shutdown, too.
            Some(begun) => drop(begun.await),
            None => std::future::pending().await,
        }
    }

    /// Returns true once the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun().now_or_never().is_some()
    }
}

impl DrainTrigger {
    /// Begins the shutdown, and waits until all tasks have dropped their [`Drain`]. Returns false
    /// if that takes more than `limit` milliseconds.
    pub async fn finish(mut self, limit: Millis) -> bool {
        drop(self.begin);
        let ended = self.guards.next();
        timeout(Duration::from_millis(limit), ended).await.is_ok()
    }
}
