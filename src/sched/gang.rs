//! Gangs: tasks of one step that only work together, share the number of their
//! run and their checkpoint, and end together.

use super::job::{Phase, TaskKey};
use super::owner::Owner;
use crate::utils::Name;

impl Owner {
    /// Returns all tasks of a task's step and round.
    pub(super) fn members(&self, key: TaskKey) -> Vec<TaskKey> {
        let count = self.jobs.get(&key.job).map_or(0, |j| j.step(key).count);
        (0..count).map(|index| TaskKey { index, ..key }).collect()
    }

    /// Returns the tasks whose state a task shares: its gang, or itself alone.
    pub(super) fn gang_or_self(&self, key: TaskKey) -> Vec<TaskKey> {
        let gang = self.jobs.get(&key.job).is_some_and(|j| j.step(key).gang);
        if gang { self.members(key) } else { vec![key] }
    }

    /// Stops the members of a gang that lost one: they would hold their room
    /// and wait for it in vain.
    pub(super) fn stop_gang(&mut self, lost: TaskKey) {
        for member in self.members(lost) {
            if member != lost {
                self.stop_task(member);
            }
        }
    }

    /// Marks a task as done; one end of a gang's run stands for all its members.
    pub(super) fn mark_done(&mut self, key: TaskKey) {
        let peers = self.gang_or_self(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        for peer in &peers {
            if let Some(task) = job.task_mut(*peer) {
                task.phase = Phase::Done;
            }
        }
        for peer in peers {
            self.ready.remove(&peer);
            self.failed_on.remove(&peer);
        }
    }

    /// Takes in a checkpoint of a task; that of one member is good for its gang,
    /// whose next run has to start from one.
    pub(super) fn save_checkpoint(&mut self, key: TaskKey, saved: &Name) {
        if saved.is_empty() {
            return;
        }
        let peers = self.gang_or_self(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        for peer in peers {
            if let Some(task) = job.task_mut(peer) {
                task.checkpoint = saved.clone();
            }
        }
    }

    /// Returns how often a task has failed; a gang fails with each member.
    pub(super) fn failure_count(&self, key: TaskKey) -> u32 {
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
