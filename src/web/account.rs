//! Decides which callers' connections and unfinished requests are kept, within limits on the number
//! of connections and on the memory of requests.
//!
//! Each connection has room for a small request of its own. The memory that larger requests take
//! beyond it comes from a pool that all connections share. When the pool is exhausted, the request
//! that has been incomplete for the longest time makes way; when all connections are in use, the
//! one that has been idle for the longest time does, or else the one whose request has been
//! incomplete for the longest time. A request that was read completely is never evicted, as its
//! caller relies on the answer; if all connections have such requests, the one that was opened first
//! is retired, which means that it ends after its answer.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::utils::clock::Millis;

/// Identifies a connection within an account.
pub type ConnectionId = u64;

/// Limits of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Most open connections, without those that are to end.
    pub connections: usize,
    /// Most open connections beyond that, while others are to end.
    pub overflow: usize,
    /// Most bytes of the pool.
    pub pool: usize,
    /// Bytes beyond the pool that only small requests may take.
    pub reserve: usize,
}

/// Error: everything within the limits is in use by requests that can't be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// A connection that was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened {
    /// Its id.
    pub id: ConnectionId,
    /// The connection that is evicted for it.
    pub evicted: Option<ConnectionId>,
    /// True if another connection was retired for it.
    pub retires: bool,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for the next request.
    Idle,
    /// It reads a request.
    Reading,
    /// Its request is being handled, or the answer is being sent.
    Handling,
}

/// An open connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// When the phase began.
    since: Millis,
    /// Bytes of the pool that its incomplete request holds.
    pooled: usize,
    /// True if it ends after its answer.
    retired: bool,
}

/// Open connections, and the pool for large requests.
#[derive(Debug)]
pub struct Account {
    capacity: Capacity,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Bytes of the pool and its reserve that are in use.
    pooled: usize,
    /// Those of them that incomplete requests hold.
    incomplete: usize,
    next: ConnectionId,
}

impl Account {
    /// Returns an account without connections.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            connections: BTreeMap::new(),
            pooled: 0,
            incomplete: 0,
            next: 0,
        }
    }

    /// Returns the limits.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes of the pool and its reserve that are in use.
    pub fn pooled(&self) -> usize {
        self.pooled
    }

    /// Adds a connection, for which another one may be evicted or retired.
    pub fn open(&mut self, now: Millis) -> Result<Opened, Exhausted> {
        let (mut evicted, mut retires) = (None, false);
        if self.connections.len() >= self.capacity.connections {
            let victim = self.longest(Phase::Idle, |_| true);
            evicted = victim.or_else(|| self.longest(Phase::Reading, |_| true));
            if evicted.is_none() {
                self.retire_first()?;
                retires = true;
            }
        }
        evicted.into_iter().for_each(|id| self.close(id));
        let connection = Connection {
            phase: Phase::Idle,
            since: now,
            pooled: 0,
            retired: false,
        };
        let id = self.next;
        self.next += 1;
        self.connections.insert(id, connection);
        Ok(Opened {
            id,
            evicted,
            retires,
        })
    }

    /// Retires the connection that was opened first, if there is room for another one until it ends.
    fn retire_first(&mut self) -> Result<(), Exhausted> {
        let most = self.capacity.connections + self.capacity.overflow;
        if self.connections.len() >= most {
            return Err(Exhausted);
        }
        let first = self.connections.values_mut().find(|c| !c.retired);
        first.ok_or(Exhausted)?.retired = true;
        Ok(())
    }

    /// Returns true if a connection ends after its answer.
    pub fn is_retired(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|c| c.retired)
    }

    /// Records that the first bytes of a request have arrived.
    pub fn begin_request(&mut self, id: ConnectionId, now: Millis) {
        self.enter(id, Phase::Reading, now);
    }

    /// Sets how many bytes of the pool an incomplete request holds; returns the connections that
    /// are evicted for it. The request itself makes way if it has been incomplete for the longest
    /// time.
    pub fn resize(
        &mut self,
        id: ConnectionId,
        bytes: usize,
    ) -> Result<Vec<ConnectionId>, Exhausted> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Err(Exhausted);
        };
        self.pooled = self.pooled - connection.pooled + bytes;
        self.incomplete = self.incomplete - connection.pooled + bytes;
        let grows = bytes > connection.pooled;
        connection.pooled = bytes;
        let mut evicted = Vec::new();
        while grows && self.pooled > self.capacity.pool {
            let victim = self.longest(Phase::Reading, |c| c.pooled > 0);
            let victim = victim.filter(|victim| *victim != id);
            let Some(victim) = victim else {
                self.close(id);
                return Err(Exhausted);
            };
            self.close(victim);
            evicted.push(victim);
        }
        Ok(evicted)
    }

    /// Records that a request was read completely, so that it is not evicted any more. The bytes
    /// that it holds stay in use until they are released; returns their number.
    pub fn end_reading(&mut self, id: ConnectionId, now: Millis) -> usize {
        self.enter(id, Phase::Handling, now);
        let connection = self.connections.get_mut(&id);
        let bytes = connection.map_or(0, |c| std::mem::take(&mut c.pooled));
        self.incomplete -= bytes;
        bytes
    }

    /// Takes bytes of the pool for a request that was read completely, and also of the reserve if
    /// it is small; returns the connections that are evicted for it.
    pub fn take(&mut self, bytes: usize, small: bool) -> Result<Vec<ConnectionId>, Exhausted> {
        let reserve = if small { self.capacity.reserve } else { 0 };
        let limit = self.capacity.pool + reserve;
        if self.pooled - self.incomplete + bytes > limit {
            return Err(Exhausted);
        }
        let mut evicted = Vec::new();
        while self.pooled + bytes > limit {
            let victim = self.longest(Phase::Reading, |c| c.pooled > 0);
            let victim = victim.ok_or(Exhausted)?;
            self.close(victim);
            evicted.push(victim);
        }
        self.pooled += bytes;
        Ok(evicted)
    }

    /// Returns bytes to the pool that [`Self::take`] or [`Self::end_reading`] left in use.
    pub fn release(&mut self, bytes: usize) {
        self.pooled -= bytes;
    }

    /// Records that a request was answered, and that the connection waits for the next one.
    pub fn end_request(&mut self, id: ConnectionId, now: Millis) {
        self.enter(id, Phase::Idle, now);
    }

    /// Removes a connection, if it is still there, with the bytes of its incomplete request.
    pub fn close(&mut self, id: ConnectionId) {
        let removed = self.connections.remove(&id);
        let bytes = removed.map_or(0, |c| c.pooled);
        self.pooled -= bytes;
        self.incomplete -= bytes;
    }

    fn enter(&mut self, id: ConnectionId, phase: Phase, now: Millis) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.since = now;
        }
    }

    /// Returns the connection that has been in a phase for the longest time, among those for which
    /// `may` returns true.
    fn longest(&self, phase: Phase, may: impl Fn(&Connection) -> bool) -> Option<ConnectionId> {
        let those = self
            .connections
            .iter()
            .filter(|(_, c)| c.phase == phase && may(c));
        those
            .min_by_key(|(id, c)| (c.since, **id))
            .map(|(id, _)| *id)
    }
}
