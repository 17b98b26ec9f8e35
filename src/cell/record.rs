//! Records: the rows of changed lots, and what their writes settle.

use super::Action;
use super::shard::{Live, Writing, end_waiting};
use super::state::Cell;
use crate::job::Versioned;
use crate::lease::Written;
use crate::utils::Name;

impl Cell {
    /// Writes the rows of changed lots.
    pub fn flush(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.loaded {
            return actions;
        }
        for (key, lot) in &mut self.lots {
            if !lot.dirty || lot.writing.is_some() || lot.reread {
                continue;
            }
            lot.dirty = false;
            lot.row.epoch = self.epoch;
            lot.row.seq += 1;
            let recorded = lot.live.iter().enumerate();
            let recorded = recorded.filter(|(_, l)| **l == Live::Recording);
            lot.writing = Some(Writing {
                seq: lot.row.seq,
                recorded: recorded.map(|(i, _)| i).collect(),
                acks: std::mem::take(&mut lot.acks),
            });
            actions.push(Action::Write {
                key: key.clone(),
                expect: lot.version,
                row: lot.row.clone(),
            });
        }
        actions
    }

    /// Takes in how the write of a lot's row ended.
    pub fn written(&mut self, key: &Name, written: Written) {
        let Some(lot) = self.lots.get_mut(key) else {
            return;
        };
        match written {
            Written::Committed => {
                lot.version += 1;
                self.recorded(key);
            }
            Written::NotSent => self.unwritten(key),
            Written::Conflict | Written::Unknown => lot.reread = true,
        }
    }

    /// Takes in a lot's row as read after a write in doubt.
    pub fn reread(&mut self, key: &Name, row: Option<&Versioned>) {
        let Some(lot) = self.lots.get_mut(key) else {
            return;
        };
        let Some(versioned) = row else {
            return;
        };
        lot.reread = false;
        let seq = lot.writing.as_ref().map_or(0, |w| w.seq);
        let ours = versioned.row.epoch == self.epoch && versioned.row.seq == seq;
        lot.version = versioned.version;
        match ours {
            true => self.recorded(key),
            false => self.unwritten(key),
        }
    }

    fn recorded(&mut self, key: &Name) {
        let Some(lot) = self.lots.get_mut(key) else {
            return;
        };
        let Some(writing) = lot.writing.take() else {
            return;
        };
        for index in writing.recorded {
            if lot.live[index] == Live::Recording {
                lot.live[index] = Live::Waiting;
            }
        }
        if lot.cancelled {
            end_waiting(lot);
        }
        let ended = lot.ended();
        for (name, id) in writing.acks {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.acks.push(id);
            }
        }
        if ended && let Some(lot) = self.lots.remove(key) {
            self.closed.insert(key.clone(), lot.version);
        }
    }

    fn unwritten(&mut self, key: &Name) {
        let Some(lot) = self.lots.get_mut(key) else {
            return;
        };
        if let Some(writing) = lot.writing.take() {
            lot.acks.extend(writing.acks);
            lot.dirty = true;
        }
    }
}
