//! Halls that the operator has cordoned: nothing new is to be started on their workers.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use crate::utils::Name;

/// Names of halls.
pub type Halls = BTreeSet<Name>;

/// A change of what the store holds of a hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The hall.
    pub hall: Name,
    /// Version of the store at the change.
    pub version: u64,
    /// True when it was cordoned, false when it was taken back.
    pub cordoned: bool,
}

/// A hall as of its last change.
#[derive(Clone, Copy, Debug)]
struct Hall {
    version: u64,
    cordoned: bool,
}

/// What is known of the halls; of each the newest word holds, in whichever order words
/// come. A read may be older than what a feed has told already.
#[derive(Clone, Debug, Default)]
pub struct Cordons {
    /// True once all rows were read: before, no hall is known to be free.
    read: bool,
    halls: BTreeMap<Name, Hall>,
}

impl Cordons {
    /// Takes in a change.
    pub fn change(&mut self, change: Change) {
        let known = self.halls.get(&change.hall).map_or(0, |h| h.version);
        if change.version >= known {
            let (version, cordoned) = (change.version, change.cordoned);
            self.halls.insert(change.hall, Hall { version, cordoned });
        }
    }

    /// Takes in all cordons as of a version of the store.
    pub fn read(&mut self, version: u64, cordons: Vec<Change>) {
        self.read = true;
        let named: Halls = cordons.iter().map(|c| c.hall.clone()).collect();
        let gone = self.halls.keys().filter(|hall| !named.contains(*hall));
        let gone = gone.map(|hall| Change {
            hall: hall.clone(),
            version,
            cordoned: false,
        });
        for change in gone.collect::<Vec<_>>().into_iter().chain(cordons) {
            self.change(change);
        }
    }

    /// Returns the cordoned halls; none before they were read.
    pub fn halls(&self) -> Option<Halls> {
        let cordoned = self.halls.iter().filter(|(_, h)| h.cordoned);
        self.read
            .then(|| cordoned.map(|(name, _)| name.clone()).collect())
    }
}
