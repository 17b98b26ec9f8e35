//! Injects the faults of a plan and undoes them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::crowds;
use crate::pauses::{self, Pauses};
use crate::plan::{Fault, Kind, Plan, Target};
use crate::platform::calls::CallFaults;
use crate::platform::deployment::Deployment;
use crate::platform::store::Behavior;

/// Delay of each answer of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(250);
/// Time by which a late worker delays orders: longer than their owner waits.
const LATE_ORDERS: Duration = Duration::from_millis(1_200);
/// Time by which a silent worker delays orders: longer than its lease.
const SILENT_ORDERS: Duration = Duration::from_secs(6);
/// Factor by which a slow worker's runs take longer.
const SLOWNESS: u64 = 4;
/// Capacity of a worker and half of it, in thousandths of cores.
const CAPACITY: (u64, u64) = (4_000, 2_000);

/// Longest delays of orders and answers: an owner waits 700 ms and, for a poll, up to 1 s more.
const CALL_DELAY: Duration = Duration::from_millis(330);
/// Longest delay of answers alone.
const ANSWER_DELAY: Duration = Duration::from_millis(650);
/// Shares of the answers that are lost.
const LOST_ANSWERS: (f64, f64) = (0.2, 0.5);
/// Pause between two times at which the store forgets its history, in ms.
const FORGET_INTERVAL: u64 = 150;

/// A fault in effect.
#[derive(Clone)]
struct Active {
    fault: Fault,
    /// Index of the affected box or worker.
    index: usize,
    /// Pauses of the affected boxes.
    pauses: Option<Pauses>,
    /// Keeps a crowd coming.
    _crowd: Option<Arc<()>>,
    /// Time at which the store forgets its history next, or at which a worker ends; `u64::MAX`
    /// once it has ended.
    next: u64,
}

impl Active {
    fn new(fault: Fault, index: usize) -> Self {
        let rhythm = match fault.kind {
            Kind::FlickerBox => Some(pauses::FLICKER),
            Kind::StarveBoxes => Some(pauses::STARVATION),
            _ => None,
        };
        // A worker that leaves works on for two thirds of the time and is away for the rest.
        let next = match fault.kind.replaces_worker() {
            true => fault.at + fault.span * 2 / 3,
            false => fault.at,
        };
        Self {
            fault,
            index,
            _crowd: None,
            pauses: rhythm.map(|rhythm| Pauses::new(rhythm, fault.at, fault.at)),
            next,
        }
    }
}

