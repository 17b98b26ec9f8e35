//! The lease of the box and the cells that it owns under it.

use std::collections::BTreeSet;

use super::state::{Engine, incarnation};
use super::table_calls::Purpose;
use super::{Action, Now};
use crate::cell::{Cell, Reason, Timings};
use crate::claim::{self, Claims, DEDUP_PREFIX, LiveBox};
use crate::constants::DEDUP_SHARDS;
use crate::dedup::DedupShard;
use crate::lease::{self, BoxRow, Lease};
use crate::table::{Call, Expect, Op};
use crate::utils::Name;
use crate::utils::clock::Millis;

impl Engine {
    pub(super) fn tick_lease(&mut self, now: Now, out: &mut Vec<Action>) {
        let actions = self
            .lease
            .tick(now.millis, self.settings.intervals.heartbeat);
        self.apply_lease_actions(now, actions, out);
    }

    pub(super) fn apply_lease_actions(
        &mut self,
        now: Now,
        actions: Vec<lease::Action>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                lease::Action::Read => {
                    self.call_table(Purpose::ReadBoxes, Call::Scan(lease::PREFIX.into()), out);
                }
                lease::Action::Renew { expect, row } => {
                    let key = box_key(&row.id);
                    let op = Op::put(key, Expect::Version(expect), &row);
                    self.call_table(Purpose::Renew(row.beat), Call::Commit(vec![op]), out);
                }
                lease::Action::DeclareDead { id, version } => {
                    log::warn!(target: "lease", "{id} is taken to be dead");
                    let op = Op::delete(box_key(&id), Expect::Version(version));
                    self.call_table(Purpose::DeclareDead(id), Call::Commit(vec![op]), out);
                }
                lease::Action::Deposed => self.restart(now, out),
            }
        }
    }

    /// Starts again as a new incarnation that owns nothing.
    fn restart(&mut self, now: Now, out: &mut Vec<Action>) {
        log::error!(target: "lease", "{} was taken to be dead; starting again", self.id());
        let cells: Vec<Name> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.stop_owning(now, &cell, Reason::Lapsed, out);
        }
        self.dedup_shards.clear();
        self.settings.boot += 1;
        let mut me = self.lease.own_row().clone();
        me.id = incarnation(&self.settings.name, self.settings.boot);
        me.beat = 0;
        me.successors = Vec::new();
        self.router.remove_owner(&self.lease.id().clone());
        self.claims = Claims::new(me.id.clone());
        self.lease = Lease::new(self.settings.lease_timings, me);
        self.table_calls.retain(|_, p| {
            matches!(
                p,
                Purpose::ReadHead | Purpose::ReadEntries(_) | Purpose::ReadChanges
            )
        });
        if self.stopping_since.is_some() {
            self.claims.stop();
        }
    }

    pub(super) fn tick_claims(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.lease.is_registered() {
            return;
        }
        let (cells, boxes) = (self.cell_names(), self.live_boxes(now.millis));
        self.claims.update_assignment(now.millis, cells, boxes);
        let lease = &self.lease;
        let me = lease.id().clone();
        let gone = |owner: &Name| *owner != me && lease.other_box(owner).is_none();
        let interval = self.settings.intervals.poll;
        let actions = self.claims.tick(now.millis, interval, gone);
        for action in actions {
            self.apply_claim_action(now, action, out);
        }
    }

    /// Returns the names of all cells: racks by the list of workers, racks
    /// that have an owner, and the dedup shards.
    fn cell_names(&self) -> BTreeSet<Name> {
        let mut names: BTreeSet<Name> =
            self.listed_workers.iter().map(|p| p.cell.clone()).collect();
        names.extend((0..DEDUP_SHARDS).map(dedup_shard_name));
        names
    }

    fn live_boxes(&self, now: Millis) -> Vec<LiveBox> {
        let stays =
            |b: &&BoxRow| self.lease.is_fresh(&b.id, now) && !self.stopping_peers.contains(&b.id);
        let others = self.lease.other_boxes().filter(stays);
        let mut boxes: Vec<LiveBox> = others.map(live_box).collect();
        if self.stopping_since.is_none() {
            boxes.push(live_box(self.lease.own_row()));
        }
        boxes
    }

    pub(super) fn apply_claim_action(
        &mut self,
        now: Now,
        action: claim::Action,
        out: &mut Vec<Action>,
    ) {
        match action {
            claim::Action::Read => {
                self.call_table(Purpose::ReadCells, Call::Scan(claim::PREFIX.into()), out);
            }
            claim::Action::Claim {
                cell,
                expect,
                old,
                row,
            } => {
                let mut ops = vec![
                    Op::put(cell_key(&cell), Expect::Version(expect), &row),
                    Op::keep(box_key(self.lease.id()), Expect::Present),
                ];
                if let Some(old) = old {
                    ops.push(Op::keep(box_key(&old), Expect::Absent));
                }
                self.call_table(Purpose::Claim(cell, expect, row), Call::Commit(ops), out);
            }
            claim::Action::Release { cell, expect, row } => {
                let op = Op::put(cell_key(&cell), Expect::Version(expect), &row);
                self.call_table(
                    Purpose::Release(cell, expect, row),
                    Call::Commit(vec![op]),
                    out,
                );
            }
            claim::Action::Acquired { cell, epoch } => self.start_owning(now, cell, epoch, out),
            claim::Action::Lost { cell } => self.stop_owning(now, &cell, Reason::NotOwner, out),
        }
    }

    fn start_owning(&mut self, now: Now, cell: Name, epoch: u64, out: &mut Vec<Action>) {
        log::info!(target: "claim", "{cell} is owned under epoch {epoch}");
        if cell.starts_with(DEDUP_PREFIX) {
            let shard = DedupShard::new(epoch, now.wall, self.settings.dedup_timings);
            self.dedup_shards.insert(cell, shard);
            return;
        }
        let intervals = self.settings.intervals;
        let times = Timings {
            run_lease: intervals.task_lease,
            margin: self.settings.lease_timings.margin,
            poll_interval: intervals.worker_poll,
        };
        let policy = self.settings.policy.clone();
        let mut won = Cell::new(cell.clone(), epoch, now.millis, policy, times);
        won.set_workers(&self.listed_workers, self.config.drained());
        self.cells.insert(cell.clone(), won);
        self.update_cells();
        self.scan_shards(&cell, out);
    }

    /// Stops acting for a cell that is no longer owned.
    pub(super) fn stop_owning(
        &mut self,
        now: Now,
        cell: &Name,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.dedup_shards.remove(cell);
        self.scanned_at.remove(cell);
        let Some(mut old) = self.cells.remove(cell) else {
            return;
        };
        log::info!(target: "claim", "{cell} is given up ({})", reason.as_str());
        let endpoints = old.workers.values().map(|w| w.http).collect();
        let refused = old.refuse_all(reason);
        for action in refused {
            self.apply_cell_action(now, cell, old.epoch, action, out);
        }
        out.push(Action::Disconnect(endpoints));
    }

    pub(super) fn release_dedup_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        let leaving: Vec<Name> = self
            .claims
            .owned()
            .iter()
            .filter(|(cell, owned)| owned.leaving && cell.starts_with(DEDUP_PREFIX))
            .map(|(cell, _)| cell.clone())
            .collect();
        for shard in leaving {
            let busy = self.in_flight.values().any(|r| r.admitted_by(&shard));
            if !busy {
                self.release(now, &shard, out);
            }
        }
    }

    pub(super) fn release(&mut self, now: Now, cell: &Name, out: &mut Vec<Action>) {
        for action in self.claims.release(cell) {
            self.apply_claim_action(now, action, out);
        }
    }
}

/// Returns the name of a dedup shard.
pub(super) fn dedup_shard_name(shard: u64) -> Name {
    format!("{DEDUP_PREFIX}{shard:02}").into()
}

fn box_key(id: &str) -> Name {
    format!("{}{id}", lease::PREFIX).into()
}

pub(super) fn cell_key(cell: &str) -> Name {
    format!("{}{cell}", claim::PREFIX).into()
}

fn live_box(row: &BoxRow) -> LiveBox {
    LiveBox {
        id: row.id.clone(),
        name: row.name.clone(),
        hall: row.hall.clone(),
    }
}
