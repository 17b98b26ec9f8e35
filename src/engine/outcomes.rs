//! What the sends of requests came to: another try or an answer.

use super::in_flight::{Origin, RESENT, Stage};
use super::requests::COME_BACK;
use super::state::Engine;
use super::{Action, ForwardOutcome, Now, Verdict};
use crate::cell::{Reason, SendOutcome};
use crate::invariant::{self, Rule};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Steps in which the time to come back varies, up to twice as long, so that
/// callers do not come together.
const JITTER: u64 = 200;

impl Engine {
    /// Takes in that an own cell refused a request; another one may be tried.
    pub(super) fn refused(
        &mut self,
        now: Now,
        ticket: u64,
        reason: Reason,
        after: Millis,
        out: &mut Vec<Action>,
    ) {
        let cell = self.left_cell(ticket);
        // Idle as it looks, it would draw request after request.
        if let Some(cell) = cell.filter(|_| reason == Reason::NotOwner) {
            self.router.remove_cell(&cell);
        }
        if self.may_retry(now, ticket) {
            return self.route(now, ticket, out);
        }
        self.not_run(now, ticket, reason, after, out);
    }

    /// Takes in that a request could not be sent, as the lease has lapsed.
    pub(super) fn unsent(&mut self, now: Now, cell: &Name, ticket: u64, out: &mut Vec<Action>) {
        if let Some(cell) = self.cells.get_mut(cell) {
            // What the freed room would let through can't be sent either.
            let actions =
                cell.finish_send(now.millis, now.micros, ticket, SendOutcome::LeaseLapsed);
            debug_assert!(actions.is_empty());
        }
        self.arrive(ticket);
        self.refused(now, ticket, Reason::Lapsed, COME_BACK, out);
    }

    /// Notes that the last send of a request has an outcome.
    fn arrive(&mut self, ticket: u64) {
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.sending = false;
        }
    }

    /// Takes a request out of the cell where it is; returns that cell.
    fn left_cell(&mut self, ticket: u64) -> Option<Name> {
        let flight = self.flights.get_mut(&ticket)?;
        let stage = std::mem::replace(&mut flight.stage, Stage::New);
        let (Stage::Local(cell) | Stage::Remote(cell)) = stage else {
            return None;
        };
        self.router.end_request(&cell);
        Some(cell)
    }

    /// Returns true, and pays for it, when a request may be sent once more.
    pub(super) fn may_retry(&mut self, now: Now, ticket: u64) -> bool {
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return false;
        };
        let allowed = flight.origin != Origin::ForCell
            && flight.retries > 0
            && flight.left(now.millis) > 0
            && self.budget >= 1.0;
        if allowed {
            flight.retries -= 1;
            self.budget -= 1.0;
        }
        allowed
    }

    /// Takes in how a send to an endpoint went.
    pub(super) fn sent(
        &mut self,
        now: Now,
        ticket: u64,
        outcome: SendOutcome,
        out: &mut Vec<Action>,
    ) {
        self.arrive(ticket);
        let stage = self.flights.get(&ticket).map(|f| f.stage.clone());
        if let Some(Stage::Local(name)) = stage
            && let Some(cell) = self.cells.get_mut(&name)
        {
            let epoch = cell.epoch;
            for action in cell.finish_send(now.millis, now.micros, ticket, outcome) {
                self.cell_action(now, &name, epoch, action, out);
            }
        }
        match outcome {
            SendOutcome::Answered => {
                self.left_cell(ticket);
                self.finish(ticket, Verdict::Answer, out);
            }
            SendOutcome::NotRun => self.refused(now, ticket, Reason::Refused, COME_BACK, out),
            SendOutcome::LeaseLapsed => self.refused(now, ticket, Reason::Lapsed, COME_BACK, out),
            SendOutcome::Unknown { .. } => self.doubted(now, ticket, "endpoint", out),
        }
    }

    /// Takes in how handing a request to another box went.
    pub(super) fn handed(
        &mut self,
        now: Now,
        ticket: u64,
        outcome: ForwardOutcome,
        out: &mut Vec<Action>,
    ) {
        self.arrive(ticket);
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        let at_dedup = flight.stage == Stage::Dedup;
        match outcome {
            ForwardOutcome::Answered => {
                self.left_cell(ticket);
                self.finish(ticket, Verdict::Answer, out);
            }
            ForwardOutcome::NotRun {
                reason,
                after,
                retries,
            } => {
                flight.retries = flight.retries.min(retries);
                if !at_dedup {
                    return self.refused(now, ticket, reason, after, out);
                }
                // Only the owner of the dedup shard tries cells; the shard may have a new owner.
                let moved = matches!(reason, Reason::NotOwner | Reason::Unreachable);
                match moved {
                    true => self.back_off(now, ticket, reason, out),
                    false => self.not_run(now, ticket, reason, after, out),
                }
            }
            ForwardOutcome::Unknown => self.doubted(now, ticket, "peer", out),
        }
    }

    /// Goes on with a request that may have run: only a repeatable one is
    /// sent again.
    fn doubted(&mut self, now: Now, ticket: u64, reason: &'static str, out: &mut Vec<Action>) {
        self.left_cell(ticket);
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        flight.doubtful = true;
        if flight.meta.repeatable && self.may_retry(now, ticket) {
            return self.route(now, ticket, out);
        }
        self.finish(ticket, Verdict::Unknown { reason }, out);
    }

    /// Tells the caller that a request did not run, if that is certain.
    pub(super) fn not_run(
        &mut self,
        now: Now,
        ticket: u64,
        reason: Reason,
        after: Millis,
        out: &mut Vec<Action>,
    ) {
        let jitter = crate::utils::hash::mix(ticket ^ now.micros) % JITTER;
        let after = after + after * jitter / JITTER;
        // An earlier send that may have run forbids to say that it did not.
        let doubtful = self.flights.get(&ticket).is_some_and(|f| f.doubtful);
        let verdict = match doubtful {
            true => RESENT,
            false => Verdict::NotRun { reason, after },
        };
        self.finish(ticket, verdict, out);
    }

    /// Answers a request, once.
    pub(super) fn finish(&mut self, ticket: u64, verdict: Verdict, out: &mut Vec<Action>) {
        let flight = self.flights.remove(&ticket);
        let twice = || format!("{ticket} answered twice");
        invariant::check(flight.is_some(), Rule::Answer, twice);
        let Some(flight) = flight else {
            return;
        };
        let verdict = flight.provable(ticket, verdict);
        if let Some((shard, epoch)) = &flight.dedup_shard
            && let Some(dedup) = self
                .dedup_shards
                .get_mut(shard)
                .filter(|s| s.epoch == *epoch)
        {
            match verdict {
                Verdict::NotRun { .. } => dedup.mark_not_run(&flight.meta.id),
                _ => dedup.mark_ran(&flight.meta.id),
            }
        }
        out.push(Action::Finish {
            ticket,
            verdict,
            retries: flight.retries,
        });
    }
}
