//! Spells in which serving tasks are over their latency target.

use super::job::TaskKey;
use super::owner::Owner;
use super::placement::{Gauge, Placement, Stage};
use super::recently_ended::GAUGE_WINDOW;
use super::reports::ReportedRun;
use super::worker::Worker;
use crate::metrics;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds after which a spell is logged.
const LOGGED: Millis = 1_000;

/// A time in which a serving task is over its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Breach {
    /// When a report showed it first.
    pub since: Millis,
    /// When a report showed it last.
    pub last: Millis,
    /// True when the last report shows it.
    pub current: bool,
    /// True once it was logged.
    logged: bool,
}

impl Breach {
    /// Returns the spell after a report; `over` when that shows a tail over the target.
    ///
    /// Gauges are rough: one below the target ends no spell, unless everything beside the
    /// task was halted, which is after `halt` milliseconds.
    pub fn after_report(
        before: Option<Self>,
        over: bool,
        halt: Millis,
        now: Millis,
    ) -> Option<Self> {
        let new = Self {
            since: now,
            last: now,
            current: true,
            logged: false,
        };
        match (before, over) {
            (before, true) => Some(Self {
                last: now,
                current: true,
                ..before.unwrap_or(new)
            }),
            (Some(breach), false)
                if now < breach.last + GAUGE_WINDOW && breach.duration(breach.last) < halt =>
            {
                Some(Self {
                    current: false,
                    ..breach
                })
            }
            _ => None,
        }
    }

    /// Returns its length so far, in milliseconds.
    pub fn duration(self, now: Millis) -> Millis {
        now - self.since
    }
}

impl Owner {
    /// Logs a spell that goes on and one that has ended, and counts the latter.
    pub(super) fn report_breach(&mut self, name: &Name, key: TaskKey, before: Option<Breach>) {
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
        let (task, run, target) = (self.task_name(key), placement.run, placement.target);
        let (tail, own) = (gauge.tail, gauge.own_load);
        match (before, gauge.breach) {
            (_, Some(breach)) if !breach.logged && breach.duration(now) >= LOGGED => {
                let beside = self.best_effort_text(worker);
                log::info!(target: "task", "task={task} run={run} event=over-target worker={name} tail_ms={tail} target_ms={target} over_ms={} own_load={own:.2} beside={beside}", breach.duration(now));
                self.mark_logged(name, key);
            }
            (Some(breach), None) => {
                let seconds = breach.duration(breach.last) as f64 / 1_000.0;
                metrics::observe_over_target(&placement.image, seconds);
                if breach.logged {
                    let beside = self.best_effort_text(worker);
                    log::info!(target: "task", "task={task} run={run} event=under-target worker={name} tail_ms={tail} target_ms={target} over_ms={} own_load={own:.2} beside={beside}", breach.duration(breach.last));
                }
            }
            _ => {}
        }
    }

    /// Takes in that a serving task reports no tail, as it has no users or does not run yet:
    /// its worker would be kept from fillers for good.
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
        let before = gauge.breach;
        let breach = Breach::after_report(before, false, self.bounds.halt(), now);
        worker.update_gauge(key, Gauge { breach, ..gauge });
        self.report_breach(name, key, before);
    }

    fn mark_logged(&mut self, name: &Name, key: TaskKey) {
        let worker = self.workers.get_mut(name);
        let placement = worker.and_then(|w| w.placements.get_mut(&key));
        let gauge = placement.and_then(|p| p.gauge.as_mut());
        if let Some(breach) = gauge.and_then(|g| g.breach.as_mut()) {
            breach.logged = true;
        }
    }

    /// Returns the fillers of a worker for log lines: task, stage, ordered pace in percent
    /// and its age in milliseconds, processors used by the last report over those wished for.
    fn best_effort_text(&self, worker: &Worker) -> String {
        let fillers = worker.placements.iter().filter(|(_, p)| p.best_effort);
        let text = |(key, p): (&TaskKey, &Placement)| {
            let used = p.in_use.map_or("?".into(), |used| used.to_string());
            let age = self.now.steady - p.throttled_at;
            let pending = match (p.throttle_pending, p.speed_confirmed) {
                (true, _) => "+",
                (false, true) => "",
                (false, false) => "?",
            };
            format!(
                "{}:{}:{}{pending}@{age}:{used}/{}",
                self.task_name(*key),
                p.stage.word(),
                p.speed,
                p.cpu
            )
        };
        let all: Vec<String> = fillers.map(text).collect();
        all.join(",")
    }

    /// Sets the gauge of the longest spell that goes on.
    pub(super) fn export_longest_breach(&self) {
        let breaches = self.workers.values().filter_map(|w| w.over_target_since);
        let longest = breaches.min().map_or(0, |since| self.now.steady - since);
        metrics::get().over.set(longest as i64);
    }
}

impl Stage {
    /// Returns its word in log lines.
    fn word(self) -> &'static str {
        match self {
            Self::Inherited => "inherited",
            Self::Recording => "recording",
            Self::Starting => "starting",
            Self::Running(_) => "running",
            Self::Doubt => "doubt",
            Self::Stopped(_) => "stopped",
            Self::Stopping(_) => "stopping",
        }
    }
}
