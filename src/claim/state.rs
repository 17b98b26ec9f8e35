//! State machine of the cells that a box claims, owns and releases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::assignment::{LiveBox, assign};
use super::{Action, CellRow, VersionedCell};
use crate::lease::WriteOutcome;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Largest number of claims in progress, so that a takeover does not overload the table.
const MAX_PENDING_CLAIMS: usize = 8;
/// Time between two reads of all cells when a read is requested, in ms.
const REQUESTED_READ_INTERVAL: Millis = 250;
/// Number of polls between two reads of all cells when none is requested. Few reads are needed, as
/// other boxes report moves, and a missed report requests a read.
const POLLS_PER_READ: u64 = 5;
/// Largest number of cells that are leaving at the same time.
const MAX_LEAVING_CELLS: usize = 4;
/// Time for which a free cell is left to its assigned box before any box claims it, in ms.
const CLAIM_DELAY: Millis = 2_000;
/// Time for which cells and live boxes must be unchanged before a cell is moved, in ms.
const SETTLE_TIME: Millis = 3_000;

/// Number of recent moves of cells that are kept for reports to other boxes.
const MAX_RECENT_MOVES: usize = 32;

/// A cell that this box owns.
#[derive(Clone, Debug)]
pub struct OwnedCell {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// True if the cell accepts no new work, as it is about to be released.
    pub leaving: bool,
}

/// Release of a cell that this box no longer acts for.
#[derive(Clone, Debug)]
struct Release {
    /// True while a write of the row has no outcome.
    write_pending: bool,
    /// True if the row is written without a new owner, as a write with one had a conflict.
    ownerless: bool,
}

/// Newest known row of a cell.
#[derive(Clone, Debug)]
struct KnownRow {
    version: u64,
    row: CellRow,
}

/// All cells with their last known owners, and the cells that this box owns.
#[derive(Clone, Debug)]
pub struct Claims {
    own_id: Name,
    cells: BTreeSet<Name>,
    known_rows: BTreeMap<Name, KnownRow>,
    owned: BTreeMap<Name, OwnedCell>,
    /// Epochs of the claims in progress, by cell.
    pending_claims: BTreeMap<Name, u64>,
    /// Released cells whose rows may still name this box.
    releasing: BTreeMap<Name, Release>,
    /// Times at which cells without a live owner were first seen.
    free_since: BTreeMap<Name, Millis>,
    boxes: Vec<LiveBox>,
    /// Time of the last change of the cells or the live boxes.
    assignment_changed: Millis,
    /// Incarnation that should own each cell.
    assignment: BTreeMap<Name, Name>,
    /// Time at which the last read was requested.
    last_read: Option<Millis>,
    read_pending: bool,
    /// Time at which the newest applied read was sent.
    applied_read: Millis,
    /// True once all cells were read.
    loaded: bool,
    stopping: bool,
    read_wanted: bool,
    /// Number of cells that were acquired or released.
    move_count: u64,
    recent_moves: VecDeque<VersionedCell>,
}

impl Claims {
    /// Returns the claims of an incarnation that owns nothing yet.
    pub fn new(own_id: Name) -> Self {
        Self {
            own_id,
            cells: BTreeSet::new(),
            known_rows: BTreeMap::new(),
            owned: BTreeMap::new(),
            pending_claims: BTreeMap::new(),
            releasing: BTreeMap::new(),
            free_since: BTreeMap::new(),
            boxes: Vec::new(),
            assignment_changed: 0,
            assignment: BTreeMap::new(),
            last_read: None,
            read_pending: false,
            applied_read: 0,
            loaded: false,
            stopping: false,
            read_wanted: false,
            move_count: 0,
            recent_moves: VecDeque::new(),
        }
    }

    /// Returns the cells that this box owns.
    pub fn owned(&self) -> &BTreeMap<Name, OwnedCell> {
        &self.owned
    }

    /// Returns the names of all cells.
    pub fn cells(&self) -> &BTreeSet<Name> {
        &self.cells
    }

    /// Returns the last known owner of a cell and its epoch.
    pub fn owner(&self, cell: &str) -> Option<(&Name, u64)> {
        let known_row = self.known_rows.get(cell)?;
        Some((known_row.row.owner.as_ref()?, known_row.row.epoch))
    }

    /// Returns the version of a cell's row if this box owns the cell.
    pub fn owned_version(&self, cell: &str) -> Option<u64> {
        let owned = self.owned.contains_key(cell);
        let known_row = self.known_rows.get(cell).filter(|_| owned)?;
        Some(known_row.version)
    }

    /// Returns true once all cells were read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Assigns cells anew if the names of all cells or the live boxes, this one included, differ.
    pub fn update_assignment(
        &mut self,
        now: Millis,
        cells: BTreeSet<Name>,
        mut boxes: Vec<LiveBox>,
    ) {
        boxes.sort_by(|a, b| a.id.cmp(&b.id));
        let same_boxes = self
            .boxes
            .iter()
            .map(|b| &b.id)
            .eq(boxes.iter().map(|b| &b.id));
        if same_boxes && self.cells == cells {
            return;
        }
        self.assignment_changed = now;
        self.cells = cells;
        self.boxes = boxes;
        let cells: Vec<Name> = self.cells.iter().cloned().collect();
        self.assignment = assign(&cells, &self.boxes);
    }

