//! How a box comes to the configuration and follows it.

use std::collections::BTreeMap;

use super::state::Engine;
use super::table_calls::{Purpose, rows};
use super::{Action, Now};
use crate::config::{self, ChangeRow, Config, EntryRow, Head, change_key};
use crate::table::{Call, Outcome, decode};
use crate::utils::Name;

/// Changes that are read one by one; a box further behind reads all entries.
const STEPS: u64 = 200;
/// Polls without an answer after which a peer is asked.
const PATIENCE: u64 = 2;

impl Engine {
    /// Reads the head row when that is due.
    pub(super) fn poll(&mut self, now: Now, out: &mut Vec<Action>) {
        let interval = self.settings.pace.poll;
        let due = self.polled.is_none_or(|at| now.millis >= at + interval);
        if due && !self.polling {
            self.polling = true;
            self.polled = Some(now.millis);
            self.store(Purpose::Head, Call::Read(vec![config::HEAD.into()]), out);
        }
    }

    pub(super) fn head(&mut self, _now: Now, outcome: &Outcome, out: &mut Vec<Action>) {
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
            return self.follow(from, version, out);
        }
        if !self.config.known() || version > self.config.version() + STEPS {
            let call = Call::Scan(config::ENTRY.into());
            return self.store(Purpose::Entries(version), call, out);
        }
        self.follow(self.config.version(), version, out);
    }

    /// Reads the changes after `from`; with none, what is staged is whole.
    fn follow(&mut self, from: u64, version: u64, out: &mut Vec<Action>) {
        if version <= from {
            self.polling = false;
            self.promote();
            return;
        }
        let last = version.min(from + STEPS);
        let keys = (from + 1..=last).map(change_key).collect();
        self.store(Purpose::Changes, Call::Read(keys), out);
    }

    /// Takes in all entries, read after the head had `version`.
    ///
    /// Entries may have changed while they were read. They are staged until
    /// the changes up to a later head were applied over them as well.
    pub(super) fn entries(&mut self, version: u64, outcome: &Outcome, _out: &mut Vec<Action>) {
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
        self.polled = None;
    }

    pub(super) fn changes(&mut self, outcome: &Outcome) {
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
            Some(_) => self.polled = None,
            None if stuck => self.staged = None,
            None => self.changed(),
        }
    }

    fn promote(&mut self) {
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
            self.changed();
        }
    }

    fn changed(&mut self) {
        log::info!(target: "config", "version {} is in force", self.config.version());
        self.refresh();
    }

    /// Takes in that a peer holds a version; a newer one is read at once, from
    /// the peer itself when the table does not answer.
    pub(super) fn heard(
        &mut self,
        now: Now,
        version: u64,
        rpc: std::net::SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if self.config.known() && version <= self.config.version() {
            return;
        }
        self.polled = None;
        let patience = self.settings.pace.poll * PATIENCE;
        let silent = now.millis >= self.answered + patience;
        let due = self.snapshot.is_none_or(|at| now.millis >= at + patience);
        if silent && due && version > 0 {
            self.snapshot = Some(now.millis);
            out.push(Action::FetchSnapshot(rpc));
        }
    }

    pub(super) fn snapshot(&mut self, config: Option<Config>) {
        if let Some(config) = config.filter(Config::known) {
            self.adopt(config);
        }
    }
}
