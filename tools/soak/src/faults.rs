//! Brings the faults of a plan about, and undoes them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::plan::{Fault, Kind, Plan, Target};
use crate::platform::deployment::Deployment;
use crate::platform::store::Behavior;

/// Time that a slow store adds to each answer.
const SLOW: Duration = Duration::from_millis(250);
/// For how long a worker lets orders lie: longer than their owner waits.
const LATE: Duration = Duration::from_millis(1_200);
/// For how long one that is silent does: longer than its lease.
const SILENT: Duration = Duration::from_secs(6);
/// Room of a worker and half of it, in thousandths of cores.
const ROOM: (u64, u64) = (4_000, 2_000);

/// A fault that goes on.
#[derive(Clone, Copy)]
struct Active {
    fault: Fault,
    /// Number of the box or worker that it hits.
    number: usize,
}

/// Faults that go on and are to come.
pub struct Faults {
    due: Vec<Fault>,
    active: Vec<Active>,
    /// Boxes that are down or paused.
    ill: BTreeSet<usize>,
    version: u64,
    /// How many of each kind were brought about.
    pub counts: BTreeMap<Kind, u32>,
}

impl Faults {
    /// Returns those of a plan.
    pub fn new(plan: &Plan) -> Self {
        let mut due = plan.faults.clone();
        due.reverse();
        Self {
            due,
            active: Vec::new(),
            ill: BTreeSet::new(),
            version: 1,
            counts: BTreeMap::new(),
        }
    }

    /// Returns true once none goes on or is to come.
    pub fn over(&self) -> bool {
        self.due.is_empty() && self.active.is_empty()
    }

    /// Begins and ends what is due at `now`, in milliseconds from the beginning.
    pub fn step(&mut self, deployment: &mut Deployment, now: u64) {
        let over = |active: &Active| now >= active.fault.at + active.fault.span;
        let all = std::mem::take(&mut self.active);
        let (ended, active): (Vec<Active>, Vec<Active>) = all.into_iter().partition(over);
        self.active = active;
        for active in ended {
            self.undo(deployment, active);
        }
        while let Some(fault) = self.due.pop_if(|fault| fault.at <= now) {
            self.begin(deployment, fault);
        }
        self.apply(deployment);
    }

    /// Has all that goes on end now, and nothing more come.
    pub fn stop(&mut self, deployment: &mut Deployment) {
        self.due.clear();
        for active in std::mem::take(&mut self.active) {
            self.undo(deployment, active);
        }
        self.apply(deployment);
    }

    fn begin(&mut self, deployment: &mut Deployment, fault: Fault) {
        let number = self.number(deployment, &fault);
        if !self.may_hit(fault.kind, number) {
            return;
        }
        println!(
            "FAULT {} {:?} {number} for {} ms",
            fault.at, fault.kind, fault.span
        );
        *self.counts.entry(fault.kind).or_insert(0) += 1;
        self.act(deployment, fault.kind, number);
        self.active.push(Active { fault, number });
    }

    /// Returns false for a box that is down or paused already: it is left to that.
    fn may_hit(&self, kind: Kind, number: usize) -> bool {
        match kind {
            Kind::KillAll => self.ill.is_empty(),
            _ => !kind.hits_boxes() || !self.ill.contains(&number),
        }
    }

    /// Returns the box or worker that a fault hits.
    fn number(&self, deployment: &Deployment, fault: &Fault) -> usize {
        let worker = fault.kind.hits_worker();
        let boxes = deployment.addresses().len();
        match fault.target {
            Target::Number(number) if worker => number % deployment.workers.len(),
            Target::Owner if worker => 0,
            Target::Number(number) => number % boxes,
            Target::Owner => deployment.owner(),
        }
    }

    fn act(&mut self, deployment: &mut Deployment, kind: Kind, number: usize) {
        match kind {
            Kind::StopBox => {
                deployment.signal(number, libc::SIGTERM);
                self.ill.insert(number);
            }
            Kind::KillBox => {
                deployment.kill(number);
                self.ill.insert(number);
            }
            Kind::FreezeBox => {
                deployment.signal(number, libc::SIGSTOP);
                self.ill.insert(number);
            }
            Kind::KillAll => {
                deployment.kill_all();
                let boxes = deployment.addresses().len();
                self.ill = (0..boxes).collect();
            }
            Kind::StoreForgets => deployment.store.forget_history(),
            Kind::SilentConnections => deployment.silence_connections(),
            Kind::RestartWorker => {
                let worker = &deployment.workers[number];
                worker.restart();
                worker.register_again();
            }
            Kind::LateWorker => deployment.workers[number].delay_orders(LATE),
            Kind::SilentWorker => deployment.workers[number].delay_orders(SILENT),
            Kind::SmallWorker => deployment.workers[number].resize(ROOM.1),
            Kind::Configuration => {
                self.version += 1;
                deployment.configure(self.version, &[crate::platform::PATH]);
            }
            Kind::CutBox
            | Kind::StoreSilent
            | Kind::StoreBusy
            | Kind::StoreMute
            | Kind::StoreSlow => {}
        }
    }

    fn undo(&mut self, deployment: &mut Deployment, active: Active) {
        let number = active.number;
        match active.fault.kind {
            Kind::StopBox | Kind::KillBox => self.revive(deployment, number),
            Kind::FreezeBox => {
                deployment.signal(number, libc::SIGCONT);
                self.ill.remove(&number);
            }
            Kind::KillAll => {
                let boxes = deployment.addresses().len();
                (0..boxes).for_each(|n| self.revive(deployment, n));
            }
            Kind::LateWorker | Kind::SilentWorker => {
                deployment.workers[number].delay_orders(Duration::ZERO);
            }
            Kind::SmallWorker => deployment.workers[number].resize(ROOM.0),
            _ => {}
        }
    }

    /// Starts a box again; one that has not ended its planned stop is killed first.
    fn revive(&mut self, deployment: &mut Deployment, number: usize) {
        deployment.kill(number);
        deployment.restart(number);
        self.ill.remove(&number);
    }

    /// Has the store do what all faults that go on want of it; of several behaviors the last.
    fn apply(&self, deployment: &Deployment) {
        let kinds = self.active.iter().map(|a| a.fault.kind);
        let behavior = kinds.clone().filter_map(store_behavior).next_back();
        deployment
            .store
            .set_behavior(behavior.unwrap_or(Behavior::Serving));
        let slow = kinds.clone().any(|kind| kind == Kind::StoreSlow);
        deployment
            .store
            .set_delay(if slow { SLOW } else { Duration::ZERO });
        let cut = self.active.iter().filter(|a| a.fault.kind == Kind::CutBox);
        let cut: Vec<usize> = cut.map(|a| a.number).collect();
        deployment.disconnect_store(&cut);
    }
}

fn store_behavior(kind: Kind) -> Option<Behavior> {
    match kind {
        Kind::StoreSilent => Some(Behavior::Silent),
        Kind::StoreBusy => Some(Behavior::Rejecting),
        Kind::StoreMute => Some(Behavior::DroppingReplies),
        _ => None,
    }
}
