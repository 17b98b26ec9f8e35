//! Breaches of the latency targets of serving tasks: detection, log lines and metrics.

use super::job::TaskKey;
use super::owner::Owner;
use super::placing::placement::{Gauge, Placement, Stage};
use super::recently_ended::GAUGE_WINDOW;
use super::reports::ReportedRun;
use super::worker::Worker;
use crate::metrics;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds after which a breach is logged.
const LOG_AFTER: Millis = 1_000;

/// A period in which a serving task is over its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Breach {
    /// When a report first showed it.
    pub since: Millis,
    /// When a report last showed it.
    pub last: Millis,
    /// True when the last report shows it.
    pub current: bool,
    /// True once it has been logged.
    logged: bool,
}

impl Breach {
    /// Returns the breach after a report; `over` is true when the reported tail latency is above
    /// the target.
    ///
    /// Gauges are imprecise: a tail latency below the target ends a breach only a gauge window
    /// after the last one above it, or once the breach has lasted `halt_after` milliseconds, when
    /// all best-effort tasks beside the serving task are halted.
    pub fn after_report(
        previous: Option<Self>,
        over: bool,
        halt_after: Millis,
        now: Millis,
    ) -> Option<Self> {
        let new = Self {
            since: now,
            last: now,
            current: true,
            logged: false,
        };
        match (previous, over) {
            (previous, true) => Some(Self {
                last: now,
                current: true,
                ..previous.unwrap_or(new)
            }),
            (Some(breach), false)
                if now < breach.last + GAUGE_WINDOW
                    && breach.duration(breach.last) < halt_after =>
            {
                Some(Self {
                    current: false,
                    ..breach
                })
            }
            _ => None,
        }
    }

    /// Returns the milliseconds from the start of the breach until `now`.
    pub fn duration(self, now: Millis) -> Millis {
        now - self.since
    }
}

impl Owner {
    /// Logs an ongoing or ended breach of a serving task, and records the length of an ended one.
    pub(super) fn report_breach(&mut self, name: &Name, key: TaskKey, previous: Option<Breach>) {
        let now = self.now.steady;
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let Some(placement) = worker.placements.get(&key) else {
            return;
        };
        let Some(gauge) = &placement.gauge else {
            return;
        };
        let (task, run, target) = (self.task_name(key), placement.run, placement.latency_target);
        let (tail, own) = (gauge.tail_latency, gauge.own_load);
        match (previous, gauge.breach) {
            (_, Some(breach)) if !breach.logged && breach.duration(now) >= LOG_AFTER => {
                let beside = self.best_effort_text(worker);
                log::info!(target: "task", "task={task} run={run} event=over-target worker={name} tail_ms={tail} target_ms={target} over_ms={} own_load={own:.2} beside={beside}", breach.duration(now));
                self.mark_breach_logged(name, key);
            }
            (Some(breach), None) => {
                let seconds = breach.duration(breach.last) as f64 / 1_000.0;
                metrics::observe_breach(&placement.image, seconds);
                if breach.logged {
                    let beside = self.best_effort_text(worker);
                    log::info!(target: "task", "task={task} run={run} event=under-target worker={name} tail_ms={tail} target_ms={target} over_ms={} own_load={own:.2} beside={beside}", breach.duration(breach.last));
                }
            }
            _ => {}
        }
    }

    /// Handles a report of a serving task without a tail latency, as when the task has no users or
    /// does not run yet. Without this its breach would never end, and its worker would never get
    /// best-effort tasks again.
    pub(super) fn record_missing_tail(&mut self, name: &Name, run: &ReportedRun<'_>) {
        let now = self.now.steady;
        let (Some(key), Some(worker)) = (run.key, self.workers.get_mut(name)) else {
            return;
        };
        let placement = worker.placements.get(&key);
        let gauge = placement.and_then(|p| p.gauge.clone());
        let Some(gauge) = gauge.filter(|g| g.breach.is_some()) else {
            return;
        };
        let previous = gauge.breach;
        let breach = Breach::after_report(previous, false, self.settings.halt_after(), now);
        worker.update_gauge(key, Gauge { breach, ..gauge });
        self.report_breach(name, key, previous);
    }

    fn mark_breach_logged(&mut self, name: &Name, key: TaskKey) {
        let worker = self.workers.get_mut(name);
        let placement = worker.and_then(|w| w.placements.get_mut(&key));
        let gauge = placement.and_then(|p| p.gauge.as_mut());
        if let Some(breach) = gauge.and_then(|g| g.breach.as_mut()) {
            breach.logged = true;
        }
    }

    /// Returns the best-effort tasks of a worker for log lines: task, stage, ordered speed in
    /// percent and milliseconds since that order, thousandths of cores used by the last report
    /// over those used at full speed. After the speed, `+` means that the order has no answer yet,
    /// and `?` that the run may have another speed.
    fn best_effort_text(&self, worker: &Worker) -> String {
        let placements = worker.placements.iter().filter(|(_, p)| p.best_effort);
        let text = |(key, p): (&TaskKey, &Placement)| {
            let used = p.cpu_used.map_or("?".into(), |used| used.to_string());
            let age = self.now.steady - p.throttled_at;
            let pending = match (p.throttle_pending, p.speed_confirmed) {
                (true, _) => "+",
                (false, true) => "",
                (false, false) => "?",
            };
            format!(
                "{}:{}:{}{pending}@{age}:{used}/{}",
                self.task_name(*key),
                p.stage.label(),
                p.speed,
                p.cpu
            )
        };
        let all: Vec<String> = placements.map(text).collect();
        all.join(",")
    }

    /// Sets the metric of the longest ongoing breach.
    pub(super) fn export_longest_breach(&self) {
        let breaches = self.workers.values().filter_map(|w| w.over_target_since);
        let longest = breaches.min().map_or(0, |since| self.now.steady - since);
        metrics::get().longest_breach.set(longest as i64);
    }
}

impl Stage {
    /// Returns the name of the stage in log lines.
    fn label(self) -> &'static str {
        match self {
            Self::Inherited => "inherited",
            Self::Recording => "recording",
            Self::Starting => "starting",
            Self::Running(_) => "running",
            Self::Stopped(_) => "stopped",
            Self::Stopping(_) => "stopping",
        }
    }
}
