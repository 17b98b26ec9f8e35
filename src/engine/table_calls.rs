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
    Boxes,
    Renew(u64),
    Declare(Name),
    Cells,
    Claim(Name, u64, CellRow),
    Release(Name, u64, CellRow),
    Head,
    Entries(u64),
    Changes,
    Shards(Name, u64),
    Reread(Vec<(Name, u64, Name)>),
    Journal(Vec<(Name, u64, Name)>),
    Jobs,
}

impl Engine {
    pub(super) fn store(&mut self, purpose: Purpose, call: Call, out: &mut Vec<Action>) {
        self.next_op += 1;
        self.ops.insert(self.next_op, purpose);
        out.push(Action::CallTable {
            op: self.next_op,
            call,
        });
    }

    pub(super) fn stored(
        &mut self,
        now: Now,
        op: u64,
        sent: Millis,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.ops.remove(&op) else {
            return;
        };
        let reached = !matches!(
            outcome,
            Outcome::Failed | Outcome::Written(WriteOutcome::NotSent | WriteOutcome::Unknown)
        );
        if reached {
            self.answered = now.millis;
        }
        match purpose {
            Purpose::Boxes => {
                let rows = rows(&outcome).map(|r| boxes(r));
                let actions = self.lease.apply_read(now.millis, sent, rows);
                self.lease_actions(now, actions, out);
            }
            Purpose::Renew(beat) => {
                let actions = self
                    .lease
                    .finish_renewal(now.millis, beat, written(&outcome));
                self.lease_actions(now, actions, out);
            }
            Purpose::Declare(owner) => {
                self.lease
                    .finish_declaration(now.millis, &owner, written(&outcome))
            }
            Purpose::Cells => {
                let rows = rows(&outcome).map(|r| cells(r));
                let actions = self.claims.read(sent, rows);
                for action in actions {
                    self.claim_action(now, action, out);
                }
            }
            Purpose::Claim(cell, expect, row) => {
                let action = self.claims.claimed(&cell, expect, row, written(&outcome));
                if let Some(action) = action {
                    self.claim_action(now, action, out);
                }
            }
            Purpose::Release(cell, expect, row) => {
                let action = self.claims.released(&cell, expect, row, written(&outcome));
                if let Some(action) = action {
                    self.claim_action(now, action, out);
                }
            }
            Purpose::Head => self.head(now, &outcome, out),
            Purpose::Entries(version) => self.entries(version, &outcome, out),
            Purpose::Changes => self.changes(&outcome),
            Purpose::Shards(cell, epoch) => self.shards(now, &cell, epoch, &outcome, out),
            Purpose::Reread(shards) => self.rereads(&shards, &outcome),
            Purpose::Journal(shards) => self.journaled(&shards, written(&outcome)),
            Purpose::Jobs => self.jobs(now, &outcome, out),
        }
    }
}

pub(super) fn rows(outcome: &Outcome) -> Option<&Vec<Row>> {
    match outcome {
        Outcome::Rows(rows) => Some(rows),
        _ => None,
    }
}

pub(super) fn written(outcome: &Outcome) -> WriteOutcome {
    match outcome {
        Outcome::Written(written) => *written,
        _ => WriteOutcome::Unknown,
    }
}

fn boxes(rows: &[Row]) -> Vec<lease::VersionedBox> {
    let versioned = |row: &Row| {
        let version = row.version;
        decode(row).map(|row| lease::VersionedBox { version, row })
    };
    rows.iter().filter_map(versioned).collect()
}

fn cells(rows: &[Row]) -> Vec<claim::VersionedCell> {
    let versioned = |row: &Row| {
        let cell: Name = row.key.strip_prefix(claim::PREFIX)?.into();
        let version = row.version;
        decode(row).map(|row| claim::VersionedCell { cell, version, row })
    };
    rows.iter().filter_map(versioned).collect()
}
