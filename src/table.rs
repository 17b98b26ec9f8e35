//! The platform's table as the decisions see it.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::lease::Written;
use crate::utils::Name;

/// What a row must be for a commit to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Anything.
    Any,
    /// Not there.
    Absent,
    /// There, in any version.
    Present,
    /// There in this version; 0 expects its absence.
    Version(u64),
}

/// What a commit does to a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it is only expected.
    Keep,
    /// Sets its value.
    Put(Bytes),
    /// Deletes it.
    Delete,
}

/// One operation of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Op {
    /// Key of the row.
    pub key: Name,
    /// What it must be.
    pub expect: Expect,
    /// What is done to it.
    pub change: Change,
}

impl Op {
    /// Returns an operation that only expects.
    pub fn keep(key: impl Into<Name>, expect: Expect) -> Self {
        Self {
            key: key.into(),
            expect,
            change: Change::Keep,
        }
    }

    /// Returns an operation that sets a row to a value in JSON.
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

/// A row as read.
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
    /// Applies all operations or none.
    Commit(Vec<Op>),
}

/// How a call to the table ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rows asked for that exist.
    Rows(Vec<Row>),
    /// How the commit ended.
    Written(Written),
    /// A read had no answer.
    Failed,
}

/// Returns a value as JSON.
pub fn encode(value: &impl Serialize) -> Bytes {
    // Rows are plain structs with text keys, which always have a JSON form.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Returns the value of a row, or `None` with a log line when it does not decode.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match serde_json::from_slice(&row.value) {
        Ok(value) => Some(value),
        Err(e) => {
            log::error!(target: "table", "row {} does not decode: {e}", row.key);
            crate::metrics::undecoded();
            None
        }
    }
}
