//! Which workers are known at which address.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use crate::utils::Name;

/// Ids of workers by their addresses, at which several may have been listed.
#[derive(Default)]
pub(super) struct Addresses {
    ids: HashMap<SocketAddr, BTreeSet<Name>>,
}

impl Addresses {
    /// Adds a worker to those at an address.
    pub fn add(&mut self, address: SocketAddr, id: Name) {
        self.ids.entry(address).or_default().insert(id);
    }

    /// Removes a worker from those at an address.
    pub fn remove(&mut self, address: SocketAddr, id: &Name) {
        let Some(there) = self.ids.get_mut(&address) else {
            return;
        };
        there.remove(id);
        if there.is_empty() {
            self.ids.remove(&address);
        }
    }

    /// Returns the workers at an address.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Name> {
        self.ids.get(&address).into_iter().flatten()
    }
}
