//! Requests on their way through this box.

use super::in_flight::{Flight, Origin, RESENT, Stage};
use super::ownership::dedup_shard_name;
use super::state::Engine;
use super::{Action, Now, Verdict};
use crate::cell::{PendingRequest, Reason};
use crate::constants::DEDUP_SHARDS;
use crate::dedup::Admission;
use crate::invariant::{self, Rule};
use crate::request::Meta;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::hash::stable;

/// Retries that this box saves up at most.
pub(super) const BUDGET: f64 = 100.0;
/// Part of a retry that each request adds.
const EARNED: f64 = 0.1;
/// Milliseconds after which to come back when nothing better is known.
pub(super) const COME_BACK: Millis = 200;
/// Milliseconds after which another owner of a dedup shard or a cell is looked for.
const BACKOFF: Millis = 100;
impl Engine {
    pub(super) fn request(&mut self, now: Now, ticket: u64, meta: Meta, out: &mut Vec<Action>) {
        self.budget = (self.budget + EARNED).min(BUDGET);
        self.begin(now, ticket, meta, Origin::Caller);
        if self.stopping.is_some() {
            return self.not_run(now, ticket, Reason::Stopping, COME_BACK, out);
        }
        if !self.config.known() || !self.router.has_seen_cells() {
            return self.not_run(now, ticket, Reason::NotReady, COME_BACK, out);
        }
        let Some(flight) = self.flights.get(&ticket) else {
            return;
        };
        if self.config.size(&flight.meta.service).is_none() {
            return self.not_run(now, ticket, Reason::NoService, COME_BACK, out);
        }
        match flight.meta.repeatable {
            true => self.route(now, ticket, out),
            false => self.deduplicate(now, ticket, out),
        }
    }

    fn begin(&mut self, now: Now, ticket: u64, meta: Meta, origin: Origin) {
        let flight = Flight {
            deadline: now.millis + meta.time_left,
            origin,
            stage: Stage::New,
            tried: Vec::new(),
            dedup_shard: None,
            retries: meta.retries,
            sending: false,
            doubtful: false,
            meta,
        };
        self.flights.insert(ticket, flight);
    }

    /// Notes that a request is sent; false when it must not be, as an earlier
    /// send of it is in progress or may have run.
    pub(super) fn depart(&mut self, ticket: u64) -> bool {
        let flight = self.flights.get_mut(&ticket);
        let known = flight.is_some();
        let once = flight.is_some_and(|f| {
            let before = std::mem::replace(&mut f.sending, true);
            !before && (f.meta.repeatable || !f.doubtful)
        });
        let detail = || format!("{ticket} is sent again; known: {known}");
        invariant::check(once, Rule::Once, detail)
    }

    #[allow(clippy::too_many_arguments)] // One for each field of the event.
    pub(super) fn forwarded(
        &mut self,
        now: Now,
        ticket: u64,
        meta: Meta,
        cell: Option<Name>,
        dedup_shard: Option<Name>,
        epoch: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(cell) = cell else {
            self.begin(now, ticket, meta, Origin::ForDedup);
            return self.deduplicate(now, ticket, out);
        };
        self.begin(now, ticket, meta, Origin::ForCell);
        // An owner that lost its dedup shard while it was frozen must not admit a request.
        let known = dedup_shard.and_then(|s| self.claims.owner(&s).map(|(_, epoch)| epoch));
        if known.is_some_and(|known| known > epoch) {
            return self.not_run(now, ticket, Reason::NotOwner, COME_BACK, out);
        }
        self.enter(now, ticket, cell, out);
    }

    /// Asks the dedup shard of a request that must run at most once.
    fn deduplicate(&mut self, now: Now, ticket: u64, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        let id = flight.meta.id.clone();
        let shard = dedup_shard_name(stable(&[&id]) % DEDUP_SHARDS);
        let acts = self.lease.may_act(now.millis);
        if let Some(dedup) = self.dedup_shards.get_mut(&shard).filter(|_| acts) {
            let leaving = self.claims.mine().get(&shard).is_none_or(|m| m.leaving);
            if leaving {
                return self.not_run(now, ticket, Reason::Stopping, COME_BACK, out);
            }
            let admission = dedup.admit(now.wall, &id, flight.meta.issued, flight.meta.sole_until);
            flight.dedup_shard = Some((shard, dedup.epoch));
            return self.admitted(now, ticket, admission, out);
        }
        let asked_me = flight.origin == Origin::ForDedup;
        let owner = self.claims.owner(&shard).map(|(owner, _)| owner.clone());
        let peer = owner
            .and_then(|o| self.lease.other_box(&o))
            .map(|b| b.rpc.parse());
        match peer {
            Some(Ok(rpc)) if !asked_me => {
                flight.stage = Stage::Dedup;
                let mut meta = flight.meta.clone();
                meta.time_left = flight.left(now.millis);
                meta.retries = flight.retries;
                if !self.depart(ticket) {
                    return self.finish(ticket, RESENT, out);
                }
                out.push(Action::Forward {
                    ticket,
                    to: rpc,
                    meta,
                    cell: None,
                    dedup_shard: Some(shard),
                    epoch: 0,
                });
            }
            _ if asked_me => self.not_run(now, ticket, Reason::NotOwner, COME_BACK, out),
            _ => self.back_off(now, ticket, Reason::NotOwner, out),
        }
    }

