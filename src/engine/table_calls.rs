//! Issues calls to the table and dispatches their outcomes.

use super::state::Engine;
use super::{Action, Now};
use crate::claim::{self, CellRow};
use crate::lease::{self, WriteOutcome};
use crate::table::{Call, Outcome, Row, decode};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Purpose of a pending call to the table, with the data needed to handle its outcome.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Read the rows of all boxes.
    ReadBoxes,
    /// Renew the own lease, with the beat of the renewal.
    Renew(u64),
    /// Declare another box dead.
    DeclareDead(Name),
    /// Read the rows of all cells.
    ReadCells,
    /// Claim a cell, with the expected version and the new row.
    Claim(Name, u64, CellRow),
    /// Release a cell, with the expected version and the new row.
    Release(Name, u64, CellRow),
    /// Read the head of the configuration.
    ReadHead,
    /// Read all entries of the configuration, with the version of the head.
    ReadEntries(u64),
    /// Read changes of the configuration.
    ReadChanges,
    /// Read all job shards of a cell, with its epoch.
    ScanShards(Name, u64),
    /// Read job shards whose last write is in doubt: cell, epoch and key of each.
    RereadShards(Vec<(Name, u64, Name)>),
    /// Write job shards: cell, epoch and key of each.
    WriteShards(Vec<(Name, u64, Name)>),
    /// Read the jobs of open job shards.
    ReadJobs,
}

impl Engine {
    /// Requests a call to the table.
    pub(super) fn call_table(&mut self, purpose: Purpose, call: Call, out: &mut Vec<Action>) {
        self.last_op += 1;
        self.table_calls.insert(self.last_op, purpose);
        out.push(Action::CallTable {
            op: self.last_op,
            call,
        });
    }

    /// Passes the outcome of a call, which was sent at `sent`, to the part that made it.
    pub(super) fn handle_table_outcome(
        &mut self,
        now: Now,
        op: u64,
        sent: Millis,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.table_calls.remove(&op) else {
            return;
        };
        let answered = !matches!(
            outcome,
            Outcome::Failed | Outcome::Written(WriteOutcome::NotSent | WriteOutcome::Unknown)
        );
        if answered {
            self.answered_at = now.millis;
        }
        match purpose {
            Purpose::ReadBoxes => {
                let rows = rows(&outcome).map(|r| decode_boxes(r));
                let actions = self.lease.apply_read(now.millis, sent, rows);
                self.apply_lease_actions(now, actions, out);
            }
            Purpose::Renew(beat) => {
                let actions = self
                    .lease
                    .finish_renewal(now.millis, beat, write_outcome(&outcome));
                self.apply_lease_actions(now, actions, out);
            }
            Purpose::DeclareDead(owner) => {
                self.lease
                    .finish_declaration(now.millis, &owner, write_outcome(&outcome))
            }
            Purpose::ReadCells => {
                let rows = rows(&outcome).map(|r| decode_cells(r));
                let actions = self.claims.apply_read(sent, rows);
                for action in actions {
                    self.apply_claim_action(now, action, out);
                }
            }
            Purpose::Claim(cell, expect, row) => {
                let action = self
                    .claims
                    .finish_claim(&cell, expect, row, write_outcome(&outcome));
                if let Some(action) = action {
                    self.apply_claim_action(now, action, out);
                }
            }
            Purpose::Release(cell, expect, row) => {
                let action =
                    self.claims
                        .finish_release(&cell, expect, row, write_outcome(&outcome));
                if let Some(action) = action {
                    self.apply_claim_action(now, action, out);
                }
            }
            Purpose::ReadHead => self.handle_head(now, &outcome, out),
            Purpose::ReadEntries(version) => self.stage_entries(version, &outcome, out),
            Purpose::ReadChanges => self.apply_changes(&outcome),
            Purpose::ScanShards(cell, epoch) => self.handle_scan(now, &cell, epoch, &outcome, out),
            Purpose::RereadShards(shards) => self.handle_reread(&shards, &outcome),
            Purpose::WriteShards(shards) => self.handle_write(&shards, write_outcome(&outcome)),
            Purpose::ReadJobs => self.handle_jobs(now, &outcome, out),
        }
    }
}

/// Returns the rows of a successful read.
pub(super) fn rows(outcome: &Outcome) -> Option<&Vec<Row>> {
    match outcome {
        Outcome::Rows(rows) => Some(rows),
        _ => None,
    }
}

/// Returns the outcome of a write.
pub(super) fn write_outcome(outcome: &Outcome) -> WriteOutcome {
    match outcome {
        Outcome::Written(written) => *written,
        _ => WriteOutcome::Unknown,
    }
}

/// Decodes the rows of boxes; skips invalid ones.
fn decode_boxes(rows: &[Row]) -> Vec<lease::VersionedBox> {
    let versioned = |row: &Row| {
        let version = row.version;
        decode(row).map(|row| lease::VersionedBox { version, row })
    };
    rows.iter().filter_map(versioned).collect()
}

/// Decodes the rows of cells; skips invalid ones.
fn decode_cells(rows: &[Row]) -> Vec<claim::VersionedCell> {
    let versioned = |row: &Row| {
        let cell: Name = row.key.strip_prefix(claim::PREFIX)?.into();
        let version = row.version;
        decode(row).map(|row| claim::VersionedCell { cell, version, row })
    };
    rows.iter().filter_map(versioned).collect()
}
