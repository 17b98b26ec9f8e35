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
//!
//! Where many workers go at once, something else is the cause: an outage. It takes far more
//! of these for a run that had been going on for a while, and the crash of a suspect's worker
//! counts as a loss.

use super::job::{Outcome, Task, TaskKey};
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
/// Crashes, losses and outages together after which any task is given up: its runs have
/// never lasted for `PROVEN` meanwhile.
const OUTAGES: u32 = 16;
/// Other workers in trouble with which many have gone at once.
const MANY: usize = 2;
/// Milliseconds for which a crash counts as at once with another: the two heartbeats
/// after which the last of them are heard of.
const AT_ONCE: Millis = 2_000;
/// Crashes and losses together after which any task is given up: no start follows that
/// would be the third after the third crash.
const LOSSES: u32 = 4;
/// One in so many workers may be isolated for a suspect, those that it has taken down and
/// that are not back yet among them: the rest is left to other work.
const ISOLATED_PART: usize = 4;

/// How a life of a worker ended without a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashEvidence {
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

/// As what a crash counts for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashCategory {
    /// The worker has certainly crashed, and under this task.
    Crash,
    /// It may have crashed under this task.
    Loss,
    /// It went at once with many.
    Outage,
}

/// A crash that counted for a task, and is an outage if enough others go at once with it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProvisionalCrash {
    at: Millis,
    key: TaskKey,
    count: CrashCategory,
}

/// The circumstances of a crash.
#[derive(Clone, Copy)]
struct Circumstances {
    crash: CrashEvidence,
    /// True when many workers have gone at once.
    many: bool,
}

impl Circumstances {
    /// Returns as what a crash counts for a run.
    fn count(self, cause: Cause, run: &Placement) -> CrashCategory {
        let proven = self.crash == CrashEvidence::Replaced && run.told.is_some();
        match (proven, self.many) {
            (true, true) if cause == Cause::Unlikely => CrashCategory::Outage,
            (true, true) if run.suspect => CrashCategory::Loss,
            (true, _) => CrashCategory::Crash,
            (false, true) if self.crash == CrashEvidence::Silent && !run.suspect => {
                CrashCategory::Outage
            }
            (false, _) => CrashCategory::Loss,
        }
    }
}

/// A crash as it counts for one task.
struct Attribution {
    key: TaskKey,
    cause: Cause,
    count: CrashCategory,
    /// True when it would be an outage if more had gone at once.
    provisional: bool,
}