    /// Waits a little for a dedup shard or the cells to get other owners, if
    /// the request has time and sends left.
    pub(super) fn back_off(
        &mut self,
        now: Now,
        ticket: u64,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let jitter = crate::utils::hash::mix(ticket) % BACKOFF;
        let until = now.millis + BACKOFF + jitter;
        let flight = self.flights.get(&ticket);
        let in_time = flight.is_some_and(|f| f.deadline > until);
        if !in_time || !self.may_retry(now, ticket) {
            return self.not_run(now, ticket, reason, COME_BACK, out);
        }
        self.claims.refresh();
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.stage = Stage::Backoff(until);
            flight.tried.clear();
        }
    }

    /// Looks again for the dedup shards or cells of requests that wait for one.
    pub(super) fn seek_owners(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = |f: &Flight| matches!(f.stage, Stage::Backoff(until) if until <= now.millis);
        let waiting = self.flights.iter().filter(|(_, f)| due(f));
        let tickets: Vec<u64> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            let flight = self.flights.get(&ticket);
            let admitted = flight.is_some_and(|f| f.meta.repeatable || f.dedup_shard.is_some());
            match admitted {
                true => self.route(now, ticket, out),
                false => self.deduplicate(now, ticket, out),
            }
        }
    }

    fn admitted(&mut self, now: Now, ticket: u64, admission: Admission, out: &mut Vec<Action>) {
        if admission == Admission::Admitted {
            return self.route(now, ticket, out);
        }
        // The id was not let through by this request, so it is not to be forgotten with it.
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.dedup_shard = None;
        }
        let reason = match admission {
            Admission::Admitted => return,
            Admission::Running => "already-running",
            Admission::Ran => "already-run",
            Admission::PredatesOwner => "guard-changed",
            Admission::TooOld => "too-old",
            Admission::IssuedInFuture => {
                return self.not_run(now, ticket, Reason::Invalid, COME_BACK, out);
            }
        };
        self.finish(ticket, Verdict::Unknown { reason }, out);
    }

    /// Chooses a cell for a request and hands it there.
    pub(super) fn route(&mut self, now: Now, ticket: u64, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        // An owner that has lost its dedup shard meanwhile admits no request.
        if let Some((shard, epoch)) = &flight.dedup_shard {
            let kept = self
                .dedup_shards
                .get(shard)
                .is_some_and(|s| s.epoch == *epoch);
            if !kept || !self.lease.may_act(now.millis) {
                return self.not_run(now, ticket, Reason::Lapsed, COME_BACK, out);
            }
        }
        let Some(cell) = self.router.choose(&flight.tried) else {
            let known = !self.router.views().is_empty();
            return match known {
                true => self.not_run(now, ticket, Reason::NoRoom, COME_BACK, out),
                false => self.back_off(now, ticket, Reason::NotReady, out),
            };
        };
        flight.tried.push(cell.clone());
        let view = self.router.view(&cell);
        let Some(rpc) = view.and_then(|v| v.rpc) else {
            return self.enter(now, ticket, cell, out);
        };
        flight.stage = Stage::Remote(cell.clone());
        let mut meta = flight.meta.clone();
        meta.time_left = flight.left(now.millis);
        meta.retries = flight.retries;
        let (dedup_shard, epoch) = flight.dedup_shard.clone().unzip();
        if !self.depart(ticket) {
            return self.finish(ticket, RESENT, out);
        }
        out.push(Action::Forward {
            ticket,
            to: rpc,
            meta,
            cell: Some(cell),
            dedup_shard,
            epoch: epoch.unwrap_or(0),
        });
    }

    /// Takes a request into an own cell.
    fn enter(&mut self, now: Now, ticket: u64, name: Name, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        flight.stage = Stage::Local(name.clone());
        if !self.lease.may_act(now.millis) {
            return self.refused(now, ticket, Reason::Lapsed, COME_BACK, out);
        }
        let Some(size) = self.config.size(&flight.meta.service) else {
            return self.refused(now, ticket, Reason::NoService, COME_BACK, out);
        };
        let ask = PendingRequest {
            ticket,
            service: flight.meta.service.clone(),
            class: flight.meta.class,
            size,
            deadline: flight.deadline,
        };
        let Some(cell) = self.cells.get_mut(&name) else {
            return self.refused(now, ticket, Reason::NotOwner, COME_BACK, out);
        };
        let epoch = cell.epoch;
        for action in cell.admit(now.millis, now.micros, ask) {
            self.cell_action(now, &name, epoch, action, out);
        }
    }
}
