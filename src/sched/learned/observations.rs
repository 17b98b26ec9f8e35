//! Feeds the learned run times and worker speeds from reported runs, and serves them to placement,
//! to the order of tasks and to the next owner.
//!
//! Load: as in `run_times` and `speeds`. Only runs whose whole duration is known count: a run of an
//! earlier owner, a resumed one, and one whose start or end may have been heard late do not.

use bytes::Bytes;

use super::run_times::Kind;
use super::snapshot::Snapshot;
use super::speeds::SpeedChange;
use super::{MIN_ELAPSED, MeasuredRun};
use crate::metrics;
use crate::sched::job::{Job, TaskKey};
use crate::sched::owner::Owner;
use crate::sched::placing::placement::Placement;
use crate::sched::placing::scoring::ExpectedRun;
use crate::sched::reports::ReportedRun;
use crate::sched::spec::StepSpec;
use crate::sched::throttling::FULL_SPEED;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Run time that counts for placing a lasting task, in milliseconds. A slow worker is as bad for it
/// as for a task of this length.
const LASTING_RUN_TIME: Millis = 1_000;

/// Returns true when a run was at full speed all the time.
fn was_at_full_speed(run: &Placement) -> bool {
    let unchanged = run.throttled_at == run.placed_at && !run.throttle_pending;
    !run.best_effort || (unchanged && run.speed == FULL_SPEED)
}

impl Owner {
    /// Returns the kind of a step's tasks.
    pub(in crate::sched) fn kind_of(&self, job: &Job, step: &StepSpec) -> Kind {
        Kind {
            queue: job.row.queue.name.clone(),
            image: step.image.clone(),
        }
    }

    /// Returns the run time to expect of a step's tasks: the learned one, or the declared one when
    /// nothing was learned.
    pub(in crate::sched) fn run_time(&self, job: &Job, step: &StepSpec) -> Millis {
        match self.settings.mechanisms.learning && !step.lasting {
            true => {
                let kind = self.kind_of(job, step);
                self.learned.run_times.expected(&kind, step.estimate)
            }
            false => step.estimate,
        }
    }

