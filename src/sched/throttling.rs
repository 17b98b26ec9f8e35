//! The paces of fillers beside serving tasks, out of the tails that workers report.
//!
//! Fillers are slowed until the own load of each serving task and the pressure on
//! it are at a goal; when a tail stays over its target, they are halted whatever
//! was learned.

use super::incarnation::Incarnation;
use super::interference::{ImageNumber, InterferenceModel};
use super::job::TaskKey;
use super::message::{Action, Reply, Throttle, Word};
use super::owner::Owner;
use super::placement::Placement;
use super::reports::ReportedRun;
use super::worker::Worker;
use crate::metrics;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Pace of a run that is not slowed, in percent.
pub const FULL_SPEED: u32 = 100;

/// Busy share to which fillers are slowed: just under the target, so that tails do not
/// settle on it.
const GOAL: f64 = 0.78;
/// Busy share above which fillers are slowed at once.
const HIGH: f64 = 0.80;
/// Added to both while much waits, as the capacity for fillers changes steeply with the goal.
/// Tails pass their targets meanwhile, until they are halted.
const STRETCH: f64 = 0.06;
/// Part below which a filler is not worth slowing.
const SLIGHT: f64 = 0.02;
/// Milliseconds after an order from which reports show the pace: it changes within a tenth of
/// a second, and gauges span half of one.
const SETTLED: Millis = 1_000;
/// Part of what its pace allows that a filler may report beyond that, as gauges are rough.
const SLACK_PART: u64 = 4;
/// Part of its processors that a halted filler may report.
const STILL_PART: u64 = 16;
/// Paces are ordered in steps of so many percent, to save orders.
const STEP: u32 = 20;

/// A running filler while its pace is decided.
struct Filler {
    key: TaskKey,
    image: ImageNumber,
    /// Share of the worker's processors at full pace.
    share: f64,
    /// Present pace, as a fraction.
    speed: f64,
    /// Pace it should have, as a fraction.
    wanted: f64,
}

/// Lowers the wished paces until a victim of this own load would be at its
/// goal, those that press most first.
fn limit(
    model: &InterferenceModel,
    fillers: &mut [Filler],
    victim: ImageNumber,
    own: f64,
    goal: f64,
) {
    let part = |f: &Filler| model.factor(victim, f.image) * f.share;
    let wanted: f64 = fillers.iter().map(|f| part(f) * f.wanted).sum();
    let mut excess = own + wanted - goal;
    let mut order: Vec<(f64, &mut Filler)> = fillers.iter_mut().map(|f| (part(f), f)).collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (part, filler) in order {
        if excess <= 0.0 || part < SLIGHT {
            return;
        }
        let cut = (excess / part).min(filler.wanted);
        filler.wanted -= cut;
        excess -= cut * part;
    }
}

/// Returns the running fillers of a worker, all wished at full pace.
fn fillers(worker: &Worker) -> Vec<Filler> {
    let capacity = worker.listing.capacity.cpu.max(1) as f64;
    let fillers = worker.placements.iter().filter(|(_, s)| s.best_effort);
    fillers
        .filter(|(_, s)| s.running())
        .map(|(key, placement)| Filler {
            key: *key,
            image: placement.image_number,
            share: placement.cpu as f64 / capacity,
            speed: f64::from(placement.speed) / f64::from(FULL_SPEED),
            wanted: 1.0,
        })
        .collect()
}

/// Returns true when a run reports a use of processors that its pace does not allow, or uses
/// hardly any at a pace that would.
fn deviates(placement: &Placement, in_use: u64, now: Millis) -> bool {
    let settled = placement.running() && now >= placement.throttled_at + SETTLED;
    let allowed = placement.cpu * u64::from(placement.speed) / u64::from(FULL_SPEED);
    let slack = allowed / SLACK_PART + placement.cpu / STILL_PART;
    let more = in_use > allowed + slack;
    let stands = allowed > placement.cpu / 2 && in_use == 0;
    settled && !placement.throttle_pending && (more || stands)
}

impl Placement {
    /// Takes in the processors that a filler uses by a report; returns true when that shows
    /// for the first time that it does not keep its pace, as after an order that came late.
    pub(super) fn use_processors(&mut self, in_use: u64, now: Millis) -> bool {
        self.in_use = Some(in_use);
        let deviates = deviates(self, in_use, now);
        let news = deviates && self.speed_confirmed;
        self.speed_confirmed &= !deviates;
        news
    }
}

