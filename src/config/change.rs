//! Carries out one change of the configuration, as a state machine without I/O of its own.

use std::collections::BTreeMap;

use super::{
    CHANGES_KEPT, ChangeRow, ENTRY_PREFIX, Edit, EntryRow, HEAD_KEY, Head, ID_PREFIX, change_key,
};
use crate::lease::WriteOutcome;
use crate::table::{Call, Expect, Op, Outcome, Row, decode};
use crate::utils::Name;

/// Attempts to commit before a change that conflicts with concurrent ones is refused.
const MAX_ATTEMPTS: u32 = 16;

/// Reason why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The change is invalid; one message for each finding.
    Invalid(Vec<String>),
    /// An entry has another version than expected.
    Conflict {
        /// Key of the entry.
        key: Name,
        /// Present version of the entry; 0 if there is none.
        version: u64,
    },
    /// Every attempt conflicted with another change.
    Busy,
    /// The table did not answer before the commit was sent; nothing was changed.
    NotReached,
    /// The table did not answer the commit, which may have taken effect.
    Unknown,
}

/// Next step that the transaction requests from the code that drives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make this call, and pass its outcome to [`ConfigTransaction::advance`].
    Call(Call),
    /// The change took effect and resulted in this version.
    Accepted(u64),
    /// The change was not accepted, or its outcome is unknown.
    Refused(Refusal),
}

/// The call whose outcome is awaited.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Writing,
    /// Reading whether a commit without a reply took effect.
    Resolving,
}

/// The state machine of one change. It reads the affected rows, commits under the condition that
/// the head row is unchanged, and reads again after a conflict or a commit without a reply.
#[derive(Clone, Debug)]
pub struct ConfigTransaction {
    row: ChangeRow,
    phase: Phase,
    attempts: u32,
    /// True after a commit whose outcome is unknown.
    in_doubt: bool,
}

impl ConfigTransaction {
    /// Creates the transaction of a change, and returns it with its first step.
    pub fn new(row: ChangeRow) -> (Self, Step) {
        let mut transaction = Self {
            row,
            phase: Phase::Reading,
            attempts: 0,
            in_doubt: false,
        };
        let findings = transaction.validate();
        let step = match findings.is_empty() {
            true => transaction.read(),
            false => Step::Refused(Refusal::Invalid(findings)),
        };
        (transaction, step)
    }

    /// Returns a message for each invalid part of the change.
    fn validate(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if !crate::options::is_name(&self.row.id) {
            findings.push(format!("id: `{}` is not a valid name", self.row.id));
        }
        if self.row.edits.is_empty() {
            findings.push("the change has no entries".into());
        }
        let check = |e: &Edit| super::state::validate_entry(&e.key, e.value.as_deref());
        findings.extend(self.row.edits.iter().filter_map(check));
        findings
    }

    /// Reads the head, the row of the id, and the affected entries.
    fn read(&mut self) -> Step {
        self.phase = match self.in_doubt {
            true => Phase::Resolving,
            false => Phase::Reading,
        };
        let mut keys: Vec<Name> = vec![HEAD_KEY.into(), self.id_key()];
        keys.extend(self.row.edits.iter().map(|e| entry_key(&e.key)));
        Step::Call(Call::Read(keys))
    }

    fn id_key(&self) -> Name {
        format!("{ID_PREFIX}{}", self.row.id).into()
    }

    /// Processes the outcome of the last call, and returns the next step.
    pub fn advance(&mut self, outcome: Outcome) -> Step {
        match (self.phase.clone(), outcome) {
            (Phase::Reading | Phase::Resolving, Outcome::Rows(rows)) => self.on_rows(rows),
            (Phase::Writing, Outcome::Written(written)) => self.on_written(written),
            _ => self.refuse_unreachable(),
        }
    }

    /// Refuses a change because the table did not answer.
    fn refuse_unreachable(&self) -> Step {
        Step::Refused(match self.in_doubt {
            true => Refusal::Unknown,
            false => Refusal::NotReached,
        })
    }

    fn on_rows(&mut self, rows: Vec<Row>) -> Step {
        let rows: BTreeMap<Name, Row> = rows.into_iter().map(|r| (r.key.clone(), r)).collect();
        // The row of the id exists if an earlier attempt of this change took effect.
        if let Some(row) = rows.get(&self.id_key()) {
            return match decode::<Head>(row) {
                Some(head) => Step::Accepted(head.version),
                None => Step::Refused(Refusal::Unknown),
            };
        }
        for edit in &self.row.edits {
            let key = entry_key(&edit.key);
            let entry = rows.get(&key).and_then(decode::<EntryRow>);
            let version = entry.map_or(0, |e| e.version);
            if edit.expect.is_some_and(|e| e != version) {
                return self.conflict(edit.key.clone(), version);
            }
        }
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            return match self.in_doubt {
                true => Step::Refused(Refusal::Unknown),
                false => Step::Refused(Refusal::Busy),
            };
        }
        self.commit(rows.get(HEAD_KEY))
    }

    fn conflict(&self, key: Name, version: u64) -> Step {
        // This is certain even after a commit in doubt: the commit requires the head row as it was
        // read, and the entry's new version shows that the head has moved on. So the commit did not
        // take effect and never will.
        Step::Refused(Refusal::Conflict { key, version })
    }

    /// Commits the change on top of the head that was read.
    fn commit(&mut self, head: Option<&Row>) -> Step {
        let version = head.and_then(decode::<Head>).map_or(0, |h| h.version) + 1;
        let expect = head.map_or(0, |h| h.version);
        self.row.version = version;
        self.phase = Phase::Writing;
        let next = Head { version };
        let mut ops = vec![
            Op::put(HEAD_KEY, Expect::Version(expect), &next),
            Op::put(self.id_key(), Expect::Absent, &next),
            Op::put(change_key(version), Expect::Absent, &self.row),
        ];
        for edit in &self.row.edits {
            let key = entry_key(&edit.key);
            ops.push(match &edit.value {
                Some(value) => {
                    let row = EntryRow {
                        value: value.clone(),
                        version,
                    };
                    Op::put(key, Expect::Any, &row)
                }
                None => Op::delete(key, Expect::Any),
            });
        }
        if version > CHANGES_KEPT {
            ops.push(Op::delete(change_key(version - CHANGES_KEPT), Expect::Any));
        }
        Step::Call(Call::Commit(ops))
    }

    fn on_written(&mut self, written: WriteOutcome) -> Step {
        match written {
            WriteOutcome::Committed => Step::Accepted(self.row.version),
            WriteOutcome::Conflict => self.read(),
            WriteOutcome::NotSent => self.refuse_unreachable(),
            WriteOutcome::Unknown => {
                self.in_doubt = true;
                self.read()
            }
        }
    }
}

fn entry_key(key: &str) -> Name {
    format!("{ENTRY_PREFIX}{key}").into()
}
