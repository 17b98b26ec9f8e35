//! Crashes of workers, and the tasks that may have caused them.
//!
//! A run that is lost with its worker is never reported as ended, so the crash is attributed to
//! the runs that may have caused it: those that started shortly before the worker's last answer
//! or after it. Their tasks become suspects. A suspect runs on a worker on which no other task is
//! started until the run has lasted for a while, so a crash there is attributed to it alone. A task
//! that crashes its workers is thus found at its second crash, and tasks that merely ran beside it
//! go on. The counts are stored with the task, so that the next owner continues them.
//!
//! A crash counts as a crash of a task if the worker had listed the task's run and another
//! incarnation has replaced the worker. If the worker had not listed it, the run may never have
//! started: that counts as a loss. A worker that only fell silent may run on out of reach, so
//! whether it has crashed is left to later evidence (`losses`).
//!
//! Where many workers fail at once, the cause is an outage rather than a task. A run that had
//! lasted for a while then counts an outage, of which far more are allowed, and the crash of a
//! suspect's worker counts as a loss.
//!
//! A run that lasts for long clears the counts of its task.

use std::fmt;
use std::net::SocketAddr;

use super::job::{LostIncarnation, Outcome, Phase, Task, TaskKey};
use super::owner::Owner;
use super::placing::placement::{Placement, Stage};
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds from the first report of a run until a crash is no longer attributed to its
/// start: 30 times what a task that crashes its worker takes, including the delay of a report.
const SUSPECT_AGE: Millis = 300;
/// Milliseconds from the first report of a run until it is excluded as the cause of a crash, and
/// its task of all earlier ones.
///
/// Shorter runs are counted, since many short runs that all end with their workers are no
/// coincidence, although a single one may be.
const PROVEN_AGE: Millis = 10_000;
/// Crashes after which a task is abandoned if no other task may have caused the last one.
const MAX_CRASHES: u32 = 2;
/// Outages of a task after which a further one counts like the failure of a single worker: none of
/// its runs has lasted for `PROVEN_AGE` meanwhile.
const MAX_OUTAGES: u32 = 12;
/// A crash is part of an outage when at least this many other workers fail at the same time.
const OUTAGE_WORKERS: usize = 2;
/// Milliseconds within which crashes count as simultaneous: two heartbeats, after which the last
/// of them are noticed.
const OUTAGE_WINDOW: Millis = 2_000;
/// One in this many workers may be isolated for a suspect, including those that suspects have
/// crashed and that are not back yet. The others stay available for other tasks.
const ISOLATION_DIVISOR: usize = 4;

/// How the owner noticed that an incarnation of a worker ended unannounced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashEvidence {
    /// Another incarnation has taken its place.
    Replaced,
    /// It did not answer until its lease had ended; it may still run out of reach.
    Silent,
}

/// Whether a run that was lost with its worker may have caused the crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashCause {
    /// No run of another job may have caused it.
    Sole,
    /// The run may have caused it, as may runs of other jobs.
    Shared,
    /// The run had lasted for some seconds.
    Unlikely,
    /// The run had lasted for long, or a suspect of another job was isolated there: the crash is
    /// not counted.
    Excluded,
}

/// How the failure of a worker counts for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashCategory {
    /// The worker certainly crashed while it ran the task.
    Crash,
    /// The worker certainly crashed, and may have run the task.
    Loss,
    /// The worker fell silent, and may have crashed.
    Silence,
    /// The worker failed at once with many others.
    Outage,
}

/// A counted crash that becomes an outage if enough other workers fail at once with it.
#[derive(Clone, Debug)]
pub(super) struct ProvisionalCrash {
    at: Millis,
    key: TaskKey,
    category: CrashCategory,
}

/// A worker that failed with runs.
pub(super) struct FailedWorker {
    /// The incarnation that failed.
    pub incarnation: LostIncarnation,
    /// Where it ran; none if this owner has never seen it listed.
    pub address: Option<SocketAddr>,
    /// How the failure was noticed.
    pub evidence: CrashEvidence,
}

/// What is known about a crash.
#[derive(Clone, Copy)]
struct CrashContext {
    evidence: CrashEvidence,
    /// True when many workers failed at once.
    outage: bool,
}

