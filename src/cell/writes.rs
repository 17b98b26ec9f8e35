//! Writes the rows of changed job shards and handles the outcomes.

use super::Action;
use super::shard::{PendingWrite, TaskState, cancel_waiting};
use super::state::Cell;
use crate::job::VersionedShard;
use crate::lease::WriteOutcome;
use crate::utils::Name;

impl Cell {
    /// Returns the writes of changed job shards. A shard has at most one write in progress.
    pub fn write_shards(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.loaded {
            return actions;
        }
        for (key, shard) in &mut self.shards {
            if !shard.dirty || shard.pending_write.is_some() || shard.needs_reread {
                continue;
            }
            shard.dirty = false;
            shard.row.epoch = self.epoch;
            shard.row.seq += 1;
            let recorded = shard.states.iter().enumerate();
            let recorded = recorded.filter(|(_, s)| **s == TaskState::Recording);
            shard.pending_write = Some(PendingWrite {
                seq: shard.row.seq,
                recorded: recorded.map(|(i, _)| i).collect(),
                acks: std::mem::take(&mut shard.acks),
            });
            actions.push(Action::Write {
                key: key.clone(),
                expected_version: shard.version,
                row: shard.row.clone(),
            });
        }
        actions
    }

    /// Handles the outcome of a write. After a conflict or without an answer, the row must be
    /// read.
    pub fn finish_write(&mut self, key: &Name, outcome: WriteOutcome) {
        let Some(shard) = self.shards.get_mut(key) else {
            return;
        };
        match outcome {
            WriteOutcome::Committed => {
                shard.version += 1;
                self.confirm_write(key);
            }
            WriteOutcome::NotSent => self.retry_write(key),
            WriteOutcome::Conflict | WriteOutcome::Unknown => shard.needs_reread = true,
        }
    }

    /// Resolves a write in doubt by the row that was read after it: the write succeeded when
    /// the row has its epoch and sequence number.
    pub fn resolve_write(&mut self, key: &Name, row: Option<&VersionedShard>) {
        let Some(shard) = self.shards.get_mut(key) else {
            return;
        };
        let Some(versioned) = row else {
            return;
        };
        shard.needs_reread = false;
        let seq = shard.pending_write.as_ref().map_or(0, |w| w.seq);
        let ours = versioned.row.epoch == self.epoch && versioned.row.seq == seq;
        shard.version = versioned.version;
        match ours {
            true => self.confirm_write(key),
            false => self.retry_write(key),
        }
    }

    /// Lets recorded tasks start again and acknowledges recorded ends to workers. Removes
    /// the shard when all of its tasks have ended.
    fn confirm_write(&mut self, key: &Name) {
        let Some(shard) = self.shards.get_mut(key) else {
            return;
        };
        let Some(write) = shard.pending_write.take() else {
            return;
        };
        for index in write.recorded {
            if shard.states[index] == TaskState::Recording {
                shard.states[index] = TaskState::Waiting;
            }
        }
        if shard.cancelled {
            cancel_waiting(shard);
        }
        let ended = shard.is_ended();
        for (name, id) in write.acks {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.acks.push(id);
            }
        }
        if ended && let Some(shard) = self.shards.remove(key) {
            self.ended_shards.insert(key.clone(), shard.version);
        }
    }

    /// Marks the shard as changed again after a write that had no effect.
    fn retry_write(&mut self, key: &Name) {
        let Some(shard) = self.shards.get_mut(key) else {
            return;
        };
        if let Some(write) = shard.pending_write.take() {
            shard.acks.extend(write.acks);
            shard.dirty = true;
        }
    }
}
