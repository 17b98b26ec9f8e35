//! Halls that an operator has cordoned: no new runs are started on their workers.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use crate::utils::Name;

/// Names of halls.
pub type Halls = BTreeSet<Name>;

/// A change of a hall's cordon in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonChange {
    /// The hall.
    pub hall: Name,
    /// Version of the store after the change.
    pub version: u64,
    /// True when the hall was cordoned, false when the cordon was removed.
    pub cordoned: bool,
}

/// The state of a hall after its last known change.
#[derive(Clone, Copy, Debug)]
struct HallState {
    version: u64,
    cordoned: bool,
}

/// The known cordons. For each hall the change with the highest version counts, in whichever
/// order changes arrive: a read may be older than changes that the feed has delivered.
#[derive(Clone, Debug, Default)]
pub struct Cordons {
    /// True once all rows were read; before that, any hall may be cordoned.
    loaded: bool,
    halls: BTreeMap<Name, HallState>,
}

impl Cordons {
    /// Applies a change unless a newer one is known.
    pub fn apply_change(&mut self, change: CordonChange) {
        let known = self.halls.get(&change.hall).map_or(0, |h| h.version);
        if change.version >= known {
            let (version, cordoned) = (change.version, change.cordoned);
            self.halls
                .insert(change.hall, HallState { version, cordoned });
        }
    }

    /// Applies a full read of all cordons, as of a version of the store.
    pub fn apply_snapshot(&mut self, version: u64, cordons: Vec<CordonChange>) {
        self.loaded = true;
        let present: Halls = cordons.iter().map(|c| c.hall.clone()).collect();
        let removed = self.halls.keys().filter(|hall| !present.contains(*hall));
        let removed = removed.map(|hall| CordonChange {
            hall: hall.clone(),
            version,
            cordoned: false,
        });
        for change in removed.collect::<Vec<_>>().into_iter().chain(cordons) {
            self.apply_change(change);
        }
    }

    /// Returns the cordoned halls, or `None` before all cordons were read.
    pub fn cordoned_halls(&self) -> Option<Halls> {
        let cordoned = self.halls.iter().filter(|(_, h)| h.cordoned);
        self.loaded
            .then(|| cordoned.map(|(name, _)| name.clone()).collect())
    }
}
