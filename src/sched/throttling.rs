//! Throttling of best-effort tasks beside serving tasks, based on reported tail latencies.
//!
//! Best-effort tasks are slowed until the own load of each serving task plus the interference on
//! it is at a goal. With the switch `spreading`, an own load that rises counts as it will be when
//! the next order takes effect. When a tail latency stays over its target, they are halted regardless of the
//! interference that the model expects.

use super::incarnation::Incarnation;
use super::job::TaskKey;
use super::learned::interference::{ImageNumber, InterferenceModel};
use super::message::{Action, OrderAck, Reply, Throttle};
use super::owner::Owner;
use super::placing::placement::Placement;
use super::reports::ReportedRun;
use super::worker::Worker;
use crate::metrics;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Speed of a run that is not throttled, in percent.
pub const FULL_SPEED: u32 = 100;

/// Busy share to which best-effort tasks are slowed: just under the share at which a tail is at
/// its target, so that tails do not settle on the target.
const GOAL_BUSY: f64 = 0.78;
/// Busy share above which best-effort tasks are slowed at once.
const HIGH_BUSY: f64 = 0.80;
/// Added to both shares at a full backlog, because the capacity for best-effort tasks changes
/// steeply with the goal. Tails exceed their targets meanwhile, until the tasks are halted.
const BACKLOG_MARGIN: f64 = 0.06;
/// Busy share caused by a best-effort task below which slowing it is not worthwhile.
const MIN_LOAD: f64 = 0.02;
/// Milliseconds after an order from which reports show the new speed: it takes effect within
/// 100 ms, and gauges span 500 ms.
const SETTLE_TIME: Millis = 1_000;
/// A run may report this fraction (1/n) more than its speed allows, because gauges are imprecise.
const SLACK_DIVISOR: u64 = 4;
/// A halted run may still report this fraction (1/n) of its processors.
const HALTED_DIVISOR: u64 = 16;
/// Speeds are ordered in steps of this many percent, to save orders.
const SPEED_STEP: u32 = 20;

/// A running best-effort task whose speed is being decided.
struct BestEffortRun {
    key: TaskKey,
    image: ImageNumber,
    /// Share of the worker's processors at full speed.
    share: f64,
    /// Current speed, as a fraction.
    speed: f64,
    /// Wanted speed, as a fraction.
    wanted: f64,
}

/// Lowers the wanted speeds until a serving task of the image `victim` with this own load is at
/// its goal, starting with the runs that cause the most interference.
fn limit_speeds(
    model: &InterferenceModel,
    runs: &mut [BestEffortRun],
    victim: ImageNumber,
    own_load: f64,
    goal: f64,
) {
    let load = |run: &BestEffortRun| model.factor(victim, run.image) * run.share;
    let wanted: f64 = runs.iter().map(|run| load(run) * run.wanted).sum();
    let mut excess = own_load + wanted - goal;
    let mut order: Vec<(f64, &mut BestEffortRun)> =
        runs.iter_mut().map(|run| (load(run), run)).collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (load, run) in order {
        if excess <= 0.0 || load < MIN_LOAD {
            return;
        }
        let cut = (excess / load).min(run.wanted);
        run.wanted -= cut;
        excess -= cut * load;
    }
}

/// Returns the running best-effort tasks of a worker, all wanted at full speed.
fn best_effort_runs(worker: &Worker) -> Vec<BestEffortRun> {
    let capacity = worker.listing.capacity.cpu.max(1) as f64;
    let placements = worker.placements.iter().filter(|(_, p)| p.best_effort);
    placements
        .filter(|(_, p)| p.is_running())
        .map(|(key, placement)| BestEffortRun {
            key: *key,
            image: placement.image_number,
            share: placement.cpu as f64 / capacity,
            speed: f64::from(placement.speed) / f64::from(FULL_SPEED),
            wanted: 1.0,
        })
        .collect()
}

/// Returns true when a run reports more processor use than its speed allows, or none at a speed
/// of more than half.
fn contradicts_speed(placement: &Placement, in_use: u64, now: Millis) -> bool {
    let settled = placement.is_running() && now >= placement.throttled_at + SETTLE_TIME;
    let allowed = placement.cpu * u64::from(placement.speed) / u64::from(FULL_SPEED);
    let slack = allowed / SLACK_DIVISOR + placement.cpu / HALTED_DIVISOR;
    let too_fast = in_use > allowed + slack;
    let idle = allowed > placement.cpu / 2 && in_use == 0;
    settled && !placement.throttle_pending && (too_fast || idle)
}

impl Placement {
    /// Records the thousandths of cores that a best-effort run uses by a report.
    ///
    /// Returns true when the report is the first that contradicts the ordered speed, as happens
    /// after an order that took effect late.
    pub(super) fn update_cpu_use(&mut self, in_use: u64, now: Millis) -> bool {
        self.cpu_used = Some(in_use);
        let contradicts = contradicts_speed(self, in_use, now);
        let first = contradicts && self.speed_confirmed;
        self.speed_confirmed &= !contradicts;
        first
    }
}