    /// Returns what placement needs to know of the speeds of workers for a step.
    pub(in crate::sched) fn expected_run(
        &self,
        job: &Job,
        step: &StepSpec,
    ) -> Option<ExpectedRun<'_>> {
        let run = || ExpectedRun {
            speeds: &self.learned.speeds,
            run_time: match step.lasting {
                true => LASTING_RUN_TIME,
                false => self.run_time(job, step),
            },
            now: self.now.steady,
        };
        self.settings.mechanisms.learning.then(run)
    }

    /// Returns a run of a worker as far as its whole duration until now is known.
    fn measured_run(&self, name: &Name, key: TaskKey, run: u32) -> Option<MeasuredRun> {
        let worker = self.workers.get(name)?;
        let placement = worker.placements.get(&key).filter(|p| p.run == run)?;
        let begun = placement.confirmed_at?;
        let punctual = begun > worker.regained_at && begun > self.learned.disturbed_at;
        let whole = placement.measurable && punctual && was_at_full_speed(placement);
        let job = self.jobs.get(&key.job)?;
        let step = job.step(key);
        if !whole || step.lasting {
            return None;
        }
        Some(MeasuredRun {
            kind: self.kind_of(job, step),
            step: key.step_key(),
            worker: name.clone(),
            declared: step.estimate,
            elapsed: (self.now.steady - begun).max(1),
            judges: !placement.best_effort && !placement.judged,
        })
    }

    /// Learns from a run that ended `Done`.
    pub(in crate::sched) fn observe_end(&mut self, name: &Name, key: TaskKey, run: u32) {
        if !self.settings.mechanisms.learning {
            return;
        }
        let Some(run) = self.measured_run(name, key, run) else {
            return;
        };
        if run.declared > 0 {
            let ratio = run.elapsed as f64 / run.declared as f64;
            metrics::get().run_time_ratio.observe(ratio);
        }
        let change = self.learned.record_end(&run, self.now.steady);
        self.report_speed(name, change);
    }

    /// Learns from the running tasks in a report, each of which judges its worker once.
    pub(in crate::sched) fn observe_running(&mut self, name: &Name, running: &[ReportedRun<'_>]) {
        if !self.settings.mechanisms.learning {
            return;
        }
        for ReportedRun { key, run } in running {
            let Some(key) = *key else {
                continue;
            };
            if !self.is_to_judge(name, key, run.run) {
                continue;
            }
            let measured = self.measured_run(name, key, run.run);
            let Some(measured) = measured.filter(|m| m.judges) else {
                continue;
            };
            let now = self.now.steady;
            let (slow, change) = self.learned.record_running(&measured, run.progress, now);
            if slow && let Some(placement) = self.placement_mut(name, key, run.run) {
                placement.judged = true;
            }
            self.report_speed(name, change);
        }
    }

    /// Returns false for a run that cannot judge its worker by this report. Nearly all reported runs
    /// are of that sort, and a reference is built for none of them.
    fn is_to_judge(&self, name: &Name, key: TaskKey, run: u32) -> bool {
        let worker = self.workers.get(name);
        let placement = worker.and_then(|w| w.placements.get(&key));
        let Some(placement) = placement.filter(|p| p.run == run) else {
            return false;
        };
        let judges = !placement.best_effort && !placement.lasting && !placement.judged;
        let old = |at| self.now.steady >= at + MIN_ELAPSED;
        judges && placement.confirmed_at.is_some_and(old)
    }

    /// Logs and counts a change of what a worker counts as.
    fn report_speed(&mut self, name: &Name, change: Option<SpeedChange>) {
        let Some(change) = change else {
            return;
        };
        let (speeds, now) = (&self.learned.speeds, self.now.steady);
        let (slow, slowness) = (speeds.slow_workers(), speeds.slowness(name, now));
        match change {
            SpeedChange::Slow => {
                metrics::get().slow_found.inc();
                log::info!(target: "worker", "worker={name} event=slow-worker slowness={slowness:.2} slow={slow}");
            }
            SpeedChange::Normal => {
                log::info!(target: "worker", "worker={name} event=normal-speed cause=Run slow={slow}");
            }
        }
        metrics::get().slow_workers.set(slow as i64);
    }

    /// Forgets the speeds of workers without recent runs.
    pub(in crate::sched) fn forget_idle_speeds(&mut self) {
        let normal = self.learned.speeds.forget_idle(self.now.steady);
        let slow = self.learned.speeds.slow_workers();
        for name in &normal {
            log::info!(target: "worker", "worker={name} event=normal-speed cause=Idle slow={slow}");
        }
        if !normal.is_empty() {
            metrics::get().slow_workers.set(slow as i64);
        }
    }

    /// Returns the row of what was learned if it has changed since it was last written.
    pub(in crate::sched) fn learned_row(&mut self) -> Option<Bytes> {
        if !self.settings.mechanisms.snapshot {
            return None;
        }
        let snapshot = self.learned.export(self.now.steady, self.now.wall)?;
        let row = Bytes::from(snapshot.encode());
        metrics::get().learned_bytes.inc_by(row.len() as u64);
        Some(row)
    }

    /// Imports what an earlier owner learned from its row.
    pub fn import_learned(&mut self, row: &[u8]) {
        let mechanisms = self.settings.mechanisms;
        if !mechanisms.snapshot || !mechanisms.learning {
            return;
        }
        let wall = self.now.wall;
        match Snapshot::decode(row, wall) {
            Ok(stored) => {
                let age = stored.age(wall);
                let (kinds, slow) = self.learned.import(&stored, self.now.steady, wall);
                log::info!(target: "owner", "event=learned-read age_ms={age} kinds={kinds} slow={slow}");
                metrics::get().slow_workers.set(slow as i64);
            }
            Err(reason) => {
                log::warn!(target: "owner", "event=learned-ignored reason={reason:?} bytes={}", row.len());
            }
        }
    }
}
