//! Boxes that follow an owner, and until when each of them has confirmed it.
//!
//! A follower returns a reading of the owner's clock with its next ping. It does so no more once it
//! tries to replace the owner. So an owner that the store does not confirm, and that extends leases
//! only while all followers confirm it, stops soon after any of them has replaced it.
//!
//! The owner's row lists the followers. A box that finds itself listed in the row that it has
//! replaced thus knows when the last lease ends, however little it can learn of the owner itself. So
//! a listed follower counts until a row that does not list it is stored.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::utils::clock::Millis;

/// Milliseconds for which a confirmation holds: some pings, so that one may be lost. A lease is
/// extended each second and lasts longer than two of these spans.
pub const CONFIRMATION_SPAN: Millis = 1_500;
/// Milliseconds without a confirming ping after which a follower is listed no longer.
const LISTING_SPAN: Millis = 2_000;
/// Most followers in a row, which keeps it far below the store's limit for a row.
const MAX_LISTED: usize = 500;

/// A box that follows the owner.
struct Follower {
    /// When its last confirming ping arrived, or when the owner began if there was none.
    heard: Millis,
    /// Latest clock reading of the owner that it has returned; none before the first.
    confirmed: Option<Millis>,
}

/// The followers of an owner by the address at which other boxes reach them.
#[derive(Default)]
pub struct Followers {
    boxes: BTreeMap<SocketAddr, Follower>,
}

impl Followers {
    /// Returns the followers of an owner that begins at `now`: those that its row lists already.
    pub fn new(listed: &[SocketAddr], now: Millis) -> Self {
        let follower = |address: &SocketAddr| {
            let unconfirmed = Follower {
                heard: now,
                confirmed: None,
            };
            (*address, unconfirmed)
        };
        Self {
            boxes: listed.iter().map(follower).collect(),
        }
    }

    /// Records a ping that has returned the clock reading `confirmed` of the owner.
    pub fn record_confirmation(&mut self, address: SocketAddr, confirmed: Millis, now: Millis) {
        let follower = self.boxes.entry(address).or_insert(Follower {
            heard: now,
            confirmed: None,
        });
        follower.heard = now;
        follower.confirmed = follower.confirmed.max(Some(confirmed));
    }

    /// Returns true when each follower has confirmed the owner a short while ago.
    pub fn all_confirm(&self, now: Millis) -> bool {
        self.unconfirming(now).is_none()
    }

    /// Returns a follower that has not confirmed the owner for a while, if there is one.
    pub fn unconfirming(&self, now: Millis) -> Option<SocketAddr> {
        let lapsed = |f: &Follower| f.confirmed.is_none_or(|at| now >= at + CONFIRMATION_SPAN);
        let mut lapsed = self.boxes.iter().filter(|(_, f)| lapsed(f));
        lapsed.next().map(|(address, _)| *address)
    }

    /// Returns the followers that the next row lists.
    pub fn listed(&self, now: Millis) -> Vec<SocketAddr> {
        let current = self.boxes.iter().filter(|(_, f)| is_current(f, now));
        let addresses = current.map(|(address, _)| *address);
        addresses.take(MAX_LISTED).collect()
    }

    /// Forgets the followers that are silent and not in `stored`, the list in the last stored row.
    pub fn forget_unlisted(&mut self, stored: &[SocketAddr], now: Millis) {
        self.boxes
            .retain(|address, f| is_current(f, now) || stored.contains(address));
    }
}

/// Returns true while a follower is to be listed.
fn is_current(follower: &Follower, now: Millis) -> bool {
    now < follower.heard + LISTING_SPAN
}
