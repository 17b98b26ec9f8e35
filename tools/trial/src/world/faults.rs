//! Injects faults and applies them to messages.

use willowpoint::cell::ListedWorker;
use willowpoint::engine::Event;
use willowpoint::standin::worker::state::Worker;

use super::{Party, World, listed_worker};
use crate::schedule::{BOXES, Fault, Kind, STEP, WORKERS};

/// Largest extra delay on slow links in ms; below the margin of the leases.
const MAX_SLOW_DELAY: u64 = 250;

/// Loss of all messages in one direction until a time.
pub struct Cut {
    from: Party,
    to: Party,
    until: u64,
}

/// End times of the disturbances of the platform and the links.
#[derive(Default)]
pub struct Disturbances {
    /// The platform does not answer.
    pub store_down: u64,
    /// The platform answers late.
    pub store_slow: u64,
    /// Answers to commits are lost.
    pub lost_answers: u64,
    /// Messages to and from the platform, commits among them, may be delayed by seconds.
    pub late_writes: u64,
    /// The platform returns `old_list` as the list of workers.
    pub stale_list: u64,
    /// List of workers at the time when it became stale.
    pub old_list: Vec<ListedWorker>,
    /// All messages are delayed.
    pub slow_links: u64,
}

impl World {
    /// Begins the faults of a step.
    pub fn begin_faults(&mut self, step: u64) {
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

    /// Begins a fault; returns false when the fault is not possible now.
    fn begin_fault(&mut self, fault: Fault) -> bool {
        let until = self.now + fault.span * STEP;
        let (a, other, worker) = (fault.a, fault.b % BOXES, fault.b % WORKERS);
        match fault.kind {
            Kind::Freeze => self.nodes[a].frozen_until = self.nodes[a].frozen_until.max(until),
            Kind::Kill => self.restart_node(a),
            Kind::Stop => self.deliver_event(a, self.nodes[a].boot, Event::Stop),
            Kind::CutOneWay => self.cut(Party::Box(a), Party::Box(other), until),
            Kind::CutBoth => {
                self.cut(Party::Box(a), Party::Box(other), until);
                self.cut(Party::Box(other), Party::Box(a), until);
            }
            Kind::CutStore => {
                self.cut(Party::Box(a), Party::Store, until);
                self.cut(Party::Store, Party::Box(a), until);
            }
            Kind::CutWorker => {
                self.cut(Party::Box(a), Party::Worker(worker), until);
                self.cut(Party::Worker(worker), Party::Box(a), until);
            }
            Kind::CutAnswers => self.cut(Party::Worker(worker), Party::Box(a), until),
            Kind::StoreDown => self.disturbances.store_down = until,
            Kind::StoreSlow => self.disturbances.store_slow = until,
            Kind::LoseAnswers => self.disturbances.lost_answers = until,
            Kind::LateWrites => self.disturbances.late_writes = until,
            Kind::Lag => {
                self.disturbances.old_list = self.listed_workers();
                self.disturbances.stale_list = until;
            }
            Kind::SlowLinks => self.disturbances.slow_links = until,
            Kind::FreezeWorker => {
                let host = &mut self.hosts[worker];
                host.frozen_until = host.frozen_until.max(until);
            }
            Kind::Leave => return self.set_leaving(worker, fault.span),
            Kind::RestartWorker => self.restart_worker(worker),
            Kind::FailTasks => {
                self.hosts[worker].worker.faults.fail_runs = !fault.span.is_multiple_of(4)
            }
            Kind::CancelWave => return self.cancel_all_jobs(),
            Kind::Submit => return self.submit_job(fault, false),
            Kind::SubmitUrgent => return self.submit_job(fault, true),
            Kind::SubmitNever => return self.submit_oversized_job(),
            Kind::Race => self.begin_race(fault),
        }
        true
    }

    fn set_leaving(&mut self, worker: usize, span: u64) -> bool {
        let host = &mut self.hosts[worker];
        // About every third time the worker comes back.
        let returns = span.is_multiple_of(3);
        host.left_at = (!returns).then_some(self.now);
        host.worker.leaving = !returns;
        true
    }

    fn restart_worker(&mut self, worker: usize) {
        let host = &mut self.hosts[worker];
        let mut next = Worker::new(host.worker.shape);
        next.faults = host.worker.faults.clone();
        next.leaving = host.worker.leaving;
        host.worker = next;
    }

    fn cut(&mut self, from: Party, to: Party, until: u64) {
        self.cuts.push(Cut { from, to, until });
    }

    /// Returns true when messages from one party to another are lost now.
    pub fn is_cut(&self, from: Party, to: Party) -> bool {
        let now = self.now;
        let matches = |c: &Cut| c.until > now && c.from == from && c.to == to;
        self.cuts.iter().any(matches)
    }

    /// Returns a random delay in ms for a message to or from a party.
    pub fn delay(&mut self, party: Party) -> u64 {
        let mut delay = 1 + self.random.below(8);
        if self.disturbances.slow_links > self.now {
            delay += self.random.below(MAX_SLOW_DELAY);
        }
        match party {
            Party::Store => {
                if self.disturbances.store_slow > self.now {
                    delay += self.random.below(600);
                }
                if self.disturbances.late_writes > self.now && self.random.chance(0.3) {
                    self.truth.counts.event("late messages of the platform");
                    delay += 500 + self.random.below(3_000);
                }
            }
            // A call delayed beyond the margin is safe only at workers that reject outdated calls.
            Party::Worker(_) if self.schedule.fence && self.random.chance(0.01) => {
                self.truth.counts.event("late messages of workers");
                delay += self.random.below(4_000);
            }
            _ => {}
        }
        delay
    }

    /// Returns the list of workers as the platform returns it now.
    pub fn listed_workers(&self) -> Vec<ListedWorker> {
        if self.disturbances.stale_list > self.now {
            return self.disturbances.old_list.clone();
        }
        let leaving = |i: usize| self.hosts[i].left_at.is_some();
        (0..WORKERS).map(|i| listed_worker(i, leaving(i))).collect()
    }

    /// Ends all faults except freezes, which end by themselves.
    pub fn end_faults(&mut self) {
        self.cuts.clear();
        self.disturbances = Disturbances::default();
        for host in &mut self.hosts {
            host.left_at = None;
            host.worker.leaving = false;
            host.worker.faults.fail_runs = false;
        }
    }
}