impl CrashContext {
    /// Returns how the crash counts for a run.
    fn categorize(self, cause: CrashCause, run: &Placement) -> CrashCategory {
        let confirmed = run.confirmed_at.is_some();
        match self.evidence {
            CrashEvidence::Silent if self.outage && !cause.makes_suspect() => CrashCategory::Outage,
            CrashEvidence::Silent => CrashCategory::Silence,
            CrashEvidence::Replaced if !confirmed => CrashCategory::Loss,
            CrashEvidence::Replaced if !self.outage => CrashCategory::Crash,
            CrashEvidence::Replaced if cause == CrashCause::Unlikely => CrashCategory::Outage,
            CrashEvidence::Replaced if run.suspect => CrashCategory::Loss,
            CrashEvidence::Replaced => CrashCategory::Crash,
        }
    }
}

impl CrashCategory {
    /// Returns how an outage counts for a task with its earlier failures. From the second one on, a
    /// silent worker counts as an unresolved loss, which is dropped if the worker lives.
    fn after_outages(self, task: &Task, evidence: CrashEvidence) -> Self {
        let first = task.outages == 0 && task.suspected_crashes() == 0;
        match (self, evidence) {
            (Self::Outage, CrashEvidence::Silent) if !first => Self::Silence,
            (Self::Outage, CrashEvidence::Replaced) if task.outages >= MAX_OUTAGES => Self::Loss,
            (category, _) => category,
        }
    }
}

/// The counts of a task in log lines.
pub(super) struct CrashCounts {
    crashes: u32,
    losses: u32,
    unresolved: usize,
    outages: u32,
}

impl CrashCounts {
    /// Returns the present counts of a task.
    pub fn of(task: &Task) -> Self {
        Self {
            crashes: task.crashes,
            losses: task.losses,
            unresolved: task.unresolved.len(),
            outages: task.outages,
        }
    }
}

impl fmt::Display for CrashCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            crashes,
            losses,
            unresolved,
            outages,
        } = self;
        write!(
            f,
            "crashes={crashes} losses={losses} unresolved={unresolved} outages={outages}"
        )
    }
}

/// A crash attributed to one task.
struct Attribution {
    key: TaskKey,
    cause: CrashCause,
    category: CrashCategory,
    /// True when it would be an outage if more workers had failed at once.
    provisional: bool,
}

impl CrashCause {
    /// Returns true when the task becomes a suspect: its start may have caused the crash.
    fn makes_suspect(self) -> bool {
        matches!(self, Self::Sole | Self::Shared)
    }
}

/// Returns the milliseconds from a worker's first report of a run to its last answer; 0 if it
/// never reported the run, which may then have started after that answer.
pub(super) fn listed_for(worker: &Worker, run: &Placement) -> Millis {
    let age = |at| worker.last_answer.saturating_sub(at);
    run.confirmed_at.map_or(0, age)
}

/// Returns true for a run that an earlier owner started and that no report has listed since. Most
/// such runs had lasted for long; after an outage there are so many of them that isolating a worker
/// for each would keep their tasks waiting.
fn is_of_unknown_age(run: &Placement) -> bool {
    run.stage == Stage::Inherited && run.confirmed_at.is_none() && !run.suspect
}

/// Attributes the crash of a worker to the runs that were lost with it.
fn attribute_crash(worker: &Worker, context: CrashContext) -> Vec<Attribution> {
    let is_sent = |run: &Placement| run.stage != Stage::Recording;
    let runs = || worker.placements.iter().filter(|(_, run)| is_sent(run));
    let isolated = runs().find(|(_, run)| run.suspect).map(|(key, _)| key.job);
    let may_have_caused = |key: &TaskKey, run: &Placement| {
        !(context.outage && is_of_unknown_age(run))
            && listed_for(worker, run) < SUSPECT_AGE
            && isolated.is_none_or(|job| job == key.job)
    };
    let mut jobs = runs()
        .filter(|(key, run)| may_have_caused(key, run))
        .map(|(k, _)| k.job);
    let first = jobs.next();
    let alone = jobs.all(|job| Some(job) == first);
    let cause = |key: &TaskKey, run: &Placement| match may_have_caused(key, run) {
        true if alone => CrashCause::Sole,
        true => CrashCause::Shared,
        // A crash beside an isolated suspect is not attributed to other runs.
        false if isolated.is_some() || listed_for(worker, run) >= PROVEN_AGE => {
            CrashCause::Excluded
        }
        false => CrashCause::Unlikely,
    };
    let attribute = |(key, run): (&TaskKey, &Placement)| {
        let cause = cause(key, run);
        let category = context.categorize(cause, run);
        (cause != CrashCause::Excluded).then_some(Attribution {
            key: *key,
            cause,
            category,
            provisional: category == CrashCategory::Crash && cause == CrashCause::Unlikely,
        })
    };
    runs().filter_map(attribute).collect()
}