    /// Requests a read of all cells; one read serves all requests before it.
    pub fn request_read(&mut self) {
        self.read_wanted = true;
    }

    /// Stops claiming cells and marks all owned ones as leaving at the next tick.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the actions that are due at `now`.
    ///
    /// `interval` is the time between two polls in ms, and `is_gone` returns true if the row of an
    /// incarnation is absent from the table.
    pub fn tick(
        &mut self,
        now: Millis,
        interval: Millis,
        is_gone: impl Fn(&Name) -> bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let read_interval = if self.read_wanted {
            REQUESTED_READ_INTERVAL.min(interval)
        } else {
            interval * POLLS_PER_READ
        };
        if !self.read_pending && self.last_read.is_none_or(|at| now >= at + read_interval) {
            self.read_wanted = false;
            self.read_pending = true;
            self.last_read = Some(now);
            actions.push(Action::Read);
        }
        if self.loaded && !self.stopping {
            actions.extend(self.claim_free_cells(now, is_gone));
        }
        self.mark_leaving(now);
        actions.extend(self.write_releases());
        actions
    }

    /// Returns claims of cells without a live owner.
    fn claim_free_cells(&mut self, now: Millis, is_gone: impl Fn(&Name) -> bool) -> Vec<Action> {
        let mut actions = Vec::new();
        let cells: Vec<Name> = self.cells.iter().cloned().collect();
        for cell in cells {
            let known_row = self.known_rows.get(&cell);
            let old = known_row.and_then(|r| r.row.owner.clone());
            let free = old.as_ref().is_none_or(&is_gone);
            if !free || self.owned.contains_key(&cell) || self.pending_claims.contains_key(&cell) {
                self.free_since.remove(&cell);
                continue;
            }
            let since = *self.free_since.entry(cell.clone()).or_insert(now);
            let assigned = self.assignment.get(&cell) == Some(&self.own_id);
            if self.pending_claims.len() >= MAX_PENDING_CLAIMS
                || (!assigned && now < since + CLAIM_DELAY)
            {
                continue;
            }
            let row = CellRow {
                owner: Some(self.own_id.clone()),
                epoch: known_row.map_or(0, |r| r.row.epoch) + 1,
            };
            let expect = known_row.map_or(0, |r| r.version);
            self.pending_claims.insert(cell.clone(), row.epoch);
            actions.push(Action::Claim {
                cell,
                expect,
                old,
                row,
            });
        }
        actions
    }

    /// Marks owned cells that are assigned to other boxes as leaving, a few at a time; while
    /// stopping, marks all owned cells.
    fn mark_leaving(&mut self, now: Millis) {
        if self.stopping {
            for owned_cell in self.owned.values_mut() {
                owned_cell.leaving = true;
            }
            return;
        }
        let leaving = self.owned.values().filter(|c| c.leaving).count();
        if now < self.assignment_changed + SETTLE_TIME {
            return;
        }
        let own_id = &self.own_id;
        let assignment = &self.assignment;
        let misplaced = self.owned.iter_mut().filter(|(cell, owned_cell)| {
            !owned_cell.leaving && assignment.get(*cell).is_some_and(|owner| owner != own_id)
        });
        for (_, owned_cell) in misplaced.take(MAX_LEAVING_CELLS.saturating_sub(leaving)) {
            owned_cell.leaving = true;
        }
    }

    /// Releases a leaving cell in which nothing is in progress. From now on this box does not act
    /// for the cell, whatever the outcome of the write.
    pub fn release(&mut self, cell: &Name) -> Vec<Action> {
        if !self.owned.get(cell).is_some_and(|c| c.leaving) {
            return Vec::new();
        }
        self.owned.remove(cell);
        let release = Release {
            write_pending: false,
            ownerless: false,
        };
        self.releasing.insert(cell.clone(), release);
        let mut actions = vec![Action::Lost { cell: cell.clone() }];
        actions.extend(self.write_releases());
        actions
    }

    /// Returns writes for released cells whose last known rows still name this box.
    fn write_releases(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (cell, release) in &mut self.releasing {
            let Some(known_row) = self.known_rows.get(cell).filter(|_| !release.write_pending)
            else {
                continue;
            };
            release.write_pending = true;
            let target = self.assignment.get(cell).filter(|t| **t != self.own_id);
            let owner = target.filter(|_| !release.ownerless).cloned();
            // A new owner needs a new epoch; without an owner the next claim raises it. The known
            // row counts, as this box may have got the cell back under a later epoch than the one
            // that it released.
            let epoch = known_row.row.epoch + u64::from(owner.is_some());
            actions.push(Action::Release {
                cell: cell.clone(),
                expect: known_row.version,
                row: CellRow { owner, epoch },
            });
        }
        actions
    }

