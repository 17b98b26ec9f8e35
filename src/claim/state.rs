//! The state machine of one box's claims.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::assignment::{Host, plan};
use super::{Action, CellRow, VersionedCell};
use crate::lease::WriteOutcome;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Claims in progress at once, so that a takeover does not flood the table.
const PENDING: usize = 8;
/// Milliseconds between two reads of all cells that changes ask for.
const REFRESH: Millis = 250;
/// Polls between two reads of all cells that nothing asks for: other boxes
/// tell of moves, and a missed one asks for a read.
const CALM: u64 = 5;
/// Cells that are given away at once.
const MOVES: usize = 4;
/// Milliseconds that a free cell is left to the box it should belong to.
const PATIENCE: Millis = 2_000;
/// Milliseconds that the hosts must be unchanged before a cell is given away.
const SETTLED: Millis = 3_000;

/// Moves of cells that are kept to be told to other boxes.
const RECENT: usize = 32;

/// A cell that is owned.
#[derive(Clone, Debug)]
pub struct Mine {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// True while it takes nothing new, before its release.
    pub leaving: bool,
}

/// A cell that is given up.
#[derive(Clone, Debug)]
struct Releasing {
    /// True while a write of its row has no outcome.
    writing: bool,
    /// True once a write that names the next owner has failed.
    alone: bool,
}

#[derive(Clone, Debug)]
struct View {
    version: u64,
    row: CellRow,
}

/// The cells, their owners as last read, and the own ones.
#[derive(Clone, Debug)]
pub struct Claims {
    me: Name,
    cells: BTreeSet<Name>,
    views: BTreeMap<Name, View>,
    mine: BTreeMap<Name, Mine>,
    pending: BTreeMap<Name, u64>,
    /// Cells that are given up and whose rows may still name this box.
    releasing: BTreeMap<Name, Releasing>,
    free: BTreeMap<Name, Millis>,
    hosts: Vec<Host>,
    changed: Millis,
    targets: BTreeMap<Name, Name>,
    read: Option<Millis>,
    reading: bool,
    read_sent: Millis,
    complete: bool,
    stopping: bool,
    wanted: bool,
    moves: u64,
    recent: VecDeque<VersionedCell>,
}

impl Claims {
    /// Returns the claims of an incarnation that owns nothing yet.
    pub fn new(me: Name) -> Self {
        Self {
            me,
            cells: BTreeSet::new(),
            views: BTreeMap::new(),
            mine: BTreeMap::new(),
            pending: BTreeMap::new(),
            releasing: BTreeMap::new(),
            free: BTreeMap::new(),
            hosts: Vec::new(),
            changed: 0,
            targets: BTreeMap::new(),
            read: None,
            reading: false,
            read_sent: 0,
            complete: false,
            stopping: false,
            wanted: false,
            moves: 0,
            recent: VecDeque::new(),
        }
    }

    /// Returns the owned cells with their epochs.
    pub fn mine(&self) -> &BTreeMap<Name, Mine> {
        &self.mine
    }

    /// Returns the names of all cells.
    pub fn cells(&self) -> &BTreeSet<Name> {
        &self.cells
    }

    /// Returns the owner of a cell and the epoch, as last read.
    pub fn owner(&self, cell: &str) -> Option<(&Name, u64)> {
        let view = self.views.get(cell)?;
        Some((view.row.owner.as_ref()?, view.row.epoch))
    }

    /// Returns the version of an owned cell's row.
    pub fn version(&self, cell: &str) -> Option<u64> {
        let owned = self.mine.contains_key(cell);
        let view = self.views.get(cell).filter(|_| owned)?;
        Some(view.version)
    }

    /// Returns true when all cells were read at least once.
    pub fn complete(&self) -> bool {
        self.complete
    }

    /// Sets the names of all cells and the live boxes, the own included.
    pub fn observe(&mut self, now: Millis, cells: BTreeSet<Name>, mut hosts: Vec<Host>) {
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        let same_hosts = self
            .hosts
            .iter()
            .map(|h| &h.id)
            .eq(hosts.iter().map(|h| &h.id));
        if same_hosts && self.cells == cells {
            return;
        }
        self.changed = now;
        self.cells = cells;
        self.hosts = hosts;
        let cells: Vec<Name> = self.cells.iter().cloned().collect();
        self.targets = plan(&cells, &self.hosts);
    }

