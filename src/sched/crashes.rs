//! Workers that crash, and the tasks that may have brought them down.
//!
//! A run that goes with its worker has no end that a report could tell, so the crash is laid
//! here to the runs that may have caused it: those begun shortly before the worker's last
//! word or after it. They are suspects. A suspect starts on a worker that nothing else is
//! started on until it has run for a while; a crash there is its own. So a task that
//! crashes its workers is found at the second one, and those that merely stood beside it
//! go on. Counts are kept with the task, so that the next owner goes on with them.
//!
//! A crash counts as one under a task when the worker had told of its run and another life
//! has taken the worker's place. Otherwise the worker may be out of reach, or the run may
//! never have begun: that counts as a loss, of which it takes more.

use super::job::{Outcome, TaskKey};
use super::owner::Owner;
use super::placement::{Placement, Stage};
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds for which a worker lists a run before a crash is not laid to its start:
/// thirty times what a task that crashes its worker takes, with a report's way.
const FRESH: Millis = 300;
/// Milliseconds after which a run has nothing to do with a crash: as many short runs that
/// all end with their workers are no accident, one of them may be.
const PROVEN: Millis = 10_000;
/// Crashes after which a task is given up that alone may have caused the last one.
const CRASHES: u32 = 2;
/// Crashes and losses together after which any task is given up: no start follows that
/// would be the third after the third crash.
const LOSSES: u32 = 4;
/// One in so many workers may be isolated for a suspect, those that it has taken down and
/// that are not back yet among them: the rest is left to other work.
const ISOLATED_PART: usize = 4;

/// How a life of a worker ended without a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Crash {
    /// Another life is there in its place.
    Replaced,
    /// It fell silent until its lease had ended; it may run on somewhere out of reach.
    Silent,
}

/// What a crash says of a run that went with the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// No other job's run may have caused it.
    Sole,
    /// It may have caused it, as may others.
    Shared,
    /// It had run for some seconds.
    Unlikely,
    /// It had run for long, or another was isolated there.
    Excluded,
}

/// A crash as it counts for one task.
struct Attribution {
    key: TaskKey,
    cause: Cause,
    /// True when the worker has certainly crashed, and under this task.
    proven: bool,
}

impl Attribution {
    /// Returns true when its task is given up, with these crashes and losses so far.
    fn gives_up(&self, crashes: u32, losses: u32) -> bool {
        let found = self.proven && self.cause == Cause::Sole && crashes >= CRASHES;
        found || crashes + losses >= LOSSES
    }
}

impl Cause {
    /// Returns true when the task may have caused the crash by its start.
    fn suspects(self) -> bool {
        matches!(self, Self::Sole | Self::Shared)
    }
}

/// Returns the milliseconds for which a worker had known of a run at its last word; 0 when
/// it never told of it, as its start may have been carried out after that.
pub(super) fn age(worker: &Worker, run: &Placement) -> Millis {
    let age = |at| worker.answered.saturating_sub(at);
    run.told.map_or(0, age)
}

/// Returns what the crash of a worker says of the runs that it took along.
fn attributions(worker: &Worker, crash: Crash) -> Vec<Attribution> {
    let sent = |run: &Placement| run.stage != Stage::Recording;
    let runs = || worker.placements.iter().filter(|(_, run)| sent(run));
    let isolated = runs().find(|(_, run)| run.suspect).map(|(key, _)| key.job);
    let fresh = |key: &TaskKey, run: &Placement| {
        age(worker, run) < FRESH && isolated.is_none_or(|job| job == key.job)
    };
    let mut jobs = runs()
        .filter(|(key, run)| fresh(key, run))
        .map(|(k, _)| k.job);
    let first = jobs.next();
    let alone = jobs.all(|job| Some(job) == first);
    let cause = |key: &TaskKey, run: &Placement| match fresh(key, run) {
        true if alone => Cause::Sole,
        true => Cause::Shared,
        // What an isolated suspect has done is not laid to others.
        false if isolated.is_some() || age(worker, run) >= PROVEN => Cause::Excluded,
        false => Cause::Unlikely,
    };
    let attribution = |(key, run): (&TaskKey, &Placement)| Attribution {
        key: *key,
        cause: cause(key, run),
        proven: crash == Crash::Replaced && run.told.is_some(),
    };
    runs().map(attribution).collect()
}

