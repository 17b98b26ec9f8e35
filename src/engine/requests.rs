//! Requests on their way through this box.

use super::in_flight::{InFlightRequest, Origin, Stage, UNKNOWN_AFTER_RESEND};
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
pub(super) const RETRY_BUDGET: f64 = 100.0;
/// Part of a retry that each request adds.
const RETRY_EARNED: f64 = 0.1;
/// Milliseconds after which to come back when nothing better is known.
pub(super) const RETRY_AFTER: Millis = 200;
/// Milliseconds after which another owner of a dedup shard or a cell is looked for.
const BACKOFF: Millis = 100;
impl Engine {
    pub(super) fn handle_request(
        &mut self,
        now: Now,
        ticket: u64,
        meta: Meta,
        out: &mut Vec<Action>,
    ) {
        self.retry_budget = (self.retry_budget + RETRY_EARNED).min(RETRY_BUDGET);
        self.track(now, ticket, meta, Origin::Caller);
        if self.stopping_since.is_some() {
            return self.finish_not_run(now, ticket, Reason::Stopping, RETRY_AFTER, out);
        }
        if !self.config.known() || !self.router.has_seen_cells() {
            return self.finish_not_run(now, ticket, Reason::NotReady, RETRY_AFTER, out);
        }
        let Some(request) = self.in_flight.get(&ticket) else {
            return;
        };
        if self.config.size(&request.meta.service).is_none() {
            return self.finish_not_run(now, ticket, Reason::NoService, RETRY_AFTER, out);
        }
        match request.meta.repeatable {
            true => self.route(now, ticket, out),
            false => self.deduplicate(now, ticket, out),
        }
    }

    fn track(&mut self, now: Now, ticket: u64, meta: Meta, origin: Origin) {
        let request = InFlightRequest {
            deadline: now.millis + meta.time_left,
            origin,
            stage: Stage::New,
            tried: Vec::new(),
            dedup_shard: None,
            retries: meta.retries,
            sending: false,
            may_have_run: false,
            meta,
        };
        self.in_flight.insert(ticket, request);
    }

    /// Notes that a request is sent; false when it must not be, as an earlier
    /// send of it is in progress or may have run.
    pub(super) fn mark_sending(&mut self, ticket: u64) -> bool {
        let request = self.in_flight.get_mut(&ticket);
        let known = request.is_some();
        let once = request.is_some_and(|r| {
            let before = std::mem::replace(&mut r.sending, true);
            !before && (r.meta.repeatable || !r.may_have_run)
        });
        let detail = || format!("{ticket} is sent again; known: {known}");
        invariant::check(once, Rule::Once, detail)
    }

