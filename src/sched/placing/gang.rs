//! Gangs: tasks of one step that must run at the same time. They share a run number and a
//! checkpoint, and end together.

use crate::sched::job::{Phase, TaskKey};
use crate::sched::owner::Owner;
use crate::utils::Name;

impl Owner {
    /// Returns all tasks of a task's step and round.
    pub(in crate::sched) fn members(&self, key: TaskKey) -> Vec<TaskKey> {
        let count = self.jobs.get(&key.job).map_or(0, |j| j.step(key).count);
        (0..count).map(|index| TaskKey { index, ..key }).collect()
    }

    /// Returns all members of a task's gang, or the task alone if it is in none.
    pub(in crate::sched) fn gang_or_self(&self, key: TaskKey) -> Vec<TaskKey> {
        let gang = self.jobs.get(&key.job).is_some_and(|j| j.step(key).gang);
        if gang { self.members(key) } else { vec![key] }
    }

    /// Stops the other members of the gang of a lost task, as they would hold their resources
    /// without making progress.
    pub(in crate::sched) fn stop_gang(&mut self, lost: TaskKey) {
        for member in self.members(lost) {
            if member != lost {
                self.stop_task(member);
            }
        }
    }

    /// Marks a task as done. The completion of one member completes its whole gang.
    pub(in crate::sched) fn mark_done(&mut self, key: TaskKey) {
        let peers = self.gang_or_self(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        for peer in &peers {
            if let Some(task) = job.task_mut(*peer) {
                task.phase = Phase::Done;
                task.copy = None;
                task.clear_crashes();
            }
        }
        for peer in peers {
            self.ready.remove(&peer);
            self.unresolved.forget_held(|key| *key == peer);
            self.failed_on.remove(&peer);
        }
    }

    /// Records a checkpoint of a task. All members of a gang take over that of one, as their
    /// next run has to start from the same checkpoint.
    pub(in crate::sched) fn save_checkpoint(&mut self, key: TaskKey, checkpoint: &Name) {
        if checkpoint.is_empty() {
            return;
        }
        let peers = self.gang_or_self(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        for peer in peers {
            if let Some(task) = job.task_mut(peer) {
                task.checkpoint = checkpoint.clone();
            }
        }
    }

    /// Returns the number of failed runs of a task, or of all members of its gang.
    pub(in crate::sched) fn failure_count(&self, key: TaskKey) -> u32 {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let peers = self.gang_or_self(key);
        peers
            .iter()
            .filter_map(|peer| job.task(*peer))
            .map(|task| task.failures)
            .sum()
    }
}
