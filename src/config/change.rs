//! One operator's change, from its question to its final answer.

use std::collections::BTreeMap;

use super::{ChangeRow, ENTRY, Edit, EntryRow, HEAD, Head, ID, MAX_CHANGES, change_key};
use crate::lease::WriteOutcome;
use crate::table::{Call, Expect, Op, Outcome, Row, decode};
use crate::utils::Name;

/// Tries against other operators' changes before the caller is told.
const MAX_ATTEMPTS: u32 = 16;

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The change itself is wrong; one text for each finding.
    Invalid(Vec<String>),
    /// An entry has another version than the change is based on.
    Conflict {
        /// Key of the entry.
        key: Name,
        /// Its version; 0 when it is absent.
        version: u64,
    },
    /// Other changes were faster, time after time.
    Busy,
    /// The table does not answer; the change was not made.
    NotReached,
    /// The table did not answer the commit; the change may be made.
    Unknown,
}

/// What comes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make this call and come back with its outcome.
    Call(Call),
    /// The change is accepted as this version.
    Accepted(u64),
    /// The change is not accepted, or that is unknown.
    Refused(Refusal),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Writing,
    /// Reading whether a commit without an answer took effect.
    Resolving,
}

/// The state machine of one change.
#[derive(Clone, Debug)]
pub struct ConfigTransaction {
    row: ChangeRow,
    phase: Phase,
    attempts: u32,
    /// True once a commit was sent whose outcome is not known.
    in_doubt: bool,
}

impl ConfigTransaction {
    /// Returns the transaction of a change and its first step.
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

    fn validate(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if !crate::options::is_name(&self.row.id) {
            findings.push(format!("id: `{}` is no name", self.row.id));
        }
        if self.row.edits.is_empty() {
            findings.push("nothing to change".into());
        }
        let check = |e: &Edit| super::state::validate_entry(&e.key, e.value.as_deref());
        findings.extend(self.row.edits.iter().filter_map(check));
        findings
    }

    fn read(&mut self) -> Step {
        self.phase = match self.in_doubt {
            true => Phase::Resolving,
            false => Phase::Reading,
        };
        let mut keys: Vec<Name> = vec![HEAD.into(), self.id_key()];
        keys.extend(self.row.edits.iter().map(|e| entry_key(&e.key)));
        Step::Call(Call::Read(keys))
    }

    fn id_key(&self) -> Name {
        format!("{ID}{}", self.row.id).into()
    }

    /// Takes in the outcome of the last call.
    pub fn advance(&mut self, outcome: Outcome) -> Step {
        match (self.phase.clone(), outcome) {
            (Phase::Reading | Phase::Resolving, Outcome::Rows(rows)) => self.on_rows(rows),
            (Phase::Writing, Outcome::Written(written)) => self.on_written(written),
            _ => self.refuse_unreachable(),
        }
    }

    fn refuse_unreachable(&self) -> Step {
        Step::Refused(match self.in_doubt {
            true => Refusal::Unknown,
            false => Refusal::NotReached,
        })
    }

    fn on_rows(&mut self, rows: Vec<Row>) -> Step {
        let rows: BTreeMap<Name, Row> = rows.into_iter().map(|r| (r.key.clone(), r)).collect();
        // The id's row tells that an earlier try of this change took effect.
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
        self.commit(rows.get(HEAD))
    }

    fn conflict(&self, key: Name, version: u64) -> Step {
        // A commit in doubt expects the head as it was: that head is gone, or
        // the entry could not have changed. So it did not and will not happen.
        Step::Refused(Refusal::Conflict { key, version })
    }

    fn commit(&mut self, head: Option<&Row>) -> Step {
        let version = head.and_then(decode::<Head>).map_or(0, |h| h.version) + 1;
        let expect = head.map_or(0, |h| h.version);
        self.row.version = version;
        self.phase = Phase::Writing;
        let next = Head { version };
        let mut ops = vec![
            Op::put(HEAD, Expect::Version(expect), &next),
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
        if version > MAX_CHANGES {
            ops.push(Op::delete(change_key(version - MAX_CHANGES), Expect::Any));
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
    format!("{ENTRY}{key}").into()
}
