//! How much fillers slow the serving tasks beside them, and their pace.
//!
//! The tail of a serving task behaves like that of a queue: with a share `x`
//! of its server busy, it is the tail of an idle one over `1 - x`. Measured
//! tails are turned into such shares, which add up: the task's own load and a
//! part for each filler, its processor share times what its image presses on
//! the serving image. These factors are learned for each pair of images, from
//! differences between reports: own loads swing over many seconds, while
//! fillers come and go at once.

use std::collections::HashMap;
use std::rc::Rc;

use super::job::TaskKey;
use super::message::{Action, Pace, Reply, Running};
use super::owner::Owner;
use super::spec::StepSpec;
use super::worker::{Gauge, Mix, Stage, Worker};
use crate::harm::{Harm, Known, Model};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Pace of a run that is not slowed, in percent.
pub const FULL_PACE: u32 = 100;

/// Tail of an idle server as a part of the target. Targets are set at several
/// times the idle tail.
const IDLE: f64 = 0.2;
/// Highest busy share that a tail can tell of; above it the queue only grows.
const BUSIEST: f64 = 0.98;
/// Own load of a serving task that was not measured yet.
const OWN: f64 = 0.5;
/// Factor of a pair of images before any was measured, and the noise: between
/// two reports own loads move by about a twentieth.
const MODEL: Model = Model {
    prior: 1.0,
    variance: 4.0,
    noise: 0.01,
    drift: 0.002,
    caution: 0.3,
};
/// Milliseconds over which a worker measures its gauges.
const SPAN: Millis = 500;
/// Milliseconds between two reports that are compared.
const COMPARED: std::ops::RangeInclusive<Millis> = 250..=2_500;
/// How far the own load of a serving task may rise while a filler that is
/// placed beside it runs, and where that ends: own loads swing by a half
/// around their mean, over ten seconds and more, while a task runs for two.
const RISE: f64 = 0.25;
/// Own load that is not exceeded often.
const PEAK: f64 = 0.72;
/// Busy share at which a tail is at its target of five idle tails.
const BORNE: f64 = 0.8;
/// Busy share to which fillers are slowed. In trials of all standard days
/// (mean worth of both sites) 0.70 gave 0.62, 0.76 gave 0.68, 0.80 gave 0.69.
const GOAL: f64 = 0.80;
/// Busy share above which fillers are slowed at once.
const HIGH: f64 = 0.83;
/// Milliseconds over its target after which everything beside a serving task
/// is halted, whatever was learned; a third of what is borne.
const HALT: Millis = 1_300;
/// Part below which a filler is not worth slowing.
const SLIGHT: f64 = 0.02;
/// Paces are ordered in steps of so many percent, to save orders.
const STEP: u32 = 20;

/// What is known of how fillers slow serving tasks.
pub struct Pressure {
    harm: Harm,
    /// Numbers of images.
    kinds: HashMap<Name, Kind>,
    /// Factors with caution by victim and culprit, since placement asks for
    /// thousands of them.
    factors: Vec<Vec<f64>>,
    /// True when something was learned since it was last kept.
    learned: bool,
}

/// Number of an image.
pub type Kind = usize;

impl Default for Pressure {
    fn default() -> Self {
        Self {
            harm: Harm::new(MODEL),
            kinds: HashMap::new(),
            factors: Vec::new(),
            learned: false,
        }
    }
}

/// Returns the busy share that a measured tail tells of.
fn busy_share(tail: Millis, target: Millis) -> f64 {
    let idle = IDLE * target as f64;
    (1.0 - idle / (tail as f64).max(idle)).min(BUSIEST)
}

/// A running filler while its pace is decided.
struct Filler {
    key: TaskKey,
    kind: Kind,
    /// Share of the worker's processors at full pace.
    share: f64,
    /// Pace it should have, as a fraction.
    wished: f64,
}

impl Pressure {
    /// Returns what was learned, to be kept, if that is more than before.
    pub fn export(&mut self) -> Option<Vec<Known>> {
        std::mem::take(&mut self.learned).then(|| self.harm.export())
    }

    /// Goes on with what an earlier owner learned.
    pub fn import(&mut self, all: Vec<Known>) {
        self.harm.import(all.clone());
        for known in all {
            self.note(&known.victim, &known.culprit);
        }
    }

    /// Keeps the factor of a pair at hand.
    fn note(&mut self, victim: &Name, culprit: &Name) {
        let row = self.kind(victim);
        let column = self.kind(culprit);
        self.factors[row][column] = self.harm.of(victim, culprit, false);
    }

