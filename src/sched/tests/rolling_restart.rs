//! Boxes of uneven strength that are stopped in turn: who owns the cell meanwhile, in
//! virtual time, by the decisions of `failover` alone.

use std::ops::Range;

use super::world::owner_row;
use crate::sched::failover::{
    Assessment, OwnerProgress, Pong, assess_owner, offered_cores, should_make_way, takeover_delay,
    wanted_cores, weaker_box_delay,
};
use crate::sched::journal::OwnerRow;
use crate::utils::clock::Millis;

/// Thousandths of cores of strong and weak boxes.
const STRONG: u32 = 500;
const WEAK: u32 = 120;
/// Pages that a new owner loads.
const PAGES: u64 = 30;
/// Milliseconds between two pings of a box, and of one with fewer cores than the owner.
const PINGS: (Millis, Millis) = (200, 600);
/// Milliseconds between two writes of its row by an owner that serves.
const WRITES: Millis = 300;
/// Milliseconds from the signal to a box until its process is back.
const AWAY: Millis = 7_000;

/// What a box does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    /// It follows the owner, and looks after it next at this time.
    Follows(Millis),
    /// It takes the owner's place at this time, unless the row changes from this version.
    Waits(Millis, u64),
    /// It has become the owner and gets its next page at this time.
    Loads { pages: u64, next: Millis },
    /// It is the owner since the first time, and writes its row next at the second.
    Serves(Millis, Millis),
}

/// A box; `back` is when its stop ends, and until then it takes nobody's place.
struct Node {
    cores: u32,
    epoch: u64,
    back: Millis,
    duty: Duty,
    seen: OwnerRow,
    life: OwnerProgress,
}

/// A course of stops.
struct Course {
    now: Millis,
    row: OwnerRow,
    version: u64,
    nodes: Vec<Node>,
    /// Milliseconds that nobody has served now, and the most so far.
    unserved: Millis,
    longest: Millis,
    /// Weak boxes that became the owner.
    weak: usize,
    /// Milliseconds for which each box has followed another than the one that serves,
    /// and the most so far of any.
    astray: Vec<Millis>,
    farthest: Millis,
    /// A box whose pings have no answer, and when.
    lost: (usize, Range<Millis>),
}

/// Returns the milliseconds that a box takes for one page.
fn page(cores: u32) -> Millis {
    if cores == STRONG { 8 } else { 150 }
}

impl Course {
    fn new(cores: &[u32]) -> Self {
        let row = OwnerRow {
            released: true,
            cores: cores.iter().copied().max().unwrap_or(0),
            ..owner_row(1)
        };
        let node = |(number, cores): (usize, &u32)| Node {
            cores: *cores,
            epoch: 0,
            back: 0,
            // Looks are spread over the time between two pings.
            duty: Duty::Follows(number as Millis * 37 % PINGS.0),
            seen: row.clone(),
            life: OwnerProgress { at: 0, pages: None },
        };
        Self {
            now: 0,
            nodes: cores.iter().enumerate().map(node).collect(),
            row,
            version: 1,
            unserved: 0,
            longest: 0,
            weak: 0,
            astray: vec![0; cores.len()],
            farthest: 0,
            lost: (0, 0..0),
        }
    }

