//! The interface to the platform's table: calls, conditions, rows and outcomes.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::lease::WriteOutcome;
use crate::utils::Name;

/// The condition on a row for a commit to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No condition.
    Any,
    /// The row must not exist.
    Absent,
    /// The row must exist, in any version.
    Present,
    /// The row must have this version; 0 means that it must not exist.
    Version(u64),
}

/// What a commit does to a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Leaves the row as it is; only the condition is checked.
    Keep,
    /// Sets the row's value.
    Put(Bytes),
    /// Deletes the row.
    Delete,
}

/// One operation of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Op {
    /// Key of the row.
    pub key: Name,
    /// Condition on the row.
    pub expect: Expect,
    /// Change of the row.
    pub change: Change,
}

impl Op {
    /// Returns an operation that only checks a condition.
    pub fn keep(key: impl Into<Name>, expect: Expect) -> Self {
        Self {
            key: key.into(),
            expect,
            change: Change::Keep,
        }
    }

    /// Returns an operation that sets a row to a value encoded as JSON.
    pub fn put(key: impl Into<Name>, expect: Expect, value: &impl Serialize) -> Self {
        Self {
            key: key.into(),
            expect,
            change: Change::Put(encode(value)),
        }
    }

    /// Returns an operation that deletes a row.
    pub fn delete(key: impl Into<Name>, expect: Expect) -> Self {
        Self {
            key: key.into(),
            expect,
            change: Change::Delete,
        }
    }
}

/// A row that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: Name,
    /// Version of the row.
    pub version: u64,
    /// Value of the row.
    pub value: Bytes,
}

/// A call to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads rows by key.
    Read(Vec<Name>),
    /// Reads all rows whose key has a prefix.
    Scan(Name),
    /// Applies all operations or none of them.
    Commit(Vec<Op>),
}

/// The outcome of a call to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The requested rows that exist.
    Rows(Vec<Row>),
    /// The outcome of a commit.
    Written(WriteOutcome),
    /// A read without an answer.
    Failed,
}

/// Encodes a value as JSON.
pub fn encode(value: &impl Serialize) -> Bytes {
    // Encoding cannot fail: rows are plain structs whose maps have string keys.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Decodes the value of a row from JSON; logs an error and returns `None` when it is invalid.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match serde_json::from_slice(&row.value) {
        Ok(value) => Some(value),
        Err(e) => {
            log::error!(target: "table", "row {} does not decode: {e}", row.key);
            crate::metrics::count_undecoded_row();
            None
        }
    }
}
