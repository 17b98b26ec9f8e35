//! Injects the faults of a plan and undoes them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::plan::{Fault, Kind, Plan, Target};
use crate::platform::deployment::Deployment;
use crate::platform::store::Behavior;

/// Delay of each answer of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(250);
/// Time by which a late worker delays orders: longer than their owner waits.
const LATE_ORDERS: Duration = Duration::from_millis(1_200);
/// Time by which a silent worker delays orders: longer than its lease.
const SILENT_ORDERS: Duration = Duration::from_secs(6);
/// Capacity of a worker and half of it, in thousandths of cores.
const CAPACITY: (u64, u64) = (4_000, 2_000);

/// A fault in effect.
#[derive(Clone, Copy)]
struct Active {
    fault: Fault,
    /// Index of the affected box or worker.
    index: usize,
}

/// The faults in effect and the faults to come.
pub struct Faults {
    due: Vec<Fault>,
    active: Vec<Active>,
    /// Indices of the boxes that are down or paused.
    unavailable: BTreeSet<usize>,
    version: u64,
    /// Number of faults injected, by kind.
    pub counts: BTreeMap<Kind, u32>,
}

impl Faults {
    /// Returns the faults of a plan, none of them begun.
    pub fn new(plan: &Plan) -> Self {
        let mut due = plan.faults.clone();
        due.reverse();
        Self {
            due,
            active: Vec::new(),
            unavailable: BTreeSet::new(),
            version: 1,
            counts: BTreeMap::new(),
        }
    }

    /// Returns true when no fault is in effect or to come.
    pub fn finished(&self) -> bool {
        self.due.is_empty() && self.active.is_empty()
    }

    /// Begins and ends the faults due at `now`, in milliseconds from the start of the run.
    pub fn step(&mut self, deployment: &mut Deployment, now: u64) {
        let is_over = |active: &Active| now >= active.fault.at + active.fault.span;
        let all = std::mem::take(&mut self.active);
        let (ended, active): (Vec<Active>, Vec<Active>) = all.into_iter().partition(is_over);
        self.active = active;
        for active in ended {
            self.undo(deployment, active);
        }
        while let Some(fault) = self.due.pop_if(|fault| fault.at <= now) {
            self.begin(deployment, fault);
        }
        self.update_store(deployment);
    }

    /// Ends all faults in effect and drops those to come.
    pub fn end_all(&mut self, deployment: &mut Deployment) {
        self.due.clear();
        for active in std::mem::take(&mut self.active) {
            self.undo(deployment, active);
        }
        self.update_store(deployment);
    }

    fn begin(&mut self, deployment: &mut Deployment, fault: Fault) {
        let index = self.target_index(deployment, &fault);
        if !self.can_begin(fault.kind, index) {
            return;
        }
        println!(
            "FAULT {} {:?} {index} for {} ms",
            fault.at, fault.kind, fault.span
        );
        *self.counts.entry(fault.kind).or_insert(0) += 1;
        self.inject(deployment, fault.kind, index);
        self.active.push(Active { fault, index });
    }

    /// Returns false when a fault that stops or pauses boxes would hit one that is down or
    /// paused already.
    fn can_begin(&self, kind: Kind, index: usize) -> bool {
        match kind {
            Kind::KillAll => self.unavailable.is_empty(),
            _ => !kind.hits_boxes() || !self.unavailable.contains(&index),
        }
    }

    /// Returns the index of the box or worker that a fault affects.
    fn target_index(&self, deployment: &Deployment, fault: &Fault) -> usize {
        let worker = fault.kind.hits_worker();
        let boxes = deployment.addresses().len();
        match fault.target {
            Target::Number(number) if worker => number % deployment.workers.len(),
            Target::Owner if worker => 0,
            Target::Number(number) => number % boxes,
            Target::Owner => deployment.owner(),
        }
    }

    fn inject(&mut self, deployment: &mut Deployment, kind: Kind, index: usize) {
        match kind {
            Kind::StopBox => {
                deployment.signal(index, libc::SIGTERM);
                self.unavailable.insert(index);
            }
            Kind::KillBox => {
                deployment.kill(index);
                self.unavailable.insert(index);
            }
            Kind::FreezeBox => {
                deployment.signal(index, libc::SIGSTOP);
                self.unavailable.insert(index);
            }
            Kind::KillAll => {
                deployment.kill_all();
                let boxes = deployment.addresses().len();
                self.unavailable = (0..boxes).collect();
            }
            Kind::StoreForgets => deployment.store.forget_history(),
            Kind::SilentConnections => deployment.silence_connections(),
            Kind::RestartWorker => {
                let worker = &deployment.workers[index];
                worker.restart();
                worker.register_again();
            }
            Kind::LateWorker => deployment.workers[index].delay_orders(LATE_ORDERS),
            Kind::SilentWorker => deployment.workers[index].delay_orders(SILENT_ORDERS),
            Kind::SmallWorker => deployment.workers[index].resize(CAPACITY.1),
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
        let index = active.index;
        match active.fault.kind {
            Kind::StopBox | Kind::KillBox => self.restart_box(deployment, index),
            Kind::FreezeBox => {
                deployment.signal(index, libc::SIGCONT);
                self.unavailable.remove(&index);
            }
            Kind::KillAll => {
                let boxes = deployment.addresses().len();
                (0..boxes).for_each(|n| self.restart_box(deployment, n));
            }
            Kind::LateWorker | Kind::SilentWorker => {
                deployment.workers[index].delay_orders(Duration::ZERO);
            }
            Kind::SmallWorker => deployment.workers[index].resize(CAPACITY.0),
            _ => {}
        }
    }

    /// Restarts a box; a box whose planned stop has not finished is killed first.
    fn restart_box(&mut self, deployment: &mut Deployment, index: usize) {
        deployment.kill(index);
        deployment.restart(index);
        self.unavailable.remove(&index);
    }

    /// Sets the store's behavior, delay and connections according to the faults in effect; of
    /// several behaviors the last applies.
    fn update_store(&self, deployment: &Deployment) {
        let kinds = self.active.iter().map(|a| a.fault.kind);
        let behavior = kinds.clone().filter_map(store_behavior).next_back();
        deployment
            .store
            .set_behavior(behavior.unwrap_or(Behavior::Serving));
        let slow = kinds.clone().any(|kind| kind == Kind::StoreSlow);
        deployment
            .store
            .set_delay(if slow { STORE_DELAY } else { Duration::ZERO });
        let cut = self.active.iter().filter(|a| a.fault.kind == Kind::CutBox);
        let cut: Vec<usize> = cut.map(|a| a.index).collect();
        deployment.disconnect_store(&cut);
    }
}

/// Returns the behavior of the store under a fault, if the fault changes it.
fn store_behavior(kind: Kind) -> Option<Behavior> {
    match kind {
        Kind::StoreSilent => Some(Behavior::Silent),
        Kind::StoreBusy => Some(Behavior::Rejecting),
        Kind::StoreMute => Some(Behavior::DroppingReplies),
        _ => None,
    }
}
