//! Reads job shards, writes them in groups and cancels their jobs.

use std::collections::BTreeSet;

use super::ownership::cell_key;
use super::state::Engine;
use super::table_calls::{Purpose, rows};
use super::{Action, Now};
use crate::cell::Action as CellAction;
use crate::job::{self, JobRow, VersionedShard};
use crate::lease::WriteOutcome;
use crate::table::{Call, Expect, Op, Outcome, decode};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Number of job shards in a commit at which no further cell's job shards are added.
const GROUP_SIZE: usize = 64;
/// Milliseconds between two checks whether the jobs of open job shards were cancelled.
const JOB_CHECK_INTERVAL: Millis = 30_000;

impl Engine {
    /// Writes changed job shards of several cells in one commit if that is due.
    pub(super) fn write_job_shards(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.millis < self.flushed_at + self.settings.intervals.shard_write {
            return;
        }
        self.flushed_at = now.millis;
        self.reread_in_doubt(out);
        let mut ops = Vec::new();
        let mut shards = Vec::new();
        let names: Vec<Name> = self.cells.keys().cloned().collect();
        let start = self.last_op as usize % names.len().max(1);
        for name in names[start..].iter().chain(&names[..start]) {
            if shards.len() >= GROUP_SIZE {
                break;
            }
            self.collect_writes(name, &mut ops, &mut shards);
        }
        if !shards.is_empty() {
            self.call_table(Purpose::WriteShards(shards), Call::Commit(ops), out);
        }
    }

    /// Adds the changed job shards of one cell to a commit.
    fn collect_writes(
        &mut self,
        name: &Name,
        ops: &mut Vec<Op>,
        shards: &mut Vec<(Name, u64, Name)>,
    ) {
        let Some(version) = self.claims.owned_version(name) else {
            return;
        };
        let Some(cell) = self.cells.get_mut(name) else {
            return;
        };
        let epoch = cell.epoch;
        let before = shards.len();
        for action in cell.write_shards() {
            let CellAction::Write {
                key,
                expected_version,
                row,
            } = action
            else {
                continue;
            };
            ops.push(Op::put(
                key.clone(),
                Expect::Version(expected_version),
                &row,
            ));
            shards.push((name.clone(), epoch, key));
        }
        if shards.len() > before {
            // Fails the commit if the cell has another owner by now.
            ops.push(Op::keep(cell_key(name), Expect::Version(version)));
        }
    }

    /// Reads the job shards whose last write is in doubt, unless such a read is pending.
    fn reread_in_doubt(&mut self, out: &mut Vec<Action>) {
        let pending = self
            .table_calls
            .values()
            .any(|p| matches!(p, Purpose::RereadShards(_)));
        if pending {
            return;
        }
        let mut shards = Vec::new();
        for (name, cell) in &self.cells {
            let in_doubt = cell.shards.iter().filter(|(_, shard)| shard.needs_reread());
            shards.extend(in_doubt.map(|(key, _)| (name.clone(), cell.epoch, key.clone())));
        }
        if !shards.is_empty() {
            let keys = shards.iter().map(|(_, _, key)| key.clone()).collect();
            self.call_table(Purpose::RereadShards(shards), Call::Read(keys), out);
        }
    }

    /// Resolves writes in doubt by the rows that were read.
    pub(super) fn handle_reread(&mut self, shards: &[(Name, u64, Name)], outcome: &Outcome) {
        let Some(rows) = rows(outcome) else {
            return;
        };
        for (name, epoch, key) in shards {
            let row = rows.iter().find(|r| r.key == *key);
            let versioned = row.and_then(|row| {
                decode(row).map(|shard| VersionedShard {
                    key: key.clone(),
                    version: row.version,
                    row: shard,
                })
            });
            if let Some(cell) = self.cells.get_mut(name).filter(|c| c.epoch == *epoch) {
                cell.resolve_write(key, versioned.as_ref());
            }
        }
    }

    /// Applies the outcome of a write of job shards.
    pub(super) fn handle_write(&mut self, shards: &[(Name, u64, Name)], written: WriteOutcome) {
        for (name, epoch, key) in shards {
            if let Some(cell) = self.cells.get_mut(name).filter(|c| c.epoch == *epoch) {
                cell.finish_write(key, written);
            }
        }
    }