impl Owner {
    /// Counts the crash of a worker for the runs that were lost with it, and abandons tasks with
    /// too many crashes. A worker that had announced that it would leave has not crashed.
    pub(super) fn record_crash(&mut self, name: &Name, evidence: CrashEvidence) {
        let others = self.concurrent_failures(name);
        // A worker whose tasks were released when its lease ended is not counted again.
        let has_crashed = |w: &&Worker| !w.listing.leaving && !w.placements.is_empty();
        let Some(worker) = self.workers.get(name).filter(has_crashed) else {
            return;
        };
        let outage = others >= OUTAGE_WORKERS;
        let attributions = attribute_crash(worker, CrashContext { evidence, outage });
        let suspects = attributions
            .iter()
            .filter(|a| a.cause.makes_suspect())
            .count();
        let tasks = worker.placements.len();
        crate::metrics::get().worker_crashes.inc();
        log::info!(target: "worker", "worker={name} event=crashed how={evidence:?} tasks={tasks} suspects={suspects} others={others}");
        let failed = FailedWorker {
            incarnation: LostIncarnation {
                worker: name.clone(),
                boot: worker.boot,
            },
            address: Some(worker.listing.address),
            evidence,
        };
        self.crash_times.push_back(self.now.steady);
        for attribution in attributions {
            self.count_crash(&attribution, &failed);
        }
    }

    /// Returns how many other workers fail at the same time as `name`: those that crashed within
    /// the outage window, do not answer, or may have restarted. All of them are counted only up to
    /// `OUTAGE_WORKERS`, as thousands of workers may fail at once.
    fn concurrent_failures(&mut self, name: &Name) -> usize {
        let since = self.now.steady.saturating_sub(OUTAGE_WINDOW);
        while self.crash_times.front().is_some_and(|at| *at < since) {
            self.crash_times.pop_front();
        }
        self.provisional_crashes.retain(|crash| crash.at >= since);
        let in_trouble =
            |(id, w): &(&Name, &Worker)| *id != name && (w.missed_polls > 0 || w.unverified);
        let crashed = self.crash_times.len();
        let needed = OUTAGE_WORKERS.saturating_sub(crashed);
        let others = crashed + self.workers.iter().filter(in_trouble).take(needed).count();
        if others >= OUTAGE_WORKERS {
            self.reclassify_as_outage();
        }
        others
    }

    /// Recounts the first of many simultaneous crashes as an outage.
    fn reclassify_as_outage(&mut self) {
        for crash in std::mem::take(&mut self.provisional_crashes) {
            let job = self
                .jobs
                .get_mut(&crash.key.job)
                .filter(|job| job.is_open());
            let Some(task) = job.and_then(|job| job.task_mut(crash.key)) else {
                continue;
            };
            match crash.category {
                CrashCategory::Crash => task.crashes = task.crashes.saturating_sub(1),
                CrashCategory::Loss => task.losses = task.losses.saturating_sub(1),
                CrashCategory::Silence | CrashCategory::Outage => continue,
            }
            task.outages += 1;
            let counts = CrashCounts::of(task);
            self.journal.mark_changed(crash.key.job);
            let task = self.task_name(crash.key);
            log::info!(target: "task", "task={task} event=crash-counted-again was={:?} {counts}", crash.category);
            self.release_held(crash.key);
        }
    }

