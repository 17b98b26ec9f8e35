//! Ends of runs: what becomes of their tasks, jobs and workers.

use super::incarnation::Incarnation;
use super::job::{Outcome, Phase, TaskKey};
use super::journal::AfterCommit;
use super::message::{EndedRun, RunOutcome};
use super::owner::Owner;
use super::worker::{PollState, Worker};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds from the moment that all ends of a worker are written to the
/// next exchange with it, for more ends to gather.
const GATHER: Millis = 25;
/// Failed runs in a row after which a worker rests.
const FAILURES: u32 = 3;
/// Milliseconds of that rest, doubled with each further failure up to eight times.
const REST: Millis = 2_000;

impl Owner {
    /// Takes in the end of a run.
    pub(super) fn record_completion(&mut self, name: &Name, end: &EndedRun) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if end.number <= worker.last_completion {
            // One whose commit is on its way is listed with each report.
            if !worker.pending_completions.contains(&end.number) {
                let (task, run, how) = (&end.task, end.run, end.outcome);
                let (number, top) = (end.number, worker.last_completion);
                log::info!(target: "task", "task={task} run={run} event=end-passed-over how={how:?} worker={name} number={number} taken_in={top}");
            }
            return;
        }
        worker.last_completion = end.number;
        let EndedRun {
            task,
            run,
            outcome: how,
            ..
        } = end;
        let Some(key) = self.find(task) else {
            // Its job was removed: nothing is to be kept before the worker forgets it.
            log::info!(target: "task", "task={task} run={run} event=unknown-end how={how:?} worker={name}");
            return;
        };
        let Some(incarnation) = self.workers.get(name).map(Worker::incarnation) else {
            return;
        };
        log::info!(target: "task", "task={task} run={run} event=ended how={how:?} worker={incarnation}");
        self.begun(key);
        let current = self.workers.get(name).and_then(|w| w.placements.get(&key));
        let current = current.is_some_and(|s| s.run == end.run);
        if end.outcome == RunOutcome::Done {
            self.complete_task(key, current);
        } else if current {
            self.free_unfinished(name, key, end);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.pending_completions.insert(end.number);
        }
        self.journal
            .run_after_commit(key.job, AfterCommit::Acknowledge(incarnation, end.number));
    }

    /// Takes in that a run has done its work; `current` when it is the run that its
    /// task is placed for.
    fn complete_task(&mut self, key: TaskKey, current: bool) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let open = job.is_open();
        if job.step(key).lasting && open {
            if current {
                self.free(key);
            }
            return;
        }
        if job.task(key).is_none_or(|t| t.phase == Phase::Done) {
            return;
        }
        if current {
            let name = self.placed.get(&key);
            if let Some(worker) = name.and_then(|n| self.workers.get_mut(n)) {
                worker.failures = 0;
            }
            self.mark_done(key);
            for peer in self.peers(key) {
                self.free(peer);
            }
        } else if open {
            // An earlier run came through after all: its successor is not needed.
            for peer in self.peers(key) {
                self.stop(peer);
            }
            self.mark_done(key);
        }
        self.journal.touch(key.job);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if open && job.all_done() {
            self.finish(key.job, Outcome::Completed);
        } else {
            self.release(key.job);
        }
    }

    /// Takes in the end of a current run that has not done its work.
    fn free_unfinished(&mut self, name: &Name, key: TaskKey, end: &EndedRun) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let lasting = job.step(key).lasting;
        let attempts = job.row.queue.attempts;
        if end.outcome == RunOutcome::Failed
            && let Some(task) = job.task_mut(key)
        {
            task.failures += 1;
            self.failed_on.insert(key, name.clone());
            self.count_failure(name);
        }
        self.save(key, &end.checkpoint);
        let exhausted = !lasting && self.failures(key) >= attempts;
        self.free(key);
        if exhausted && self.jobs.get(&key.job).is_some_and(|j| j.is_open()) {
            self.finish(key.job, Outcome::Failed);
        }
    }

    /// Counts a failed run of a worker, which rests after several in a row.
    fn count_failure(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !self.bounds.mechanisms.quarantine {
            return;
        }
        worker.failures += 1;
        if worker.failures >= FAILURES {
            let doubled = (worker.failures - FAILURES).min(3);
            worker.quarantined_until = self.now.steady + (REST << doubled);
            log::warn!(target: "worker", "worker={name} event=rests failures={}", worker.failures);
        }
    }

    /// Takes in that the store holds an end, so that the worker may forget it.
    pub(super) fn acknowledge_completion(&mut self, incarnation: &Incarnation, end: u64) {
        let now = self.now.steady;
        let name = &incarnation.id;
        // A later incarnation numbers its ends from 1 again.
        let worker = self
            .workers
            .get_mut(name)
            .filter(|w| w.boot == incarnation.boot);
        let Some(worker) = worker else {
            return;
        };
        worker.pending_completions.remove(&end);
        if worker.pending_completions.is_empty() && matches!(worker.poll, PollState::Due(_)) {
            self.schedule(name, now + GATHER);
        }
    }
}