    /// Reads all job shards of a cell.
    pub(super) fn scan_shards(&mut self, cell: &Name, out: &mut Vec<Action>) {
        let Some(epoch) = self.cells.get(cell).map(|c| c.epoch) else {
            return;
        };
        let prefix = job::shard_key_prefix(cell).into();
        self.call_table(
            Purpose::ScanShards(cell.clone(), epoch),
            Call::Scan(prefix),
            out,
        );
    }

    /// Applies the job shards of a cell: loads them after the first scan, adds new ones later.
    pub(super) fn handle_scan(
        &mut self,
        now: Now,
        name: &Name,
        epoch: u64,
        outcome: &Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(cell) = self.cells.get_mut(name).filter(|c| c.epoch == epoch) else {
            return;
        };
        let Some(rows) = rows(outcome) else {
            // A cell starts no task without its job shards, so a failed scan is retried at once.
            return self.scan_shards(name, out);
        };
        let mut versioned = Vec::new();
        let mut unreadable = BTreeSet::new();
        for row in rows {
            match decode(row) {
                Some(shard) => versioned.push(VersionedShard {
                    key: row.key.clone(),
                    version: row.version,
                    row: shard,
                }),
                None => unreadable.extend(job::shard_job(&row.key).map(Name::from)),
            }
        }
        cell.set_unreadable(unreadable);
        match self.scanned_at.contains_key(name) {
            true => versioned
                .into_iter()
                .for_each(|v| cell.add_new_shard(now.millis, v)),
            false => cell.load_shards(now.millis, versioned),
        }
        let first = self.scanned_at.insert(name.clone(), now.millis).is_none();
        if first {
            self.jobs_checked_at = 0;
        }
    }

    /// Reads the jobs of open job shards, if that is due, to find cancelled ones.
    pub(super) fn read_jobs(&mut self, now: Now, out: &mut Vec<Action>) {
        if now.millis < self.jobs_checked_at + JOB_CHECK_INTERVAL {
            return;
        }
        self.jobs_checked_at = now.millis;
        let shards = self.cells.values().flat_map(|c| c.shards.values());
        let open = shards.filter(|shard| !shard.cancelled);
        let mut keys: Vec<Name> = open
            .map(|shard| job::key(&shard.row.spec.id).into())
            .collect();
        keys.sort();
        keys.dedup();
        if !keys.is_empty() {
            self.call_table(Purpose::ReadJobs, Call::Read(keys), out);
        }
    }

    /// Cancels the tasks of the jobs that were read as cancelled.
    pub(super) fn handle_jobs(&mut self, now: Now, outcome: &Outcome, out: &mut Vec<Action>) {
        let Some(rows) = rows(outcome) else {
            return;
        };
        let jobs = rows.iter().filter_map(decode::<JobRow>);
        let cancelled: Vec<Name> = jobs.filter(|j| j.cancelled).map(|j| j.spec.id).collect();
        self.cancel_jobs(now, &cancelled, out);
    }

    /// Cancels the tasks of jobs in all cells.
    fn cancel_jobs(&mut self, now: Now, jobs: &[Name], out: &mut Vec<Action>) {
        if jobs.is_empty() {
            return;
        }
        let names: Vec<Name> = self.cells.keys().cloned().collect();
        for name in names {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            let epoch = cell.epoch;
            let actions = cell.cancel_jobs(jobs);
            for action in actions {
                self.apply_cell_action(now, &name, epoch, action, out);
            }
        }
    }

    /// Scans cells to which job shards were added and cancels the tasks of cancelled jobs.
    pub(super) fn handle_hint(
        &mut self,
        now: Now,
        cells: Vec<Name>,
        cancelled: Vec<Name>,
        out: &mut Vec<Action>,
    ) {
        for cell in cells {
            if self.scanned_at.contains_key(&cell) {
                self.scan_shards(&cell, out);
            }
        }
        self.cancel_jobs(now, &cancelled, out);
    }
}
