//! Addresses of other boxes, learned from their pings and from replies.
//!
//! A box that the store refuses finds the next owner only through another box. Usually the
//! predecessor names it, but a dead predecessor does not.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::utils::clock::Millis;

/// Most addresses kept: some of them belong to replaced or unreachable boxes.
const CAPACITY: usize = 8;
/// Addresses returned at once, to ask them or to name them to another box.
const BATCH: usize = 3;
/// Milliseconds after which a box asks for addresses again.
const REFRESH_INTERVAL: Millis = 5_000;

/// The most recently learned addresses, in the order in which they are used next.
#[derive(Debug, Default)]
pub struct PeerAddresses {
    addresses: VecDeque<SocketAddr>,
    /// When a reply last named addresses; none before.
    refreshed: Option<Millis>,
}

impl PeerAddresses {
    /// Adds an address; drops the oldest if there are too many.
    pub fn add(&mut self, address: SocketAddr) {
        if self.addresses.contains(&address) {
            return;
        }
        self.addresses.push_back(address);
        if self.addresses.len() > CAPACITY {
            self.addresses.pop_front();
        }
    }

    /// Adds the addresses that another box's reply named.
    pub fn add_reply(&mut self, addresses: &[SocketAddr], now: Millis) {
        if addresses.is_empty() {
            return;
        }
        self.refreshed = Some(now);
        addresses.iter().for_each(|address| self.add(*address));
    }

    /// Returns the number of known addresses.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Returns true when this box should ask another one for addresses.
    pub fn needs_refresh(&self, now: Millis) -> bool {
        self.refreshed.is_none_or(|at| now >= at + REFRESH_INTERVAL)
    }

    /// Returns the next addresses in rotation, without the address `except`.
    pub fn next_batch(&mut self, except: SocketAddr) -> Vec<SocketAddr> {
        let batch = self.addresses.iter().filter(|a| **a != except).take(BATCH);
        let batch: Vec<SocketAddr> = batch.copied().collect();
        self.addresses.retain(|a| !batch.contains(a));
        self.addresses.extend(&batch);
        batch
    }
}
