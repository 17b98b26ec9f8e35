//! The state machine of one box's lease.

use std::collections::BTreeMap;

use super::{Action, BoxRow, LeaseTimings, SUCCESSORS, VersionedBox, WriteOutcome};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// A renewal that may still take effect.
#[derive(Clone, Debug)]
struct Renewal {
    expect: u64,
    beat: u64,
    sent: Millis,
    successors: Vec<Name>,
}

/// Another box as last seen in the table.
#[derive(Clone, Debug)]
struct Seen {
    version: u64,
    /// When this version was first seen, on the own clock.
    since: Millis,
    row: BoxRow,
}

/// State of the own lease and of the watch over others.
#[derive(Clone, Debug)]
pub struct Lease {
    timings: LeaseTimings,
    me: BoxRow,
    version: u64,
    until: Millis,
    /// Successors by the confirmed row.
    listed: Vec<Name>,
    doubtful: Vec<Renewal>,
    waiting: Option<u64>,
    renewed: Option<Millis>,
    read: Option<Millis>,
    reading: bool,
    registered: Option<Millis>,
    deposed: bool,
    promises: BTreeMap<Name, Millis>,
    given: BTreeMap<Name, Millis>,
    declaring: BTreeMap<Name, u64>,
    seen: BTreeMap<Name, Seen>,
    /// Boxes that this one has declared dead, and when that was known: a read
    /// sent before may still show their rows.
    dead: BTreeMap<Name, Millis>,
    read_sent: Millis,
    complete: bool,
}

impl Lease {
    /// Returns the lease of a new incarnation, which is not registered yet.
    pub fn new(timings: LeaseTimings, me: BoxRow) -> Self {
        Self {
            timings,
            me,
            version: 0,
            until: 0,
            listed: Vec::new(),
            doubtful: Vec::new(),
            waiting: None,
            renewed: None,
            read: None,
            reading: false,
            registered: None,
            deposed: false,
            promises: BTreeMap::new(),
            given: BTreeMap::new(),
            declaring: BTreeMap::new(),
            seen: BTreeMap::new(),
            dead: BTreeMap::new(),
            read_sent: 0,
            complete: false,
        }
    }

    /// Returns the own incarnation.
    pub fn id(&self) -> &Name {
        &self.me.id
    }

    /// Returns the own row as last written or about to be.
    pub fn me(&self) -> &BoxRow {
        &self.me
    }

    /// Returns the other boxes in the table, by incarnation.
    pub fn others(&self) -> impl Iterator<Item = &BoxRow> {
        self.seen.values().map(|s| &s.row)
    }

    /// Returns another box's row by incarnation.
    pub fn other(&self, id: &str) -> Option<&BoxRow> {
        self.seen.get(id).map(|s| &s.row)
    }

    /// Returns true once the own row is confirmed and all others were read.
    pub fn registered(&self) -> bool {
        self.registered.is_some() && self.complete && !self.deposed
    }

    /// Returns true while a box renews its row, as far as this one can see.
    pub fn fresh(&self, id: &str, now: Millis) -> bool {
        let seen = self.seen.get(id);
        seen.is_some_and(|s| now < s.since + self.timings.length)
    }

    /// Returns the time until which the box may act, or 0.
    pub fn until(&self) -> Millis {
        if self.deposed || self.registered.is_none() {
            return 0;
        }
        self.until.max(self.promised())
    }

    /// Returns true while the box may act for its cells.
    pub fn acts(&self, now: Millis) -> bool {
        now < self.until()
    }

    /// Returns true while the box acts by promises only.
    pub fn extended(&self, now: Millis) -> bool {
        now >= self.until && self.acts(now)
    }

    /// Returns the successors whose promise is to be asked for.
    pub fn successors(&self) -> Vec<Name> {
        let mut all = self.listed.clone();
        for renewal in &self.doubtful {
            all.extend(renewal.successors.iter().cloned());
        }
        all.sort();
        all.dedup();
        all
    }

    /// Returns the time until which all successors have promised, or 0.
    fn promised(&self) -> Millis {
        let successors = self.successors();
        let valid = |s| self.promises.get(s).copied().unwrap_or(0);
        let earliest = successors.iter().map(valid).min().unwrap_or(0);
        earliest.min(self.until + self.timings.outage)
    }

