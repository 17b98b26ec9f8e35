//! Faults and what they do to messages.

use willowpoint::cell::ListedWorker;
use willowpoint::engine::Event;
use willowpoint::standin::worker::state::Worker;

use super::{End, World, place};
use crate::schedule::{BOXES, Fault, Kind, STEP, WORKERS};

/// Longest delay of a message on slow links, within the leases' margin.
const SLOW: u64 = 250;

/// Messages from one end to another are lost until a time.
pub struct Cut {
    from: End,
    to: End,
    until: u64,
}

/// Until when the platform and the links are disturbed.
#[derive(Default)]
pub struct Trouble {
    /// The platform answers nothing.
    pub store_down: u64,
    /// The platform answers late.
    pub store_slow: u64,
    /// Answers to commits are lost.
    pub lose: u64,
    /// Commits come late.
    pub late: u64,
    /// The list of workers is old.
    pub lag: u64,
    /// The list as it was when it began to lag.
    pub old: Vec<ListedWorker>,
    /// Links are slow.
    pub links: u64,
}

impl World {
    /// Begins the faults of a step.
    pub fn inject(&mut self, step: u64) {
        let due: Vec<Fault> = self
            .schedule
            .faults
            .iter()
            .filter(|f| f.step == step)
            .copied()
            .collect();
        for fault in due {
            if self.begin_fault(fault) {
                self.truth.counts.fault(fault.kind);
            }
        }
    }

    /// Begins a fault; false when it does not apply now.
    fn begin_fault(&mut self, fault: Fault) -> bool {
        let until = self.now + fault.span * STEP;
        let (a, other, worker) = (fault.a, fault.b % BOXES, fault.b % WORKERS);
        match fault.kind {
            Kind::Freeze => self.nodes[a].frozen = self.nodes[a].frozen.max(until),
            Kind::Kill => self.replace(a),
            Kind::Stop => self.local(a, self.nodes[a].boot, Event::Stop),
            Kind::CutOneWay => self.cut(End::Box(a), End::Box(other), until),
            Kind::CutBoth => {
                self.cut(End::Box(a), End::Box(other), until);
                self.cut(End::Box(other), End::Box(a), until);
            }
            Kind::CutStore => {
                self.cut(End::Box(a), End::Store, until);
                self.cut(End::Store, End::Box(a), until);
            }
            Kind::CutWorker => {
                self.cut(End::Box(a), End::Worker(worker), until);
                self.cut(End::Worker(worker), End::Box(a), until);
            }
            Kind::CutAnswers => self.cut(End::Worker(worker), End::Box(a), until),
            Kind::StoreDown => self.trouble.store_down = until,
            Kind::StoreSlow => self.trouble.store_slow = until,
            Kind::LoseAnswers => self.trouble.lose = until,
            Kind::LateWrites => self.trouble.late = until,
            Kind::Lag => {
                self.trouble.old = self.places();
                self.trouble.lag = until;
            }
            Kind::SlowLinks => self.trouble.links = until,
            Kind::FreezeWorker => {
                let host = &mut self.hosts[worker];
                host.frozen = host.frozen.max(until);
            }
            Kind::Leave => return self.leave(worker, fault.span),
            Kind::RestartWorker => self.restart_worker(worker),
            Kind::FailTasks => {
                self.hosts[worker].worker.faults.fail_runs = !fault.span.is_multiple_of(4)
            }
            Kind::CancelWave => return self.cancel_all(),
            Kind::Submit => return self.submit(fault, false),
            Kind::SubmitUrgent => return self.submit(fault, true),
            Kind::SubmitNever => return self.submit_never(),
            Kind::Race => self.race(fault),
        }
        true
    }

    fn leave(&mut self, worker: usize, span: u64) -> bool {
        let host = &mut self.hosts[worker];
        // Every third time it comes back.
        let back = span.is_multiple_of(3);
        host.left = (!back).then_some(self.now);
        host.worker.leaving = !back;
        true
    }

    fn restart_worker(&mut self, worker: usize) {
        let host = &mut self.hosts[worker];
        let mut next = Worker::new(host.worker.shape);
        next.faults = host.worker.faults.clone();
        next.leaving = host.worker.leaving;
        host.worker = next;
    }

    fn cut(&mut self, from: End, to: End, until: u64) {
        self.cuts.push(Cut { from, to, until });
    }

    /// Returns true when messages from one end to another are lost now.
    pub fn is_cut(&self, from: End, to: End) -> bool {
        let now = self.now;
        let hits = |c: &Cut| c.until > now && c.from == from && c.to == to;
        self.cuts.iter().any(hits)
    }

    /// Returns the delay of a message to or from an end.
    pub fn delay(&mut self, end: End) -> u64 {
        let mut delay = 1 + self.random.below(8);
        if self.trouble.links > self.now {
            delay += self.random.below(SLOW);
        }
        match end {
            End::Store => {
                if self.trouble.store_slow > self.now {
                    delay += self.random.below(600);
                }
                if self.trouble.late > self.now && self.random.chance(0.3) {
                    self.truth.counts.event("late messages of the platform");
                    delay += 500 + self.random.below(3_000);
                }
            }
            // Only workers that fence stand a send that comes later than the margin.
            End::Worker(_) if self.schedule.fence && self.random.chance(0.01) => {
                self.truth.counts.event("late messages of workers");
                delay += self.random.below(4_000);
            }
            _ => {}
        }
        delay
    }

    /// Returns the list of workers as the platform tells it now.
    pub fn places(&self) -> Vec<ListedWorker> {
        if self.trouble.lag > self.now {
            return self.trouble.old.clone();
        }
        let left = |i: usize| self.hosts[i].left.is_some();
        (0..WORKERS).map(|i| place(i, left(i))).collect()
    }

    /// Ends all faults but the freezes, which end by themselves.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.trouble = Trouble::default();
        for host in &mut self.hosts {
            host.left = None;
            host.worker.leaving = false;
            host.worker.faults.fail_runs = false;
        }
    }
}
