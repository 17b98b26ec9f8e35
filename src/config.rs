//! The configuration: entries with one version for all of them.
//!
//! A change is accepted when its commit took effect: it moves the head row to
//! the next version, writes the changed entries and one row that tells the
//! change. Boxes apply changes in the order of their versions only, so what
//! is in force never goes back.

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
pub const HEAD: &str = "config/head";
/// Prefix of the rows of entries.
pub const ENTRY: &str = "config/entry/";
/// Prefix of the rows of changes.
pub const CHANGE: &str = "config/change/";
/// Prefix of the rows that tell which change an id was given to.
pub const ID: &str = "config/id/";
/// Changes that are kept to be read one by one.
pub const MAX_CHANGES: u64 = 4_096;

/// The head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the configuration.
    pub version: u64,
}

/// The row of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Value as JSON text.
    pub value: Name,
    /// Version of the configuration that last changed it.
    pub version: u64,
}

/// One entry of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Key of the entry, such as `service/stock`.
    pub key: Name,
    /// New value; none removes the entry.
    pub value: Option<Name>,
    /// Version of the entry that the change is based on; 0 expects its
    /// absence, none accepts any.
    pub expect: Option<u64>,
}

/// The row of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRow {
    /// Version of the configuration after it.
    pub version: u64,
    /// Id chosen by the operator's client.
    pub id: Name,
    /// Who made it.
    pub author: Name,
    /// Milliseconds since the Unix epoch.
    pub when: Millis,
    /// What it changed.
    pub edits: Vec<Edit>,
}

/// Returns the key of the row of the change to a version.
pub fn change_key(version: u64) -> Name {
    format!("{CHANGE}{version:012}").into()
}