    /// Returns what is due at `now`.
    pub fn tick(&mut self, now: Millis, interval: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.deposed {
            return actions;
        }
        if !self.reading && self.read.is_none_or(|at| now >= at + interval) {
            self.reading = true;
            self.read = Some(now);
            actions.push(Action::Read);
        }
        if self.complete {
            actions.extend(self.renew(now));
            actions.extend(self.declare(now));
        }
        actions
    }

    fn renew(&mut self, now: Millis) -> Option<Action> {
        let due = self
            .renewed
            .is_none_or(|at| now >= at + self.timings.length / 4);
        // A read tells what became of a registration in doubt.
        let unsettled = self.version == 0 && !self.doubtful.is_empty();
        if self.waiting.is_some() || unsettled || !due {
            return None;
        }
        self.me.beat += 1;
        self.me.successors = self.choose(now);
        self.renewed = Some(now);
        self.waiting = Some(self.me.beat);
        self.doubtful.push(Renewal {
            expect: self.version,
            beat: self.me.beat,
            sent: now,
            successors: self.me.successors.clone(),
        });
        Some(Action::Renew {
            expect: self.version,
            row: self.me.clone(),
        })
    }

    /// Keeps listed successors that are alive and fills up with others,
    /// those of other halls first.
    fn choose(&self, now: Millis) -> Vec<Name> {
        let mut chosen: Vec<Name> = self
            .me
            .successors
            .iter()
            .filter(|s| self.fresh(s, now))
            .cloned()
            .collect();
        let mut rest: Vec<&BoxRow> = self
            .others()
            .filter(|b| self.fresh(&b.id, now) && !chosen.contains(&b.id))
            .collect();
        let rank = |b: &&BoxRow| {
            let hash = crate::utils::hash::stable(&[&self.me.id, &b.id]);
            (b.hall == self.me.hall, hash)
        };
        rest.sort_by_key(rank);
        let free = SUCCESSORS.saturating_sub(chosen.len());
        chosen.extend(rest.iter().take(free).map(|b| b.id.clone()));
        chosen
    }

    fn declare(&mut self, now: Millis) -> Vec<Action> {
        let mut due = Vec::new();
        for (id, seen) in &self.seen {
            let promised = self.given.get(id).is_some_and(|until| *until > now);
            let pending = self.declaring.contains_key(id);
            if !promised && !pending && self.is_dead(seen, now) {
                due.push((id.clone(), seen.version));
            }
        }
        for (owner, version) in &due {
            self.declaring.insert(owner.clone(), *version);
        }
        due.into_iter()
            .map(|(owner, version)| Action::Declare { owner, version })
            .collect()
    }

    fn is_dead(&self, seen: &Seen, now: Millis) -> bool {
        let timings = self.timings;
        let idle = now.saturating_sub(seen.since);
        let listed = seen.row.successors.contains(&self.me.id);
        // The same name and address again: this process holds the old one's port.
        let reborn = seen.row.name == self.me.name && seen.row.rpc == self.me.rpc;
        let stale = idle >= timings.length + timings.margin;
        let forgotten = idle >= timings.length + timings.margin + timings.outage;
        reborn || (listed && stale) || forgotten
    }

    /// Takes in the rows of all boxes, read by a call sent at `sent`; `None`
    /// when the read failed.
    pub fn read(
        &mut self,
        now: Millis,
        sent: Millis,
        rows: Option<Vec<VersionedBox>>,
    ) -> Vec<Action> {
        self.reading = false;
        let Some(rows) = rows else {
            return Vec::new();
        };
        if sent < self.read_sent {
            return Vec::new();
        }
        self.read_sent = sent;
        self.complete = true;
        let mut present = BTreeMap::new();
        let mut own = None;
        for versioned in rows {
            if versioned.row.id == self.me.id {
                own = Some(versioned);
            } else {
                present.insert(versioned.row.id.clone(), versioned);
            }
        }
        self.dead.retain(|_, at| *at >= sent);
        present.retain(|id, _| !self.dead.contains_key(id));
        self.seen.retain(|id, _| present.contains_key(id));
        self.declaring.retain(|id, _| present.contains_key(id));
        for (id, versioned) in present {
            self.saw(now, id, versioned);
        }
        match own {
            Some(own) => self.confirm(now, own.version, own.row.beat),
            None => return self.missing(sent),
        }
        Vec::new()
    }