    /// Lets time pass; box after box is told to stop, one each `gap` milliseconds.
    fn run(&mut self, span: Millis, gap: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            if self.now.is_multiple_of(gap) {
                // Not the order in which they are listed: each seventh.
                let number = (self.now / gap * 7) as usize % self.nodes.len();
                self.nodes[number].back = self.now + AWAY;
            }
            for number in 0..self.nodes.len() {
                self.turn(number);
            }
            let served = |n: &Node| matches!(n.duty, Duty::Serves(..));
            self.unserved = match self.nodes.iter().any(served) {
                true => 0,
                false => self.unserved + 1,
            };
            self.longest = self.longest.max(self.unserved);
            self.count_astray();
        }
    }

    /// Counts for how long boxes follow another than the one that serves.
    fn count_astray(&mut self) {
        let served = |n: &&Node| matches!(n.duty, Duty::Serves(..));
        let epoch = self.nodes.iter().find(served).map(|n| n.epoch);
        for (node, astray) in self.nodes.iter().zip(&mut self.astray) {
            let wrong = epoch.is_some_and(|e| e != node.seen.epoch);
            *astray = if wrong { *astray + 1 } else { 0 };
            self.farthest = self.farthest.max(*astray);
        }
    }

    fn turn(&mut self, number: usize) {
        let now = self.now;
        let stopping = now < self.nodes[number].back;
        match self.nodes[number].duty {
            Duty::Follows(at) if now >= at => self.look(number),
            Duty::Waits(at, version) if now >= at => self.acquire(number, version, stopping),
            Duty::Loads { pages, next } if now >= next => self.load(number, pages + 1),
            Duty::Serves(..) if stopping => self.release(number),
            Duty::Serves(since, next) if now >= next => {
                self.version += 1;
                self.nodes[number].duty = Duty::Serves(since, now + WRITES);
            }
            _ => {}
        }
    }

    /// Returns what the owner that a box follows says to a ping.
    fn pong(&self, owner: &OwnerRow) -> Pong {
        let found = self.nodes.iter().find(|n| n.epoch == owner.epoch);
        let Some(node) = found else {
            return Pong::Idle;
        };
        match node.duty {
            Duty::Serves(..) => Pong::Serves {
                epoch: node.epoch,
                confirmed: 0,
            },
            Duty::Loads { pages, .. } => Pong::Loads {
                epoch: node.epoch,
                pages,
                cores: node.cores,
            },
            _ => Pong::Idle,
        }
    }

    fn look(&mut self, number: usize) {
        let now = self.now;
        let node = &self.nodes[number];
        let (cores, seen) = (node.cores, node.seen.clone());
        let stopping = now < node.back;
        let lost = self.lost.0 == number && self.lost.1.contains(&now);
        let pong = (!lost).then(|| self.pong(&seen));
        if matches!(pong, Some(Pong::Serves { .. })) {
            self.offer(seen.epoch, offered_cores(cores, true, stopping));
        }
        let weaker = weaker_box_delay(cores, &seen) > 0;
        let next = now + if weaker { PINGS.1 } else { PINGS.0 };
        self.nodes[number].duty = Duty::Follows(next);
        let last = self.nodes[number].life;
        match assess_owner(cores, seen.epoch, last, pong, now) {
            Assessment::Follow(life) => self.nodes[number].life = life,
            Assessment::CheckRow(life) => {
                self.nodes[number].life = life;
                self.read(number, false, stopping);
            }
            Assessment::Replace(_) => self.read(number, true, stopping),
        }
    }

    /// Has an owner make way for a box with more cores.
    fn offer(&mut self, epoch: u64, cores: u32) {
        let now = self.now;
        let owner = self.nodes.iter().position(|n| n.epoch == epoch);
        let Some(owner) = owner else {
            return;
        };
        let node = &self.nodes[owner];
        if let Duty::Serves(since, _) = node.duty
            && should_make_way(node.cores, cores, since, now)
        {
            self.release(owner);
        }
    }

    /// Reads the owner's row, and takes the place of one that gave up or is suspected.
    fn read(&mut self, number: usize, suspected: bool, stopping: bool) {
        let (now, version) = (self.now, self.version);
        let row = self.row.clone();
        let node = &mut self.nodes[number];
        let same = node.seen.epoch == row.epoch;
        if !same {
            node.life = OwnerProgress {
                at: now,
                pages: None,
            };
        }
        node.seen = row.clone();
        if !stopping && (row.released || suspected && same) {
            let stagger = number as Millis * 13 % 120;
            let at = now + takeover_delay(node.cores, &row, row.released, stagger);
            node.duty = Duty::Waits(at, version);
        }
    }

    fn acquire(&mut self, number: usize, version: u64, stopping: bool) {
        let now = self.now;
        let cores = self.nodes[number].cores;
        self.nodes[number].duty = Duty::Follows(now);
        if stopping || version != self.version {
            return self.read(number, false, true);
        }
        self.version += 1;
        self.row = OwnerRow {
            cores: wanted_cores(cores, Some(&self.row)),
            ..owner_row(self.row.epoch + 1)
        };
        self.weak += usize::from(cores < self.row.cores);
        let node = &mut self.nodes[number];
        node.epoch = self.row.epoch;
        node.seen = self.row.clone();
        node.life = OwnerProgress {
            at: now,
            pages: None,
        };
        node.duty = Duty::Loads {
            pages: 0,
            next: now + page(cores),
        };
    }

    fn load(&mut self, number: usize, pages: u64) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let holds = node.epoch == self.row.epoch;
        node.duty = match pages {
            PAGES if holds => Duty::Serves(now, now),
            PAGES => Duty::Follows(now),
            _ => Duty::Loads {
                pages,
                next: now + page(node.cores),
            },
        };
        if pages == PAGES && holds {
            self.tell_predecessors(number);
        }
    }

    /// Ends the loads of boxes that were owner before, which can't know otherwise.
    fn tell_predecessors(&mut self, owner: usize) {
        let now = self.now;
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if number != owner && matches!(node.duty, Duty::Loads { .. }) {
                node.duty = Duty::Follows(now);
            }
        }
    }

    fn release(&mut self, number: usize) {
        self.version += 1;
        self.row.released = true;
        self.nodes[number].duty = Duty::Follows(self.now);
    }
}