    /// Counts a crash for a task, and fails its job if the task is abandoned.
    fn count_crash(&mut self, attribution: &Attribution, failed: &FailedWorker) {
        let &Attribution { key, cause, .. } = attribution;
        let job = self.jobs.get_mut(&key.job).filter(|job| job.is_open());
        let task = job.and_then(|job| job.task_mut(key));
        // Another run of a task that is done has ended successfully: this one was not needed.
        let Some(task) = task.filter(|task| task.phase != Phase::Done) else {
            return;
        };
        let category = attribution.category.after_outages(task, failed.evidence);
        task.suspect = cause.makes_suspect();
        match category {
            CrashCategory::Crash => task.crashes += 1,
            CrashCategory::Loss => task.losses += 1,
            CrashCategory::Outage => task.outages += 1,
            CrashCategory::Silence => self.unresolved.record(task, key, failed, self.now.steady),
        }
        let (run, counts) = (task.run, CrashCounts::of(task));
        let sole = category == CrashCategory::Crash && cause == CrashCause::Sole;
        let proven = sole && task.crashes >= MAX_CRASHES;
        if attribution.provisional {
            self.provisional_crashes.push(ProvisionalCrash {
                at: self.now.steady,
                key,
                category,
            });
        }
        self.journal.mark_changed(key.job);
        let (task, worker) = (self.task_name(key), &failed.incarnation.worker);
        log::info!(target: "task", "task={task} run={run} event=crash-counted worker={worker} cause={cause:?} count={category:?} {counts}");
        if proven || self.has_exceeded_crashes(key) {
            self.abandon_task(key);
        }
    }

    /// Fails the job of a task that crashes its workers.
    pub(super) fn abandon_task(&mut self, key: TaskKey) {
        let job = self.jobs.get(&key.job).filter(|job| job.is_open());
        let Some(task) = job.and_then(|job| job.task(key)) else {
            return;
        };
        let (run, counts) = (task.run, CrashCounts::of(task));
        crate::metrics::get().abandoned_tasks.inc();
        let task = self.task_name(key);
        log::warn!(target: "task", "task={task} run={run} event=abandoned {counts}");
        self.finish_job(key.job, Outcome::Failed);
    }

    /// Counts the crash of a worker that was gone before this owner first reached it. Without this
    /// nothing would be counted where an owner is lost after each crash.
    pub(super) fn record_unseen_crashes(
        &mut self,
        keys: &[TaskKey],
        name: &Name,
        evidence: CrashEvidence,
    ) {
        if keys.is_empty() {
            return;
        }
        let outage = self.concurrent_failures(name) >= OUTAGE_WORKERS;
        self.crash_times.push_back(self.now.steady);
        for key in keys {
            let task = self.jobs.get(&key.job).and_then(|job| job.task(*key));
            let boot = task.and_then(|task| task.boot);
            let cause = match outage && !self.is_suspect(*key) {
                true => CrashCause::Unlikely,
                false => CrashCause::Shared,
            };
            let category = match evidence {
                _ if outage => CrashCategory::Outage,
                CrashEvidence::Replaced => CrashCategory::Loss,
                CrashEvidence::Silent => CrashCategory::Silence,
            };
            let attribution = Attribution {
                key: *key,
                cause,
                category,
                provisional: category == CrashCategory::Loss,
            };
            let failed = FailedWorker {
                incarnation: LostIncarnation {
                    worker: name.clone(),
                    boot,
                },
                address: None,
                evidence,
            };
            self.count_crash(&attribution, &failed);
        }
    }

    /// Clears the counts of a task whose run on a worker has lasted for long: it has caused no
    /// crash, and none of earlier ones is held against it for as long as its job lasts.
    pub(super) fn clear_crashes_after_long_run(&mut self, key: TaskKey, name: &Name) {
        let worker = self.workers.get(name);
        let long = worker.is_some_and(|worker| {
            let run = worker.placements.get(&key);
            run.is_some_and(|run| listed_for(worker, run) >= PROVEN_AGE)
        });
        let job = self.jobs.get_mut(&key.job).filter(|_| long);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.clear_crashes();
        }
    }

    /// Returns true when a task may have caused its last crash.
    pub(super) fn is_suspect(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| task.suspect)
    }

    /// Returns how many more workers may be isolated for suspects.
    pub(super) fn remaining_isolations(&self) -> usize {
        let isolated = self
            .workers
            .values()
            .filter(|w| w.isolated_job.is_some())
            .count();
        let limit = (self.workers.len() / ISOLATION_DIVISOR).max(1);
        limit.saturating_sub(isolated)
    }

    /// Clears the suspects whose runs a worker has listed for long enough.
    pub(super) fn clear_suspects(&mut self, name: &Name) {
        let Some(worker) = self
            .workers
            .get_mut(name)
            .filter(|w| w.isolated_job.is_some())
        else {
            return;
        };
        let last_answer = worker.last_answer;
        let lasted = |run: &Placement| {
            run.confirmed_at
                .is_some_and(|at| last_answer >= at + SUSPECT_AGE)
        };
        let cleared = worker.clear_suspects(lasted);
        if !cleared.is_empty() {
            self.saturated = false;
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
