//! Tasks that wait for a worker: queued once their dependencies are done, released from a worker, or
//! held because of the workers that they were lost with.

use super::crashes::CrashCounts;
use super::job::{Phase, TaskKey};
use super::losses::may_exceed_crashes;
use super::owner::Owner;
use super::spec::StepSpec;
use crate::utils::clock::Millis;

impl Owner {
    /// Adds the waiting tasks of a job whose dependencies are done to the ready tasks.
    pub(super) fn queue_ready_tasks(&mut self, number: u32) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if !job.is_open() {
            return;
        }
        let mut held = Vec::new();
        for round in 0..job.row.rounds.len() {
            for step in 0..job.spec.steps.len() {
                if !job.dependencies_done(round, step) {
                    continue;
                }
                let tasks = &job.row.rounds[round][step];
                let StepSpec { lasting, gang, .. } = job.spec.steps[step];
                let gang_held = gang && tasks.iter().any(may_exceed_crashes);
                let tasks = tasks.iter().enumerate();
                for (index, task) in tasks.filter(|(_, t)| t.phase == Phase::Waiting) {
                    let key = TaskKey {
                        job: number,
                        round: round as u32,
                        step: step as u32,
                        index: index as u32,
                    };
                    if gang_held || may_exceed_crashes(task) {
                        held.push(key);
                        continue;
                    }
                    self.ready.entry(key).or_insert(self.now.steady);
                    if lasting && task.run > 0 {
                        self.interrupted.entry(key).or_insert(self.now.steady);
                    }
                }
            }
        }
        for key in held {
            self.hold_task(key);
        }
        self.saturated = false;
    }

    /// Releases a task from its worker. Its copy takes the place of the run; without a copy, the
    /// task waits for its next start if its job is open.
    pub(super) fn release_task(&mut self, key: TaskKey) {
        let Some(name) = self.placed_on.remove(&key) else {
            return;
        };
        self.clear_crashes_after_long_run(key, &name);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.remove(key, self.now.steady);
        }
        self.saturated = false;
        if self.promote_copy(key) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(task) = job.task_mut(key) else {
            return;
        };
        if matches!(task.phase, Phase::Placed(_)) {
            task.phase = Phase::Waiting;
            let open = job.is_open();
            let (gang, lasting) = (job.step(key).gang, job.step(key).lasting);
            self.journal.mark_changed(key.job);
            if open && self.must_hold(key) {
                self.hold_task(key);
            } else if open {
                self.ready.insert(key, self.now.steady);
            }
            if lasting {
                self.mark_interrupted(key);
            }
            if gang {
                self.stop_gang(key);
            }
        }
    }

    /// Holds a task that could wait for a worker otherwise.
    pub(super) fn hold_task(&mut self, key: TaskKey) {
        let now = self.now.steady;
        let since = *self.unresolved.held.entry(key).or_insert(now);
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        if let Some(counts) = task.map(CrashCounts::of).filter(|_| since == now) {
            let task = self.task_name(key);
            log::warn!(target: "task", "task={task} event=held {counts}");
        }
    }

    /// Lets a held task, and the other members of its gang, wait for a worker if nothing is in the
    /// way any more.
    pub(super) fn release_held(&mut self, key: TaskKey) {
        if self.must_hold(key) {
            return;
        }
        let members = self.gang_or_self(key).into_iter();
        let held =
            members.filter_map(|member| Some((member, self.unresolved.held.remove(&member)?)));
        let held: Vec<(TaskKey, Millis)> = held.collect();
        if held.is_empty() {
            return;
        }
        for (member, since) in held {
            let (task, held) = (self.task_name(member), self.now.steady - since);
            log::info!(target: "task", "task={task} event=resumed held_ms={held}");
            let job = self.jobs.get(&member.job).filter(|job| job.is_open());
            if job.is_some_and(|job| job.step(member).lasting) {
                self.interrupted.insert(member, since);
            }
        }
        self.queue_ready_tasks(key.job);
    }
}
