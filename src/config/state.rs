//! The configuration as one box holds it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{ChangeRow, EntryRow};
use crate::cell::{Quota, Size};
use crate::invariant::{self, Rule};
use crate::utils::Name;

/// A service, the value of an entry `service/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Team that runs it.
    pub team: Name,
    /// Thousandths of a core that one request needs.
    #[serde(default = "default_cores")]
    pub cores: u32,
    /// Mebibytes that one request needs.
    #[serde(default)]
    pub memory: u32,
}

fn default_cores() -> u32 {
    500
}

/// A team, the value of an entry `team/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Thousandths of cores in the whole deployment.
    pub cores: u64,
    /// Weight against other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Entries in force, all of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    version: u64,
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
    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns true once any version was taken in.
    pub fn known(&self) -> bool {
        self.known
    }

    /// Returns the entries in force.
    pub fn entries(&self) -> &BTreeMap<Name, EntryRow> {
        &self.entries
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the size of one request to a service.
    pub fn size(&self, name: &str) -> Option<Size> {
        let service = self.services.get(name)?;
        Some(Size {
            cores: service.cores,
            memory: service.memory,
            accelerators: 0,
        })
    }

    /// Returns what teams may use.
    pub fn quotas(&self) -> &BTreeMap<Name, Quota> {
        &self.quotas
    }

    /// Returns the names of the workers drained by operators.
    pub fn drained(&self) -> &BTreeSet<Name> {
        &self.drained
    }

    /// Takes in the next change; false when it is not the next.
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

    /// Takes in a whole configuration if it is newer; true when it was.
    pub fn replace(&mut self, version: u64, entries: BTreeMap<Name, EntryRow>) -> bool {
        if self.known && version <= self.version {
            return false;
        }
        let before = self.version;
        self.version = version;
        self.entries = entries;
        self.known = true;
        invariant::check(self.version >= before, Rule::Config, || {
            format!("version {version} after {before}")
        });
        self.rebuild_index();
        true
    }

    /// Reads the entries that decisions need into typed form.
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

/// Returns what is wrong with an entry, if anything is.
pub fn validate_entry(key: &str, value: Option<&str>) -> Option<String> {
    let Some((kind, name)) = key.split_once('/') else {
        return Some(format!("{key}: write KIND/NAME"));
    };
    if !crate::options::is_name(name) {
        return Some(format!("{key}: `{name}` is no name"));
    }
    let value = value?;
    let result = match kind {
        "service" => serde_json::from_str::<Service>(value).map(drop),
        "team" => serde_json::from_str::<Team>(value).map(drop),
        "drain" => serde_json::from_str::<bool>(value).map(drop),
        _ => return Some(format!("{key}: the kind is none of service, team, drain")),
    };
    result.err().map(|e| format!("{key}: {e}"))
}
