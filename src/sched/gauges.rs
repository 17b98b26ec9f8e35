//! Gauges in workers' reports: tail latencies of serving tasks, and the processor use of
//! best-effort tasks beside them.

use super::breaches::Breach;
use super::learned::interference::ImageNumber;
use super::owner::Owner;
use super::placing::expected_load::Outlook;
use super::placing::placement::Gauge;
use super::reports::ReportedRun;
use super::worker::ImageShares;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Tail latency of an idle server as a fraction of the latency target. Targets are set at several
/// times the idle tail.
const IDLE_TAIL: f64 = 0.2;
/// Highest busy share that a tail latency shows; above it the queue grows without bound.
const MAX_BUSY: f64 = 0.98;
/// Percentage of its latency target above which a serving task counts as over the target,
/// because gauges are imprecise.
const OVER_PERCENT: Millis = 95;
/// The latency target itself, as a percentage.
const WHOLE_PERCENT: Millis = 100;

/// Returns the busy share of a server that corresponds to its measured tail latency.
fn busy_share(tail: Millis, target: Millis) -> f64 {
    let idle = IDLE_TAIL * target as f64;
    (1.0 - idle / (tail as f64).max(idle)).min(MAX_BUSY)
}

impl Owner {
    /// Records the processor use of the running best-effort tasks of a worker.
    ///
    /// Returns the shares that best-effort tasks used there over the last gauge window, by image;
    /// they are empty for a worker without serving tasks.
    pub(super) fn record_cpu_use(
        &mut self,
        name: &Name,
        running: &[ReportedRun<'_>],
    ) -> ImageShares {
        let mut mix = ImageShares::new();
        let Some(worker) = self
            .workers
            .get_mut(name)
            .filter(|w| !w.colocation.serving.is_empty())
        else {
            return mix;
        };
        worker.recently_ended.add_shares(&mut mix, self.now.steady);
        let capacity = worker.listing.capacity.cpu.max(1) as f64;
        for ReportedRun { key, run } in running {
            let placement = key.and_then(|k| worker.placements.get_mut(&k));
            let Some(placement) = placement.filter(|p| p.best_effort && p.run == run.run) else {
                continue;
            };
            if placement.update_cpu_use(run.gauge, self.now.steady) {
                let (percent, cpu) = (placement.speed, placement.cpu);
                log::info!(target: "task", "task={} run={} event=pace-not-kept worker={name} percent={percent} in_use={} cpu={cpu}", run.task, run.run, run.gauge);
            }
            let share = run.gauge as f64 / capacity;
            *mix.entry(placement.image.clone()).or_insert(0.0) += share;
        }
        mix
    }

    /// Records the tail of a serving task and learns the interference on it.
    ///
    /// Returns the task's gauge with the number of its image.
    pub(super) fn record_tail(
        &mut self,
        name: &Name,
        run: &ReportedRun<'_>,
        mix: &ImageShares,
    ) -> Option<(ImageNumber, Gauge)> {
        let ReportedRun { key, run } = run;
        let key = (*key)?;
        let now = self.now.steady;
        let worker = self.workers.get_mut(name)?;
        let placement = worker.placements.get(&key)?;
        if !placement.serving || placement.run != run.run {
            return None;
        }
        let busy = busy_share(run.gauge, placement.latency_target);
        let image = placement.image.clone();
        let step = key.step_key();
        if busy < MAX_BUSY
            && let Some(others) = self.own_loads.estimate_from_others(step, key.index, now)
        {
            let taken = busy - others.load;
            self.interference.learn(&image, mix, taken, others.variance);
        }
        let (mix_load, variance) = self.interference.mix_load(&image, mix);
        let measured = (busy - mix_load).clamp(0.0, busy);
        self.own_loads
            .record(step, key.index, measured, variance, now);
        let own_load = self
            .own_loads
            .estimate(step, key.index, now)
            .load
            .clamp(0.0, busy);
        let outlook = self.settings.mechanisms.spreading.then(|| Outlook {
            level: own_load,
            trend: self.own_loads.trend(step, now),
        });
        let previous = placement.gauge.as_ref().and_then(|g| g.breach);
        let over = run.gauge * WHOLE_PERCENT > placement.latency_target * OVER_PERCENT;
        let gauge = Gauge {
            busy,
            tail_latency: run.gauge,
            breach: Breach::after_report(previous, over, self.settings.halt_after(), now),
            own_load,
            outlook,
        };
        let number = placement.image_number;
        worker.update_gauge(key, gauge.clone());
        if previous.is_some() || gauge.breach.is_some() {
            self.report_breach(name, key, previous);
        }
        Some((number, gauge))
    }
}