impl Owner {
    /// Takes in the gauges of a worker's tasks, and slows or speeds up its fillers.
    pub(super) fn adjust_speeds(&mut self, name: &Name, running: &[ReportedRun<'_>]) {
        let mix = self.record_cpu_use(name, running);
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let mut fillers = fillers(worker);
        let stretch = self.backlog_level * STRETCH;
        let (halt, now) = (self.bounds.halt(), self.now.steady);
        let mut high = false;
        for run in running {
            if run.run.gauge == 0 {
                self.record_missing_tail(name, run);
                continue;
            }
            let Some((victim, gauge)) = self.record_tail(name, run, &mix) else {
                continue;
            };
            let part = |f: &Filler| self.interference.factor(victim, f.image) * f.share * f.speed;
            let expected = gauge.own_load + fillers.iter().map(part).sum::<f64>();
            high |= gauge.busy.max(expected) > HIGH + stretch;
            if gauge
                .breach
                .is_some_and(|breach| breach.current && breach.duration(now) >= halt)
            {
                fillers.iter_mut().for_each(|f| f.wanted = 0.0);
                high = true;
            }
            if !self.bounds.mechanisms.throttle {
                continue;
            }
            let goal = GOAL + stretch;
            limit(
                &self.interference,
                &mut fillers,
                victim,
                gauge.own_load,
                goal,
            );
        }
        self.order_speeds(name, &fillers, high);
    }

    /// Halts a filler beside a task over its target without waiting for the next report.
    pub(super) fn halt_run(&mut self, name: &Name, key: TaskKey) {
        let Some(worker) = self.workers.get(name).filter(|w| w.is_over_target()) else {
            return;
        };
        let mut begun = fillers(worker);
        begun.retain(|f| f.key == key);
        begun.iter_mut().for_each(|f| f.wanted = 0.0);
        self.order_speeds(name, &begun, true);
    }

    /// Orders the paces that fillers of a worker should have.
    fn order_speeds(&mut self, name: &Name, fillers: &[Filler], high: bool) {
        let epoch = self.journal.epoch();
        for filler in fillers {
            let wanted = (filler.wanted * f64::from(FULL_SPEED)) as u32 / STEP * STEP;
            let Some(worker) = self.workers.get_mut(name) else {
                return;
            };
            let (address, incarnation) = (worker.listing.address, worker.incarnation());
            let Some(placement) = worker.placements.get_mut(&filler.key) else {
                continue;
            };
            // A pace is lowered only while a tail is high.
            let changes = wanted > placement.speed
                || (high && wanted < placement.speed)
                || !placement.speed_confirmed;
            let Some(job) = self
                .jobs
                .get(&filler.key.job)
                .filter(|_| changes && !placement.throttle_pending)
            else {
                continue;
            };
            placement.throttle_pending = true;
            placement.throttled_at = self.now.steady;
            log::debug!(target: "task", "task={} run={} event=pace percent={wanted}", job.task_name(filler.key), placement.run);
            metrics::get().paces.inc();
            self.actions.push(Action::Throttle(Throttle {
                key: filler.key,
                run: placement.run,
                incarnation,
                address,
                task: job.task_name(filler.key),
                epoch,
                percent: wanted,
            }));
        }
    }

    /// Takes in how a change of pace went.
    pub(super) fn throttle_answered(
        &mut self,
        key: TaskKey,
        run: u32,
        percent: u32,
        incarnation: &Incarnation,
        reply: Reply<Word>,
    ) {
        let name = &incarnation.id;
        let answers = self.answers(incarnation, &reply);
        let Some(placement) = self.run_mut(name, key, run) else {
            return;
        };
        placement.throttle_pending = false;
        if !answers {
            return;
        }
        match reply {
            Reply::Ok(_) => {
                placement.speed = percent;
                placement.speed_confirmed = true;
            }
            reply => {
                // It may be carried out, now or seconds later.
                placement.speed_confirmed = false;
                metrics::get().paces_missed.inc();
                log::info!(target: "task", "task={} run={run} event=pace-missed percent={percent} worker={name} reply={reply:?}", self.task_name(key));
                // The next report asks for it again; a halt does not wait for that.
                if reply == Reply::Lost && percent == 0 {
                    self.halt_run(name, key);
                }
            }
        }
    }
}
