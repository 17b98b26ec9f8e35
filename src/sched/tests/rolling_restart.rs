//! Tests which box owns the cell in simulated rolling restarts of boxes with different numbers of
//! cores, in virtual time. Only the decisions of `failover` are under test.

use std::ops::Range;

use super::world::owner_row;
use crate::sched::failover::{
    Assessment, OwnerProgress, Pong, assess_owner, offered_cores, should_release_to,
    smaller_box_delay, takeover_delay, wanted_cores,
};
use crate::sched::journal::OwnerRow;
use crate::utils::clock::Millis;

/// Thousandths of cores of a strong box.
const STRONG: u32 = 500;
/// Thousandths of cores of a weak box.
const WEAK: u32 = 120;
/// Pages that a new owner loads.
const PAGES: u64 = 30;
/// Milliseconds between two pings of a box, and of a box with fewer cores than the owner.
const PING_INTERVALS: (Millis, Millis) = (200, 600);
/// Milliseconds between two writes of the owner's row.
const WRITE_INTERVAL: Millis = 300;
/// Milliseconds from the signal to a box until its process is back.
const RESTART_TIME: Millis = 7_000;

/// State of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    /// The box follows the owner and pings it next at this time.
    Following(Millis),
    /// The box takes over at this time, unless the row changes from this version.
    Waiting(Millis, u64),
    /// The box has become the owner and gets its next page at time `next`.
    Loading { pages: u64, next: Millis },
    /// The box serves as owner since the first time, and writes its row next at the second.
    Serving(Millis, Millis),
}

/// A box.
struct Node {
    cores: u32,
    epoch: u64,
    /// When its restart ends; the box does not take over before.
    restart_end: Millis,
    state: NodeState,
    /// The owner's row as last read.
    seen: OwnerRow,
    /// Last known progress of that owner.
    progress: OwnerProgress,
}

/// A simulation of boxes that are restarted.
struct Simulation {
    now: Millis,
    row: OwnerRow,
    version: u64,
    nodes: Vec<Node>,
    /// Milliseconds since a box served last.
    unserved: Millis,
    /// Maximum of `unserved` so far.
    max_unserved: Millis,
    /// How often a weak box became the owner.
    weak_owners: usize,
    /// Milliseconds for which each box has followed a box other than the serving owner.
    stale: Vec<Millis>,
    /// Maximum of `stale` so far.
    max_stale: Millis,
    /// A box whose pings get no answer, and the time in which that lasts.
    lost_pings: (usize, Range<Millis>),
}

/// Returns the milliseconds that a box takes to load one page.
fn page_time(cores: u32) -> Millis {
    if cores == STRONG { 8 } else { 150 }
}

impl Simulation {
    fn new(cores: &[u32]) -> Self {
        let row = OwnerRow {
            released: true,
            cores: cores.iter().copied().max().unwrap_or(0),
            ..owner_row(1)
        };
        let node = |(number, cores): (usize, &u32)| Node {
            cores: *cores,
            epoch: 0,
            restart_end: 0,
            // The pings of the boxes are spread over the interval between two pings.
            state: NodeState::Following(number as Millis * 37 % PING_INTERVALS.0),
            seen: row.clone(),
            progress: OwnerProgress { at: 0, pages: None },
        };
        Self {
            now: 0,
            nodes: cores.iter().enumerate().map(node).collect(),
            row,
            version: 1,
            unserved: 0,
            max_unserved: 0,
            weak_owners: 0,
            stale: vec![0; cores.len()],
            max_stale: 0,
            lost_pings: (0, 0..0),
        }
    }

