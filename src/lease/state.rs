//! State machine of a box's own lease, which also detects other boxes that are dead.

use std::collections::BTreeMap;

use super::{Action, BoxRow, LeaseTimings, SUCCESSOR_COUNT, VersionedBox, WriteOutcome};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// A renewal that may still take effect.
#[derive(Clone, Debug)]
struct Renewal {
    /// Version of the row that the write expects.
    expect: u64,
    beat: u64,
    sent: Millis,
    successors: Vec<Name>,
}

/// Another box as last read from the table.
#[derive(Clone, Debug)]
struct OtherBox {
    version: u64,
    /// Time on the own clock at which this version was first read.
    read_at: Millis,
    row: BoxRow,
}

/// Lease of this box, its promises, and the other boxes as last read.
#[derive(Clone, Debug)]
pub struct Lease {
    timings: LeaseTimings,
    own: BoxRow,
    /// Confirmed version of the own row; 0 before the registration.
    version: u64,
    /// End of the lease by the last confirmed renewal.
    lease_end: Millis,
    /// Successors in the confirmed row.
    confirmed_successors: Vec<Name>,
    /// Renewals that may still take effect.
    unresolved_renewals: Vec<Renewal>,
    /// Beat of the renewal whose call has not returned.
    pending_beat: Option<u64>,
    /// Time at which the last renewal was sent.
    last_renewal: Option<Millis>,
    /// Time at which the last read was requested; none if a read is due at once.
    last_read: Option<Millis>,
    read_pending: bool,
    /// Time at which the own row was first confirmed.
    registered_at: Option<Millis>,
    deposed: bool,
    /// Ends of the promises of successors, by incarnation.
    received_promises: BTreeMap<Name, Millis>,
    /// Ends of the promises to other boxes, by incarnation.
    given_promises: BTreeMap<Name, Millis>,
    /// Boxes whose row is being deleted, with the version that the write expects.
    declarations: BTreeMap<Name, u64>,
    others: BTreeMap<Name, OtherBox>,
    /// Boxes that this one has declared dead, with the time at which the outcome arrived. A read
    /// that was sent earlier may still contain their rows.
    declared_dead: BTreeMap<Name, Millis>,
    /// Time at which the newest applied read was sent.
    applied_read: Millis,
    /// True once the rows of all boxes were read.
    others_read: bool,
}

impl Lease {
    /// Returns the lease of a new incarnation that is not registered yet.
    pub fn new(timings: LeaseTimings, own: BoxRow) -> Self {
        Self {
            timings,
            own,
            version: 0,
            lease_end: 0,
            confirmed_successors: Vec::new(),
            unresolved_renewals: Vec::new(),
            pending_beat: None,
            last_renewal: None,
            last_read: None,
            read_pending: false,
            registered_at: None,
            deposed: false,
            received_promises: BTreeMap::new(),
            given_promises: BTreeMap::new(),
            declarations: BTreeMap::new(),
            others: BTreeMap::new(),
            declared_dead: BTreeMap::new(),
            applied_read: 0,
            others_read: false,
        }
    }

    /// Returns the incarnation of this box.
    pub fn id(&self) -> &Name {
        &self.own.id
    }

    /// Returns the own row as last sent, which may be unconfirmed.
    pub fn own_row(&self) -> &BoxRow {
        &self.own
    }

    /// Returns the rows of the other boxes, in the order of their incarnations.
    pub fn other_boxes(&self) -> impl Iterator<Item = &BoxRow> {
        self.others.values().map(|o| &o.row)
    }

    /// Returns the row of another incarnation.
    pub fn other_box(&self, id: &str) -> Option<&BoxRow> {
        self.others.get(id).map(|o| &o.row)
    }

    /// Returns true once the own row is confirmed and the rows of all boxes were read.
    pub fn is_registered(&self) -> bool {
        self.registered_at.is_some() && self.others_read && !self.deposed
    }

    /// Returns true if the row of another box has changed within the length of a lease.
    pub fn is_fresh(&self, id: &str, now: Millis) -> bool {
        let other = self.others.get(id);
        other.is_some_and(|o| now < o.read_at + self.timings.length)
    }

    /// Returns the time until which the box may act for its cells, or 0.
    pub fn acts_until(&self) -> Millis {
        if self.deposed || self.registered_at.is_none() {
            return 0;
        }
        self.lease_end.max(self.promised_until())
    }

    /// Returns true while the box may act for its cells.
    pub fn may_act(&self, now: Millis) -> bool {
        now < self.acts_until()
    }

    /// Returns true while the box may act by promises alone, as its lease has ended.
    pub fn acts_by_promises(&self, now: Millis) -> bool {
        now >= self.lease_end && self.may_act(now)
    }

    /// Returns the successors whose promises are needed: those of the confirmed row and those of
    /// every renewal that may still take effect.
    pub fn successors(&self) -> Vec<Name> {
        let mut all = self.confirmed_successors.clone();
        for renewal in &self.unresolved_renewals {
            all.extend(renewal.successors.iter().cloned());
        }
        all.sort();
        all.dedup();
        all
    }