    /// Asks for a read of all cells soon; many wishes are met by one read.
    pub fn refresh(&mut self) {
        self.wanted = true;
    }

    /// Stops claiming and gives away what is owned.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns what is due at `now`; `gone` tells whether a box's row is gone.
    pub fn tick(
        &mut self,
        now: Millis,
        interval: Millis,
        gone: impl Fn(&Name) -> bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let pause = if self.wanted {
            REFRESH.min(interval)
        } else {
            interval * CALM
        };
        if !self.reading && self.read.is_none_or(|at| now >= at + pause) {
            self.wanted = false;
            self.reading = true;
            self.read = Some(now);
            actions.push(Action::Read);
        }
        if self.complete && !self.stopping {
            actions.extend(self.claim(now, gone));
        }
        self.leave(now);
        actions.extend(self.write_releases());
        actions
    }

    fn claim(&mut self, now: Millis, gone: impl Fn(&Name) -> bool) -> Vec<Action> {
        let mut actions = Vec::new();
        let cells: Vec<Name> = self.cells.iter().cloned().collect();
        for cell in cells {
            let view = self.views.get(&cell);
            let old = view.and_then(|v| v.row.owner.clone());
            let free = old.as_ref().is_none_or(&gone);
            if !free || self.mine.contains_key(&cell) || self.pending.contains_key(&cell) {
                self.free.remove(&cell);
                continue;
            }
            let since = *self.free.entry(cell.clone()).or_insert(now);
            let wanted = self.targets.get(&cell) == Some(&self.me);
            if self.pending.len() >= PENDING || (!wanted && now < since + PATIENCE) {
                continue;
            }
            let row = CellRow {
                owner: Some(self.me.clone()),
                epoch: view.map_or(0, |v| v.row.epoch) + 1,
            };
            let expect = view.map_or(0, |v| v.version);
            self.pending.insert(cell.clone(), row.epoch);
            actions.push(Action::Claim {
                cell,
                expect,
                old,
                row,
            });
        }
        actions
    }

    /// Marks a few owned cells that should belong to other boxes as leaving.
    fn leave(&mut self, now: Millis) {
        if self.stopping {
            for mine in self.mine.values_mut() {
                mine.leaving = true;
            }
            return;
        }
        let leaving = self.mine.values().filter(|m| m.leaving).count();
        if now < self.changed + SETTLED {
            return;
        }
        let me = &self.me;
        let targets = &self.targets;
        let strays = self
            .mine
            .iter_mut()
            .filter(|(cell, mine)| !mine.leaving && targets.get(*cell).is_some_and(|t| t != me));
        for (_, mine) in strays.take(MOVES.saturating_sub(leaving)) {
            mine.leaving = true;
        }
    }

    /// Gives up a leaving cell in which nothing is in progress: from now on
    /// this box does not act for it, whatever becomes of the write.
    pub fn release(&mut self, cell: &Name) -> Vec<Action> {
        if !self.mine.get(cell).is_some_and(|m| m.leaving) {
            return Vec::new();
        }
        self.mine.remove(cell);
        let releasing = Releasing {
            writing: false,
            alone: false,
        };
        self.releasing.insert(cell.clone(), releasing);
        let mut actions = vec![Action::Lost { cell: cell.clone() }];
        actions.extend(self.write_releases());
        actions
    }

    /// Writes the rows of cells that are given up, until the table tells that
    /// they have no owner or another one.
    fn write_releases(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (cell, releasing) in &mut self.releasing {
            let Some(view) = self.views.get(cell).filter(|_| !releasing.writing) else {
                continue;
            };
            releasing.writing = true;
            let target = self.targets.get(cell).filter(|t| **t != self.me);
            let owner = target.filter(|_| !releasing.alone).cloned();
            // A new owner has a new epoch; without one the next claim counts on.
            // The cell may have come back under a later one than was given up.
            let epoch = view.row.epoch + u64::from(owner.is_some());
            actions.push(Action::Release {
                cell: cell.clone(),
                expect: view.version,
                row: CellRow { owner, epoch },
            });
        }
        actions
    }

