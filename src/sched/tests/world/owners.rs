//! Simulates owners that go on after another box has taken over, and what single owners can't reach.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::World;
use crate::sched::fences::next_epoch;
use crate::sched::journal::{OWNER_KEY, OWNER_TABLE, OwnerRow};
use crate::sched::message::Event;
use crate::sched::owner::Owner;
use crate::sched::predecessors::{PredecessorState, inherited_followers, inherited_span};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// An owner that was replaced and goes on.
pub(super) struct EarlierOwner {
    pub owner: Owner,
    /// Time until which its machine is suspended or its process stopped.
    pub suspended_until: Millis,
    /// True for a stopped process, which handles what has arrived in any order.
    pub process_stopped: bool,
}

/// Earlier owners by epoch, and what owners can't reach.
#[derive(Default)]
pub struct EarlierOwners {
    pub(super) owners: BTreeMap<u64, EarlierOwner>,
    /// Workers that the owner of an epoch can't reach.
    cut_workers: BTreeSet<(u64, Name)>,
    /// Epochs whose owner can't reach the store.
    cut_stores: BTreeSet<u64>,
}

impl World {
    /// Returns the epoch of the present owner.
    pub fn owner_epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the epochs of the earlier owners that still act.
    pub fn earlier_owners(&self) -> Vec<u64> {
        self.earlier.owners.keys().copied().collect()
    }

    /// Replaces the owner as a box does that can't tell whether it still runs: the owner before
    /// goes on, until it learns of its end. Returns the row before and that of the new owner.
    pub fn take_over_beside(&mut self, name: Name, port: u16) -> (OwnerRow, OwnerRow) {
        let before = self.stored_owner_row();
        let mut row = OwnerRow {
            name,
            address: ([127, 0, 0, 1], port).into(),
            settled: false,
            ..super::owner_row(next_epoch(self.epoch))
        };
        let state = PredecessorState::from_row(Some(&before), &row);
        row.settled = state.all_ended();
        row.followers = inherited_followers(Some(&before), row.address);
        let span = inherited_span(Some(&before), &row, &self.settings);
        row.inherited = Some(span);
        let listed = before.followers.contains(&row.address) && state >= PredecessorState::MayServe;
        let inherited = span - if listed { self.span_cut } else { 0 };
        let (epoch, suspended_until) = (self.epoch, self.suspended_until);
        let owner = self.begin_owner(row.clone(), inherited);
        let earlier = EarlierOwner {
            owner,
            suspended_until,
            process_stopped: false,
        };
        self.earlier.owners.insert(epoch, earlier);
        (before, row)
    }

    /// Has the box at `address` ping the owner of an epoch, with a reading of the owner's clock.
    /// Returns the reading in the reply; `None` while the owner answers nothing.
    pub fn ping_owner(&mut self, epoch: u64, address: SocketAddr, clock: Millis) -> Option<Millis> {
        if self.resumes_at(epoch) > self.now {
            return None;
        }
        let now = self.clock();
        let owner = match self.earlier.owners.get_mut(&epoch) {
            Some(earlier) => &mut earlier.owner,
            None if epoch == self.epoch => &mut self.owner,
            None => return None,
        };
        owner.record_confirmation(address, clock, now);
        Some(self.now)
    }

    /// Returns the owner's row as stored.
    pub(super) fn stored_owner_row(&self) -> OwnerRow {
        let value = &self.rows[&(OWNER_TABLE, OWNER_KEY.into())];
        serde_json::from_slice(value).expect("row")
    }

    /// Ends an earlier owner, as a ping of a later one or the end of its process does. Returns
    /// false while its machine is suspended and answers nothing.
    pub fn end_earlier_owner(&mut self, epoch: u64) -> bool {
        let suspended = self.resumes_at(epoch) > self.now;
        if !suspended {
            self.earlier.owners.remove(&epoch);
        }
        !suspended
    }

    /// Ends an earlier owner whose process is killed.
    pub fn kill_earlier_owner(&mut self, epoch: u64) {
        self.earlier.owners.remove(&epoch);
    }

    /// Cuts the owner of an epoch off from a worker, or reconnects them.
    pub fn toggle_worker(&mut self, epoch: u64, worker: Name) {
        let cut = (epoch, worker);
        if !self.earlier.cut_workers.remove(&cut) {
            self.earlier.cut_workers.insert(cut);
        }
    }

    /// Cuts the owner of an epoch off from the store, or reconnects them.
    pub fn toggle_store(&mut self, epoch: u64) {
        if !self.earlier.cut_stores.remove(&epoch) {
            self.earlier.cut_stores.insert(epoch);
        }
    }

    /// Reconnects all owners with the store and the workers.
    pub fn reconnect_owners(&mut self) {
        self.earlier.cut_workers.clear();
        self.earlier.cut_stores.clear();
    }

    /// Returns true when the owner of an epoch can't reach a worker, or without one the store.
    pub(super) fn is_cut(&self, epoch: u64, worker: Option<&Name>) -> bool {
        match worker {
            Some(id) => self.earlier.cut_workers.contains(&(epoch, id.clone())),
            None => self.store_down || self.earlier.cut_stores.contains(&epoch),
        }
    }

    /// Returns until when the machine of the owner of an epoch is suspended.
    pub(super) fn resumes_at(&self, epoch: u64) -> Millis {
        match self.earlier.owners.get(&epoch) {
            Some(earlier) => earlier.suspended_until,
            None if epoch == self.epoch => self.suspended_until,
            None => 0,
        }
    }

    /// Has an earlier owner handle an event, if it still acts, and carries out its actions.
    pub(super) fn handle_as(&mut self, epoch: u64, event: Event) {
        let Some(mut earlier) = self.earlier.owners.remove(&epoch) else {
            return;
        };
        let present = (self.epoch, self.suspended_until);
        std::mem::swap(&mut self.owner, &mut earlier.owner);
        (self.epoch, self.suspended_until) = (epoch, earlier.suspended_until);
        self.handle(event);
        (self.epoch, self.suspended_until) = present;
        std::mem::swap(&mut self.owner, &mut earlier.owner);
        if !earlier.owner.is_deposed() && !earlier.owner.is_released() {
            self.earlier.owners.insert(epoch, earlier);
        }
    }

    /// Has the earlier owners handle what is due by time.
    pub(super) fn tick_earlier_owners(&mut self) {
        for epoch in self.earlier_owners() {
            if self.resumes_at(epoch) <= self.now {
                self.handle_as(epoch, Event::Tick);
            }
        }
    }
}
