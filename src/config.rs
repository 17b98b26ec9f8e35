//! The configuration: named entries that share one version number.
//!
//! A change is one atomic commit to the platform's table. It advances the head row to the next
//! version, writes the changed entries, and writes a row that describes the change. Boxes apply
//! changes only in the order of versions, so the current configuration never goes back.

mod change;
mod state;

#[cfg(test)]
mod tests;

pub use change::{ConfigTransaction, Refusal, Step};
pub use state::{Config, Service};

use serde::{Deserialize, Serialize};

use crate::utils::Name;
use crate::utils::clock::Millis;

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the rows of entries.
pub const ENTRY_PREFIX: &str = "config/entry/";
/// Prefix of the rows of changes.
pub const CHANGE_PREFIX: &str = "config/change/";
/// Prefix of the rows that hold the version that a change with a given id resulted in.
pub const ID_PREFIX: &str = "config/id/";
/// Number of latest changes whose rows are kept, so that boxes can apply them one by one.
pub const CHANGES_KEPT: u64 = 4_096;

/// The head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Current version of the configuration.
    pub version: u64,
}

/// The row of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Value as JSON.
    pub value: Name,
    /// Version of the configuration that last changed the entry.
    pub version: u64,
}

/// The change of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Key of the entry, such as `service/stock`.
    pub key: Name,
    /// New value as JSON; `None` removes the entry.
    pub value: Option<Name>,
    /// Expected present version of the entry; 0 expects no entry, `None` accepts any version.
    pub expect: Option<u64>,
}

/// The row of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRow {
    /// Version of the configuration that the change results in.
    pub version: u64,
    /// Id chosen by the operator's client, which makes a repeated change idempotent.
    pub id: Name,
    /// User who made the change.
    pub author: Name,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub when: Millis,
    /// Changed entries.
    pub edits: Vec<Edit>,
}

/// Returns the key of the row of the change that resulted in a version.
pub fn change_key(version: u64) -> Name {
    format!("{CHANGE_PREFIX}{version:012}").into()
}
