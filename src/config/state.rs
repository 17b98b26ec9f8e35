//! The current configuration as a box holds it in memory.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{ChangeRow, EntryRow};
use crate::cell::{Quota, Size};
use crate::invariant::{self, Rule};
use crate::utils::Name;

/// A service: the value of an entry `service/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Team that owns the service.
    pub team: Name,
    /// Processor need of one request, in thousandths of a core.
    #[serde(default = "default_cores")]
    pub cores: u32,
    /// Memory need of one request, in MiB.
    #[serde(default)]
    pub memory: u32,
}

fn default_cores() -> u32 {
    500
}

/// A team: the value of an entry `team/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Processor quota in the whole deployment, in thousandths of a core.
    pub cores: u64,
    /// Weight of the team's share relative to other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// The entries of the current version, with indexes of those that decisions need.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    version: u64,
    /// True once any version was loaded.
    known: bool,
    entries: BTreeMap<Name, EntryRow>,
    #[serde(skip)]
    services: BTreeMap<Name, Service>,
    #[serde(skip)]
    quotas: BTreeMap<Name, Quota>,
    #[serde(skip)]
    drained: BTreeSet<Name>,
}

impl Config {
    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns true once any version was loaded.
    pub fn is_loaded(&self) -> bool {
        self.known
    }

    /// Returns the current entries.
    pub fn entries(&self) -> &BTreeMap<Name, EntryRow> {
        &self.entries
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the resources that one request to a service needs.
    pub fn size(&self, name: &str) -> Option<Size> {
        let service = self.services.get(name)?;
        Some(Size {
            cores: service.cores,
            memory: service.memory,
            accelerators: 0,
        })
    }

    /// Returns the quotas of teams.
    pub fn quotas(&self) -> &BTreeMap<Name, Quota> {
        &self.quotas
    }

    /// Returns the names of the workers that operators have drained.
    pub fn drained(&self) -> &BTreeSet<Name> {
        &self.drained
    }

    /// Applies the change that follows the current version. Returns false for any other change.
    pub fn apply(&mut self, change: &ChangeRow) -> bool {
        if !self.known || change.version != self.version + 1 {
            return false;
        }
        for edit in &change.edits {
            match &edit.value {
                Some(value) => {
                    let row = EntryRow {
                        value: value.clone(),
                        version: change.version,
                    };
                    self.entries.insert(edit.key.clone(), row);
                }
                None => drop(self.entries.remove(&edit.key)),
            }
        }
        self.version = change.version;
        self.rebuild_index();
        true
    }

    /// Replaces the configuration if the given version is newer. Returns true if it was.
    pub fn replace(&mut self, version: u64, entries: BTreeMap<Name, EntryRow>) -> bool {
        if self.known && version <= self.version {
            return false;
        }
        let before = self.version;
        self.version = version;
        self.entries = entries;
        self.known = true;
        invariant::check(self.version >= before, Rule::Config, || {
            format!("configuration version {version} replaces version {before}")
        });
        self.rebuild_index();
        true
    }

    /// Decodes the entries that decisions need. Entries that do not decode are left out.
    fn rebuild_index(&mut self) {
        self.services.clear();
        self.quotas.clear();
        self.drained.clear();
        for (key, row) in &self.entries {
            let Some((kind, name)) = key.split_once('/') else {
                continue;
            };
            let name: Name = name.into();
            match kind {
                "service" => {
                    if let Ok(service) = serde_json::from_str(&row.value) {
                        self.services.insert(name, service);
                    }
                }
                "team" => {
                    if let Ok(Team { cores, weight }) = serde_json::from_str(&row.value) {
                        self.quotas.insert(name, Quota { cores, weight });
                    }
                }
                "drain" => drop(self.drained.insert(name)),
                _ => {}
            }
        }
    }
}

/// Returns an error message if the key or the new value of an entry is invalid.
pub fn validate_entry(key: &str, value: Option<&str>) -> Option<String> {
    let Some((kind, name)) = key.split_once('/') else {
        return Some(format!("{key}: not of the form KIND/NAME"));
    };
    if !crate::options::is_name(name) {
        return Some(format!("{key}: `{name}` is not a valid name"));
    }
    let value = value?;
    let result = match kind {
        "service" => serde_json::from_str::<Service>(value).map(drop),
        "team" => serde_json::from_str::<Team>(value).map(drop),
        "drain" => serde_json::from_str::<bool>(value).map(drop),
        _ => return Some(format!("{key}: the kind must be service, team or drain")),
    };
    result.err().map(|e| format!("{key}: {e}"))
}
