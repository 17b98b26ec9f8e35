//! Renews the box's lease and acquires and releases cells under it.

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
    /// Performs the actions that are due for the lease.
    pub(super) fn tick_lease(&mut self, now: Now, out: &mut Vec<Action>) {
        let actions = self
            .lease
            .tick(now.millis, self.settings.intervals.heartbeat);
        self.apply_lease_actions(now, actions, out);
    }

    /// Performs actions that the lease requests.
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
                    log::warn!(target: "lease", "declaring box {id} dead");
                    let op = Op::delete(box_key(&id), Expect::Version(version));
                    self.call_table(Purpose::DeclareDead(id), Call::Commit(vec![op]), out);
                }
                lease::Action::Deposed => self.restart(now, out),
            }
        }
    }

    /// Starts over as a new incarnation that owns nothing, as another box declared this one dead.
    fn restart(&mut self, now: Now, out: &mut Vec<Action>) {
        log::error!(target: "lease", "{} was declared dead; starting a new incarnation", self.id());
        let cells: Vec<Name> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.stop_owning(now, &cell, Reason::Lapsed, out);
        }
        self.dedup_shards.clear();
        self.settings.boot += 1;
        let mut row = self.lease.own_row().clone();
        row.id = incarnation(&self.settings.name, self.settings.boot);
        row.beat = 0;
        row.successors = Vec::new();
        self.router.remove_owner(&self.lease.id().clone());
        self.claims = Claims::new(row.id.clone());
        self.lease = Lease::new(self.settings.lease_timings, row);
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

    /// Performs the actions that are due for the ownership of cells.
    pub(super) fn tick_claims(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.lease.is_registered() {
            return;
        }
        let (cells, boxes) = (self.cell_names(), self.live_boxes(now.millis));
        self.claims.update_assignment(now.millis, cells, boxes);
        let lease = &self.lease;
        let own_id = lease.id().clone();
        let gone = |owner: &Name| *owner != own_id && lease.other_box(owner).is_none();
        let interval = self.settings.intervals.poll;
        let actions = self.claims.tick(now.millis, interval, gone);
        for action in actions {
            self.apply_claim_action(now, action, out);
        }
    }

    /// Returns the names of all cells: the racks of the listed workers, and the dedup shards.
    fn cell_names(&self) -> BTreeSet<Name> {
        let mut names: BTreeSet<Name> =
            self.listed_workers.iter().map(|w| w.cell.clone()).collect();
        names.extend((0..DEDUP_SHARDS).map(dedup_shard_name));
        names
    }

    /// Returns the boxes that may own cells: those with a fresh row that are not stopping.
    fn live_boxes(&self, now: Millis) -> Vec<LiveBox> {
        let may_own =
            |b: &&BoxRow| self.lease.is_fresh(&b.id, now) && !self.stopping_peers.contains(&b.id);
        let others = self.lease.other_boxes().filter(may_own);
        let mut boxes: Vec<LiveBox> = others.map(live_box).collect();
        if self.stopping_since.is_none() {
            boxes.push(live_box(self.lease.own_row()));
        }
        boxes
    }

    /// Performs an action that the claims request.
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

    /// Sets up an acquired cell or dedup shard.
    fn start_owning(&mut self, now: Now, cell: Name, epoch: u64, out: &mut Vec<Action>) {
        log::info!(target: "claim", "acquired cell {cell} under epoch {epoch}");
        if cell.starts_with(DEDUP_PREFIX) {
            let shard = DedupShard::new(epoch, now.wall, self.settings.dedup_timings);
            self.dedup_shards.insert(cell, shard);
            return;
        }
        let intervals = self.settings.intervals;
        let timings = Timings {
            run_lease: intervals.task_lease,
            margin: self.settings.lease_timings.margin,
            poll_interval: intervals.worker_poll,
        };
        let policy = self.settings.policy.clone();
        let mut acquired = Cell::new(cell.clone(), epoch, now.millis, policy, timings);
        acquired.set_workers(&self.listed_workers, self.config.drained());
        self.cells.insert(cell.clone(), acquired);
        self.update_cells();
        self.scan_shards(&cell, out);
    }

    /// Drops a cell that is no longer owned and refuses its queued requests.
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
        log::info!(target: "claim", "dropped cell {cell} ({})", reason.as_str());
        let endpoints = old.workers.values().map(|w| w.http).collect();
        let refused = old.refuse_all(reason);
        for action in refused {
            self.apply_cell_action(now, cell, old.epoch, action, out);
        }
        out.push(Action::Disconnect(endpoints));
    }

    /// Releases the leaving dedup shards of which no admitted request is in progress.
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

    /// Releases a cell in which nothing is in progress.
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

/// Returns the key of a box's row.
fn box_key(id: &str) -> Name {
    format!("{}{id}", lease::PREFIX).into()
}

/// Returns the key of a cell's row.
pub(super) fn cell_key(cell: &str) -> Name {
    format!("{}{cell}", claim::PREFIX).into()
}

/// Converts a box's row for the assignment of cells.
fn live_box(row: &BoxRow) -> LiveBox {
    LiveBox {
        id: row.id.clone(),
        name: row.name.clone(),
        hall: row.hall.clone(),
    }
}
