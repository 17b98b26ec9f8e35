//! Chooses the cell that gets a request.
//!
//! An entry box knows the load of all cells from its peers' greetings and adds its own
//! requests in progress. It compares a few cells picked at random: the time of a choice
//! does not grow with the number of cells, and boxes that know the same loads do not all
//! choose the same cell.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::cell::Shape;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Number of cells that one choice compares.
const SAMPLE_SIZE: usize = 4;
/// Cost of forwarding to another box in the same hall, in slots.
const SAME_HALL_COST: f64 = 0.5;
/// Cost of forwarding to another hall, in slots.
const OTHER_HALL_COST: f64 = 2.0;

/// Load of a cell as its owner reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct CellLoad {
    /// Name of the cell.
    pub cell: Name,
    /// Epoch of its ownership.
    pub epoch: u64,
    /// Free slots.
    pub free_slots: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Free thousandths of cores.
    pub free_cores: u64,
    /// Shape of the largest worker.
    pub largest_worker: Shape,
}

/// A cell and its load, as this box knows them.
#[derive(Clone, Debug)]
pub struct CellView {
    /// Load as last reported.
    pub load: CellLoad,
    /// Incarnation of the box that owns the cell.
    pub owner: Name,
    /// RPC address of the owner; `None` when it is this box.
    pub rpc: Option<SocketAddr>,
    /// When the load was reported.
    pub reported_at: Millis,
    /// Requests in progress that this box has handed to the cell since `reported_at`.
    pub sent_since: u32,
}

/// Keeps the known cells and chooses among them.
#[derive(Clone, Debug)]
pub struct Router {
    hall: Name,
    views: Vec<CellView>,
    index: HashMap<Name, usize>,
    random: Random,
    has_seen_cells: bool,
}

impl Router {
    /// Returns a router for a box in `hall` that knows no cell.
    pub fn new(hall: Name, seed: u64) -> Self {
        Self {
            hall,
            views: Vec::new(),
            index: HashMap::new(),
            random: Random::new(seed),
            has_seen_cells: false,
        }
    }

    /// Returns true once any cell was known. A cell that is missing afterwards is changing its
    /// owner.
    pub fn has_seen_cells(&self) -> bool {
        self.has_seen_cells
    }

    /// Returns all known cells.
    pub fn views(&self) -> &[CellView] {
        &self.views
    }

    /// Returns what is known of a cell.
    pub fn view(&self, cell: &str) -> Option<&CellView> {
        self.index.get(cell).map(|i| &self.views[*i])
    }

    /// Replaces the cells of one owner by those that it reports.
    pub fn update_owner(
        &mut self,
        now: Millis,
        owner: &Name,
        rpc: Option<SocketAddr>,
        loads: Vec<CellLoad>,
    ) {
        let kept: Vec<Name> = loads.iter().map(|l| l.cell.clone()).collect();
        self.retain(|v| v.owner != *owner || kept.contains(&v.load.cell));
        for load in loads {
            self.insert(CellView {
                load,
                owner: owner.clone(),
                rpc,
                reported_at: now,
                sent_since: 0,
            });
        }
    }

    fn insert(&mut self, view: CellView) {
        self.has_seen_cells = true;
        match self.index.get(&view.load.cell) {
            // A report of an earlier owner does not replace that of a later one.
            Some(&at) if self.views[at].load.epoch > view.load.epoch => {}
            Some(&at) => self.views[at] = view,
            None => {
                self.index.insert(view.load.cell.clone(), self.views.len());
                self.views.push(view);
            }
        }
    }

    /// Removes cells whose load was last reported before `oldest`.
    pub fn forget_before(&mut self, oldest: Millis) {
        if self.views.iter().any(|v| v.reported_at < oldest) {
            self.retain(|v| v.reported_at >= oldest);
        }
    }

    /// Removes a cell until an owner reports it again.
    pub fn remove_cell(&mut self, cell: &str) {
        self.retain(|v| &*v.load.cell != cell);
    }

    /// Removes the cells of one owner.
    pub fn remove_owner(&mut self, owner: &str) {
        self.retain(|v| &*v.owner != owner);
    }

    fn retain(&mut self, keep: impl Fn(&CellView) -> bool) {
        if self.views.iter().all(&keep) {
            return;
        }
        self.views.retain(keep);
        self.index = self
            .views
            .iter()
            .enumerate()
            .map(|(i, v)| (v.load.cell.clone(), i))
            .collect();
    }

    /// Returns the cheapest of a few cells picked at random, or of all when those are in
    /// `tried`, and counts a request to it. Returns none of `tried`.
    pub fn choose(&mut self, tried: &[Name]) -> Option<Name> {
        let count = self.views.len();
        if count == 0 {
            return None;
        }
        let candidates: Vec<usize> = match count <= SAMPLE_SIZE {
            true => (0..count).collect(),
            false => self.sample(count),
        };
        let best = self.cheapest(&candidates, tried).or_else(|| {
            let all: Vec<usize> = (0..count).collect();
            self.cheapest(&all, tried)
        })?;
        self.views[best].sent_since += 1;
        Some(self.views[best].load.cell.clone())
    }

    fn sample(&mut self, count: usize) -> Vec<usize> {
        (0..SAMPLE_SIZE)
            .map(|_| self.random.below(count as u64) as usize)
            .collect()
    }

    fn cheapest(&self, candidates: &[usize], tried: &[Name]) -> Option<usize> {
        let untried = candidates.iter().copied().filter(|i| {
            let cell = &self.views[*i].load.cell;
            !tried.contains(cell)
        });
        untried.min_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)))
    }

    /// Returns the requests waiting at a cell minus its free slots, plus the cost of
    /// forwarding to its owner.
    fn cost(&self, index: usize) -> f64 {
        let view = &self.views[index];
        let forwarding = match view.rpc {
            None => 0.0,
            Some(_) if self.hall_of(view) == &*self.hall => SAME_HALL_COST,
            Some(_) => OTHER_HALL_COST,
        };
        let waiting = f64::from(view.load.queued) + f64::from(view.sent_since);
        forwarding + waiting - f64::from(view.load.free_slots)
    }

    fn hall_of<'v>(&self, view: &'v CellView) -> &'v str {
        view.load.cell.split('/').next().unwrap_or("")
    }

    /// Counts a request that was handed to a cell as ended.
    pub fn end_request(&mut self, cell: &str) {
        if let Some(&at) = self.index.get(cell) {
            let view = &mut self.views[at];
            view.sent_since = view.sent_since.saturating_sub(1);
        }
    }
}
