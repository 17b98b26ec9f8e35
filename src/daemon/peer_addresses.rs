//! Other boxes, by their addresses: those that ask this one, and those that it may ask.
//!
//! A box that the store turns away finds the next owner only through another box. The owner
//! before tells it, but not where that one has died.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::utils::clock::Millis;

/// Addresses that a box keeps: some of them are replaced meanwhile, or out of reach.
const CAPACITY: usize = 8;
/// Addresses that are told or asked at once.
const BATCH: usize = 3;
/// Milliseconds after which a box wants to know others anew.
const REFRESH_INTERVAL: Millis = 5_000;

/// The boxes known last, in turn.
#[derive(Debug, Default)]
pub struct PeerAddresses {
    addresses: VecDeque<SocketAddr>,
    /// When others were told last; none before.
    refreshed: Option<Millis>,
}

impl PeerAddresses {
    /// Takes in that a box asked from an address.
    pub fn add(&mut self, address: SocketAddr) {
        if self.addresses.contains(&address) {
            return;
        }
        self.addresses.push_back(address);
        if self.addresses.len() > CAPACITY {
            self.addresses.pop_front();
        }
    }

    /// Takes in addresses that another box told.
    pub fn add_reply(&mut self, addresses: &[SocketAddr], now: Millis) {
        if addresses.is_empty() {
            return;
        }
        self.refreshed = Some(now);
        addresses.iter().for_each(|address| self.add(*address));
    }

    /// Returns how many are known.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Returns true when this box should ask for the addresses of others.
    pub fn needs_refresh(&self, now: Millis) -> bool {
        self.refreshed.is_none_or(|at| now >= at + REFRESH_INTERVAL)
    }

    /// Returns some of them in turn, but for one.
    pub fn next_batch(&mut self, except: SocketAddr) -> Vec<SocketAddr> {
        let batch = self.addresses.iter().filter(|a| **a != except).take(BATCH);
        let batch: Vec<SocketAddr> = batch.copied().collect();
        self.addresses.retain(|a| !batch.contains(a));
        self.addresses.extend(&batch);
        batch
    }
}
