//! Estimates learned from reports: `interference` between images, own `loads` of serving tasks,
//! `run_times` of kinds of tasks and `speeds` of workers. `observations` feeds the last two from
//! runs, `step_times` compares the tasks of one step, and `snapshot` keeps what was learned for the
//! next owner.

pub(in crate::sched) mod interference;
pub(in crate::sched) mod loads;
pub(in crate::sched) mod observations;
pub(in crate::sched) mod run_times;
pub(in crate::sched) mod snapshot;
pub(in crate::sched) mod speeds;
pub(in crate::sched) mod step_times;

use run_times::{Kind, RunTimes};
use snapshot::Snapshot;
use speeds::{SpeedChange, Speeds};
use step_times::StepTimes;

use crate::sched::job::StepKey;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two events after which the owner's process counts as stopped meanwhile.
/// Its sweeps are 100 ms apart.
const MAX_EVENT_GAP: Millis = 400;
/// Milliseconds before which a running task is not judged: the confirmation of its start and its
/// first report may be that far apart.
pub(in crate::sched) const MIN_ELAPSED: Millis = 200;

/// Run times and worker speeds learned from ended runs.
#[derive(Default)]
pub(in crate::sched) struct Learned {
    /// Run times by kind of task.
    pub run_times: RunTimes,
    /// Speeds of the workers.
    pub speeds: Speeds,
    /// Run times of the tasks of single steps.
    pub step_times: StepTimes,
    /// When the owner last handled events late. Runs that began before that seem to be longer than
    /// they are.
    pub disturbed_at: Millis,
    /// Ends and slow workers at the last export.
    exported: (u64, usize),
}

/// A run whose duration is known.
#[derive(Clone, Debug)]
pub(in crate::sched) struct MeasuredRun {
    /// Kind of the task.
    pub kind: Kind,
    /// Step of the task.
    pub step: StepKey,
    /// Worker of the run.
    pub worker: Name,
    /// Declared run time.
    pub declared: Millis,
    /// Milliseconds from the confirmation of the start.
    pub elapsed: Millis,
    /// True when its duration tells the speed of its worker: the run is not best-effort, and its
    /// worker was not judged by it before.
    pub judges: bool,
}

impl Learned {
    /// Records the time between two events of the owner.
    pub fn note_gap(&mut self, before: Millis, now: Millis) {
        if now > before + MAX_EVENT_GAP {
            self.disturbed_at = now;
        }
    }

    /// Returns what a run should take on a normal worker; `None` while that is not known well
    /// enough to judge a worker by a single run.
    pub fn reference(&self, run: &MeasuredRun) -> Option<Millis> {
        let siblings = self.step_times.reference(run.step, &run.worker);
        siblings.or_else(|| self.run_times.reference(&run.kind, run.declared))
    }

    /// Records a run that ended `Done`. Returns what its worker counts as from now on if that
    /// changes.
    pub fn record_end(&mut self, run: &MeasuredRun, now: Millis) -> Option<SpeedChange> {
        let ratio = self
            .reference(run)
            .map(|r| run.elapsed as f64 / r.max(1) as f64);
        let judged = ratio.filter(|_| run.judges);
        let change = judged.and_then(|ratio| self.speeds.record(&run.worker, ratio, now));
        let normal = self.normal_time(run, ratio, now);
        self.run_times.record(&run.kind, run.declared, normal);
        self.step_times.record(run.step, &run.worker, run.elapsed);
        change
    }

    /// Returns what a run would have taken on a normal worker. Slow workers are corrected for only
    /// while they are few, as otherwise a change of the run times would never be learned.
    fn normal_time(&self, run: &MeasuredRun, ratio: Option<f64>, now: Millis) -> Millis {
        let slow = self.speeds.is_slow(&run.worker) && self.speeds.slow_are_few();
        let slowness = match ratio {
            Some(ratio) if slow => self.speeds.slowness(&run.worker, now).min(ratio).max(1.0),
            _ => 1.0,
        };
        (run.elapsed as f64 / slowness) as Millis
    }

    /// Records a run that goes on, `progress` being the percentage of its work that is done, 0 for
    /// unknown. Returns true if the run shows that its worker is slow, and what changes by that.
    pub fn record_running(
        &mut self,
        run: &MeasuredRun,
        progress: u32,
        now: Millis,
    ) -> (bool, Option<SpeedChange>) {
        let Some(reference) = self.reference(run).filter(|_| run.judges) else {
            return (false, None);
        };
        let predicted = match progress {
            1..=99 if run.elapsed * 2 >= reference => run.elapsed * 100 / Millis::from(progress),
            _ if self.is_within_tail(run) => return (false, None),
            _ => run.elapsed,
        };
        let ratio = predicted as f64 / reference.max(1) as f64;
        if ratio < speeds::SLOW || run.elapsed < MIN_ELAPSED {
            return (false, None);
        }
        (true, self.speeds.record(&run.worker, ratio, now))
    }

    /// Returns true while a run is no longer than one in 20 of its kind, if that is known.
    fn is_within_tail(&self, run: &MeasuredRun) -> bool {
        let tail = self.run_times.tail(&run.kind, run.declared);
        tail.is_some_and(|tail| run.elapsed <= tail)
    }

    /// Returns what the next owner should know if it has changed since the last export.
    pub fn export(&mut self, steady: Millis, wall: Millis) -> Option<Snapshot> {
        let state = (self.run_times.ends(), self.speeds.slow_workers());
        if std::mem::replace(&mut self.exported, state) == state {
            return None;
        }
        Some(Snapshot {
            run_times: self.run_times.export(),
            speeds: self.speeds.export(steady),
            ..Snapshot::new(wall)
        })
    }

    /// Imports what an earlier owner stored. Returns the numbers of imported kinds and slow
    /// workers.
    pub fn import(&mut self, stored: &Snapshot, steady: Millis, wall: Millis) -> (usize, usize) {
        let kinds = self
            .run_times
            .import(&stored.run_times, stored.weight(wall));
        let slow = self.speeds.import(&stored.speeds, stored.age(wall), steady);
        (kinds, slow)
    }
}
