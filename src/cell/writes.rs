//! Records: the rows of changed job shards, and what their writes settle.

use super::Action;
use super::shard::{PendingWrite, TaskState, end_waiting};
use super::state::Cell;
use crate::job::VersionedShard;
use crate::lease::WriteOutcome;
use crate::utils::Name;

impl Cell {
    /// Writes the rows of changed job shards.
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
            let recorded = recorded.filter(|(_, l)| **l == TaskState::Recording);
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

    /// Takes in how the write of a job shard's row ended.
    pub fn finish_write(&mut self, key: &Name, written: WriteOutcome) {
        let Some(shard) = self.shards.get_mut(key) else {
            return;
        };
        match written {
            WriteOutcome::Committed => {
                shard.version += 1;
                self.confirm_write(key);
            }
            WriteOutcome::NotSent => self.retry_write(key),
            WriteOutcome::Conflict | WriteOutcome::Unknown => shard.needs_reread = true,
        }
    }

    /// Takes in a job shard's row as read after a write in doubt.
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

    fn confirm_write(&mut self, key: &Name) {
        let Some(shard) = self.shards.get_mut(key) else {
            return;
        };
        let Some(writing) = shard.pending_write.take() else {
            return;
        };
        for index in writing.recorded {
            if shard.states[index] == TaskState::Recording {
                shard.states[index] = TaskState::Waiting;
            }
        }
        if shard.cancelled {
            end_waiting(shard);
        }
        let ended = shard.is_ended();
        for (name, id) in writing.acks {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.acks.push(id);
            }
        }
        if ended && let Some(shard) = self.shards.remove(key) {
            self.ended_shards.insert(key.clone(), shard.version);
        }
    }

    fn retry_write(&mut self, key: &Name) {
        let Some(shard) = self.shards.get_mut(key) else {
            return;
        };
        if let Some(writing) = shard.pending_write.take() {
            shard.acks.extend(writing.acks);
            shard.dirty = true;
        }
    }
}