    /// Returns the number of an image.
    pub fn kind(&mut self, image: &Name) -> Kind {
        if let Some(kind) = self.kinds.get(image) {
            return *kind;
        }
        let kind = self.kinds.len();
        self.kinds.insert(image.clone(), kind);
        let unseen = self.harm.of(image, image, false);
        self.factors.iter_mut().for_each(|row| row.push(unseen));
        self.factors.push(vec![unseen; kind + 1]);
        kind
    }

    /// Returns the number of an image, or one that stands for unknown images.
    pub fn kind_of(&self, image: &str) -> Kind {
        self.kinds.get(image).copied().unwrap_or(Kind::MAX)
    }

    fn factor(&self, victim: Kind, culprit: Kind) -> f64 {
        let row = self.factors.get(victim);
        row.and_then(|r| r.get(culprit))
            .copied()
            .unwrap_or(MODEL.prior)
    }

    /// Returns the part of a serving image's server that a filler takes at full pace.
    fn part(&self, victim: Kind, culprit: Kind, cpu: u64, capacity: u64) -> f64 {
        self.factor(victim, culprit) * cpu as f64 / capacity.max(1) as f64
    }

    /// Returns how far the serving tasks of a worker would be over their goal
    /// with one more task of a step there.
    pub fn excess_with(&self, worker: &Worker, step: &StepSpec, kind: Kind) -> f64 {
        let capacity = worker.listing.capacity.cpu;
        let fillers: Vec<(Kind, u64)> = worker
            .slots
            .values()
            .filter(|s| s.filler)
            .map(|s| (s.kind, s.cpu))
            .collect();
        let parts = |victim: Kind| -> f64 {
            let part = |(kind, cpu): &(Kind, u64)| self.part(victim, *kind, *cpu, capacity);
            fillers.iter().map(part).sum()
        };
        if !step.filler {
            return (PEAK + parts(kind) - BORNE).max(0.0);
        }
        let serving = worker.slots.values().filter(|s| s.serving);
        let over = serving.map(|victim| {
            let own = victim.gauge.as_ref().map_or(OWN, |g| g.own);
            let peak = (own + RISE).min(PEAK.max(own));
            let added = self.part(victim.kind, kind, step.room.cpu, capacity);
            let before = peak + parts(victim.kind) - BORNE;
            (before + added).max(0.0) - before.max(0.0)
        });
        over.sum()
    }

    pub(super) fn pressed(&self, victim: &str, mix: &Mix) -> f64 {
        let part =
            |(image, share): (&Name, &f64)| self.harm.estimated(victim, image, false).0 * share;
        mix.iter().map(part).sum()
    }

    /// Learns from how a serving task's busy share moved with its neighbours.
    pub(super) fn learn(&mut self, victim: &Name, before: &Gauge, busy: f64, mix: &Mix) {
        let images = before.mix.keys().chain(mix.keys());
        let mut moved = Mix::new();
        for image in images {
            let share = |m: &Mix| m.get(image).copied().unwrap_or(0.0);
            moved.insert(image.clone(), share(mix) - share(&before.mix));
        }
        let moved: Vec<(Name, f64)> = moved.into_iter().filter(|(_, m)| m.abs() > 0.005).collect();
        if !moved.is_empty() {
            self.harm
                .learn_weighted(victim, &moved, busy - before.busy, false);
            moved.iter().for_each(|(image, _)| self.note(victim, image));
            self.learned = true;
        }
    }

    /// Lowers the wished paces until a victim of this own load would be at its
    /// goal, those that press most first.
    fn limit(&self, fillers: &mut [Filler], victim: Kind, own: f64) {
        let part = |f: &Filler| self.factor(victim, f.kind) * f.share;
        let wished: f64 = fillers.iter().map(|f| part(f) * f.wished).sum();
        let mut excess = own + wished - GOAL;
        let mut order: Vec<(f64, &mut Filler)> = fillers.iter_mut().map(|f| (part(f), f)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (part, filler) in order {
            if excess <= 0.0 || part < SLIGHT {
                return;
            }
            let cut = (excess / part).min(filler.wished);
            filler.wished -= cut;
            excess -= cut * part;
        }
    }
}

impl Owner {
    /// Returns what fillers a worker has run in the last half second.
    pub(super) fn mix(&self, name: &Name) -> Rc<Mix> {
        let mut mix = Mix::new();
        let Some(worker) = self.workers.get(name).filter(|w| w.serving > 0) else {
            return mix.into();
        };
        let capacity = worker.listing.capacity.cpu.max(1) as f64;
        for slot in worker.slots.values().filter(|s| s.filler) {
            if matches!(slot.stage, Stage::Running(_) | Stage::Stopping(_)) {
                let ran = (self.now.steady - slot.since).min(SPAN) as f64 / SPAN as f64;
                let share = slot.cpu as f64 / capacity * f64::from(slot.pace) / 100.0;
                *mix.entry(slot.image.clone()).or_insert(0.0) += share * ran;
            }
        }
        mix.into()
    }

