//! The account of all that callers make this process hold, shared by connections and handlers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;

use futures::channel::oneshot;

use super::account::{Account, Capacity, ConnectionId, Exhausted};
use super::server::Limits;
use crate::metrics::{self, CallerLimitLabel};
use crate::utils::clock;
use crate::utils::log_limit::LogLimit;

/// Bytes that a connection may take outside of the pool: [`SMALL_REQUEST`] for a small request, and
/// the rest for its task, socket and decoded head.
pub const CONNECTION_BYTES: usize = 40 << 10;
/// Bytes of buffers that a connection may use outside of the pool: room for a head and a small body.
pub const SMALL_REQUEST: usize = 24 << 10;

/// One of so many connections is kept for new callers while all others are being answered.
const OVERFLOW_SHARE: usize = 8;

/// Why a connection was closed or a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection was closed for another one.
    Connections,
    /// The request made way for others, or found no room.
    Memory,
    /// The request did not arrive in time.
    Slow,
    /// The caller did not take the answer in time.
    Unread,
    /// The message is larger than the limit.
    Size,
}

impl Cause {
    /// Returns the cause as shown in the log and in the metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Slow => "slow",
            Self::Unread => "unread",
            Self::Size => "size",
        }
    }
}

/// Resolves once a connection is evicted.
pub(super) type Eviction = oneshot::Receiver<Infallible>;

/// Account of one listener's callers.
pub struct Callers {
    /// Limits on connections and requests.
    pub limits: Limits,
    account: RefCell<Account>,
    /// Evicts a connection when its entry is dropped.
    kept: RefCell<HashMap<ConnectionId, oneshot::Sender<Infallible>>>,
    log_limit: LogLimit,
}

impl Callers {
    /// Returns an account without connections. Half of the memory is for connections and their
    /// small requests, an eighth for small requests that other boxes forward, and the rest for what
    /// larger requests need.
    pub fn new(limits: Limits) -> Rc<Self> {
        let (half, eighth) = (limits.memory / 2, limits.memory / 8);
        let most = limits.connections.min(half / CONNECTION_BYTES).max(1);
        let overflow = most / OVERFLOW_SHARE;
        let capacity = Capacity {
            connections: most - overflow,
            overflow,
            pool: limits.memory - half - eighth,
            reserve: eighth,
        };
        let account = Account::new(capacity);
        Rc::new(Self {
            limits,
            account: RefCell::new(account),
            kept: RefCell::default(),
            log_limit: LogLimit::default(),
        })
    }

    /// Adds a connection, for which another one may be closed; `None` if there is no room.
    pub(super) fn open(self: &Rc<Self>) -> Option<(Slot, Eviction)> {
        let opened = self.account.borrow_mut().open(clock::now());
        let Ok(opened) = opened else {
            self.report(Cause::Connections);
            return None;
        };
        self.evict(opened.evicted.as_slice(), Cause::Connections);
        if opened.retires {
            self.report(Cause::Connections);
        }
        let (keep, eviction) = oneshot::channel();
        self.kept.borrow_mut().insert(opened.id, keep);
        let (callers, id) = (self.clone(), opened.id);
        Some((Slot { callers, id }, eviction))
    }

    /// Takes memory for the decoded form of a request, beyond that of its connection, until the
    /// returned charge is dropped.
    pub fn charge(self: &Rc<Self>, bytes: usize) -> Result<Charge, Exhausted> {
        self.take(bytes.saturating_sub(SMALL_REQUEST), false)
    }

    /// Takes memory for the decoded form of a request that another box has forwarded.
    pub fn charge_forwarded(self: &Rc<Self>, bytes: usize) -> Result<Charge, Exhausted> {
        self.take(bytes, bytes <= SMALL_REQUEST)
    }

    fn take(self: &Rc<Self>, bytes: usize, small: bool) -> Result<Charge, Exhausted> {
        let taken = self.account.borrow_mut().take(bytes, small);
        let evicted = taken.inspect_err(|_| self.report(Cause::Memory))?;
        self.evict(&evicted, Cause::Memory);
        Ok(self.hold(bytes))
    }

    /// Returns the charge for bytes that are in use.
    fn hold(self: &Rc<Self>, bytes: usize) -> Charge {
        let callers = self.clone();
        Charge { callers, bytes }
    }

    /// Notifies the connections that the account has evicted.
    fn evict(&self, evicted: &[ConnectionId], cause: Cause) {
        for id in evicted {
            self.report(cause);
            self.kept.borrow_mut().remove(id);
        }
    }

    /// Counts an exceeded limit, and logs the first one of each interval with the number of those
    /// since the last line.
    pub(super) fn report(&self, cause: Cause) {
        let by = cause.name();
        let label = CallerLimitLabel { by };
        metrics::get().caller_limits.get_or_create(&label).inc();
        let Some(count) = self.log_limit.admit(clock::now()) else {
            return;
        };
        let account = self.account.borrow();
        log::warn!(target: "web", "event=caller-limit cause={by} count={count} connections={} pooled_bytes={}", account.connections(), account.pooled());
    }

    /// Updates the gauges of what callers hold.
    pub fn update_gauges(&self) {
        let (account, metrics) = (self.account.borrow(), metrics::get());
        let set = |gauge: &metrics::Level, value: usize| gauge.set(value as i64);
        set(&metrics.caller_connections, account.connections());
        let capacity = account.capacity();
        let most = capacity.connections + capacity.overflow;
        set(&metrics.caller_connection_limit, most);
        set(&metrics.caller_pool_bytes, account.pooled());
        set(&metrics.caller_pool_limit, capacity.pool + capacity.reserve);
    }
}

/// A connection's place in the account, until it is dropped.
pub(super) struct Slot {
    callers: Rc<Callers>,
    id: ConnectionId,
}

impl Slot {
    /// Records that the first bytes of a request have arrived.
    pub fn begin_request(&self) {
        let mut account = self.callers.account.borrow_mut();
        account.begin_request(self.id, clock::now());
    }

    /// Makes room for an incomplete request whose buffers have `bytes` in all.
    pub fn resize(&self, bytes: usize) -> Result<(), Exhausted> {
        let pooled = bytes.saturating_sub(SMALL_REQUEST);
        let resized = self.callers.account.borrow_mut().resize(self.id, pooled);
        let evicted = resized.inspect_err(|_| self.callers.report(Cause::Memory))?;
        self.callers.evict(&evicted, Cause::Memory);
        Ok(())
    }

    /// Gives the memory of an incomplete request back.
    pub fn clear(&self) {
        // An evicted connection holds none.
        let _ = self.callers.account.borrow_mut().resize(self.id, 0);
    }

    /// Records that the request was read completely; returns the charge for its bytes.
    pub fn end_reading(&self) -> Charge {
        let mut account = self.callers.account.borrow_mut();
        let bytes = account.end_reading(self.id, clock::now());
        drop(account);
        self.callers.hold(bytes)
    }

    /// Returns true if the connection is to end after its answer.
    pub fn is_retired(&self) -> bool {
        self.callers.account.borrow().is_retired(self.id)
    }

    /// Records that the request was answered.
    pub fn end_request(&self) {
        let mut account = self.callers.account.borrow_mut();
        account.end_request(self.id, clock::now());
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.callers.account.borrow_mut().close(self.id);
        self.callers.kept.borrow_mut().remove(&self.id);
    }
}

/// Memory of a request in its callers' account, until it is dropped.
pub struct Charge {
    callers: Rc<Callers>,
    bytes: usize,
}

impl std::fmt::Debug for Charge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} bytes", self.bytes)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.callers.account.borrow_mut().release(self.bytes);
    }
}
