//! Handles the outcomes of starts and stops, and the reports of workers on runs.

use std::collections::BTreeSet;

use super::Action;
use super::runs::{CallOutcome, Run, RunId, RunPhase, RunReport, RunState};
use super::shard::{JobShard, PendingWrite, TaskState};
use super::state::Cell;
use crate::constants::PER_MILLE;
use crate::invariant::{self, Rule};
use crate::job::Phase;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Consecutive failed runs, of at least two jobs, that put a worker in quarantine.
const QUARANTINE_FAILURES: usize = 3;
/// Most doublings of a quarantine.
const MAX_DOUBLINGS: u32 = 4;

/// Age in milliseconds up to which a run that is lost may have crashed its worker.
const YOUNG_RUN: Millis = 10_000;
/// Lost young runs after which a task has failed: more than the starts of one task that are
/// lost by chance.
const LOST_RUN_LIMIT: u32 = 8;

impl Cell {
    /// Handles the outcome of a start.
    pub fn finish_start(
        &mut self,
        now: Millis,
        name: &Name,
        id: RunId,
        outcome: CallOutcome,
    ) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        match outcome {
            CallOutcome::Done(_) => {
                worker.update_run(id, |r| {
                    if r.phase == RunPhase::Starting {
                        r.phase = RunPhase::Running;
                        r.phase_since = now;
                    }
                });
            }
            CallOutcome::Lost => {
                worker.update_run(id, |r| {
                    if r.phase == RunPhase::Starting {
                        r.phase = RunPhase::InDoubt;
                        r.phase_since = now;
                    }
                });
            }
            CallOutcome::Refused => {
                if let Some(run) = worker.end_run(now, id) {
                    self.requeue(&run);
                }
            }
        }
        self.stop_cancelled(name, id)
    }

    /// Stops a run whose job was cancelled while the run was starting.
    fn stop_cancelled(&mut self, name: &Name, id: RunId) -> Vec<Action> {
        let run = self.workers.get(name).and_then(|w| w.runs.get(&id));
        let Some(job) = run
            .filter(|r| r.phase == RunPhase::Running)
            .map(|r| r.job.clone())
        else {
            return Vec::new();
        };
        let cancelled = self
            .shards
            .values()
            .any(|s| s.cancelled && s.row.spec.id == job);
        match cancelled {
            true => self.stop(name, id, false).into_iter().collect(),
            false => Vec::new(),
        }
    }

    /// Lets a task wait again after a run that never started, or cancels it with its job.
    fn requeue(&mut self, run: &Run) {
        let released = self.release_quota(run);
        let Some((shard, index)) = released else {
            return;
        };
        shard.states[index] = TaskState::Waiting;
        if shard.cancelled {
            shard.states[index] = TaskState::Ended;
            shard.row.tasks[index].phase = Phase::Cancelled;
            shard.dirty = true;
        }
    }

    /// Subtracts a run from the cores of its team if it is the present run of its task: only
    /// these are counted. Returns the shard and the task's index in this case.
    fn release_quota(&mut self, run: &Run) -> Option<(&mut JobShard, usize)> {
        let (shard, index) = self.find_task(&run.job, run.task)?;
        if shard.states[index] != TaskState::Running(run.id) {
            return None;
        }
        let team = shard.row.spec.team.clone();
        if let Some(used) = self.team_cores.get_mut(&team) {
            *used = used.saturating_sub(u64::from(run.size.cores));
        }
        self.find_task(&run.job, run.task)
    }

    /// Makes a run the present one of its task and adds it to the cores of its team.
    fn assign_run(&mut self, job: &Name, task: u32, id: RunId, cores: u32) {
        let Some((shard, index)) = self.find_task(job, task) else {
            return;
        };
        shard.states[index] = TaskState::Running(id);
        let team = shard.row.spec.team.clone();
        *self.team_cores.entry(team).or_default() += u64::from(cores);
    }

    /// Handles the outcome of a stop.
    pub fn finish_stop(
        &mut self,
        now: Millis,
        micros: u64,
        name: &Name,
        id: RunId,
        outcome: CallOutcome,
    ) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        // After a lost or refused stop, the next poll shows whether the run continues.
        if let CallOutcome::Done(saved) = outcome
            && let Some(run) = worker.end_run(now, id)
        {
            self.record_run_end(now, name, &run, RunState::Stopped, saved);
        }
        self.send_queued(now, micros)
    }

    /// Handles the end of a run: updates the task's row, which is then written.
    pub fn record_run_end(
        &mut self,
        now: Millis,
        name: &Name,
        run: &Run,
        state: RunState,
        saved: Millis,
    ) {
        let failures = self.policy.failure_limit;
        let Some((shard, index)) = self.release_quota(run) else {
            return;
        };
        let task = &mut shard.row.tasks[index];
        let cancelled = shard.cancelled;
        match state {
            RunState::Finished => task.phase = Phase::Done,
            _ if cancelled => task.phase = Phase::Cancelled,
            RunState::Failed => {
                task.failures += 1;
                shard.failed_on.insert(index, name.clone());
                shard.discounted.remove(&index);
                if task.failures >= failures {
                    task.phase = Phase::Failed;
                }
            }
            RunState::Stopped | RunState::Running => {
                task.evictions += 1;
                task.saved = task.saved.max(saved);
            }
        }
        shard.states[index] = match task.phase {
            Phase::Open => TaskState::Recording,
            _ => TaskState::Ended,
        };
        shard.dirty = true;
        shard.acks.push((name.clone(), run.id));
        let job = run.job.clone();
        match state {
            RunState::Finished => self.record_finished_run(name),
            RunState::Failed => self.record_failed_run(now, name, job),
            RunState::Stopped | RunState::Running => {}
        }
    }

    /// Resets the failures and quarantines of a worker that finished a run.
    fn record_finished_run(&mut self, name: &Name) {
        self.finished_tasks += 1;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.failed_jobs.clear();
            worker.quarantines = 0;
        }
    }

    /// Counts a failed run. A worker that fails tasks of several jobs is put in quarantine,
    /// and its failures are no longer counted against the tasks.
    fn record_failed_run(&mut self, now: Millis, name: &Name, job: Name) {
        let first_quarantine = self.policy.first_quarantine;
        let listed = self.workers.values().filter(|w| w.listed).count();
        let quarantined = self
            .workers
            .values()
            .filter(|w| w.quarantined_until > now)
            .count();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.failed_jobs.push(job);
        let jobs: BTreeSet<&Name> = worker.failed_jobs.iter().collect();
        let repeated = worker.quarantines > 0;
        if !repeated && (worker.failed_jobs.len() < QUARANTINE_FAILURES || jobs.len() < 2) {
            return;
        }
        // When more than half of the workers would be in quarantine, the cause is more likely in
        // the jobs.
        if (quarantined + 1) * 2 > listed {
            return;
        }
        let duration = first_quarantine << worker.quarantines.min(MAX_DOUBLINGS);
        worker.quarantined_until = now + duration;
        worker.quarantines += 1;
        let failed_jobs = std::mem::take(&mut worker.failed_jobs);
        log::warn!(target: "cell", "worker {name} keeps failing tasks and is quarantined for {duration} ms");
        for shard in self.shards.values_mut() {
            if failed_jobs.contains(&shard.row.spec.id) {
                discount_failures(shard, name);
            }
        }
    }

    /// Applies a worker's report on a run.
    pub fn apply_report(&mut self, now: Millis, name: &Name, report: &RunReport) -> Option<Action> {
        let worker = self.workers.get_mut(name)?;
        if report.state != RunState::Running {
            let known = worker.end_run(now, report.id);
            let run = known.unwrap_or_else(|| adopted_run(report, now));
            self.apply_end(now, name, &run, report);
            return None;
        }
        if worker.has_ended_run(report.id) {
            return None;
        }
        match worker.runs.contains_key(&report.id) {
            true => {
                worker.update_run(report.id, |r| {
                    r.progress = report.progress;
                    // The report may be older than the last change of the share.
                    r.share = r.share.max(report.share);
                    if matches!(r.phase, RunPhase::Starting | RunPhase::InDoubt) {
                        r.phase = RunPhase::Running;
                        r.phase_since = now;
                    }
                });
            }
            false => {
                worker.add_run(adopted_run(report, now));
                // A start that the worker received late may just have begun its lease.
                worker.lease_renewed = worker.lease_renewed.max(now);
            }
        }
        if !self.loaded {
            return None;
        }
        self.adopt_run(name, report, now)
    }

    /// Assigns a reported run to its task if the task is held. Stops the run when it has no
    /// task, or when the task does not need it. Does nothing when the job can't be read.
    fn adopt_run(&mut self, name: &Name, report: &RunReport, now: Millis) -> Option<Action> {
        let unreadable = self.unreadable_jobs.contains(&report.job);
        let Some((shard, index)) = self.find_task(&report.job, report.task) else {
            return match unreadable {
                true => None,
                false => self.stop_once(name, report.id),
            };
        };
        match shard.states[index] {
            TaskState::Running(id) if id == report.id => None,
            TaskState::Held => {
                let urgent = shard.row.spec.urgent;
                let saved = shard.row.tasks[index].saved;
                self.assign_run(&report.job, report.task, report.id, report.size.cores);
                let worker = self.workers.get_mut(name)?;
                worker.update_run(report.id, |r| {
                    r.urgent = urgent;
                    r.saved = saved;
                    r.phase_since = now;
                });
                None
            }
            other => {
                let duplicate = matches!(
                    other,
                    TaskState::Running(_) | TaskState::Waiting | TaskState::Recording
                );
                invariant::check(!duplicate, Rule::Place, || {
                    format!(
                        "job {} task {} runs on {name} although its state is {other:?}",
                        report.job, report.task
                    )
                });
                self.stop_once(name, report.id)
            }
        }
    }

    /// Stops a run unless a stop was already sent.
    fn stop_once(&mut self, name: &Name, id: RunId) -> Option<Action> {
        let run = self.workers.get(name)?.runs.get(&id)?;
        match run.phase {
            RunPhase::Stopping => None,
            _ => self.stop(name, id, false),
        }
    }

    /// Applies a worker's report on a run that has ended.
    fn apply_end(&mut self, now: Millis, name: &Name, run: &Run, report: &RunReport) {
        let unreadable = self.unreadable_jobs.contains(&run.job);
        let Some((shard, index)) = self.find_task(&run.job, run.task) else {
            // An owner that can read the job still has to record the end.
            if !unreadable {
                self.acknowledge(name, run.id);
            }
            return;
        };
        match shard.states[index] {
            TaskState::Running(id) if id == run.id => {
                self.record_run_end(now, name, run, report.state, report.progress);
            }
            // A task is done whichever of its runs has finished.
            TaskState::Held if report.state == RunState::Finished => {
                self.assign_run(&run.job, run.task, run.id, run.size.cores);
                self.record_run_end(now, name, run, report.state, report.progress);
            }
            // The task may have a later run: its progress is saved, and the task stays held.
            TaskState::Held => {
                let task = &mut shard.row.tasks[index];
                task.saved = task.saved.max(report.progress);
                shard.dirty = true;
                shard.acks.push((name.clone(), run.id));
            }
            _ => self.acknowledge(name, run.id),
        }
    }

    /// Acknowledges the end of a run, so that the worker may forget the run, unless the end
    /// is still to be recorded.
    fn acknowledge(&mut self, name: &Name, id: RunId) {
        if !self.loaded || self.has_unrecorded_end(id) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name)
            && !worker.acks.contains(&id)
        {
            worker.acks.push(id);
        }
    }

    /// Returns true when the end of a run is not recorded yet.
    fn has_unrecorded_end(&self, id: RunId) -> bool {
        let pending = |w: &PendingWrite| w.acks.iter().any(|(_, r)| *r == id);
        self.shards.values().any(|s| {
            s.acks.iter().any(|(_, r)| *r == id) || s.pending_write.as_ref().is_some_and(pending)
        })
    }

    /// Handles a run that is no longer on its worker, without a report of its end.
    pub fn handle_lost_run(&mut self, now: Millis, name: &Name, id: RunId) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(run) = worker.end_run(now, id) else {
            return;
        };
        match run.phase {
            RunPhase::InDoubt | RunPhase::Starting => self.requeue(&run),
            _ => self.record_run_end(now, name, &run, RunState::Stopped, run.saved),
        }
        if run.phase != RunPhase::Stopping && now < run.phase_since + YOUNG_RUN {
            self.count_lost_run(&run);
        }
    }

    /// Counts a lost young run. A task that crashes its workers reports no failure, so that
    /// without this count it would crash one worker after the other.
    fn count_lost_run(&mut self, run: &Run) {
        let Some((shard, index)) = self.find_task(&run.job, run.task) else {
            return;
        };
        let count = shard.lost_runs.entry(index).or_insert(0);
        *count += 1;
        let task = &mut shard.row.tasks[index];
        if *count < LOST_RUN_LIMIT || task.phase != Phase::Open {
            return;
        }
        log::warn!(target: "cell", "job {} task {} has failed: {count} young runs were lost with their workers", run.job, run.task);
        task.phase = Phase::Failed;
        shard.states[index] = TaskState::Ended;
        shard.dirty = true;
    }
}

/// Takes back the last failure of each task that failed last on worker `name`, once.
fn discount_failures(shard: &mut JobShard, name: &Name) {
    let affected: Vec<usize> = shard
        .failed_on
        .iter()
        .filter(|(index, worker)| *worker == name && !shard.discounted.contains(index))
        .map(|(index, _)| *index)
        .collect();
    for index in affected {
        shard.discounted.insert(index);
        let task = &mut shard.row.tasks[index];
        task.failures = task.failures.saturating_sub(1);
        if task.phase == Phase::Failed {
            continue;
        }
        shard.dirty = true;
    }
}

/// Returns a run that an earlier owner started, from a worker's report.
fn adopted_run(report: &RunReport, now: Millis) -> Run {
    Run {
        id: report.id,
        job: report.job.clone(),
        task: report.task,
        kind: report.kind.clone(),
        size: report.size,
        share: report.share,
        // An unanswered call of the earlier owner may have raised the share.
        share_floor: PER_MILLE,
        throttle_pending: false,
        phase: RunPhase::Running,
        saved: 0,
        progress: report.progress,
        phase_since: now,
        poll_round: 0,
        urgent: false,
    }
}
