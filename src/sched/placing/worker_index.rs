//! Index of the known workers by a property such as their address.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

use crate::utils::Name;

/// Ids of the workers for each value of a property.
pub(in crate::sched) struct WorkerIndex<K> {
    ids: HashMap<K, BTreeSet<Name>>,
}

impl<K> Default for WorkerIndex<K> {
    fn default() -> Self {
        Self {
            ids: HashMap::new(),
        }
    }
}

impl<K: Hash + Eq> WorkerIndex<K> {
    /// Adds a worker under a key.
    pub fn add(&mut self, key: K, id: Name) {
        self.ids.entry(key).or_default().insert(id);
    }

    /// Removes a worker from a key.
    pub fn remove(&mut self, key: &K, id: &Name) {
        let Some(ids) = self.ids.get_mut(key) else {
            return;
        };
        ids.remove(id);
        if ids.is_empty() {
            self.ids.remove(key);
        }
    }

    /// Returns the workers under a key.
    pub fn at(&self, key: &K) -> impl Iterator<Item = &Name> {
        self.ids.get(key).into_iter().flatten()
    }
}
