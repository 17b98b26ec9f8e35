//! An in-memory table with transactions.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::lease::WriteOutcome;
use crate::table::{Call, Change, Expect, Op, Outcome, Row};
use crate::utils::Name;

/// The rows of a table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<Name, Row>,
    /// Last versions of deleted rows; a key that is written again continues from there, so that no
    /// version occurs twice.
    deleted_versions: BTreeMap<Name, u64>,
    /// Number of rows read.
    pub reads: u64,
    /// Number of rows written.
    pub writes: u64,
    /// Number of commits that failed because an expectation was not met.
    pub conflicts: u64,
}

impl Table {
    /// Executes a call. Its outcome is always known.
    pub fn call(&mut self, call: &Call) -> Outcome {
        match call {
            Call::Read(keys) => Outcome::Rows(self.read(keys)),
            Call::Scan(prefix) => Outcome::Rows(self.scan(prefix, "", usize::MAX).0),
            Call::Commit(ops) => Outcome::Written(match self.commit(ops) {
                Ok(()) => WriteOutcome::Committed,
                Err(_) => WriteOutcome::Conflict,
            }),
        }
    }

    /// Returns the rows that exist for these keys, all as of the same time.
    pub fn read(&mut self, keys: &[Name]) -> Vec<Row> {
        self.reads += keys.len() as u64;
        keys.iter()
            .filter_map(|k| self.rows.get(k).cloned())
            .collect()
    }

    /// Returns up to `limit` rows whose keys have a prefix and sort after a key, and whether there
    /// are more.
    pub fn scan(&mut self, prefix: &str, after: &str, limit: usize) -> (Vec<Row>, bool) {
        let start = if after.is_empty() { prefix } else { after };
        let from = (Bound::Included(start), Bound::Unbounded);
        let range = self.rows.range::<str, _>(from);
        let mut found = range
            .filter(|(key, _)| after.is_empty() || &***key > after)
            .take_while(|(key, _)| key.starts_with(prefix));
        let rows: Vec<Row> = found.by_ref().take(limit).map(|(_, r)| r.clone()).collect();
        let more = found.next().is_some();
        self.reads += rows.len().max(1) as u64;
        (rows, more)
    }

    /// Applies all operations, or none if an expectation is not met, and then returns its key.
    pub fn commit(&mut self, ops: &[Op]) -> Result<(), Name> {
        if let Some(op) = ops.iter().find(|op| !self.is_satisfied(op)) {
            self.conflicts += 1;
            return Err(op.key.clone());
        }
        for op in ops {
            self.apply(op);
        }
        Ok(())
    }

    fn is_satisfied(&self, op: &Op) -> bool {
        let version = self.rows.get(&op.key).map(|r| r.version);
        match op.expect {
            Expect::Any => true,
            Expect::Absent | Expect::Version(0) => version.is_none(),
            Expect::Present => version.is_some(),
            Expect::Version(wanted) => version == Some(wanted),
        }
    }

    fn apply(&mut self, op: &Op) {
        let present = self.rows.get(&op.key).map(|r| r.version);
        let version = present
            .or(self.deleted_versions.get(&op.key).copied())
            .unwrap_or(0);
        match &op.change {
            Change::Keep => {}
            Change::Put(value) => {
                self.writes += 1;
                let row = Row {
                    key: op.key.clone(),
                    version: version + 1,
                    value: value.clone(),
                };
                self.rows.insert(op.key.clone(), row);
            }
            Change::Delete => {
                self.writes += 1;
                if self.rows.remove(&op.key).is_some() {
                    self.deleted_versions.insert(op.key.clone(), version);
                }
            }
        }
    }
}
