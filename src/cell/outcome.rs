//! Outcomes: what calls to workers and their reports say of runs.

use std::collections::BTreeSet;

use super::Action;
use super::runs::{CallOutcome, Run, RunId, RunPhase, RunReport, RunState};
use super::shard::{JobShard, PendingWrite, TaskState};
use super::state::Cell;
use crate::constants::WHOLE;
use crate::invariant::{self, Rule};
use crate::job::Phase;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Failures in a row, of two jobs or more, that put a worker in quarantine.
const FAILURES: usize = 3;
/// Doublings of a quarantine at most.
const BACKOFF: u32 = 4;

/// Milliseconds within which a run that goes without a word may have brought its worker
/// down.
const YOUNG: Millis = 10_000;
/// Such runs after which a task has failed: more than starts that were lost by chance.
const VANISHED: u32 = 8;

impl Cell {
    /// Takes in how a start ended.
    pub fn finish_start(
        &mut self,
        now: Millis,
        name: &Name,
        id: RunId,
        called: CallOutcome,
    ) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        match called {
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

    /// Stops a run whose job was cancelled while it started.
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
            .any(|l| l.cancelled && l.row.spec.id == job);
        match cancelled {
            true => self.stop(name, id, false).into_iter().collect(),
            false => Vec::new(),
        }
    }

    /// Puts a task back whose run never started.
    fn requeue(&mut self, run: &Run) {
        let ended = self.release_quota(run);
        let Some((shard, index)) = ended else {
            return;
        };
        shard.states[index] = TaskState::Waiting;
        if shard.cancelled {
            shard.states[index] = TaskState::Ended;
            shard.row.tasks[index].phase = Phase::Cancelled;
            shard.dirty = true;
        }
    }

    /// Takes a run out of its team's count; returns the task if it is its run.
    fn release_quota(&mut self, run: &Run) -> Option<(&mut JobShard, usize)> {
        let (shard, index) = self.find_task(&run.job, run.task)?;
        let team = shard.row.spec.team.clone();
        if let Some(used) = self.team_cores.get_mut(&team) {
            *used = used.saturating_sub(u64::from(run.size.cores));
        }
        let (shard, index) = self
            .find_task(&run.job, run.task)
            .filter(|(_, i)| *i == index)?;
        (shard.states[index] == TaskState::Running(run.id)).then_some((shard, index))
    }

