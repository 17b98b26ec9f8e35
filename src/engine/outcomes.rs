//! Handles the outcomes of sends and forwards: retries a request or answers it.

use super::in_flight::{Origin, Stage, UNKNOWN_AFTER_RESEND};
use super::requests::RETRY_AFTER;
use super::state::Engine;
use super::{Action, ForwardOutcome, Now, Verdict};
use crate::cell::{Reason, SendOutcome};
use crate::invariant::{self, Rule};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Number of steps in which the time until a caller may retry varies between one and two times its
/// length, so that callers do not retry at the same time.
const JITTER_STEPS: u64 = 200;

impl Engine {
    /// Retries in another cell a request that a cell has refused, or answers it as not run.
    pub(super) fn handle_refusal(
        &mut self,
        now: Now,
        ticket: u64,
        reason: Reason,
        retry_after: Millis,
        out: &mut Vec<Action>,
    ) {
        let cell = self.leave_cell(ticket);
        // The cell seems idle until its new owner reports its load, so it would attract all
        // requests.
        if let Some(cell) = cell.filter(|_| reason == Reason::NotOwner) {
            self.router.remove_cell(&cell);
        }
        if self.spend_retry(now, ticket) {
            return self.route(now, ticket, out);
        }
        self.finish_not_run(now, ticket, reason, retry_after, out);
    }

    /// Handles a request that a cell wanted to send after the lease had lapsed.
    pub(super) fn handle_lapsed_send(
        &mut self,
        now: Now,
        cell: &Name,
        ticket: u64,
        out: &mut Vec<Action>,
    ) {
        if let Some(cell) = self.cells.get_mut(cell) {
            // The cell starts no other request in the freed slot, as the lease has lapsed.
            let actions =
                cell.finish_send(now.millis, now.micros, ticket, SendOutcome::LeaseLapsed);
            debug_assert!(actions.is_empty());
        }
        self.mark_sent(ticket);
        self.handle_refusal(now, ticket, Reason::Lapsed, RETRY_AFTER, out);
    }

    /// Records that the pending send of a request has an outcome.
    fn mark_sent(&mut self, ticket: u64) {
        if let Some(request) = self.in_flight.get_mut(&ticket) {
            request.sending = false;
        }
    }

    /// Removes a request from its cell and returns the cell's name.
    fn leave_cell(&mut self, ticket: u64) -> Option<Name> {
        let request = self.in_flight.get_mut(&ticket)?;
        let stage = std::mem::replace(&mut request.stage, Stage::New);
        let (Stage::Local(cell) | Stage::Remote(cell)) = stage else {
            return None;
        };
        self.router.end_request(&cell);
        Some(cell)
    }