    /// Advances the time by `span` milliseconds and restarts one box after the other, one every
    /// `gap` milliseconds.
    fn run(&mut self, span: Millis, gap: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            if self.now.is_multiple_of(gap) {
                // Every seventh box rather than in the order of the list.
                let number = (self.now / gap * 7) as usize % self.nodes.len();
                self.nodes[number].restart_end = self.now + RESTART_TIME;
            }
            for number in 0..self.nodes.len() {
                self.advance(number);
            }
            let serves = |n: &Node| matches!(n.state, NodeState::Serving(..));
            self.unserved = match self.nodes.iter().any(serves) {
                true => 0,
                false => self.unserved + 1,
            };
            self.max_unserved = self.max_unserved.max(self.unserved);
            self.count_stale();
        }
    }

    /// Updates for how long each box has followed a box other than the serving owner.
    fn count_stale(&mut self) {
        let serves = |n: &&Node| matches!(n.state, NodeState::Serving(..));
        let epoch = self.nodes.iter().find(serves).map(|n| n.epoch);
        for (node, stale) in self.nodes.iter().zip(&mut self.stale) {
            let is_stale = epoch.is_some_and(|e| e != node.seen.epoch);
            *stale = if is_stale { *stale + 1 } else { 0 };
            self.max_stale = self.max_stale.max(*stale);
        }
    }

    /// Carries out what a box has to do now.
    fn advance(&mut self, number: usize) {
        let now = self.now;
        let stopping = now < self.nodes[number].restart_end;
        match self.nodes[number].state {
            NodeState::Following(at) if now >= at => self.ping(number),
            NodeState::Waiting(at, version) if now >= at => self.acquire(number, version, stopping),
            NodeState::Loading { pages, next } if now >= next => self.load(number, pages + 1),
            NodeState::Serving(..) if stopping => self.release(number),
            NodeState::Serving(since, next) if now >= next => {
                self.version += 1;
                self.nodes[number].state = NodeState::Serving(since, now + WRITE_INTERVAL);
            }
            _ => {}
        }
    }

    /// Returns the answer of an owner to a ping.
    fn pong(&self, owner: &OwnerRow) -> Pong {
        let found = self.nodes.iter().find(|n| n.epoch == owner.epoch);
        let Some(node) = found else {
            return Pong::Idle;
        };
        match node.state {
            NodeState::Serving(..) => Pong::Serves {
                epoch: node.epoch,
                confirmed: 0,
            },
            NodeState::Loading { pages, .. } => Pong::Loads {
                epoch: node.epoch,
                pages,
                cores: node.cores,
            },
            _ => Pong::Idle,
        }
    }

    /// Pings the owner that a box follows, and acts on the answer.
    fn ping(&mut self, number: usize) {
        let now = self.now;
        let node = &self.nodes[number];
        let (cores, seen) = (node.cores, node.seen.clone());
        let stopping = now < node.restart_end;
        let lost = self.lost_pings.0 == number && self.lost_pings.1.contains(&now);
        let pong = (!lost).then(|| self.pong(&seen));
        if matches!(pong, Some(Pong::Serves { .. })) {
            self.offer(seen.epoch, offered_cores(cores, true, stopping));
        }
        let smaller = smaller_box_delay(cores, &seen) > 0;
        let next = now
            + if smaller {
                PING_INTERVALS.1
            } else {
                PING_INTERVALS.0
            };
        self.nodes[number].state = NodeState::Following(next);
        let last = self.nodes[number].progress;
        match assess_owner(cores, seen.epoch, last, pong, now) {
            Assessment::Follow(progress) => self.nodes[number].progress = progress,
            Assessment::CheckRow(progress) => {
                self.nodes[number].progress = progress;
                self.read_row(number, false, stopping);
            }
            Assessment::Replace(_) => self.read_row(number, true, stopping),
        }
    }

    /// Has the owner of an epoch release the cell if a box with `cores` should replace it.
    fn offer(&mut self, epoch: u64, cores: u32) {
        let now = self.now;
        let owner = self.nodes.iter().position(|n| n.epoch == epoch);
        let Some(owner) = owner else {
            return;
        };
        let node = &self.nodes[owner];
        if let NodeState::Serving(since, _) = node.state
            && should_release_to(node.cores, cores, since, now)
        {
            self.release(owner);
        }
    }

    /// Reads the owner's row, and plans a takeover if the owner gave the cell up or is suspected.
    fn read_row(&mut self, number: usize, suspected: bool, stopping: bool) {
        let (now, version) = (self.now, self.version);
        let row = self.row.clone();
        let node = &mut self.nodes[number];
        let same_owner = node.seen.epoch == row.epoch;
        if !same_owner {
            node.progress = OwnerProgress {
                at: now,
                pages: None,
            };
        }
        node.seen = row.clone();
        if !stopping && (row.released || suspected && same_owner) {
            let stagger = number as Millis * 13 % 120;
            let at = now + takeover_delay(node.cores, &row, row.released, stagger);
            node.state = NodeState::Waiting(at, version);
        }
    }

    /// Makes a box the owner unless the row has changed.
    fn acquire(&mut self, number: usize, version: u64, stopping: bool) {
        let now = self.now;
        let cores = self.nodes[number].cores;
        self.nodes[number].state = NodeState::Following(now);
        if stopping || version != self.version {
            return self.read_row(number, false, true);
        }
        self.version += 1;
        self.row = OwnerRow {
            cores: wanted_cores(cores, Some(&self.row)),
            ..owner_row(self.row.epoch + 1)
        };
        self.weak_owners += usize::from(cores < self.row.cores);
        let node = &mut self.nodes[number];
        node.epoch = self.row.epoch;
        node.seen = self.row.clone();
        node.progress = OwnerProgress {
            at: now,
            pages: None,
        };
        node.state = NodeState::Loading {
            pages: 0,
            next: now + page_time(cores),
        };
    }

    /// Records that a box has loaded `pages` pages; a box that has loaded all pages serves.
    fn load(&mut self, number: usize, pages: u64) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let is_owner = node.epoch == self.row.epoch;
        node.state = match pages {
            PAGES if is_owner => NodeState::Serving(now, now),
            PAGES => NodeState::Following(now),
            _ => NodeState::Loading {
                pages,
                next: now + page_time(node.cores),
            },
        };
        if pages == PAGES && is_owner {
            self.stop_predecessors(number);
        }
    }

    /// Stops earlier owners that still load; they do not notice otherwise that they were replaced.
    fn stop_predecessors(&mut self, owner: usize) {
        let now = self.now;
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if number != owner && matches!(node.state, NodeState::Loading { .. }) {
                node.state = NodeState::Following(now);
            }
        }
    }

    /// Has the owner release the cell.
    fn release(&mut self, number: usize) {
        self.version += 1;
        self.row.released = true;
        self.nodes[number].state = NodeState::Following(self.now);
    }
}

