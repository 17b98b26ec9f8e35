//! Which cell a request is handed to.
//!
//! An entry box knows the load of all cells from its peers' greetings and
//! keeps it current by its own requests in progress. It compares a few cells
//! taken at random, so a choice takes the same time for any number of cells,
//! and boxes with the same view do not all choose the same cell.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::cell::Shape;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Cells that are compared in one choice.
const SAMPLE: usize = 4;
/// Cost of another box in the own hall, in slots.
const HOP: f64 = 0.5;
/// Cost of another hall, in slots.
const FAR: f64 = 2.0;

/// Load of a cell as its owner reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Name of the cell.
    pub cell: Name,
    /// Epoch of its ownership.
    pub epoch: u64,
    /// Free slots.
    pub free: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Free thousandths of cores.
    pub cores: u64,
    /// Largest worker.
    pub largest: Shape,
}

/// A cell as this box sees it.
#[derive(Clone, Debug)]
pub struct View {
    /// Load as last reported.
    pub load: Load,
    /// Owning incarnation.
    pub owner: Name,
    /// Address of the owner; none when it is this box.
    pub rpc: Option<SocketAddr>,
    /// When the load was reported.
    pub at: Millis,
    /// Own requests handed to it since then.
    pub sent: u32,
}

/// The cells and a generator for the choice among them.
#[derive(Clone, Debug)]
pub struct Router {
    hall: Name,
    views: Vec<View>,
    index: HashMap<Name, usize>,
    random: Random,
    /// True once a cell was known.
    seen: bool,
}

impl Router {
    /// Returns a router in a hall that knows no cell.
    pub fn new(hall: Name, seed: u64) -> Self {
        Self {
            hall,
            views: Vec::new(),
            index: HashMap::new(),
            random: Random::new(seed),
            seen: false,
        }
    }

    /// Returns true once any cell was known: what is missing since is moving.
    pub fn seen(&self) -> bool {
        self.seen
    }

    /// Returns all cells known.
    pub fn views(&self) -> &[View] {
        &self.views
    }

    /// Returns a cell.
    pub fn view(&self, cell: &str) -> Option<&View> {
        self.index.get(cell).map(|i| &self.views[*i])
    }

    /// Takes in the loads of all cells of one owner.
    pub fn report(&mut self, now: Millis, owner: &Name, rpc: Option<SocketAddr>, loads: Vec<Load>) {
        let kept: Vec<Name> = loads.iter().map(|l| l.cell.clone()).collect();
        self.retain(|v| v.owner != *owner || kept.contains(&v.load.cell));
        for load in loads {
            self.insert(View {
                load,
                owner: owner.clone(),
                rpc,
                at: now,
                sent: 0,
            });
        }
    }

    fn insert(&mut self, view: View) {
        self.seen = true;
        match self.index.get(&view.load.cell) {
            // An older owner's word does not count against a newer one's.
            Some(&at) if self.views[at].load.epoch > view.load.epoch => {}
            Some(&at) => self.views[at] = view,
            None => {
                self.index.insert(view.load.cell.clone(), self.views.len());
                self.views.push(view);
            }
        }
    }

    /// Forgets cells of owners that were not heard of since `oldest`.
    pub fn forget(&mut self, oldest: Millis) {
        if self.views.iter().any(|v| v.at < oldest) {
            self.retain(|v| v.at >= oldest);
        }
    }

    /// Forgets a cell, until an owner reports it anew.
    pub fn drop_cell(&mut self, cell: &str) {
        self.retain(|v| &*v.load.cell != cell);
    }

    /// Forgets the cells of one owner.
    pub fn drop_owner(&mut self, owner: &str) {
        self.retain(|v| &*v.owner != owner);
    }

    fn retain(&mut self, keep: impl Fn(&View) -> bool) {
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

    /// Returns the best of a few cells, none of `tried`, and counts the request.
    pub fn choose(&mut self, tried: &[Name]) -> Option<Name> {
        let count = self.views.len();
        if count == 0 {
            return None;
        }
        let picks: Vec<usize> = match count <= SAMPLE {
            true => (0..count).collect(),
            false => self.sample(count),
        };
        let best = self.cheapest(&picks, tried).or_else(|| {
            let all: Vec<usize> = (0..count).collect();
            self.cheapest(&all, tried)
        })?;
        self.views[best].sent += 1;
        Some(self.views[best].load.cell.clone())
    }

    fn sample(&mut self, count: usize) -> Vec<usize> {
        (0..SAMPLE)
            .map(|_| self.random.below(count as u64) as usize)
            .collect()
    }

    fn cheapest(&self, picks: &[usize], tried: &[Name]) -> Option<usize> {
        let open = picks.iter().copied().filter(|i| {
            let cell = &self.views[*i].load.cell;
            !tried.contains(cell)
        });
        open.min_by(|a, b| self.cost(*a).total_cmp(&self.cost(*b)))
    }

    /// Returns the expected wait at a cell in slots, with the way to it.
    fn cost(&self, index: usize) -> f64 {
        let view = &self.views[index];
        let way = match view.rpc {
            None => 0.0,
            Some(_) if self.hall_of(view) == &*self.hall => HOP,
            Some(_) => FAR,
        };
        let waiting = f64::from(view.load.queued) + f64::from(view.sent);
        way + waiting - f64::from(view.load.free)
    }

    fn hall_of<'v>(&self, view: &'v View) -> &'v str {
        view.load.cell.split('/').next().unwrap_or("")
    }

    /// Takes in that a request handed to a cell has ended.
    pub fn done(&mut self, cell: &str) {
        if let Some(&at) = self.index.get(cell) {
            let view = &mut self.views[at];
            view.sent = view.sent.saturating_sub(1);
        }
    }
}