fn boxes(strong: usize, weak: usize) -> Vec<u32> {
    [vec![STRONG; strong], vec![WEAK; weak]].concat()
}

/// Forty boxes of a large deployment, eight of them strong, were stopped in turn, one
/// each 0.4 s. A weak box became the owner, needed 4.7 s to load 1,481 jobs
/// (`event=owner-begins jobs=1481 load_ms=4698`) and was deposed 2.8 s later; ten weak ones
/// followed each other so, nobody extended leases, and lasting tasks did not run.
#[test]
fn while_boxes_are_stopped_in_turn_a_strong_one_serves() {
    let mut course = Course::new(&boxes(8, 32));
    course.run(60_000, 400);
    assert_eq!(course.weak, 0, "owners of few cores");
    let load = PAGES * page(STRONG);
    assert!(course.longest < load + 300, "{} ms", course.longest);
}

#[test]
fn weak_boxes_by_themselves_leave_each_other_the_time_to_load() {
    let mut course = Course::new(&boxes(0, 12));
    course.run(60_000, 6_000);
    let load = PAGES * page(WEAK);
    assert!(course.longest < 2 * load, "{} ms", course.longest);
}

#[test]
fn a_strong_box_that_comes_back_gets_the_cell_from_a_weak_one() {
    let mut course = Course::new(&boxes(1, 6));
    course.nodes[0].back = 9_000;
    course.run(20_000, 100_000);
    let served = |n: &Node| matches!(n.duty, Duty::Serves(..));
    assert!(served(&course.nodes[0]), "{:?}", course.row);
    assert!(course.weak <= 1);
}

#[test]
fn boxes_that_follow_one_that_loads_find_who_has_taken_its_place() {
    let mut course = Course::new(&boxes(1, 6));
    course.nodes[0].back = 1_000;
    course.run(10_000, 100_000);
    assert_eq!(course.weak, 1, "a strong box came while a weak one loaded");
    assert!(course.farthest <= PINGS.1, "{} ms", course.farthest);
}

#[test]
fn one_lost_ping_ends_no_load() {
    let mut course = Course::new(&boxes(0, 12));
    course.lost = (5, 2_000..2_400);
    course.run(10_000, 100_000);
    assert_eq!(course.row.epoch, 2);
}
