//! Completions of runs that workers report, and their effect on tasks, jobs and workers.

use super::completion_log::Coverage;
use super::incarnation::Incarnation;
use super::job::{Outcome, Phase, TaskKey};
use super::journal::AfterCommit;
use super::message::{EndedRun, RunOutcome};
use super::owner::Owner;
use super::worker::{PollState, Worker};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds from the time when all completions of a worker are stored to the next poll of
/// it, so that more completions gather.
pub(super) const BATCH_DELAY: Millis = 25;
/// Failed runs in a row after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 3;
/// Milliseconds of the first quarantine, doubled with each further failure up to 8 times that.
const FAILURE_QUARANTINE: Millis = 2_000;

impl Owner {
    /// Handles the completions in a report, each once and in the order of their numbers.
    pub(super) fn handle_completions(
        &mut self,
        name: &Name,
        ended: &[EndedRun],
        coverage: Coverage,
    ) {
        let mut ordered: Vec<&EndedRun> = ended.iter().collect();
        ordered.sort_by_key(|completion| completion.number);
        for completion in ordered {
            self.handle_completion(name, completion);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            let listed = ended.iter().map(|completion| completion.number);
            worker.completions.end_report(listed, coverage);
        }
    }

    /// Handles the completion of a run that a worker reports.
    fn handle_completion(&mut self, name: &Name, completion: &EndedRun) {
        let unreadable = self.is_unreadable_task(&completion.task);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.completions.receive(completion.number) {
            // Until it is acknowledged, a completion is listed in every report.
            let acknowledged = worker.completions.acknowledged();
            if completion.number <= acknowledged {
                let (task, run, outcome) = (&completion.task, completion.run, completion.outcome);
                let number = completion.number;
                log::info!(target: "task", "task={task} run={run} event=end-passed-over how={outcome:?} worker={name} number={number} acknowledged={acknowledged}");
            }
            return;
        }
        let EndedRun {
            task, run, outcome, ..
        } = completion;
        if unreadable || completion.outcome == RunOutcome::Unknown {
            log::error!(target: "task", "task={task} run={run} event=unreadable-end worker={name} number={}", completion.number);
            worker.completions.hold(completion.number);
            return;
        }
        let Some(key) = self.find_task(task) else {
            // Its job was removed: nothing has to be stored before the worker may forget it.
            log::info!(target: "task", "task={task} run={run} event=unknown-end how={outcome:?} worker={name}");
            return;
        };
        let Some(incarnation) = self.workers.get(name).map(Worker::incarnation) else {
            return;
        };
        let current = self.workers.get(name).and_then(|w| w.placements.get(&key));
        let current = current.is_some_and(|p| p.run == completion.run);
        let number = completion.number;
        log::info!(target: "task", "task={task} run={run} event=ended how={outcome:?} worker={incarnation} number={number} current={current}");
        self.mark_begun(key);
        if completion.outcome == RunOutcome::Done {
            self.observe_end(name, key, completion.run);
            self.complete_task(name, key, current);
        } else if current {
            self.release_unfinished(name, key, completion);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.completions.await_store(completion.number);
        }
        self.journal.run_after_commit(
            key.job,
            AfterCommit::Acknowledge(incarnation, completion.number),
        );
    }

    /// Marks a task as done after a successful run on a worker; `current` is true if the task is
    /// placed there for that run. The other run of a task with a copy is stopped. A lasting task of an open job is released instead, to run again.
    fn complete_task(&mut self, name: &Name, key: TaskKey, current: bool) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let open = job.is_open();
        if job.step(key).lasting && open {
            if current {
                self.release_task(key);
            }
            return;
        }
        if job.task(key).is_none_or(|t| t.phase == Phase::Done) {
            return;
        }
        if current {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.failures = 0;
            }
            self.record_ended_work(key);
            self.record_winner(key, name);
            self.mark_done(key);
            for peer in self.gang_or_self(key) {
                match peer == key {
                    true => self.release_run(peer, name),
                    false => self.release_task(peer),
                }
            }
            self.stop_task(key);
        } else if open {
            // An earlier run succeeded after all: the later run is not needed.
            for peer in self.gang_or_self(key) {
                self.stop_task(peer);
            }
            self.mark_done(key);
        }
        self.journal.mark_changed(key.job);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if open && job.all_done() {
            self.finish_job(key.job, Outcome::Completed);
        } else {
            self.queue_ready_tasks(key.job);
        }
    }

    /// Releases a task whose current run ended without success, and fails its job once the task's
    /// attempts are exhausted.
    fn release_unfinished(&mut self, name: &Name, key: TaskKey, completion: &EndedRun) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let lasting = job.step(key).lasting;
        let attempts = job.row.queue.max_attempts;
        let done = job.task(key).is_some_and(|t| t.phase == Phase::Done);
        if done && job.step(key).speculative {
            // The other run was successful; this one was not needed.
            return self.release_run(key, name);
        }
        if completion.outcome == RunOutcome::Failed
            && let Some(task) = job.task_mut(key)
        {
            task.failures += 1;
            self.failed_on.insert(key, name.clone());
            self.count_failure(name);
        }
        if !self.copies.is_on(key, name) {
            self.save_checkpoint(key, &completion.checkpoint);
        }
        let exhausted = !lasting && self.failure_count(key) >= attempts;
        self.release_run(key, name);
        if exhausted && self.jobs.get(&key.job).is_some_and(|j| j.is_open()) {
            self.finish_job(key.job, Outcome::Failed);
        }
    }

    /// Counts a failed run of a worker, and quarantines it after several in a row.
    fn count_failure(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !self.settings.mechanisms.quarantine {
            return;
        }
        worker.failures += 1;
        if worker.failures >= QUARANTINE_FAILURES {
            let doublings = (worker.failures - QUARANTINE_FAILURES).min(3);
            worker.quarantined_until = self.now.steady + (FAILURE_QUARANTINE << doublings);
            log::warn!(target: "worker", "worker={name} event=rests failures={}", worker.failures);
        }
    }

    /// Records that a completion is stored, so that the worker may forget it.
    pub(super) fn acknowledge_completion(&mut self, incarnation: &Incarnation, number: u64) {
        let next = self.now.steady + self.batch_delay();
        let name = &incarnation.id;
        // A later incarnation numbers its completions from 1 again.
        let worker = self
            .workers
            .get_mut(name)
            .filter(|w| w.boot == incarnation.boot);
        let Some(worker) = worker else {
            return;
        };
        worker.completions.mark_stored(number);
        if worker.completions.all_stored() && matches!(worker.poll, PollState::Due(_)) {
            self.schedule_poll(name, next);
        }
    }
}
