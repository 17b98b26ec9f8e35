//! Calls to the table, and where their outcomes go.

use super::state::Engine;
use super::{Action, Now};
use crate::claim::{self, CellRow};
use crate::lease::{self, WriteOutcome};
use crate::table::{Call, Outcome, Row, decode};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// What a call to the table is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    ReadBoxes,
    Renew(u64),
    DeclareDead(Name),
    ReadCells,
    Claim(Name, u64, CellRow),
    Release(Name, u64, CellRow),
    ReadHead,
    ReadEntries(u64),
    ReadChanges,
    ScanShards(Name, u64),
    RereadShards(Vec<(Name, u64, Name)>),
    WriteShards(Vec<(Name, u64, Name)>),
    ReadJobs,
}

impl Engine {
    pub(super) fn call_table(&mut self, purpose: Purpose, call: Call, out: &mut Vec<Action>) {
        self.next_op += 1;
        self.table_calls.insert(self.next_op, purpose);
        out.push(Action::CallTable {
            op: self.next_op,
            call,
        });
    }

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
        let reached = !matches!(
            outcome,
            Outcome::Failed | Outcome::Written(WriteOutcome::NotSent | WriteOutcome::Unknown)
        );
        if reached {
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

pub(super) fn rows(outcome: &Outcome) -> Option<&Vec<Row>> {
    match outcome {
        Outcome::Rows(rows) => Some(rows),
        _ => None,
    }
}

pub(super) fn write_outcome(outcome: &Outcome) -> WriteOutcome {
    match outcome {
        Outcome::Written(written) => *written,
        _ => WriteOutcome::Unknown,
    }
}

fn decode_boxes(rows: &[Row]) -> Vec<lease::VersionedBox> {
    let versioned = |row: &Row| {
        let version = row.version;
        decode(row).map(|row| lease::VersionedBox { version, row })
    };
    rows.iter().filter_map(versioned).collect()
}

fn decode_cells(rows: &[Row]) -> Vec<claim::VersionedCell> {
    let versioned = |row: &Row| {
        let cell: Name = row.key.strip_prefix(claim::PREFIX)?.into();
        let version = row.version;
        decode(row).map(|row| claim::VersionedCell { cell, version, row })
    };
    rows.iter().filter_map(versioned).collect()
}