impl Owner {
    /// Records the gauges of a worker's tasks, and slows or speeds up its best-effort tasks.
    pub(super) fn adjust_speeds(&mut self, name: &Name, running: &[ReportedRun<'_>]) {
        let mix = self.record_cpu_use(name, running);
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let mut runs = best_effort_runs(worker);
        let margin = self.backlog_level * BACKLOG_MARGIN;
        let (halt_after, now) = (self.settings.halt_after(), self.now.steady);
        let mut overloaded = false;
        for reported in running {
            if reported.run.gauge == 0 {
                self.record_missing_tail(name, reported);
                continue;
            }
            let Some((victim, gauge)) = self.record_tail(name, reported, &mix) else {
                continue;
            };
            let load = |run: &BestEffortRun| {
                self.interference.factor(victim, run.image) * run.share * run.speed
            };
            let expected = gauge.throttling_load() + runs.iter().map(load).sum::<f64>();
            overloaded |= gauge.busy.max(expected) > HIGH_BUSY + margin;
            if gauge
                .breach
                .is_some_and(|breach| breach.current && breach.duration(now) >= halt_after)
            {
                runs.iter_mut().for_each(|run| run.wanted = 0.0);
                overloaded = true;
            }
            if !self.settings.mechanisms.throttle {
                continue;
            }
            let goal = GOAL_BUSY + margin;
            let own_load = gauge.throttling_load();
            limit_speeds(&self.interference, &mut runs, victim, own_load, goal);
        }
        self.order_speeds(name, &runs, overloaded);
    }

    /// Halts a best-effort run without waiting for the next report, if a serving task of its
    /// worker is over its latency target.
    pub(super) fn halt_run(&mut self, name: &Name, key: TaskKey) {
        let Some(worker) = self.workers.get(name).filter(|w| w.is_over_target()) else {
            return;
        };
        let mut runs = best_effort_runs(worker);
        runs.retain(|run| run.key == key);
        runs.iter_mut().for_each(|run| run.wanted = 0.0);
        self.order_speeds(name, &runs, true);
    }

    /// Orders changes of speed for the runs of a worker that do not have the wanted speed.
    ///
    /// `overloaded` is true while a serving task there is too busy or over its target for too long.
    fn order_speeds(&mut self, name: &Name, runs: &[BestEffortRun], overloaded: bool) {
        for run in runs {
            let wanted = (run.wanted * f64::from(FULL_SPEED)) as u32 / SPEED_STEP * SPEED_STEP;
            let Some(worker) = self.workers.get_mut(name) else {
                return;
            };
            let (address, incarnation) = (worker.listing.address, worker.incarnation());
            let fence = worker.fence;
            let Some(placement) = worker.placements.get_mut(&run.key) else {
                continue;
            };
            // Speeds are lowered only while `overloaded` is true.
            let changes = wanted > placement.speed
                || (overloaded && wanted < placement.speed)
                || !placement.speed_confirmed;
            let Some(job) = self
                .jobs
                .get(&run.key.job)
                .filter(|_| changes && !placement.throttle_pending)
            else {
                continue;
            };
            placement.throttle_pending = true;
            placement.throttled_at = self.now.steady;
            log::debug!(target: "task", "task={} run={} event=pace percent={wanted}", job.task_name(run.key), placement.run);
            metrics::get().throttle_orders.inc();
            self.actions.push(Action::Throttle(Throttle {
                key: run.key,
                run: placement.run,
                incarnation,
                address,
                task: job.task_name(run.key),
                fence,
                percent: wanted,
            }));
            worker.use_fence();
        }
    }

    /// Handles the reply to a throttle order, `percent` being the ordered speed.
    pub(super) fn handle_throttle_reply(
        &mut self,
        key: TaskKey,
        run: u32,
        percent: u32,
        incarnation: &Incarnation,
        reply: Reply<OrderAck>,
    ) {
        let name = &incarnation.id;
        if reply == Reply::Lost {
            self.raise_fence(name);
        }
        let accepted = self.accept_reply(incarnation, &reply);
        let Some(placement) = self.placement_mut(name, key, run) else {
            return;
        };
        placement.throttle_pending = false;
        if !accepted {
            return;
        }
        match reply {
            Reply::Ok(_) => {
                placement.speed = percent;
                placement.speed_confirmed = true;
            }
            reply => {
                // The worker may still apply the order, now or seconds later.
                placement.speed_confirmed = false;
                metrics::get().failed_throttles.inc();
                log::info!(target: "task", "task={} run={run} event=pace-missed percent={percent} worker={name} reply={reply:?}", self.task_name(key));
                // The next report orders the speed again; a halt does not wait for that.
                if reply == Reply::Lost && percent == 0 {
                    self.halt_run(name, key);
                }
            }
        }
    }
}
