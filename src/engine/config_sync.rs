//! How a box comes to the configuration and follows it.

use std::collections::BTreeMap;

use super::state::Engine;
use super::table_calls::{Purpose, rows};
use super::{Action, Now};
use crate::config::{self, ChangeRow, Config, EntryRow, Head, change_key};
use crate::table::{Call, Outcome, decode};
use crate::utils::Name;

/// Changes that are read one by one; a box further behind reads all entries.
const MAX_CHANGES: u64 = 200;
/// Polls without an answer after which a peer is asked.
const MAX_SILENT_POLLS: u64 = 2;

impl Engine {
    /// Reads the head row when that is due.
    pub(super) fn poll_config(&mut self, now: Now, out: &mut Vec<Action>) {
        let interval = self.settings.intervals.poll;
        let due = self.polled_at.is_none_or(|at| now.millis >= at + interval);
        if due && !self.polling {
            self.polling = true;
            self.polled_at = Some(now.millis);
            self.call_table(
                Purpose::ReadHead,
                Call::Read(vec![config::HEAD.into()]),
                out,
            );
        }
    }

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
        if !self.config.known() || version > self.config.version() + MAX_CHANGES {
            let call = Call::Scan(config::ENTRY.into());
            return self.call_table(Purpose::ReadEntries(version), call, out);
        }
        self.read_changes(self.config.version(), version, out);
    }

    /// Reads the changes after `from`; with none, what is staged is whole.
    fn read_changes(&mut self, from: u64, version: u64, out: &mut Vec<Action>) {
        if version <= from {
            self.polling = false;
            self.adopt_staged();
            return;
        }
        let last = version.min(from + MAX_CHANGES);
        let keys = (from + 1..=last).map(change_key).collect();
        self.call_table(Purpose::ReadChanges, Call::Read(keys), out);
    }

    /// Takes in all entries, read after the head had `version`.
    ///
    /// Entries may have changed while they were read. They are staged until
    /// the changes up to a later head were applied over them as well.
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
            let key = row.key.strip_prefix(config::ENTRY);
            if let Some((key, entry)) = key.zip(decode(row)) {
                entries.insert(key.into(), entry);
            }
        }
        let mut staged = Config::default();
        staged.replace(version, entries);
        self.staged = Some(staged);
        // The next tick reads the head again.
        self.polled_at = None;
    }

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
        let stuck = target.version() == before;
        match &mut self.staged {
            // The changes that are missing were dropped meanwhile: read all again.
            Some(_) if stuck => self.staged = None,
            Some(_) => self.polled_at = None,
            None if stuck => self.staged = None,
            None => self.config_changed(),
        }
    }

    fn adopt_staged(&mut self) {
        let Some(staged) = self.staged.take() else {
            return;
        };
        self.adopt(staged);
    }

    fn adopt(&mut self, config: Config) {
        if self
            .config
            .replace(config.version(), config.entries().clone())
        {
            self.config_changed();
        }
    }

    fn config_changed(&mut self) {
        log::info!(target: "config", "version {} is in force", self.config.version());
        self.update_cells();
    }

    /// Takes in that a peer holds a version; a newer one is read at once, from
    /// the peer itself when the table does not answer.
    pub(super) fn handle_peer_version(
        &mut self,
        now: Now,
        version: u64,
        rpc: std::net::SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if self.config.known() && version <= self.config.version() {
            return;
        }
        self.polled_at = None;
        let patience = self.settings.intervals.poll * MAX_SILENT_POLLS;
        let silent = now.millis >= self.answered_at + patience;
        let due = self
            .snapshot_at
            .is_none_or(|at| now.millis >= at + patience);
        if silent && due && version > 0 {
            self.snapshot_at = Some(now.millis);
            out.push(Action::FetchSnapshot(rpc));
        }
    }

    pub(super) fn adopt_snapshot(&mut self, config: Option<Config>) {
        if let Some(config) = config.filter(Config::known) {
            self.adopt(config);
        }
    }
}