/// The faults in effect and the faults to come.
pub struct Faults {
    due: Vec<Fault>,
    active: Vec<Active>,
    /// Indices of the boxes that are down or paused.
    unavailable: BTreeSet<usize>,
    /// Indices of the workers that are leaving or away.
    leaving: BTreeSet<usize>,
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
            leaving: BTreeSet::new(),
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
        self.advance(deployment, now);
        self.update_store(deployment);
    }

    /// Takes the next steps of the faults in effect that consist of several.
    fn advance(&mut self, deployment: &Deployment, now: u64) {
        for active in &mut self.active {
            let index = active.index;
            if let Some(paused) = active.pauses.as_mut().and_then(|p| p.step(now)) {
                let signal = match paused {
                    true => libc::SIGSTOP,
                    false => libc::SIGCONT,
                };
                let boxes = affected_boxes(active.fault.kind, index, deployment);
                boxes.for_each(|n| deployment.signal(n, signal));
            }
            if now < active.next {
                continue;
            }
            if active.fault.kind == Kind::ForgottenWorker {
                deployment.store.forget_history();
                active.next = now + FORGET_INTERVAL;
            }
            if active.fault.kind.replaces_worker() {
                deployment.workers[index].leave();
                deployment.links[index].set_closed(true);
                active.next = u64::MAX;
            }
        }
    }

    /// Ends all faults in effect and drops those to come.
    pub fn end_all(&mut self, deployment: &mut Deployment) {
        self.due.clear();
        while let Some(active) = self.active.pop() {
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
        self.inject(deployment, &fault, index);
        let mut active = Active::new(fault, index);
        if fault.kind == Kind::Crowd {
            let address = deployment.addresses()[index];
            active._crowd = Some(crowds::start(address, fault.at));
        }
        self.active.push(active);
        self.update_calls(deployment);
    }

    /// Returns false when a fault that stops or pauses boxes would hit one that is down or
    /// paused already, or a fault of a worker one that is leaving.
    fn can_begin(&self, kind: Kind, index: usize) -> bool {
        match kind {
            _ if kind.hits_all_boxes() => self.unavailable.is_empty(),
            _ if kind.hits_worker() => !self.leaving.contains(&index),
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

    fn inject(&mut self, deployment: &mut Deployment, fault: &Fault, index: usize) {
        match fault.kind {
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
                deployment.configure_queues(self.version);
            }
            Kind::SlowWorker => deployment.workers[index].set_slowness(SLOWNESS),
            Kind::CutCalls => deployment.links[index].cut(),
            Kind::SilentCalls => deployment.links[index].silence(),
            Kind::UnlistedWorker | Kind::ForgottenWorker => deployment.workers[index].unlist(),
            Kind::LeavingWorker => {
                let remaining = Duration::from_millis(fault.span / 2);
                deployment.workers[index].announce_leaving(remaining);
                self.leaving.insert(index);
            }
            Kind::VanishingWorker => {
                deployment.workers[index].unlist();
                self.leaving.insert(index);
            }
            Kind::FreezeOthers => {
                let others = affected_boxes(fault.kind, index, deployment);
                others.for_each(|n| deployment.signal(n, libc::SIGSTOP));
                self.unavailable = affected_boxes(fault.kind, index, deployment).collect();
            }
            Kind::FlickerBox | Kind::StarveBoxes => {
                let boxes = affected_boxes(fault.kind, index, deployment);
                self.unavailable.extend(boxes);
            }
            Kind::LateAnswers
            | Kind::LateCalls
            | Kind::LostAnswers
            | Kind::AllAnswersLate
            | Kind::CutBox
            | Kind::StoreSilent
            | Kind::StoreBusy
            | Kind::StoreMute
            | Kind::StoreSlow
            | Kind::Crowd => {}
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
            Kind::SlowWorker => {
                let others = self.active.iter().map(|a| (a.fault.kind, a.index));
                if !others.into_iter().any(|o| o == (Kind::SlowWorker, index)) {
                    deployment.workers[index].set_slowness(1);
                }
            }
            Kind::UnlistedWorker | Kind::ForgottenWorker => {
                deployment.workers[index].register_again();
            }
            Kind::LeavingWorker | Kind::VanishingWorker => {
                if active.next != u64::MAX {
                    deployment.workers[index].leave();
                }
                deployment.links[index].set_closed(false);
                deployment.workers[index].rejoin();
                self.leaving.remove(&index);
            }
            Kind::FlickerBox | Kind::FreezeOthers | Kind::StarveBoxes => {
                for number in affected_boxes(active.fault.kind, index, deployment) {
                    deployment.signal(number, libc::SIGCONT);
                    self.unavailable.remove(&number);
                }
            }
            _ => {}
        }
        self.update_calls(deployment);
    }

    /// Restarts a box; a box whose planned stop has not finished is killed first.
    fn restart_box(&mut self, deployment: &mut Deployment, index: usize) {
        deployment.kill(index);
        deployment.restart(index);
        self.unavailable.remove(&index);
    }

    /// Sets the faults of the calls to each worker according to the faults in effect.
    fn update_calls(&self, deployment: &Deployment) {
        for (index, worker) in deployment.workers.iter().enumerate() {
            let faults = self.active.iter().filter(|active| {
                active.fault.kind == Kind::AllAnswersLate || active.index == index
            });
            let kinds = faults.map(|active| active.fault.kind);
            worker.set_call_faults(
                kinds
                    .filter_map(call_faults)
                    .fold(CallFaults::default(), CallFaults::combine),
            );
        }
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

/// Returns the indices of the boxes that a fault of boxes affects.
fn affected_boxes(
    kind: Kind,
    index: usize,
    deployment: &Deployment,
) -> impl Iterator<Item = usize> {
    let boxes = deployment.addresses().len();
    (0..boxes).filter(move |number| match kind {
        Kind::FreezeOthers => *number != index,
        Kind::StarveBoxes => true,
        _ => *number == index,
    })
}

/// Returns the faults of the calls to a worker under a fault, if it has any.
fn call_faults(kind: Kind) -> Option<CallFaults> {
    let none = CallFaults::default();
    Some(match kind {
        Kind::LateAnswers => CallFaults {
            answer_delay: ANSWER_DELAY,
            ..none
        },
        Kind::AllAnswersLate => CallFaults {
            answer_delay: CALL_DELAY,
            ..none
        },
        Kind::LateCalls => CallFaults {
            order_delay: CALL_DELAY,
            answer_delay: CALL_DELAY,
            ..none
        },
        Kind::ForgottenWorker => CallFaults {
            lost_answers: LOST_ANSWERS.0,
            ..none
        },
        Kind::LostAnswers => CallFaults {
            lost_answers: LOST_ANSWERS.1,
            ..none
        },
        _ => return None,
    })
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