    fn saw(&mut self, now: Millis, id: Name, versioned: VersionedBox) {
        let known = self.seen.get(&id).map_or(0, |s| s.version);
        if versioned.version <= known {
            return;
        }
        let in_doubt = self.declaring.get(&id).copied();
        if in_doubt.is_some_and(|v| versioned.version > v) {
            self.declaring.remove(&id);
        }
        let seen = Seen {
            version: versioned.version,
            since: now,
            row: versioned.row,
        };
        self.seen.insert(id, seen);
    }

    fn missing(&mut self, sent: Millis) -> Vec<Action> {
        let gone = match self.registered {
            // A read from before the registration says nothing.
            Some(at) => sent >= at,
            // In doubt it may have taken effect and been deleted as a dead box'
            // since; written again it would bring that box back to life.
            None => self.waiting.is_none() && self.doubtful.iter().any(|r| r.sent < sent),
        };
        match gone {
            true => self.depose(),
            false => Vec::new(),
        }
    }

    fn depose(&mut self) -> Vec<Action> {
        if self.deposed {
            return Vec::new();
        }
        self.deposed = true;
        vec![Action::Deposed]
    }

    /// Takes in that the own row has a version written by the renewal `beat`.
    fn confirm(&mut self, now: Millis, version: u64, beat: u64) {
        if version < self.version {
            return;
        }
        let renewal = self.doubtful.iter().find(|r| r.beat == beat).cloned();
        if let Some(renewal) = renewal {
            self.until = self.until.max(renewal.sent + self.timings.length);
            self.listed = renewal.successors;
            self.registered.get_or_insert(now);
        }
        self.version = version;
        // What expected an older version can no longer take effect.
        self.doubtful.retain(|r| r.expect >= version);
    }

    /// Takes in how the renewal `beat` ended.
    pub fn renewed(&mut self, now: Millis, beat: u64, written: WriteOutcome) -> Vec<Action> {
        if self.waiting == Some(beat) {
            self.waiting = None;
        }
        let Some(renewal) = self.doubtful.iter().find(|r| r.beat == beat) else {
            return Vec::new();
        };
        match written {
            WriteOutcome::Committed => self.confirm(now, renewal.expect + 1, beat),
            WriteOutcome::NotSent => self.doubtful.retain(|r| r.beat != beat),
            // The next read tells: an own earlier write won, or the row is gone.
            WriteOutcome::Conflict => {
                self.doubtful.retain(|r| r.beat != beat);
                self.read = None;
            }
            WriteOutcome::Unknown => {}
        }
        Vec::new()
    }

    /// Takes in how the declaration of a dead box ended.
    pub fn declared(&mut self, now: Millis, owner: &Name, written: WriteOutcome) {
        match written {
            WriteOutcome::Committed => {
                self.declaring.remove(owner);
                self.seen.remove(owner);
                self.dead.insert(owner.clone(), now);
            }
            WriteOutcome::Conflict | WriteOutcome::NotSent => {
                self.declaring.remove(owner);
                self.read = None;
            }
            // It may still take effect: no promise until a newer version is seen.
            WriteOutcome::Unknown => {}
        }
    }

    /// Answers a question for a promise; true grants it.
    pub fn asked(&mut self, now: Millis, owner: &Name) -> bool {
        let in_doubt = self.declaring.contains_key(owner);
        if self.deposed || in_doubt || !self.seen.contains_key(owner) {
            return false;
        }
        // The margin covers clocks that do not run alike.
        let until = now + self.timings.promise + self.timings.margin;
        let given = self.given.entry(owner.clone()).or_insert(until);
        *given = until.max(*given);
        true
    }

    /// Takes in a promise whose question was sent at `sent` on the own clock.
    pub fn promised_by(&mut self, successor: &Name, sent: Millis) {
        let until = sent + self.timings.promise;
        let promise = self.promises.entry(successor.clone()).or_insert(until);
        *promise = until.max(*promise);
    }
}