    /// Returns the time until which all successors have promised not to take over, or 0.
    fn promised_until(&self) -> Millis {
        let successors = self.successors();
        let promise_end = |s| self.received_promises.get(s).copied().unwrap_or(0);
        let earliest = successors.iter().map(promise_end).min().unwrap_or(0);
        earliest.min(self.lease_end + self.timings.outage)
    }

    /// Returns the actions that are due at `now`; `interval` is the time in ms between two reads.
    pub fn tick(&mut self, now: Millis, interval: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.deposed {
            return actions;
        }
        if !self.read_pending && self.last_read.is_none_or(|at| now >= at + interval) {
            self.read_pending = true;
            self.last_read = Some(now);
            actions.push(Action::Read);
        }
        if self.others_read {
            actions.extend(self.renew(now));
            actions.extend(self.declare_dead(now));
        }
        actions
    }

    /// Returns the next renewal of the own row if it is due.
    fn renew(&mut self, now: Millis) -> Option<Action> {
        let due = self
            .last_renewal
            .is_none_or(|at| now >= at + self.timings.length / 4);
        // The next read resolves a registration in doubt.
        let registration_in_doubt = self.version == 0 && !self.unresolved_renewals.is_empty();
        if self.pending_beat.is_some() || registration_in_doubt || !due {
            return None;
        }
        self.own.beat += 1;
        self.own.successors = self.choose_successors(now);
        self.last_renewal = Some(now);
        self.pending_beat = Some(self.own.beat);
        self.unresolved_renewals.push(Renewal {
            expect: self.version,
            beat: self.own.beat,
            sent: now,
            successors: self.own.successors.clone(),
        });
        Some(Action::Renew {
            expect: self.version,
            row: self.own.clone(),
        })
    }

    /// Returns the successors for the next renewal: those of the last renewal whose rows are fresh,
    /// then further boxes with fresh rows, those of other halls first.
    fn choose_successors(&self, now: Millis) -> Vec<Name> {
        let mut chosen: Vec<Name> = self
            .own
            .successors
            .iter()
            .filter(|s| self.is_fresh(s, now))
            .cloned()
            .collect();
        let mut candidates: Vec<&BoxRow> = self
            .other_boxes()
            .filter(|b| self.is_fresh(&b.id, now) && !chosen.contains(&b.id))
            .collect();
        let rank = |b: &&BoxRow| {
            let hash = crate::utils::hash::stable(&[&self.own.id, &b.id]);
            (b.hall == self.own.hall, hash)
        };
        candidates.sort_by_key(rank);
        let missing = SUCCESSOR_COUNT.saturating_sub(chosen.len());
        chosen.extend(candidates.iter().take(missing).map(|b| b.id.clone()));
        chosen
    }

    /// Returns the declarations that are due for dead boxes.
    fn declare_dead(&mut self, now: Millis) -> Vec<Action> {
        let mut due = Vec::new();
        for (id, other) in &self.others {
            let promised = self
                .given_promises
                .get(id)
                .is_some_and(|until| *until > now);
            let pending = self.declarations.contains_key(id);
            if !promised && !pending && self.may_declare_dead(other, now) {
                due.push((id.clone(), other.version));
            }
        }
        for (id, version) in &due {
            self.declarations.insert(id.clone(), *version);
        }
        due.into_iter()
            .map(|(id, version)| Action::DeclareDead { id, version })
            .collect()
    }

    /// Returns true if another box may be declared dead: this process has replaced it, its lease
    /// has expired and it lists this box as a successor, or the longest outage has passed as well.
    fn may_declare_dead(&self, other: &OtherBox, now: Millis) -> bool {
        let timings = self.timings;
        let unchanged = now.saturating_sub(other.read_at);
        let is_successor = other.row.successors.contains(&self.own.id);
        // Only one process can listen on the address, so a box with the same name and address is
        // an earlier incarnation of this one.
        let replaced = other.row.name == self.own.name && other.row.rpc == self.own.rpc;
        let expired = unchanged >= timings.length + timings.margin;
        let abandoned = unchanged >= timings.length + timings.margin + timings.outage;
        replaced || (is_successor && expired) || abandoned
    }

    /// Applies the rows of all boxes, read by a call that was sent at `sent`; `None` if the read
    /// failed.
    pub fn apply_read(
        &mut self,
        now: Millis,
        sent: Millis,
        rows: Option<Vec<VersionedBox>>,
    ) -> Vec<Action> {
        self.read_pending = false;
        let Some(rows) = rows else {
            return Vec::new();
        };
        if sent < self.applied_read {
            return Vec::new();
        }
        self.applied_read = sent;
        self.others_read = true;
        let mut present = BTreeMap::new();
        let mut own = None;
        for versioned in rows {
            if versioned.row.id == self.own.id {
                own = Some(versioned);
            } else {
                present.insert(versioned.row.id.clone(), versioned);
            }
        }
        self.declared_dead.retain(|_, at| *at >= sent);
        present.retain(|id, _| !self.declared_dead.contains_key(id));
        self.others.retain(|id, _| present.contains_key(id));
        self.declarations.retain(|id, _| present.contains_key(id));
        for (id, versioned) in present {
            self.record_box(now, id, versioned);
        }
        match own {
            Some(own) => self.confirm_renewal(now, own.version, own.row.beat),
            None => return self.check_missing_row(sent),
        }
        Vec::new()
    }