    /// Returns the number of cells that were acquired or released, from which other boxes detect
    /// that they have missed the report of a move.
    pub fn move_count(&self) -> u64 {
        self.move_count
    }

    /// Returns the rows of the most recently moved cells, the newest last.
    pub fn recent_moves(&self) -> impl Iterator<Item = &VersionedCell> {
        self.recent_moves.iter()
    }

    /// Applies a committed row that another box has reported. It may be outdated, so it is ignored
    /// if a newer version is known.
    pub fn apply_move(&mut self, versioned: VersionedCell) -> Option<Action> {
        self.apply_row(versioned)
    }

    /// Adds a row to the recent moves.
    fn record_move(&mut self, versioned: VersionedCell) {
        self.move_count += 1;
        self.recent_moves.push_back(versioned);
        if self.recent_moves.len() > MAX_RECENT_MOVES {
            self.recent_moves.pop_front();
        }
    }

    /// Returns true if this box owns no cell and no row may still name it.
    pub fn owns_nothing(&self) -> bool {
        self.owned.is_empty() && self.releasing.is_empty()
    }

    /// Applies the rows of all cells, read by a call that was sent at `sent`; `None` if the read
    /// failed.
    pub fn apply_read(&mut self, sent: Millis, rows: Option<Vec<VersionedCell>>) -> Vec<Action> {
        self.read_pending = false;
        let Some(rows) = rows else {
            return Vec::new();
        };
        if sent < self.applied_read {
            return Vec::new();
        }
        self.applied_read = sent;
        self.loaded = true;
        rows.into_iter().filter_map(|v| self.apply_row(v)).collect()
    }

    /// Stores a row unless a newer version is known, and returns the change of ownership if any.
    fn apply_row(&mut self, versioned: VersionedCell) -> Option<Action> {
        let VersionedCell { cell, version, row } = versioned;
        let known_version = self.known_rows.get(&cell).map_or(0, |r| r.version);
        if version < known_version {
            return None;
        }
        let names_this_box = row.owner.as_ref() == Some(&self.own_id);
        let known_row = KnownRow {
            version,
            row: row.clone(),
        };
        self.known_rows.insert(cell.clone(), known_row);
        if !names_this_box {
            self.releasing.remove(&cell);
        }
        if names_this_box && !self.owned.contains_key(&cell) && !self.releasing.contains_key(&cell)
        {
            let versioned = VersionedCell { cell, version, row };
            return Some(self.acquire(versioned));
        }
        if !names_this_box && self.owned.contains_key(&cell) {
            return Some(self.lose(&cell));
        }
        if version > known_version {
            self.pending_claims.remove(&cell);
        }
        None
    }

    fn acquire(&mut self, versioned: VersionedCell) -> Action {
        let (cell, epoch) = (versioned.cell.clone(), versioned.row.epoch);
        self.record_move(versioned);
        self.pending_claims.remove(&cell);
        let owned_cell = OwnedCell {
            epoch,
            leaving: self.stopping,
        };
        self.owned.insert(cell.clone(), owned_cell);
        Action::Acquired { cell, epoch }
    }

    fn lose(&mut self, cell: &Name) -> Action {
        self.owned.remove(cell);
        self.releasing.remove(cell);
        Action::Lost { cell: cell.clone() }
    }

    /// Applies the outcome of a claim.
    pub fn finish_claim(
        &mut self,
        cell: &Name,
        expect: u64,
        row: CellRow,
        outcome: WriteOutcome,
    ) -> Option<Action> {
        match outcome {
            WriteOutcome::Committed => {
                let version = expect + 1;
                let known_version = self.known_rows.get(cell).map_or(0, |r| r.version);
                if known_version > version {
                    return None;
                }
                self.apply_row(VersionedCell {
                    cell: cell.clone(),
                    version,
                    row,
                })
            }
            WriteOutcome::Conflict | WriteOutcome::NotSent => {
                self.pending_claims.remove(cell);
                self.read_wanted = true;
                None
            }
            // The next read shows the outcome. A second claim before it expects the same version,
            // so at most one of the two takes effect.
            WriteOutcome::Unknown => {
                self.pending_claims.remove(cell);
                self.read_wanted = true;
                None
            }
        }
    }

    /// Applies the outcome of a release.
    pub fn finish_release(
        &mut self,
        cell: &Name,
        expect: u64,
        row: CellRow,
        outcome: WriteOutcome,
    ) -> Option<Action> {
        match outcome {
            WriteOutcome::Committed => {
                let versioned = VersionedCell {
                    cell: cell.clone(),
                    version: expect + 1,
                    row,
                };
                self.record_move(versioned.clone());
                self.apply_row(versioned)
            }
            // The next tick writes again, with the row from the latest read.
            WriteOutcome::Conflict | WriteOutcome::NotSent | WriteOutcome::Unknown => {
                if let Some(release) = self.releasing.get_mut(cell) {
                    release.write_pending = false;
                    release.ownerless |= outcome == WriteOutcome::Conflict;
                }
                self.read_wanted = true;
                None
            }
        }
    }
}
