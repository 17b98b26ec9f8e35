//! Requests that must run at most once.
//!
//! Each id belongs to one of a fixed number of dedup shards, owned like cells.
//! The owner remembers the ids it has let through for a retention time after
//! their first issue. It can't know those of an earlier owner, so a resend of
//! what was first issued before its time began is answered as unknown. This
//! costs no write per request.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Times of a guard, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct DedupTimings {
    /// How long after its first issue an id is remembered.
    pub retention: Millis,
    /// Bound of the difference between the clocks of callers and boxes.
    pub skew: Millis,
}

impl Default for DedupTimings {
    fn default() -> Self {
        Self {
            retention: 120_000,
            skew: 500,
        }
    }
}

/// What the guard says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It was not let through before.
    Fresh,
    /// It was let through and may be running.
    Running,
    /// It was let through and has run.
    Ran,
    /// It may have been let through by an earlier owner.
    Predates,
    /// It was first issued so long ago that it may be forgotten.
    TooOld,
    /// It claims to be issued in the future.
    Future,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Ran,
}

/// A dedup shard that this box owns.
#[derive(Clone, Debug)]
pub struct DedupShard {
    /// Epoch of the ownership.
    pub epoch: u64,
    memory: DedupTimings,
    /// Wall clock at the start of the ownership; 0 without an earlier owner.
    since: Millis,
    ids: HashMap<Name, State>,
    /// Ids by the time at which they may be forgotten.
    forget: BTreeMap<(Millis, Name), ()>,
}

impl DedupShard {
    /// Returns the guard of a shard that was won at `wall`.
    pub fn new(epoch: u64, wall: Millis, memory: DedupTimings) -> Self {
        Self {
            epoch,
            memory,
            since: if epoch == 1 { 0 } else { wall },
            ids: HashMap::new(),
            forget: BTreeMap::new(),
        }
    }

    /// Returns the number of ids remembered.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns true when no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Decides on a request first issued at `issued`, and remembers a fresh one.
    ///
    /// `alone` is the time until which the caller sends it only once, as it
    /// promised, or 0: until then no earlier owner can have let it through.
    pub fn admit(&mut self, wall: Millis, id: &Name, issued: Millis, alone: Millis) -> Admission {
        if let Some(state) = self.ids.get(id) {
            return match state {
                State::Running => Admission::Running,
                State::Ran => Admission::Ran,
            };
        }
        let DedupTimings { retention, skew } = self.memory;
        if issued > wall + skew {
            return Admission::Future;
        }
        if issued + retention <= wall {
            return Admission::TooOld;
        }
        let first = wall + skew <= alone;
        if !first && self.since > 0 && issued <= self.since + skew {
            return Admission::Predates;
        }
        self.ids.insert(id.clone(), State::Running);
        let end = issued + retention + skew;
        self.forget.insert((end, id.clone()), ());
        Admission::Fresh
    }

    /// Takes in that a request was let through and has run, or may have.
    pub fn ran(&mut self, id: &Name) {
        if let Some(state) = self.ids.get_mut(id) {
            *state = State::Ran;
        }
    }

    /// Takes in that a request was let through and provably not run.
    pub fn not_run(&mut self, id: &Name) {
        self.ids.remove(id);
    }

    /// Forgets ids whose resends are too old by now.
    pub fn tick(&mut self, wall: Millis) {
        while let Some(entry) = self.forget.first_entry() {
            let (end, id) = entry.key().clone();
            if end > wall {
                return;
            }
            entry.remove();
            self.ids.remove(&id);
        }
    }
}