    /// Stores the row of another box unless an equal or newer version is known.
    fn record_box(&mut self, now: Millis, id: Name, versioned: VersionedBox) {
        let known = self.others.get(&id).map_or(0, |o| o.version);
        if versioned.version <= known {
            return;
        }
        let in_doubt = self.declarations.get(&id).copied();
        if in_doubt.is_some_and(|v| versioned.version > v) {
            self.declarations.remove(&id);
        }
        let other = OtherBox {
            version: versioned.version,
            read_at: now,
            row: versioned.row,
        };
        self.others.insert(id, other);
    }

    /// Deposes this box if a read sent at `sent` proves that its row was deleted.
    fn check_missing_row(&mut self, sent: Millis) -> Vec<Action> {
        let deleted = match self.registered_at {
            // A read sent before the registration may not contain the row yet.
            Some(at) => sent >= at,
            // A registration in doubt may have taken effect, and another box may have deleted the
            // row since as that of a dead box. Writing it again would revive this incarnation
            // while its successors act in its place.
            None => {
                self.pending_beat.is_none()
                    && self.unresolved_renewals.iter().any(|r| r.sent < sent)
            }
        };
        match deleted {
            true => self.depose(),
            false => Vec::new(),
        }
    }

    /// Ends the lease for good.
    fn depose(&mut self) -> Vec<Action> {
        if self.deposed {
            return Vec::new();
        }
        self.deposed = true;
        vec![Action::Deposed]
    }

    /// Records that the renewal `beat` has written the own row with `version`.
    fn confirm_renewal(&mut self, now: Millis, version: u64, beat: u64) {
        if version < self.version {
            return;
        }
        let renewal = self
            .unresolved_renewals
            .iter()
            .find(|r| r.beat == beat)
            .cloned();
        if let Some(renewal) = renewal {
            self.lease_end = self.lease_end.max(renewal.sent + self.timings.length);
            self.confirmed_successors = renewal.successors;
            self.registered_at.get_or_insert(now);
        }
        self.version = version;
        // Renewals that expect an older version can no longer take effect.
        self.unresolved_renewals.retain(|r| r.expect >= version);
    }

    /// Applies the outcome of the renewal `beat`.
    pub fn finish_renewal(&mut self, now: Millis, beat: u64, outcome: WriteOutcome) -> Vec<Action> {
        if self.pending_beat == Some(beat) {
            self.pending_beat = None;
        }
        let Some(renewal) = self.unresolved_renewals.iter().find(|r| r.beat == beat) else {
            return Vec::new();
        };
        match outcome {
            WriteOutcome::Committed => self.confirm_renewal(now, renewal.expect + 1, beat),
            WriteOutcome::NotSent => self.unresolved_renewals.retain(|r| r.beat != beat),
            // The next read shows whether an earlier renewal took effect or the row was deleted.
            WriteOutcome::Conflict => {
                self.unresolved_renewals.retain(|r| r.beat != beat);
                self.last_read = None;
            }
            WriteOutcome::Unknown => {}
        }
        Vec::new()
    }

    /// Applies the outcome of the declaration that the box `id` is dead.
    pub fn finish_declaration(&mut self, now: Millis, id: &Name, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Committed => {
                self.declarations.remove(id);
                self.others.remove(id);
                self.declared_dead.insert(id.clone(), now);
            }
            WriteOutcome::Conflict | WriteOutcome::NotSent => {
                self.declarations.remove(id);
                self.last_read = None;
            }
            // The deletion may still take effect: give no promise until a newer version is read.
            WriteOutcome::Unknown => {}
        }
    }

    /// Promises the box `id` not to take over for a time; returns false if that is refused.
    pub fn grant_promise(&mut self, now: Millis, id: &Name) -> bool {
        let declared = self.declarations.contains_key(id);
        if self.deposed || declared || !self.others.contains_key(id) {
            return false;
        }
        // The margin covers the drift between the clocks of the two boxes.
        let until = now + self.timings.promise + self.timings.margin;
        let given = self.given_promises.entry(id.clone()).or_insert(until);
        *given = until.max(*given);
        true
    }

    /// Records a promise of `successor` that was requested at `sent` on the own clock.
    pub fn record_promise(&mut self, successor: &Name, sent: Millis) {
        let until = sent + self.timings.promise;
        let promise = self
            .received_promises
            .entry(successor.clone())
            .or_insert(until);
        *promise = until.max(*promise);
    }
}
