//! Index of the known workers by address.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::utils::Name;

/// Ids of the workers at each address; several workers may be listed at one address.
#[derive(Default)]
pub(super) struct Addresses {
    ids: HashMap<SocketAddr, BTreeSet<Name>>,
}

impl Addresses {
    /// Adds a worker at an address.
    pub fn add(&mut self, address: SocketAddr, id: Name) {
        self.ids.entry(address).or_default().insert(id);
    }

    /// Removes a worker from an address.
    pub fn remove(&mut self, address: SocketAddr, id: &Name) {
        let Some(ids) = self.ids.get_mut(&address) else {
            return;
        };
        ids.remove(id);
        if ids.is_empty() {
            self.ids.remove(&address);
        }
    }

    /// Returns the workers at an address.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Name> {
        self.ids.get(&address).into_iter().flatten()
    }
}