impl Attribution {
    /// Returns true when its task is given up.
    fn gives_up(&self, task: &Task) -> bool {
        let found = self.count == CrashCategory::Crash && self.cause == Cause::Sole;
        let counted = task.crashes + task.losses;
        (found && task.crashes >= CRASHES) || counted >= LOSSES || counted + task.outages >= OUTAGES
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
pub(super) fn listed_for(worker: &Worker, run: &Placement) -> Millis {
    let age = |at| worker.last_answer.saturating_sub(at);
    run.told.map_or(0, age)
}

/// Returns what the crash of a worker says of the runs that it took along.
fn attributions(worker: &Worker, circumstances: Circumstances) -> Vec<Attribution> {
    let sent = |run: &Placement| run.stage != Stage::Recording;
    let runs = || worker.placements.iter().filter(|(_, run)| sent(run));
    let isolated = runs().find(|(_, run)| run.suspect).map(|(key, _)| key.job);
    let fresh = |key: &TaskKey, run: &Placement| {
        listed_for(worker, run) < FRESH && isolated.is_none_or(|job| job == key.job)
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
        false if isolated.is_some() || listed_for(worker, run) >= PROVEN => Cause::Excluded,
        false => Cause::Unlikely,
    };
    let attribution = |(key, run): (&TaskKey, &Placement)| {
        let cause = cause(key, run);
        let count = circumstances.count(cause, run);
        let counts =
            count == CrashCategory::Crash || count == CrashCategory::Outage || cause.suspects();
        counts.then_some(Attribution {
            key: *key,
            cause,
            count,
            provisional: count == CrashCategory::Crash && cause == Cause::Unlikely,
        })
    };
    runs().filter_map(attribution).collect()
}

impl Owner {
    /// Lays the crash of a worker to the runs that it took along, and gives up tasks under
    /// which too many have crashed. One that had said that it would leave has not crashed.
    pub(super) fn record_crash(&mut self, name: &Name, crash: CrashEvidence) {
        let others = self.concurrent_failures(name);
        // One whose tasks were freed when its lease had ended is not counted again.
        let counts = |w: &&Worker| !w.listing.leaving && !w.placements.is_empty();
        let Some(worker) = self.workers.get(name).filter(counts) else {
            return;
        };
        let many = others >= MANY;
        let attributions = attributions(worker, Circumstances { crash, many });
        let suspects = attributions.iter().filter(|a| a.cause.suspects()).count();
        let tasks = worker.placements.len();
        crate::metrics::get().crashes.inc();
        log::info!(target: "worker", "worker={name} event=crashed how={crash:?} tasks={tasks} suspects={suspects} others={others}");
        self.crash_times.push_back(self.now.steady);
        for attribution in attributions {
            self.count_crash(&attribution, name);
        }
    }

    /// Returns how many other workers have gone at once with one: that have crashed just
    /// now, don't answer, or may have started again.
    fn concurrent_failures(&mut self, name: &Name) -> usize {
        let since = self.now.steady.saturating_sub(AT_ONCE);
        while self.crash_times.front().is_some_and(|at| *at < since) {
            self.crash_times.pop_front();
        }
        self.provisional_crashes.retain(|crash| crash.at >= since);
        let troubled =
            |(id, w): &(&Name, &Worker)| *id != name && (w.missed_polls > 0 || w.unverified);
        let others = self.crash_times.len() + self.workers.iter().filter(troubled).count();
        if others >= MANY {
            self.reclassify_as_outage();
        }
        others
    }

    /// Counts the first of many crashes at once as what they are: an outage.
    fn reclassify_as_outage(&mut self) {
        for crash in std::mem::take(&mut self.provisional_crashes) {
            let job = self
                .jobs
                .get_mut(&crash.key.job)
                .filter(|job| job.is_open());
            let Some(task) = job.and_then(|job| job.task_mut(crash.key)) else {
                continue;
            };
            match crash.count {
                CrashCategory::Crash => task.crashes = task.crashes.saturating_sub(1),
                CrashCategory::Loss => task.losses = task.losses.saturating_sub(1),
                CrashCategory::Outage => continue,
            }
            task.outages += 1;
            let (crashes, losses, outages) = (task.crashes, task.losses, task.outages);
            self.journal.touch(crash.key.job);
            let task = self.task_name(crash.key);
            log::info!(target: "task", "task={task} event=crash-counted-again was={:?} crashes={crashes} losses={losses} outages={outages}", crash.count);
        }
    }

    /// Counts a crash for a task.
    fn count_crash(&mut self, attribution: &Attribution, name: &Name) {
        let &Attribution {
            key, cause, count, ..
        } = attribution;
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.is_open()) else {
            return;
        };
        let Some(task) = job.task_mut(key) else {
            return;
        };
        task.suspect = cause.suspects();
        match (cause, count) {
            (Cause::Excluded, _) => {
                task.outages = 0;
                return self.journal.touch(key.job);
            }
            (_, CrashCategory::Crash) => task.crashes += 1,
            (_, CrashCategory::Loss) => task.losses += 1,
            (_, CrashCategory::Outage) => task.outages += 1,
        }
        let (crashes, losses, outages) = (task.crashes, task.losses, task.outages);
        let (run, over) = (task.run, attribution.gives_up(task));
        if attribution.provisional {
            let at = self.now.steady;
            self.provisional_crashes
                .push(ProvisionalCrash { at, key, count });
        }
        self.journal.touch(key.job);
        let task = self.task_name(key);
        log::info!(target: "task", "task={task} run={run} event=crash-counted worker={name} cause={cause:?} count={count:?} crashes={crashes} losses={losses} outages={outages}");
        if over {
            crate::metrics::get().given_up.inc();
            log::warn!(target: "task", "task={task} run={run} event=abandoned crashes={crashes} losses={losses} cause={cause:?}");
            self.finish(key.job, Outcome::Failed);
        }
    }

    /// Counts a loss for tasks whose worker was gone before this owner knew it: with an owner
    /// lost after each crash, nothing would be counted otherwise.
    pub(super) fn record_unseen_crashes(&mut self, keys: &[TaskKey], name: &Name) {
        if keys.is_empty() {
            return;
        }
        let many = self.concurrent_failures(name) >= MANY;
        self.crash_times.push_back(self.now.steady);
        for key in keys {
            let attribution = Attribution {
                key: *key,
                cause: Cause::Shared,
                count: if many {
                    CrashCategory::Outage
                } else {
                    CrashCategory::Loss
                },
                provisional: !many,
            };
            self.count_crash(&attribution, name);
        }
    }

    /// Returns true when a task may have caused the last crash under it.
    pub(super) fn is_suspect(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| task.suspect)
    }

    /// Returns for how many more suspects a worker may be isolated.
    pub(super) fn remaining_isolations(&self) -> usize {
        let isolated = self
            .workers
            .values()
            .filter(|w| w.isolated_job.is_some())
            .count();
        let most = (self.workers.len() / ISOLATED_PART).max(1);
        most.saturating_sub(isolated)
    }

    /// Clears the suspects that a worker has listed for long enough.
    pub(super) fn clear_suspects(&mut self, name: &Name) {
        let Some(worker) = self
            .workers
            .get_mut(name)
            .filter(|w| w.isolated_job.is_some())
        else {
            return;
        };
        let word = worker.last_answer;
        let lasted = |run: &Placement| run.told.is_some_and(|at| word >= at + FRESH);
        let cleared = worker.clear_suspects(lasted);
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
