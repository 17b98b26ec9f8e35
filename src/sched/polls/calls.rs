//! Polls workers: sends the polls that are due, and handles their replies.

use crate::sched::lost_workers::IncarnationEnd;
use crate::sched::message::{Action, Poll, Refusal, Reply, Report};
use crate::sched::owner::Owner;
use crate::sched::reports::RETRY_DELAY;
use crate::sched::worker::{PollState, Worker};
use crate::utils::clock::Millis;

/// Milliseconds that a worker may hold a poll until a run ends.
const POLL_WAIT: Millis = 1_000;
/// The same for a worker that is isolated for a suspect, so that the isolation ends soon.
const ISOLATED_POLL_WAIT: Millis = 200;
/// The same for a worker that has announced its end, which a recent poll has to prove.
const LEAVING_POLL_WAIT: Millis = 300;
/// The same for a worker with best-effort tasks beside serving tasks, whose tail latencies are
/// measured over half a second.
const MIXED_POLL_WAIT: Millis = 400;
/// Number of workers up to which `MIXED_POLL_WAIT` holds. With more workers it grows in
/// proportion, so that the owner's load does not grow with their number.
const MIXED_POLL_WORKERS: u64 = 200;
/// A listing can't lapse within this many milliseconds after an answer: less than two heartbeats.
const LAPSE_SILENCE: Millis = 1_900;

/// Returns true when a poll was meant for the known incarnation of a worker.
fn is_polled(worker: &Worker, poll: &Poll) -> bool {
    worker.boot == poll.incarnation.boot
}

/// Returns true when a worker has ended as announced, given that its connection was refused. A
/// worker that is cut off may also refuse connections, and its listing lapses after three
/// heartbeats of silence; one that goes sooner was removed by the worker at its end. The answer
/// may have waited while this box was paused, so the time of its poll counts.
fn has_left(worker: &Worker, poll: &Poll, now: Millis) -> bool {
    is_polled(worker, poll)
        && worker.is_known_at(poll.address)
        && worker.is_leave_announced()
        && now < worker.answered_sent + LAPSE_SILENCE
}

impl Owner {
    /// Sends the polls that are due.
    pub(in crate::sched) fn poll_due_workers(&mut self) {
        let now = self.now.steady;
        let may_grant = self.may_grant_leases();
        let span = self.settings.lease_length;
        let mixed_wait = MIXED_POLL_WAIT * (self.workers.len() as u64).max(MIXED_POLL_WORKERS)
            / MIXED_POLL_WORKERS;
        for name in self.take_due_polls() {
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            // A silent worker may still carry out orders. Its lease is not extended, so that it
            // ends and the tasks can run elsewhere.
            let has_runs = worker.unreadable_runs || !worker.placements.is_empty();
            let extends = may_grant && worker.is_incarnation_certain() && has_runs;
            let lease = match extends {
                true => worker.grant_lease(span, now),
                false => None,
            };
            // The worker learns of a raised fence at once: the answer settles unconfirmed starts.
            let known = worker.last_answer > 0
                && worker.is_incarnation_certain()
                && worker.answered_fence == worker.fence;
            let acknowledged = worker.next_acknowledgement();
            if acknowledged > 0 {
                worker.use_fence();
            }
            let max_wait = match worker.isolated_job {
                Some(_) => ISOLATED_POLL_WAIT,
                None if worker.listing.leaving => LEAVING_POLL_WAIT,
                None => POLL_WAIT,
            };
            let mixed = worker.colocation.is_mixed();
            // While a latency target is breached, polls are as frequent with any number of workers.
            let mixed_wait = if worker.is_over_target() {
                MIXED_POLL_WAIT
            } else {
                mixed_wait
            };
            let sequence = self.sequence.advance();
            worker.poll = PollState::InFlight(sequence);
            self.actions.push(Action::Poll(Poll {
                incarnation: worker.incarnation(),
                sequence,
                sent: now,
                address: worker.listing.address,
                lease,
                fence: worker.fence,
                acknowledged,
                wait: match (known, mixed) {
                    (false, _) => 0,
                    (true, true) => mixed_wait.min(max_wait),
                    (true, false) => max_wait,
                },
            }));
        }
    }

    /// Handles the reply to a poll.
    pub(in crate::sched) fn handle_poll_reply(&mut self, poll: &Poll, reply: Reply<Report>) {
        let now = self.now.steady;
        let name = &poll.incarnation.id;
        if reply == Reply::Lost {
            self.raise_fence(name);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.poll != PollState::InFlight(poll.sequence) {
            log::debug!(target: "worker", "worker={name} event=overtaken sent={}", poll.sent);
            return;
        }
        match reply {
            Reply::Ok(report) => self.handle_report(poll, report),
            Reply::Refused(Refusal::Replaced)
                if is_polled(worker, poll) && worker.is_replaced_at(poll.address) =>
            {
                self.end_incarnation(name, IncarnationEnd::Replaced)
            }
            Reply::Refused(Refusal::Fenced) if poll.fence < worker.fence => {
                log::debug!(target: "worker", "worker={name} event=overtaken sent={} fence={}", poll.sent, poll.fence);
                self.schedule_poll(name, now);
            }
            Reply::Refused(Refusal::Fenced) => {
                // A later owner has reached the worker; the next commit of this
                // owner fails.
                log::warn!(target: "worker", "worker={name} event=fenced epoch={}", self.journal.epoch());
                self.schedule_poll(name, now + RETRY_DELAY);
            }
            Reply::NotListening if has_left(worker, poll, now) => {
                self.end_incarnation(name, IncarnationEnd::Left)
            }
            Reply::Refused(_) | Reply::NotSent | Reply::NotListening | Reply::Lost => {
                if worker.missed_polls == 0 {
                    log::info!(target: "worker", "worker={} event=silent reply={reply:?}", worker.incarnation());
                }
                worker.missed_polls += 1;
                let moved = worker.listing.address != poll.address;
                let delay = if moved { 0 } else { RETRY_DELAY };
                self.schedule_poll(name, now + delay);
            }
        }
    }
}