/// Returns the cores of `strong` strong boxes and `weak` weak boxes.
fn boxes(strong: usize, weak: usize) -> Vec<u32> {
    [vec![STRONG; strong], vec![WEAK; weak]].concat()
}

/// Forty boxes, eight of them strong, are restarted in turn, one every 0.4 s. A weak box became
/// the owner, needed 4.7 s to load 1,481 jobs and was deposed 2.8 s later. Ten weak boxes followed
/// each other like that, so no leases were extended and lasting tasks did not run.
#[test]
fn a_strong_box_serves_during_a_rolling_restart() {
    let mut simulation = Simulation::new(&boxes(8, 32));
    simulation.run(60_000, 400);
    assert_eq!(simulation.weak_owners, 0, "weak boxes became the owner");
    let load = PAGES * page_time(STRONG);
    assert!(
        simulation.max_unserved < load + 300,
        "{} ms",
        simulation.max_unserved
    );
}

#[test]
fn weak_boxes_alone_give_each_other_time_to_load() {
    let mut simulation = Simulation::new(&boxes(0, 12));
    simulation.run(60_000, 6_000);
    let load = PAGES * page_time(WEAK);
    assert!(
        simulation.max_unserved < 2 * load,
        "{} ms",
        simulation.max_unserved
    );
}

#[test]
fn a_strong_box_that_returns_takes_the_cell_over_from_a_weak_one() {
    let mut simulation = Simulation::new(&boxes(1, 6));
    simulation.nodes[0].restart_end = 9_000;
    simulation.run(20_000, 100_000);
    let serves = |n: &Node| matches!(n.state, NodeState::Serving(..));
    assert!(serves(&simulation.nodes[0]), "{:?}", simulation.row);
    assert!(simulation.weak_owners <= 1);
}

#[test]
fn boxes_that_follow_a_loading_owner_notice_its_successor() {
    let mut simulation = Simulation::new(&boxes(1, 6));
    simulation.nodes[0].restart_end = 1_000;
    simulation.run(10_000, 100_000);
    assert_eq!(
        simulation.weak_owners, 1,
        "a strong box came while a weak one loaded"
    );
    assert!(
        simulation.max_stale <= PING_INTERVALS.1,
        "{} ms",
        simulation.max_stale
    );
}

#[test]
fn one_lost_ping_does_not_end_a_load() {
    let mut simulation = Simulation::new(&boxes(0, 12));
    simulation.lost_pings = (5, 2_000..2_400);
    simulation.run(10_000, 100_000);
    assert_eq!(simulation.row.epoch, 2);
}