impl Owner {
    /// Lays the crash of a worker to the runs that it took along, and gives up tasks under
    /// which too many have crashed. One that had said that it would leave has not crashed.
    pub(super) fn crashed(&mut self, name: &Name, crash: Crash) {
        let Some(worker) = self.workers.get(name).filter(|w| !w.listing.leaving) else {
            return;
        };
        // One whose tasks were freed when its lease had ended is not counted again.
        if worker.placements.is_empty() {
            return;
        }
        let mut attributions = attributions(worker, crash);
        attributions.retain(|a| a.proven || a.cause.suspects());
        let suspects = attributions.iter().filter(|a| a.cause.suspects()).count();
        let tasks = worker.placements.len();
        crate::metrics::get().crashes.inc();
        log::info!(target: "worker", "worker={name} event=crashed how={crash:?} tasks={tasks} suspects={suspects}");
        for attribution in attributions {
            self.count_crash(&attribution, name);
        }
    }

    /// Counts a crash or a loss for a task.
    fn count_crash(&mut self, attribution: &Attribution, name: &Name) {
        let &Attribution { key, cause, proven } = attribution;
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.open()) else {
            return;
        };
        let Some(task) = job.task_mut(key) else {
            return;
        };
        task.suspect = cause.suspects();
        match (cause, proven) {
            (Cause::Excluded, _) => return,
            (_, true) => task.crashes += 1,
            (_, false) => task.losses += 1,
        }
        let (crashes, losses, run) = (task.crashes, task.losses, task.run);
        self.journal.touch(key.job);
        let task = self.task_name(key);
        log::info!(target: "task", "task={task} run={run} event=crash-counted worker={name} cause={cause:?} proven={proven} crashes={crashes} losses={losses}");
        if attribution.gives_up(crashes, losses) {
            crate::metrics::get().given_up.inc();
            log::warn!(target: "task", "task={task} run={run} event=abandoned crashes={crashes} losses={losses} cause={cause:?}");
            self.finish(key.job, Outcome::Failed);
        }
    }

    /// Counts a loss for a task whose worker was gone before this owner knew it: with an
    /// owner lost after each crash, nothing would be counted otherwise.
    pub(super) fn gone_unseen(&mut self, key: TaskKey, name: &Name) {
        let attribution = Attribution {
            key,
            cause: Cause::Shared,
            proven: false,
        };
        self.count_crash(&attribution, name);
    }

    /// Returns true when a task may have caused the last crash under it.
    pub(super) fn suspected(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| task.suspect)
    }

    /// Returns for how many more suspects a worker may be isolated.
    pub(super) fn isolations_left(&self) -> usize {
        let isolated = self
            .workers
            .values()
            .filter(|w| w.isolated.is_some())
            .count();
        let most = (self.workers.len() / ISOLATED_PART).max(1);
        most.saturating_sub(isolated)
    }

    /// Clears the suspects that a worker has listed for long enough.
    pub(super) fn clear_suspects(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name).filter(|w| w.isolated.is_some()) else {
            return;
        };
        let word = worker.answered;
        let lasted = |run: &Placement| run.told.is_some_and(|at| word >= at + FRESH);
        let cleared = worker.clear(lasted);
        if !cleared.is_empty() {
            self.crowded = false;
        }
        for key in cleared {
            let task = self.task_name(key);
            log::info!(target: "task", "task={task} event=cleared worker={name}");
            let job = self.jobs.get_mut(&key.job);
            if let Some(task) = job.and_then(|job| job.task_mut(key)) {
                task.suspect = false;
            }
        }
    }
}
