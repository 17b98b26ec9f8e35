//! Routes requests: deduplicates them and sends each to a cell of this or another box.

use super::in_flight::{InFlightRequest, Origin, Stage, UNKNOWN_AFTER_RESEND};
use super::ownership::dedup_shard_name;
use super::state::Engine;
use super::{Action, Now, Verdict};
use crate::cell::{CellRequest, Reason};
use crate::constants::DEDUP_SHARDS;
use crate::dedup::Admission;
use crate::invariant::{self, Rule};
use crate::request::Meta;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::hash::stable;

/// Largest number of retries that this box accumulates.
pub(super) const RETRY_BUDGET: f64 = 100.0;
/// Fraction of a retry that each request adds to the budget.
const RETRY_EARNED: f64 = 0.1;
/// Default time in ms after which a caller may retry.
pub(super) const RETRY_AFTER: Millis = 200;
/// Shortest time in ms after which a request is retried whose dedup shard or cells have no owner;
/// jitter adds less than the same time again.
const BACKOFF: Millis = 100;

impl Engine {
    /// Starts processing a caller's request.
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
        if !self.config.is_loaded() || !self.router.has_seen_cells() {
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

    /// Records a request as in progress.
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

    /// Marks a request as being sent. Returns false if it must not be sent, as an earlier send is
    /// pending, or may have run and the request is not repeatable.
    pub(super) fn mark_sending(&mut self, ticket: u64) -> bool {
        let request = self.in_flight.get_mut(&ticket);
        let known = request.is_some();
        let allowed = request.is_some_and(|r| {
            let was_sending = std::mem::replace(&mut r.sending, true);
            !was_sending && (r.meta.repeatable || !r.may_have_run)
        });
        let detail = || format!("request {ticket} must not be sent again (in progress: {known})");
        invariant::check(allowed, Rule::Once, detail)
    }

    /// Starts processing a request that another box has forwarded.
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
        // A box that was suspended may have lost the dedup shard before it admitted the request.
        let known = dedup_shard.and_then(|s| self.claims.owner(&s).map(|(_, epoch)| epoch));
        if known.is_some_and(|known| known > epoch) {
            return self.finish_not_run(now, ticket, Reason::NotOwner, RETRY_AFTER, out);
        }
        self.admit_to_cell(now, ticket, cell, out);
    }

    /// Admits a request that must run at most once, or forwards it to its dedup shard's owner.
    fn deduplicate(&mut self, now: Now, ticket: u64, out: &mut Vec<Action>) {
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        let id = request.meta.id.clone();
        let shard = dedup_shard_name(stable(&[&id]) % DEDUP_SHARDS);
        let may_act = self.lease.may_act(now.millis);
        if let Some(dedup) = self.dedup_shards.get_mut(&shard).filter(|_| may_act) {
            let leaving = self
                .claims
                .owned()
                .get(&shard)
                .is_none_or(|owned| owned.leaving);
            if leaving {
                return self.finish_not_run(now, ticket, Reason::Stopping, RETRY_AFTER, out);
            }
            let admission =
                dedup.admit(now.wall, &id, request.meta.issued, request.meta.sole_until);
            request.dedup_shard = Some((shard, dedup.epoch));
            return self.handle_admission(now, ticket, admission, out);
        }
        let is_forwarded = request.origin == Origin::PeerForDedup;
        let owner = self.claims.owner(&shard).map(|(owner, _)| owner.clone());
        let peer = owner
            .and_then(|o| self.lease.other_box(&o))
            .map(|b| b.rpc.parse());
        match peer {
            Some(Ok(rpc)) if !is_forwarded => {
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
            _ if is_forwarded => {
                self.finish_not_run(now, ticket, Reason::NotOwner, RETRY_AFTER, out)
            }
            _ => self.back_off(now, ticket, Reason::NotOwner, out),
        }
    }

    /// Delays a request until its dedup shard or the cells may have new owners, if it has time and
    /// retries left; answers it as not run otherwise.
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

    /// Resumes the requests whose backoff has ended.
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

    /// Routes an admitted request, or answers it with the reason why it was not admitted.
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
        // The dedup shard did not admit this request, so the request's end must not change the
        // shard's entry for the id.
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

    /// Chooses a cell for a request and sends the request there.
    pub(super) fn route(&mut self, now: Now, ticket: u64, out: &mut Vec<Action>) {
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        // The admission is void if this box has lost the dedup shard since.
        if let Some((shard, epoch)) = &request.dedup_shard {
            let is_owned = self
                .dedup_shards
                .get(shard)
                .is_some_and(|s| s.epoch == *epoch);
            if !is_owned || !self.lease.may_act(now.millis) {
                return self.finish_not_run(now, ticket, Reason::Lapsed, RETRY_AFTER, out);
            }
        }
        let Some(cell) = self.router.choose(&request.tried) else {
            let cells_known = !self.router.views().is_empty();
            return match cells_known {
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

    /// Passes a request to a cell of this box.
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
        let pending = CellRequest {
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
        for action in cell.admit(now.millis, now.micros, pending) {
            self.apply_cell_action(now, &name, epoch, action, out);
        }
    }
}
