//! The link between the boxes and a worker: a proxy whose connections fall silent or are closed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use super::proxy::{self, Flow};

/// State of a link.
#[derive(Default)]
struct LinkState {
    /// True while the port of the worker is closed.
    closed: bool,
    /// Connections that were opened before this time are closed.
    cut_at: Option<Instant>,
    /// Connections that were opened before this time are silent for good.
    silenced_at: Option<Instant>,
}

/// A link to a worker; clones share it.
#[derive(Clone, Default)]
pub struct Link {
    state: Arc<Mutex<LinkState>>,
}

impl Link {
    /// Starts the proxy of the link; returns the address that boxes use.
    pub fn start(&self, worker: SocketAddr) -> SocketAddr {
        let link = self.clone();
        proxy::start_with(worker, move |_, opened| link.flow(opened))
    }

    /// Closes all open connections, in the middle of their calls; new ones work.
    pub fn cut(&self) {
        self.state().cut_at = Some(Instant::now());
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence(&self) {
        self.state().silenced_at = Some(Instant::now());
    }

    /// Closes the port of the worker and all open connections, or opens the port again.
    pub fn set_closed(&self, closed: bool) {
        self.state().closed = closed;
    }

    /// Returns what becomes of the data of a connection opened at this time.
    fn flow(&self, opened: Instant) -> Flow {
        let state = self.state();
        let before = |at: Option<Instant>| at.is_some_and(|at| opened < at);
        if state.closed || before(state.cut_at) {
            Flow::Close
        } else if before(state.silenced_at) {
            Flow::Hold
        } else {
            Flow::Pass
        }
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("the lock is not poisoned")
    }
}