    /// Returns the number of cells won and given away, by which others learn
    /// whether they have missed one.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// Returns the rows of the last of these cells, the newest last.
    pub fn recent(&self) -> impl Iterator<Item = &VersionedCell> {
        self.recent.iter()
    }

    /// Takes in a committed row that another box tells of. Like a read it may
    /// be old: a newer version that is known stands.
    pub fn told(&mut self, versioned: VersionedCell) -> Option<Action> {
        self.saw(versioned)
    }

    fn moved(&mut self, versioned: VersionedCell) {
        self.moves += 1;
        self.recent.push_back(versioned);
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
    }

    /// Returns true when nothing is owned and no row names this box.
    pub fn empty(&self) -> bool {
        self.mine.is_empty() && self.releasing.is_empty()
    }

    /// Takes in the rows of all cells, read by a call sent at `sent`; `None`
    /// when the read failed.
    pub fn read(&mut self, sent: Millis, rows: Option<Vec<VersionedCell>>) -> Vec<Action> {
        self.reading = false;
        let Some(rows) = rows else {
            return Vec::new();
        };
        if sent < self.read_sent {
            return Vec::new();
        }
        self.read_sent = sent;
        self.complete = true;
        rows.into_iter().filter_map(|v| self.saw(v)).collect()
    }

    fn saw(&mut self, versioned: VersionedCell) -> Option<Action> {
        let VersionedCell { cell, version, row } = versioned;
        let known = self.views.get(&cell).map_or(0, |v| v.version);
        if version < known {
            return None;
        }
        let ours = row.owner.as_ref() == Some(&self.me);
        let view = View {
            version,
            row: row.clone(),
        };
        self.views.insert(cell.clone(), view);
        if !ours {
            self.releasing.remove(&cell);
        }
        if ours && !self.mine.contains_key(&cell) && !self.releasing.contains_key(&cell) {
            let versioned = VersionedCell { cell, version, row };
            return Some(self.win(versioned));
        }
        if !ours && self.mine.contains_key(&cell) {
            return Some(self.lose(&cell));
        }
        if version > known {
            self.pending.remove(&cell);
        }
        None
    }

    fn win(&mut self, versioned: VersionedCell) -> Action {
        let (cell, epoch) = (versioned.cell.clone(), versioned.row.epoch);
        self.moved(versioned);
        self.pending.remove(&cell);
        let mine = Mine {
            epoch,
            leaving: self.stopping,
        };
        self.mine.insert(cell.clone(), mine);
        Action::Won { cell, epoch }
    }

    fn lose(&mut self, cell: &Name) -> Action {
        self.mine.remove(cell);
        self.releasing.remove(cell);
        Action::Lost { cell: cell.clone() }
    }

    /// Takes in how a claim ended.
    pub fn claimed(
        &mut self,
        cell: &Name,
        expect: u64,
        row: CellRow,
        written: WriteOutcome,
    ) -> Option<Action> {
        match written {
            WriteOutcome::Committed => {
                let version = expect + 1;
                let known = self.views.get(cell).map_or(0, |v| v.version);
                if known > version {
                    return None;
                }
                self.saw(VersionedCell {
                    cell: cell.clone(),
                    version,
                    row,
                })
            }
            WriteOutcome::Conflict | WriteOutcome::NotSent => {
                self.pending.remove(cell);
                self.wanted = true;
                None
            }
            // The next read tells; until then the claim stays pending, and a
            // second try expects the same version, so only one can win.
            WriteOutcome::Unknown => {
                self.pending.remove(cell);
                self.wanted = true;
                None
            }
        }
    }

    /// Takes in how a release ended.
    pub fn released(
        &mut self,
        cell: &Name,
        expect: u64,
        row: CellRow,
        written: WriteOutcome,
    ) -> Option<Action> {
        match written {
            WriteOutcome::Committed => {
                let versioned = VersionedCell {
                    cell: cell.clone(),
                    version: expect + 1,
                    row,
                };
                self.moved(versioned.clone());
                self.saw(versioned)
            }
            // The next tick tries again with what the next read shows.
            WriteOutcome::Conflict | WriteOutcome::NotSent | WriteOutcome::Unknown => {
                if let Some(releasing) = self.releasing.get_mut(cell) {
                    releasing.writing = false;
                    releasing.alone |= written == WriteOutcome::Conflict;
                }
                self.wanted = true;
                None
            }
        }
    }
}