    /// Takes in how a stop ended.
    pub fn finish_stop(
        &mut self,
        now: Millis,
        micros: u64,
        name: &Name,
        id: RunId,
        called: CallOutcome,
    ) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        // A lost or refused stop is settled by the next exchange.
        if let CallOutcome::Done(kept) = called
            && let Some(run) = worker.end_run(now, id)
        {
            self.end_run(now, name, &run, RunState::Stopped, kept);
        }
        self.send_queued(now, micros)
    }

    /// Takes in that a run has ended; its task's row is changed and written.
    pub fn end_run(&mut self, now: Millis, name: &Name, run: &Run, state: RunState, kept: Millis) {
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
                if task.failures >= failures {
                    task.phase = Phase::Failed;
                }
            }
            RunState::Stopped | RunState::Running => {
                task.evictions += 1;
                task.saved = task.saved.max(kept);
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
            RunState::Finished => self.record_success(name),
            RunState::Failed => self.record_failure(now, name, job),
            RunState::Stopped | RunState::Running => {}
        }
    }

    fn record_success(&mut self, name: &Name) {
        self.finished_tasks += 1;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.failed_jobs.clear();
            worker.quarantines = 0;
        }
    }

    /// Counts a failed run; a worker that fails the tasks of several jobs is
    /// put in quarantine, and those failures no longer count for the tasks.
    fn record_failure(&mut self, now: Millis, name: &Name, job: Name) {
        let quarantine = self.policy.first_quarantine;
        let listed = self.workers.values().filter(|w| w.listed).count();
        let shut = self
            .workers
            .values()
            .filter(|w| w.quarantined_until > now)
            .count();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.failed_jobs.push(job);
        let jobs: BTreeSet<&Name> = worker.failed_jobs.iter().collect();
        let again = worker.quarantines > 0;
        if !again && (worker.failed_jobs.len() < FAILURES || jobs.len() < 2) {
            return;
        }
        // Where half of the workers fail, the fault is more likely the jobs'.
        if (shut + 1) * 2 > listed {
            return;
        }
        let span = quarantine << worker.quarantines.min(BACKOFF);
        worker.quarantined_until = now + span;
        worker.quarantines += 1;
        let blamed = std::mem::take(&mut worker.failed_jobs);
        log::warn!(target: "cell", "{name} fails every task; in quarantine for {span} ms");
        for shard in self.shards.values_mut() {
            if blamed.contains(&shard.row.spec.id) {
                forgive(shard, name);
            }
        }
    }

    /// Takes in a worker's word on a run.
    pub fn apply_report(&mut self, now: Millis, name: &Name, report: &RunReport) -> Option<Action> {
        let worker = self.workers.get_mut(name)?;
        if report.state != RunState::Running {
            let held = worker.end_run(now, report.id);
            let run = held.unwrap_or_else(|| adopted(report, now));
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
                    // A report may be older than the last change of the share.
                    r.share = r.share.max(report.share);
                    if matches!(r.phase, RunPhase::Starting | RunPhase::InDoubt) {
                        r.phase = RunPhase::Running;
                        r.phase_since = now;
                    }
                });
            }
            false => {
                worker.add_run(adopted(report, now));
                // A start that lay unread there may just have begun its lease.
                worker.lease_renewed = worker.lease_renewed.max(now);
            }
        }
        if !self.loaded {
            return None;
        }
        self.adopt_run(name, report, now)
    }

    /// Ties a running run to its task, or stops it when it has none.
    fn adopt_run(&mut self, name: &Name, report: &RunReport, now: Millis) -> Option<Action> {
        let Some((shard, index)) = self.find_task(&report.job, report.task) else {
            return self.stop_once(name, report.id);
        };
        match shard.states[index] {
            TaskState::Running(id) if id == report.id => None,
            TaskState::Held => {
                shard.states[index] = TaskState::Running(report.id);
                let team = shard.row.spec.team.clone();
                let urgent = shard.row.spec.urgent;
                let saved = shard.row.tasks[index].saved;
                *self.team_cores.entry(team).or_default() += u64::from(report.size.cores);
                let worker = self.workers.get_mut(name)?;
                worker.update_run(report.id, |r| {
                    r.urgent = urgent;
                    r.saved = saved;
                    r.phase_since = now;
                });
                None
            }
            other => {
                let twice = matches!(
                    other,
                    TaskState::Running(_) | TaskState::Waiting | TaskState::Recording
                );
                invariant::check(!twice, Rule::Place, || {
                    format!(
                        "{} {} runs on {name} beside {other:?}",
                        report.job, report.task
                    )
                });
                self.stop_once(name, report.id)
            }
        }
    }

    fn stop_once(&mut self, name: &Name, id: RunId) -> Option<Action> {
        let run = self.workers.get(name)?.runs.get(&id)?;
        match run.phase {
            RunPhase::Stopping => None,
            _ => self.stop(name, id, false),
        }
    }

    /// Takes in a worker's word on a run that has ended.
    fn apply_end(&mut self, now: Millis, name: &Name, run: &Run, report: &RunReport) {
        let Some((shard, index)) = self.find_task(&run.job, run.task) else {
            return self.acknowledge(name, run.id);
        };
        match shard.states[index] {
            TaskState::Running(id) if id == run.id => {
                self.end_run(now, name, run, report.state, report.progress);
            }
            // A finished task is done, whichever of its runs finished it.
            TaskState::Held if report.state == RunState::Finished => {
                shard.states[index] = TaskState::Running(run.id);
                self.end_run(now, name, run, report.state, report.progress);
            }
            // It may not be the last run of the task: its work is kept, and
            // the task is held on.
            TaskState::Held => {
                let task = &mut shard.row.tasks[index];
                task.saved = task.saved.max(report.progress);
                shard.dirty = true;
                shard.acks.push((name.clone(), run.id));
            }
            _ => self.acknowledge(name, run.id),
        }
    }

    /// Lets a worker forget a run, unless its end is yet to be recorded.
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

    fn has_unrecorded_end(&self, id: RunId) -> bool {
        let pending = |w: &PendingWrite| w.acks.iter().any(|(_, r)| *r == id);
        self.shards.values().any(|l| {
            l.acks.iter().any(|(_, r)| *r == id) || l.pending_write.as_ref().is_some_and(pending)
        })
    }

    /// Takes in that a run is not on its worker any more and left no word.
    pub fn lose_run(&mut self, now: Millis, name: &Name, id: RunId) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(run) = worker.end_run(now, id) else {
            return;
        };
        match run.phase {
            RunPhase::InDoubt | RunPhase::Starting => self.requeue(&run),
            _ => self.end_run(now, name, &run, RunState::Stopped, run.saved),
        }
        if run.phase != RunPhase::Stopping && now < run.phase_since + YOUNG {
            self.count_lost_run(&run);
        }
    }

    /// Counts a young run that went without a word. A task that brings its workers down
    /// reports no failure, and would take one after the other.
    fn count_lost_run(&mut self, run: &Run) {
        let Some((shard, index)) = self.find_task(&run.job, run.task) else {
            return;
        };
        let count = shard.lost_runs.entry(index).or_insert(0);
        *count += 1;
        let task = &mut shard.row.tasks[index];
        if *count < VANISHED || task.phase != Phase::Open {
            return;
        }
        log::warn!(target: "cell", "{} {} is given up: {count} young runs went with their workers", run.job, run.task);
        task.phase = Phase::Failed;
        shard.states[index] = TaskState::Ended;
        shard.dirty = true;
    }
}

/// Takes back what a worker's own fault was counted for.
fn forgive(shard: &mut JobShard, name: &Name) {
    let blamed: Vec<usize> = shard
        .failed_on
        .iter()
        .filter(|(_, worker)| *worker == name)
        .map(|(index, _)| *index)
        .collect();
    for index in blamed {
        let task = &mut shard.row.tasks[index];
        task.failures = task.failures.saturating_sub(1);
        if task.phase == Phase::Failed {
            continue;
        }
        shard.dirty = true;
    }
}

fn adopted(report: &RunReport, now: Millis) -> Run {
    Run {
        id: report.id,
        job: report.job.clone(),
        task: report.task,
        kind: report.kind.clone(),
        size: report.size,
        share: report.share,
        // An earlier owner may have raised its share without an answer.
        share_floor: WHOLE,
        throttle_pending: false,
        phase: RunPhase::Running,
        saved: 0,
        progress: report.progress,
        phase_since: now,
        poll_round: 0,
        urgent: false,
    }
}