    /// Takes one retry from the request and the box's budget; returns false if none is left.
    pub(super) fn spend_retry(&mut self, now: Now, ticket: u64) -> bool {
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return false;
        };
        let allowed = request.origin != Origin::PeerForCell
            && request.retries > 0
            && request.time_left(now.millis) > 0
            && self.retry_budget >= 1.0;
        if allowed {
            request.retries -= 1;
            self.retry_budget -= 1.0;
        }
        allowed
    }

    /// Handles the outcome of a send to an endpoint.
    pub(super) fn handle_send_outcome(
        &mut self,
        now: Now,
        ticket: u64,
        outcome: SendOutcome,
        out: &mut Vec<Action>,
    ) {
        self.mark_sent(ticket);
        let stage = self.in_flight.get(&ticket).map(|r| r.stage.clone());
        if let Some(Stage::Local(name)) = stage
            && let Some(cell) = self.cells.get_mut(&name)
        {
            let epoch = cell.epoch;
            for action in cell.finish_send(now.millis, now.micros, ticket, outcome) {
                self.apply_cell_action(now, &name, epoch, action, out);
            }
        }
        match outcome {
            SendOutcome::Answered => {
                self.leave_cell(ticket);
                self.finish(ticket, Verdict::Answer, out);
            }
            SendOutcome::NotRun => {
                self.handle_refusal(now, ticket, Reason::Refused, RETRY_AFTER, out)
            }
            SendOutcome::LeaseLapsed => {
                self.handle_refusal(now, ticket, Reason::Lapsed, RETRY_AFTER, out)
            }
            SendOutcome::Unknown { .. } => {
                self.handle_unknown_outcome(now, ticket, "endpoint", out)
            }
        }
    }

    /// Handles the outcome of a forward to another box.
    pub(super) fn handle_forward_outcome(
        &mut self,
        now: Now,
        ticket: u64,
        outcome: ForwardOutcome,
        out: &mut Vec<Action>,
    ) {
        self.mark_sent(ticket);
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        let at_dedup = request.stage == Stage::Dedup;
        match outcome {
            ForwardOutcome::Answered => {
                self.leave_cell(ticket);
                self.finish(ticket, Verdict::Answer, out);
            }
            ForwardOutcome::NotRun {
                reason,
                retry_after,
                retries,
            } => {
                request.retries = request.retries.min(retries);
                if !at_dedup {
                    return self.handle_refusal(now, ticket, reason, retry_after, out);
                }
                // Only the owner of the dedup shard chooses cells. The shard may have a new owner.
                let owner_changed = matches!(reason, Reason::NotOwner | Reason::Unreachable);
                match owner_changed {
                    true => self.back_off(now, ticket, reason, out),
                    false => self.finish_not_run(now, ticket, reason, retry_after, out),
                }
            }
            ForwardOutcome::Unknown => self.handle_unknown_outcome(now, ticket, "peer", out),
        }
    }

    /// Handles a request that may have run: retries it if it is repeatable, and answers it as
    /// unknown otherwise.
    fn handle_unknown_outcome(
        &mut self,
        now: Now,
        ticket: u64,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        self.leave_cell(ticket);
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        request.may_have_run = true;
        if request.meta.repeatable && self.spend_retry(now, ticket) {
            return self.route(now, ticket, out);
        }
        self.finish(ticket, Verdict::Unknown { reason }, out);
    }

    /// Answers a request as not run, or as unknown if an earlier send may have run.
    pub(super) fn finish_not_run(
        &mut self,
        now: Now,
        ticket: u64,
        reason: Reason,
        retry_after: Millis,
        out: &mut Vec<Action>,
    ) {
        let jitter = crate::utils::hash::mix(ticket ^ now.micros) % JITTER_STEPS;
        let retry_after = retry_after + retry_after * jitter / JITTER_STEPS;
        let may_have_run = self.in_flight.get(&ticket).is_some_and(|r| r.may_have_run);
        let verdict = match may_have_run {
            true => UNKNOWN_AFTER_RESEND,
            false => Verdict::NotRun {
                reason,
                retry_after,
            },
        };
        self.finish(ticket, verdict, out);
    }

    /// Answers a request and removes it; a request must not be answered twice.
    pub(super) fn finish(&mut self, ticket: u64, verdict: Verdict, out: &mut Vec<Action>) {
        let request = self.in_flight.remove(&ticket);
        let detail = || format!("request {ticket} was already answered");
        invariant::check(request.is_some(), Rule::Answer, detail);
        let Some(request) = request else {
            return;
        };
        let verdict = request.provable_verdict(ticket, verdict);
        if let Some((shard, epoch)) = &request.dedup_shard
            && let Some(dedup) = self
                .dedup_shards
                .get_mut(shard)
                .filter(|s| s.epoch == *epoch)
        {
            match verdict {
                Verdict::NotRun { .. } => dedup.mark_not_run(&request.meta.id),
                _ => dedup.mark_ran(&request.meta.id),
            }
        }
        out.push(Action::Finish {
            ticket,
            verdict,
            retries: request.retries,
        });
    }
}
