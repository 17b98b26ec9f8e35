//! Deduplicates requests that must run at most once.
//!
//! Each request id belongs to one of a fixed number of dedup shards, which are owned like cells.
//! The owner keeps the ids that it admitted in memory for a retention time after their first
//! issue, so that a request costs no write to the table. It does not know the ids that an earlier
//! owner admitted; a request first issued before its own term is therefore answered as unknown.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Durations that bound deduplication, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct DedupTimings {
    /// Time for which an id is remembered after its first issue.
    pub retention: Millis,
    /// Largest difference between the clocks of callers and boxes.
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

/// Decision of a dedup shard about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The id is new: the request may run.
    Admitted,
    /// The id was admitted before, and its request may still be running.
    Running,
    /// The id was admitted before, and its request has run or may have run.
    Ran,
    /// An earlier owner may have admitted the id.
    PredatesOwner,
    /// The request was first issued so long ago that its id may have been forgotten.
    TooOld,
    /// The time of issue is later than the clock skew allows.
    IssuedInFuture,
}

/// State of a request whose id is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Ran,
}

/// An id that is remembered.
#[derive(Clone, Copy, Debug)]
struct Entry {
    state: State,
    /// Wall clock, in ms, at which the id expires.
    end: Millis,
}

/// A dedup shard that this box owns.
#[derive(Clone, Debug)]
pub struct DedupShard {
    /// Epoch of the ownership.
    pub epoch: u64,
    timings: DedupTimings,
    /// Wall clock in ms at the start of the ownership; 0 if there was no earlier owner.
    owned_since: Millis,
    ids: HashMap<Name, Entry>,
    /// Ids in the order of the wall clock, in ms, at which they expire.
    expirations: BTreeMap<(Millis, Name), ()>,
}

impl DedupShard {
    /// Returns an empty shard that this box owns since `wall` under `epoch`.
    pub fn new(epoch: u64, wall: Millis, timings: DedupTimings) -> Self {
        Self {
            epoch,
            timings,
            owned_since: if epoch == 1 { 0 } else { wall },
            ids: HashMap::new(),
            expirations: BTreeMap::new(),
        }
    }

    /// Returns the number of remembered ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns true when no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Decides whether a request first issued at `issued` may run, and remembers its id if so.
    ///
    /// `sole_until` is the time until which the caller has promised not to send the request a
    /// second time, or 0. Before that time no earlier owner can have admitted it.
    pub fn admit(
        &mut self,
        wall: Millis,
        id: &Name,
        issued: Millis,
        sole_until: Millis,
    ) -> Admission {
        if let Some(entry) = self.ids.get(id) {
            return match entry.state {
                State::Running => Admission::Running,
                State::Ran => Admission::Ran,
            };
        }
        let DedupTimings { retention, skew } = self.timings;
        if issued > wall + skew {
            return Admission::IssuedInFuture;
        }
        if issued + retention <= wall {
            return Admission::TooOld;
        }
        let first_send = wall + skew <= sole_until;
        if !first_send && self.owned_since > 0 && issued <= self.owned_since + skew {
            return Admission::PredatesOwner;
        }
        let end = issued + retention + skew;
        let state = State::Running;
        self.ids.insert(id.clone(), Entry { state, end });
        self.expirations.insert((end, id.clone()), ());
        Admission::Admitted
    }

    /// Records that an admitted request has run or may have run.
    pub fn mark_ran(&mut self, id: &Name) {
        if let Some(entry) = self.ids.get_mut(id) {
            entry.state = State::Ran;
        }
    }

    /// Forgets an admitted request that provably did not run, so that it may be sent again.
    pub fn mark_not_run(&mut self, id: &Name) {
        if let Some(entry) = self.ids.remove(id) {
            self.expirations.remove(&(entry.end, id.clone()));
        }
    }

    /// Forgets ids whose requests are refused as too old at `wall`.
    pub fn forget_expired(&mut self, wall: Millis) {
        while let Some(entry) = self.expirations.first_entry() {
            let (end, id) = entry.key().clone();
            if end > wall {
                return;
            }
            entry.remove();
            self.ids.remove(&id);
        }
    }
}