    /// Takes in the gauges of a worker's tasks, and slows or speeds up its fillers.
    pub(super) fn relieve(&mut self, name: &Name, mix: Rc<Mix>, running: &[Running]) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let capacity = worker.listing.capacity.cpu.max(1) as f64;
        let fillers = worker.slots.iter().filter(|(_, s)| s.filler);
        let mut fillers: Vec<Filler> = fillers
            .filter(|(_, s)| matches!(s.stage, Stage::Running(_)))
            .map(|(key, slot)| Filler {
                key: *key,
                kind: slot.kind,
                share: slot.cpu as f64 / capacity,
                wished: 1.0,
            })
            .collect();
        let mut high = false;
        for run in running.iter().filter(|r| r.gauge > 0) {
            let Some((kind, gauge)) = self.gauge(name, run, &mix) else {
                continue;
            };
            high |= gauge.busy > HIGH;
            if gauge
                .over
                .is_some_and(|over| self.now.steady >= over + HALT)
            {
                fillers.iter_mut().for_each(|f| f.wished = 0.0);
            }
            self.pressure.limit(&mut fillers, kind, gauge.own);
        }
        self.order_paces(name, &fillers, high);
    }

    /// Takes in the gauge of a serving task and returns it with the task's kind.
    fn gauge(&mut self, name: &Name, run: &Running, mix: &Rc<Mix>) -> Option<(Kind, Gauge)> {
        let key = self.find(&run.task)?;
        let now = self.now.steady;
        let slot = self.workers.get_mut(name)?.slots.get_mut(&key)?;
        if !slot.serving || slot.run != run.run {
            return None;
        }
        let busy = busy_share(run.gauge, slot.target);
        let image = slot.image.clone();
        if let Some(before) = &slot.gauge
            && COMPARED.contains(&(now - before.at))
        {
            self.pressure.learn(&image, before, busy, mix);
        }
        let own = (busy - self.pressure.pressed(&image, mix)).clamp(0.0, busy);
        let before = slot.gauge.as_ref().and_then(|g| g.over);
        let gauge = Gauge {
            at: now,
            busy,
            over: (run.gauge > slot.target).then(|| before.unwrap_or(now)),
            own,
            mix: mix.clone(),
        };
        slot.gauge = Some(gauge.clone());
        Some((slot.kind, gauge))
    }

    /// Orders the paces that fillers of a worker should have.
    fn order_paces(&mut self, name: &Name, fillers: &[Filler], high: bool) {
        let epoch = self.journal.epoch();
        for filler in fillers {
            let wished = (filler.wished * 100.0) as u32 / STEP * STEP;
            let Some(worker) = self.workers.get_mut(name) else {
                return;
            };
            let address = worker.listing.address;
            let Some(slot) = worker.slots.get_mut(&filler.key) else {
                continue;
            };
            // A pace is lowered only while a tail is high.
            let changes = wished > slot.pace || (high && wished < slot.pace);
            let Some(job) = self
                .jobs
                .get(&filler.key.job)
                .filter(|_| changes && !slot.pacing)
            else {
                continue;
            };
            slot.pacing = true;
            log::debug!(target: "task", "task={} run={} event=pace percent={wished}", job.task_name(filler.key), slot.run);
            self.actions.push(Action::Pace(Pace {
                key: filler.key,
                run: slot.run,
                worker: name.clone(),
                address,
                task: job.task_name(filler.key),
                epoch,
                percent: wished,
            }));
        }
    }

    /// Takes in how a change of pace went.
    pub(super) fn paced(
        &mut self,
        key: TaskKey,
        run: u32,
        percent: u32,
        name: &Name,
        reply: Reply<Millis>,
    ) {
        let slot = self
            .workers
            .get_mut(name)
            .and_then(|w| w.slots.get_mut(&key));
        let Some(slot) = slot.filter(|s| s.run == run) else {
            return;
        };
        slot.pacing = false;
        if matches!(reply, Reply::Ok(_)) {
            slot.pace = percent;
        }
    }
}
