//! How tasks on one fake worker share it: fillers raise the tails of serving tasks, change
//! their speed some time after an order, and are measured over half a second.

use std::collections::{BTreeMap, VecDeque};

use super::{FakeWorker, World};
use crate::sched::job::parse_task_name;
use crate::sched::journal::SPEC_TABLE;
use crate::sched::message::{Event, OrderAck, Refusal, Reply, Throttle};
use crate::sched::spec::{JobSpec, StepSpec};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds from an order until the speed changes.
const THROTTLE_LAG: Millis = 100;
/// Milliseconds over which gauges are measured.
const SPAN: Millis = 500;
/// Milliseconds between two measurements.
const STEP: Millis = 10;
/// Tail of an idle server as a part of the target.
const IDLE: f64 = 0.2;
/// Workers that are asked as often as may be.
const FEW: u64 = 200;
/// Longest that an exchange waits, in milliseconds.
const WAIT: Millis = 1_000;
/// Highest busy share that a tail tells of.
const BUSIEST: f64 = 0.98;

/// How tasks press on each other; nothing does unless it is set.
#[derive(Clone, Copy, Default)]
pub struct Sharing {
    /// Busy share of its server that each serving task has by itself.
    pub own: f64,
    /// Part of a server that a filler takes for each processor share of its worker.
    pub factor: f64,
    /// Part of `factor` by which that swings around it.
    pub swing: f64,
    /// Milliseconds of a swing.
    pub period: Millis,
    /// Workers as many as that are told to the owner by how seldom each reports; 0 for those
    /// that there are. Exchanges wait as long as they may then.
    pub workers: u64,
}

impl Sharing {
    /// Returns how long an exchange with one of so many workers waits, where it may wait so
    /// long with one of few; one over its target is asked as often in any case.
    pub(super) fn wait(self, few: Millis, over: bool) -> Millis {
        match over {
            true => few,
            false => (few * self.workers.max(FEW) / FEW).min(WAIT),
        }
    }

    /// Returns the factor at a time.
    fn factor_at(self, now: Millis) -> f64 {
        let turn = now as f64 / self.period.max(1) as f64;
        self.factor * (1.0 + self.swing * (turn * std::f64::consts::TAU).sin())
    }
}

/// A run, as far as others beside it matter.
#[derive(Clone, Debug)]
pub struct Shared {
    step: StepSpec,
    /// Speed in percent.
    pub speed: u32,
    /// Changes of the speed to come.
    changes: VecDeque<(Millis, u32)>,
    /// Measurements of the last half second: tail, or processors in use.
    measured: VecDeque<(Millis, f64)>,
    /// Since when it has been over its target by what fills beside it.
    over: Option<Millis>,
}

impl Shared {
    fn new(step: StepSpec) -> Self {
        Self {
            step,
            speed: 100,
            changes: VecDeque::new(),
            measured: VecDeque::new(),
            over: None,
        }
    }

    fn advance(&mut self, now: Millis) {
        while let Some((_, speed)) = self.changes.pop_front_if(|(at, _)| *at <= now) {
            self.speed = speed;
        }
        while self.measured.front().is_some_and(|(at, _)| at + SPAN < now) {
            self.measured.pop_front();
        }
    }

    /// Returns what a report tells of it.
    pub fn gauge(&self) -> u64 {
        let sum: f64 = self.measured.iter().map(|(_, value)| value).sum();
        (sum / self.measured.len().max(1) as f64).round() as u64
    }
}

/// The runs of a worker by task.
pub type Runs = BTreeMap<String, Shared>;

impl FakeWorker {
    /// Returns true when a report would show a serving task over its target.
    pub(super) fn shows_over(&self) -> bool {
        let serving = self.shared.values().filter(|s| s.step.latency_target > 0);
        let mut over = serving.filter(|s| s.gauge() > s.step.latency_target);
        over.next().is_some()
    }

    /// Measures what runs there, and returns the longest time that a serving task has been
    /// over its target by what fills beside it.
    fn measure(&mut self, sharing: Sharing, now: Millis) -> Millis {
        let capacity = self.listing.capacity.cpu.max(1) as f64;
        let running = &self.running;
        self.shared.retain(|task, _| running.contains_key(task));
        self.shared.values_mut().for_each(|s| s.advance(now));
        let used = |s: &Shared| s.step.resources.cpu as f64 * f64::from(s.speed) / 100.0;
        let fillers = self.shared.values().filter(|s| s.step.best_effort);
        let share: f64 = fillers.map(|s| used(s) / capacity).sum();
        let pressed = sharing.factor_at(now) * share;
        let tail = |busy: f64, target: f64| IDLE * target / (1.0 - busy.min(BUSIEST));
        let mut longest = 0;
        for shared in self.shared.values_mut() {
            let target = shared.step.latency_target as f64;
            let value = match shared.step.best_effort {
                true => used(shared),
                false => tail(sharing.own + pressed, target),
            };
            shared.measured.push_back((now, value));
            let harmed = shared.step.latency_target > 0
                && pressed > 0.0
                && value > target
                && tail(sharing.own, target) <= target;
            shared.over = harmed.then(|| shared.over.unwrap_or(now));
            longest = longest.max(shared.over.map_or(0, |since| now - since));
        }
        longest
    }
}

impl World {
    /// Takes in that a worker has begun a task.
    pub(super) fn share(&mut self, id: &Name, task: &str) {
        let Some(step) = self.step_of(task) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.shared.insert(task.into(), Shared::new(step));
        }
    }

    /// Returns the speeds at which tasks of a job run.
    pub fn speeds_of(&self, id: &str) -> Vec<u32> {
        let all = self.workers.values().flat_map(|w| &w.shared);
        let own = all.filter(|(task, _)| task.starts_with(id));
        own.map(|(_, shared)| shared.speed).collect()
    }

    fn step_of(&self, task: &str) -> Option<StepSpec> {
        let (id, _, step, _) = parse_task_name(task)?;
        let row = self.rows.get(&(SPEC_TABLE, id.into()))?;
        let spec: JobSpec = serde_json::from_slice(row).expect("spec");
        spec.steps.get(step as usize).cloned()
    }

    /// Measures all workers.
    pub(super) fn measure(&mut self) {
        let (sharing, now) = (self.sharing, self.now);
        if sharing.factor == 0.0 || !now.is_multiple_of(STEP) {
            return;
        }
        for worker in self.workers.values_mut() {
            let over = worker.measure(sharing, now);
            self.longest_over = self.longest_over.max(over);
        }
    }

    /// A change of speed reaches its worker.
    pub(super) fn throttle(&mut self, throttle: &Throttle) -> Reply<OrderAck> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&throttle.incarnation.id) else {
            return Reply::Lost;
        };
        if throttle.epoch < worker.epoch {
            return Reply::Refused(Refusal::Fenced);
        }
        worker.epoch = throttle.epoch;
        let word = worker.word(now);
        let run = worker.running.get(&throttle.task).map(|r| r.run);
        let shared = worker.shared.get_mut(&throttle.task);
        let Some(shared) = shared.filter(|_| run == Some(throttle.run)) else {
            return Reply::Ok(word);
        };
        shared
            .changes
            .push_back((now + THROTTLE_LAG, throttle.percent));
        Reply::Ok(word)
    }

    /// Returns what the owner is told of a change of speed.
    pub(super) fn throttled(throttle: Throttle, reply: Reply<OrderAck>) -> Event {
        Event::Throttled(
            throttle.key,
            throttle.run,
            throttle.percent,
            throttle.incarnation,
            reply,
        )
    }
}