    #[allow(clippy::too_many_arguments)] // One for each field of the event.
    pub(super) fn handle_forwarded(
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
            self.track(now, ticket, meta, Origin::PeerForDedup);
            return self.deduplicate(now, ticket, out);
        };
        self.track(now, ticket, meta, Origin::PeerForCell);
        // An owner that lost its dedup shard while it was frozen must not admit a request.
        let known = dedup_shard.and_then(|s| self.claims.owner(&s).map(|(_, epoch)| epoch));
        if known.is_some_and(|known| known > epoch) {
            return self.finish_not_run(now, ticket, Reason::NotOwner, RETRY_AFTER, out);
        }
        self.admit_to_cell(now, ticket, cell, out);
    }

    /// Asks the dedup shard of a request that must run at most once.
    fn deduplicate(&mut self, now: Now, ticket: u64, out: &mut Vec<Action>) {
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        let id = request.meta.id.clone();
        let shard = dedup_shard_name(stable(&[&id]) % DEDUP_SHARDS);
        let acts = self.lease.may_act(now.millis);
        if let Some(dedup) = self.dedup_shards.get_mut(&shard).filter(|_| acts) {
            let leaving = self.claims.owned().get(&shard).is_none_or(|m| m.leaving);
            if leaving {
                return self.finish_not_run(now, ticket, Reason::Stopping, RETRY_AFTER, out);
            }
            let admission =
                dedup.admit(now.wall, &id, request.meta.issued, request.meta.sole_until);
            request.dedup_shard = Some((shard, dedup.epoch));
            return self.handle_admission(now, ticket, admission, out);
        }
        let asked_me = request.origin == Origin::PeerForDedup;
        let owner = self.claims.owner(&shard).map(|(owner, _)| owner.clone());
        let peer = owner
            .and_then(|o| self.lease.other_box(&o))
            .map(|b| b.rpc.parse());
        match peer {
            Some(Ok(rpc)) if !asked_me => {
                request.stage = Stage::Dedup;
                let mut meta = request.meta.clone();
                meta.time_left = request.time_left(now.millis);
                meta.retries = request.retries;
                if !self.mark_sending(ticket) {
                    return self.finish(ticket, UNKNOWN_AFTER_RESEND, out);
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
            _ if asked_me => self.finish_not_run(now, ticket, Reason::NotOwner, RETRY_AFTER, out),
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
        let request = self.in_flight.get(&ticket);
        let in_time = request.is_some_and(|r| r.deadline > until);
        if !in_time || !self.spend_retry(now, ticket) {
            return self.finish_not_run(now, ticket, reason, RETRY_AFTER, out);
        }
        self.claims.request_read();
        if let Some(request) = self.in_flight.get_mut(&ticket) {
            request.stage = Stage::Backoff(until);
            request.tried.clear();
        }
    }

    /// Looks again for the dedup shards or cells of requests that wait for one.
    pub(super) fn resume_backed_off(&mut self, now: Now, out: &mut Vec<Action>) {
        let due =
            |r: &InFlightRequest| matches!(r.stage, Stage::Backoff(until) if until <= now.millis);
        let waiting = self.in_flight.iter().filter(|(_, r)| due(r));
        let tickets: Vec<u64> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            let request = self.in_flight.get(&ticket);
            let admitted = request.is_some_and(|r| r.meta.repeatable || r.dedup_shard.is_some());
            match admitted {
                true => self.route(now, ticket, out),
                false => self.deduplicate(now, ticket, out),
            }
        }
    }

    fn handle_admission(
        &mut self,
        now: Now,
        ticket: u64,
        admission: Admission,
        out: &mut Vec<Action>,
    ) {
        if admission == Admission::Admitted {
            return self.route(now, ticket, out);
        }
        // The id was not let through by this request, so it is not to be forgotten with it.
        if let Some(request) = self.in_flight.get_mut(&ticket) {
            request.dedup_shard = None;
        }
        let reason = match admission {
            Admission::Admitted => return,
            Admission::Running => "already-running",
            Admission::Ran => "already-run",
            Admission::PredatesOwner => "guard-changed",
            Admission::TooOld => "too-old",
            Admission::IssuedInFuture => {
                return self.finish_not_run(now, ticket, Reason::Invalid, RETRY_AFTER, out);
            }
        };
        self.finish(ticket, Verdict::Unknown { reason }, out);
    }

    /// Chooses a cell for a request and hands it there.
    pub(super) fn route(&mut self, now: Now, ticket: u64, out: &mut Vec<Action>) {
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        // An owner that has lost its dedup shard meanwhile admits no request.
        if let Some((shard, epoch)) = &request.dedup_shard {
            let kept = self
                .dedup_shards
                .get(shard)
                .is_some_and(|s| s.epoch == *epoch);
            if !kept || !self.lease.may_act(now.millis) {
                return self.finish_not_run(now, ticket, Reason::Lapsed, RETRY_AFTER, out);
            }
        }
        let Some(cell) = self.router.choose(&request.tried) else {
            let known = !self.router.views().is_empty();
            return match known {
                true => self.finish_not_run(now, ticket, Reason::NoRoom, RETRY_AFTER, out),
                false => self.back_off(now, ticket, Reason::NotReady, out),
            };
        };
        request.tried.push(cell.clone());
        let view = self.router.view(&cell);
        let Some(rpc) = view.and_then(|v| v.rpc) else {
            return self.admit_to_cell(now, ticket, cell, out);
        };
        request.stage = Stage::Remote(cell.clone());
        let mut meta = request.meta.clone();
        meta.time_left = request.time_left(now.millis);
        meta.retries = request.retries;
        let (dedup_shard, epoch) = request.dedup_shard.clone().unzip();
        if !self.mark_sending(ticket) {
            return self.finish(ticket, UNKNOWN_AFTER_RESEND, out);
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
    fn admit_to_cell(&mut self, now: Now, ticket: u64, name: Name, out: &mut Vec<Action>) {
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        request.stage = Stage::Local(name.clone());
        if !self.lease.may_act(now.millis) {
            return self.handle_refusal(now, ticket, Reason::Lapsed, RETRY_AFTER, out);
        }
        let Some(size) = self.config.size(&request.meta.service) else {
            return self.handle_refusal(now, ticket, Reason::NoService, RETRY_AFTER, out);
        };
        let ask = PendingRequest {
            ticket,
            service: request.meta.service.clone(),
            class: request.meta.class,
            size,
            deadline: request.deadline,
        };
        let Some(cell) = self.cells.get_mut(&name) else {
            return self.handle_refusal(now, ticket, Reason::NotOwner, RETRY_AFTER, out);
        };
        let epoch = cell.epoch;
        for action in cell.admit(now.millis, now.micros, ask) {
            self.apply_cell_action(now, &name, epoch, action, out);
        }
    }
}
