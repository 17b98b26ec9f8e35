//! Loads the configuration from the table and keeps it up to date.

use std::collections::BTreeMap;

use super::state::Engine;
use super::table_calls::{Purpose, rows};
use super::{Action, Now};
use crate::config::{self, ChangeRow, Config, EntryRow, Head, change_key};
use crate::table::{Call, Outcome, decode};
use crate::utils::Name;

/// Largest number of changes that are read one by one; a box further behind reads all entries.
const MAX_CHANGES_READ: u64 = 200;
/// Poll intervals without an answer of the table after which a peer's configuration is fetched.
const MAX_SILENT_POLLS: u64 = 2;

impl Engine {
    /// Reads the head row, which holds the latest version, if that is due.
    pub(super) fn poll_config(&mut self, now: Now, out: &mut Vec<Action>) {
        let interval = self.settings.intervals.poll;
        let due = self.polled_at.is_none_or(|at| now.millis >= at + interval);
        if due && !self.polling {
            self.polling = true;
            self.polled_at = Some(now.millis);
            self.call_table(
                Purpose::ReadHead,
                Call::Read(vec![config::HEAD_KEY.into()]),
                out,
            );
        }
    }

    /// Reads all entries or the missing changes, as the head row requires.
    pub(super) fn handle_head(&mut self, _now: Now, outcome: &Outcome, out: &mut Vec<Action>) {
        let Some(rows) = rows(outcome) else {
            self.polling = false;
            return;
        };
        let version = rows
            .first()
            .and_then(decode::<Head>)
            .map_or(0, |h| h.version);
        if let Some(staged) = &self.staged {
            let from = staged.version();
            return self.read_changes(from, version, out);
        }
        if !self.config.is_loaded() || version > self.config.version() + MAX_CHANGES_READ {
            let call = Call::Scan(config::ENTRY_PREFIX.into());
            return self.call_table(Purpose::ReadEntries(version), call, out);
        }
        self.read_changes(self.config.version(), version, out);
    }

    /// Reads the changes after version `from`. If there are none, the staged configuration is
    /// complete and adopted.
    fn read_changes(&mut self, from: u64, version: u64, out: &mut Vec<Action>) {
        if version <= from {
            self.polling = false;
            self.adopt_staged();
            return;
        }
        let last = version.min(from + MAX_CHANGES_READ);
        let keys = (from + 1..=last).map(change_key).collect();
        self.call_table(Purpose::ReadChanges, Call::Read(keys), out);
    }

    /// Stages all entries, which were read after the head was at `version`.
    ///
    /// Entries may have changed during the read. They stay staged until the changes up to a later
    /// head are applied to them.
    pub(super) fn stage_entries(
        &mut self,
        version: u64,
        outcome: &Outcome,
        _out: &mut Vec<Action>,
    ) {
        self.polling = false;
        let Some(rows) = rows(outcome) else {
            return;
        };
        let mut entries: BTreeMap<Name, EntryRow> = BTreeMap::new();
        for row in rows {
            let key = row.key.strip_prefix(config::ENTRY_PREFIX);
            if let Some((key, entry)) = key.zip(decode(row)) {
                entries.insert(key.into(), entry);
            }
        }
        let mut staged = Config::default();
        staged.replace(version, entries);
        self.staged = Some(staged);
        // Makes the next tick read the head again.
        self.polled_at = None;
    }

    /// Applies changes to the staged configuration, or to the active one if none is staged.
    pub(super) fn apply_changes(&mut self, outcome: &Outcome) {
        self.polling = false;
        let Some(rows) = rows(outcome) else {
            return;
        };
        let mut changes: Vec<ChangeRow> = rows.iter().filter_map(decode).collect();
        changes.sort_by_key(|c| c.version);
        let target = self.staged.as_mut().unwrap_or(&mut self.config);
        let before = target.version();
        for change in &changes {
            target.apply(change);
        }
        let unchanged = target.version() == before;
        match &mut self.staged {
            // The missing changes were deleted from the table, so all entries are read again.
            Some(_) if unchanged => self.staged = None,
            Some(_) => self.polled_at = None,
            None if unchanged => self.staged = None,
            None => self.config_changed(),
        }
    }

    /// Makes the staged configuration active.
    fn adopt_staged(&mut self) {
        let Some(staged) = self.staged.take() else {
            return;
        };
        self.adopt(staged);
    }

    /// Makes a configuration active unless the current one is at least as new.
    fn adopt(&mut self, config: Config) {
        if self
            .config
            .replace(config.version(), config.entries().clone())
        {
            self.config_changed();
        }
    }

    /// Logs the new version and updates the cells.
    fn config_changed(&mut self) {
        log::info!(target: "config", "configuration version {} is active", self.config.version());
        self.update_cells();
    }

    /// Schedules an immediate read if a peer has a newer version. Fetches it from the peer if the
    /// table does not answer.
    pub(super) fn handle_peer_version(
        &mut self,
        now: Now,
        version: u64,
        rpc: std::net::SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if self.config.is_loaded() && version <= self.config.version() {
            return;
        }
        self.polled_at = None;
        let timeout = self.settings.intervals.poll * MAX_SILENT_POLLS;
        let table_silent = now.millis >= self.answered_at + timeout;
        let due = self.snapshot_at.is_none_or(|at| now.millis >= at + timeout);
        if table_silent && due && version > 0 {
            self.snapshot_at = Some(now.millis);
            out.push(Action::FetchSnapshot(rpc));
        }
    }

    /// Makes a peer's configuration active; `None` if the fetch failed.
    pub(super) fn adopt_snapshot(&mut self, config: Option<Config>) {
        if let Some(config) = config.filter(Config::is_loaded) {
            self.adopt(config);
        }
    }
}
