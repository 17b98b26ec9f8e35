//! Other boxes, by their addresses: those that ask this one, and those that it may ask.
//!
//! A box that the store turns away finds the next owner only through another box. The owner
//! before tells it, but not where that one has died.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::utils::clock::Millis;

/// Addresses that a box keeps: some of them are replaced meanwhile, or out of reach.
const KEPT: usize = 8;
/// Addresses that are told or asked at once.
const TOLD: usize = 3;
/// Milliseconds after which a box wants to know others anew.
const FRESH: Millis = 5_000;

/// The boxes known last, in turn.
#[derive(Debug, Default)]
pub struct Others {
    known: VecDeque<SocketAddr>,
    /// When others were told last; none before.
    told: Option<Millis>,
}

impl Others {
    /// Takes in that a box asked from an address.
    pub fn met(&mut self, address: SocketAddr) {
        if self.known.contains(&address) {
            return;
        }
        self.known.push_back(address);
        if self.known.len() > KEPT {
            self.known.pop_front();
        }
    }

    /// Takes in addresses that another box told.
    pub fn told(&mut self, addresses: &[SocketAddr], now: Millis) {
        if addresses.is_empty() {
            return;
        }
        self.told = Some(now);
        addresses.iter().for_each(|address| self.met(*address));
    }

    /// Returns how many are known.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Returns true when this box should ask for the addresses of others.
    pub fn wants(&self, now: Millis) -> bool {
        self.told.is_none_or(|at| now >= at + FRESH)
    }

    /// Returns some of them in turn, but for one.
    pub fn some(&mut self, but: SocketAddr) -> Vec<SocketAddr> {
        let chosen = self.known.iter().filter(|a| **a != but).take(TOLD);
        let chosen: Vec<SocketAddr> = chosen.copied().collect();
        self.known.retain(|a| !chosen.contains(a));
        self.known.extend(&chosen);
        chosen
    }
}
