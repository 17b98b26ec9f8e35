//! Executes the actions of the engines in the way of the daemon's tasks.

use std::net::SocketAddr;

use willowpoint::cell::{Action as CellAction, CallOutcome, PollOutcome, Reason, SendOutcome};
use willowpoint::engine::{Action, Event, ForwardOutcome, Verdict, WorkerCallOutcome};
use willowpoint::invariant::Rule;
use willowpoint::lease::WriteOutcome;
use willowpoint::table::{Call as TableCall, Outcome};
use willowpoint::utils::Name;

use super::messages::{CALL_TIMEOUT, Payload, Request};
use super::{Origin, PORTS, Party, TASK_LEASE, World};

/// Timeout of a greeting in ms.
const GREETING_TIMEOUT: u64 = 200;

impl World {
    /// Passes an event to the engine of a box and executes the resulting actions.
    pub fn handle_event(&mut self, node: usize, event: Event) {
        let now = self.clock(node);
        let actions = self.nodes[node].engine.step(now, event);
        for action in actions {
            self.execute(node, action);
        }
    }

    /// Executes an action of a box.
    pub fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::Send {
                ticket,
                epoch,
                http,
                time_left,
                ..
            } => self.send_request_to_worker(node, ticket, epoch, http, time_left),
            Action::Forward {
                ticket,
                to,
                meta,
                cell,
                dedup_shard,
                epoch,
            } => {
                let retries = meta.retries;
                let not_sent = |reason| Event::ForwardEnded {
                    ticket,
                    outcome: ForwardOutcome::NotRun {
                        reason,
                        retry_after: 100,
                        retries,
                    },
                };
                let admitted = dedup_shard.is_some() && cell.is_some();
                if admitted && !self.may_act(node) {
                    return self.handle_event(node, not_sent(Reason::Lapsed));
                }
                let Some(attempt) = self.attempt_of(node, ticket) else {
                    return;
                };
                let lost = Event::ForwardEnded {
                    ticket,
                    outcome: ForwardOutcome::Unknown,
                };
                let limit = meta.time_left + 50;
                let payload = Payload::Forward {
                    meta,
                    cell,
                    dedup_shard,
                    epoch,
                    request: Request { ticket, attempt },
                };
                let not_sent = not_sent(Reason::Unreachable);
                self.send_message(
                    node,
                    Party::Box(index_of(to, PORTS.0)),
                    limit,
                    payload,
                    lost,
                    not_sent,
                );
            }
            Action::Finish {
                ticket,
                verdict,
                retries,
            } => self.report_outcome(node, ticket, verdict, retries),
            Action::CallTable { op, call } => self.call_table(node, op, call),
            Action::ListWorkers => {
                let event = Event::WorkersListed(None);
                self.send_message(
                    node,
                    Party::Store,
                    CALL_TIMEOUT,
                    Payload::ListWorkers,
                    event.clone(),
                    event,
                );
            }
            Action::CallWorker {
                cell,
                epoch,
                action,
            } => self.call_worker(node, cell, epoch, action),
            Action::Greet { to, rpc, greeting } => {
                let event = Event::GreetingEnded {
                    to: to.clone(),
                    sent: greeting.sent,
                    reply: None,
                };
                let party = Party::Box(index_of(rpc, PORTS.0));
                let payload = Payload::Greet { to, greeting };
                self.send_message(node, party, GREETING_TIMEOUT, payload, event.clone(), event);
            }
            Action::FetchSnapshot(rpc) => {
                let event = Event::SnapshotEnded(None);
                let party = Party::Box(index_of(rpc, PORTS.0));
                self.send_message(
                    node,
                    party,
                    CALL_TIMEOUT,
                    Payload::Snapshot,
                    event.clone(),
                    event,
                );
            }
            Action::Exit { .. } => self.finish_stop(node),
            Action::AnswerGreeting { .. }
            | Action::Hint { .. }
            | Action::AnswerQuery { .. }
            | Action::Disconnect(_) => {}
        }
    }

    fn may_act(&self, node: usize) -> bool {
        let now = self.clock(node).millis;
        self.nodes[node].engine.may_act(now)
    }

    /// Returns the attempt that a ticket of a box belongs to.
    fn attempt_of(&self, node: usize, ticket: u64) -> Option<usize> {
        let key = (node, self.nodes[node].boot, ticket);
        self.pending.get(&key).map(|p| p.attempt)
    }

    fn send_request_to_worker(
        &mut self,
        node: usize,
        ticket: u64,
        epoch: u64,
        http: SocketAddr,
        time_left: u64,
    ) {
        let event = |outcome| Event::SendEnded { ticket, outcome };
        if !self.may_act(node) {
            return self.handle_event(node, event(SendOutcome::LeaseLapsed));
        }
        let Some(attempt) = self.attempt_of(node, ticket) else {
            return;
        };
        let now = self.clock(node);
        let until = self.nodes[node].engine.send_until();
        let wait = time_left.min(until.saturating_sub(now.millis));
        let payload = Payload::EndpointRequest {
            epoch,
            not_after: now.wall + wait,
            request: Request { ticket, attempt },
            service: "s0".into(),
        };
        let lost = event(SendOutcome::Unknown {
            until: now.millis + time_left * 2,
        });
        let party = Party::Worker(index_of(http, PORTS.1));
        self.send_message(
            node,
            party,
            time_left.max(1),
            payload,
            lost,
            event(SendOutcome::NotRun),
        );
    }

    fn call_table(&mut self, node: usize, op: u64, call: TableCall) {
        let sent = self.clock(node).millis;
        let event = |outcome| Event::TableCallEnded { op, sent, outcome };
        let (lost, not_sent) = match call {
            TableCall::Commit(_) => (
                event(Outcome::Written(WriteOutcome::Unknown)),
                event(Outcome::Written(WriteOutcome::NotSent)),
            ),
            _ => (event(Outcome::Failed), event(Outcome::Failed)),
        };
        let payload = Payload::TableCall { op, sent, call };
        self.send_message(node, Party::Store, CALL_TIMEOUT, payload, lost, not_sent);
    }

    fn call_worker(&mut self, node: usize, cell: Name, epoch: u64, action: CellAction) {
        let now = self.clock(node);
        let (worker, lost, not_sent) = match &action {
            CellAction::Poll {
                worker,
                round,
                acks,
                ..
            } => {
                let synced = |outcome| WorkerCallOutcome::Polled {
                    sent: now.millis,
                    round: *round,
                    acks: acks.clone(),
                    outcome,
                };
                (
                    worker,
                    synced(PollOutcome::Lost),
                    synced(PollOutcome::NotSent),
                )
            }
            CellAction::Start { worker, run, .. } => {
                let started = |called| WorkerCallOutcome::Started(run.id, called);
                (
                    worker,
                    started(CallOutcome::Lost),
                    started(CallOutcome::Refused),
                )
            }
            CellAction::Stop { worker, run, .. } => {
                let stopped = |called| WorkerCallOutcome::Stopped(*run, called);
                (
                    worker,
                    stopped(CallOutcome::Lost),
                    stopped(CallOutcome::Refused),
                )
            }
            CellAction::Throttle {
                worker, run, share, ..
            } => {
                let throttled = |called| WorkerCallOutcome::Throttled(*run, *share, called);
                (
                    worker,
                    throttled(CallOutcome::Lost),
                    throttled(CallOutcome::Refused),
                )
            }
            _ => return,
        };
        let event = |outcome| Event::WorkerCallEnded {
            cell: cell.clone(),
            epoch,
            worker: worker.clone(),
            outcome,
        };
        let (lost, not_sent) = (event(lost), event(not_sent));
        if !self.may_act(node) {
            return self.handle_event(node, not_sent);
        }
        let number: usize = worker.trim_start_matches('w').parse().unwrap_or(0);
        let until = self.nodes[node].engine.send_until();
        let payload = Payload::WorkerCall {
            cell,
            epoch,
            not_after: now.wall + until.saturating_sub(now.millis).min(TASK_LEASE),
            sent: now.millis,
            action,
        };
        self.send_message(
            node,
            Party::Worker(number),
            CALL_TIMEOUT,
            payload,
            lost,
            not_sent,
        );
    }

    /// Reports the outcome of a request to the caller or the peer that it came from.
    fn report_outcome(&mut self, node: usize, ticket: u64, verdict: Verdict, retries: u32) {
        let key = (node, self.nodes[node].boot, ticket);
        let Some(pending) = self.pending.remove(&key) else {
            self.truth.check(false, Rule::Answer, || {
                format!("ticket {ticket} has two outcomes")
            });
            return;
        };
        match pending.origin {
            Origin::Caller => self.answer_caller(pending.attempt, verdict, pending.answer),
            Origin::Peer { call, ticket } => {
                let outcome = match verdict {
                    Verdict::Answer => ForwardOutcome::Answered,
                    Verdict::NotRun {
                        reason,
                        retry_after,
                    } => ForwardOutcome::NotRun {
                        reason,
                        retry_after,
                        retries,
                    },
                    Verdict::Unknown { .. } => ForwardOutcome::Unknown,
                };
                self.reply_to_peer(node, call, ticket, outcome, pending.answer);
            }
        }
    }

    /// Ends a planned stop and counts whether it completed or timed out with requests in progress.
    fn finish_stop(&mut self, node: usize) {
        let boot = self.nodes[node].boot;
        let in_progress = self
            .pending
            .keys()
            .filter(|k| (k.0, k.1) == (node, boot))
            .count();
        match in_progress {
            0 => self.truth.counts.event("planned stops completed"),
            _ => self.truth.counts.event("planned stops cut short"),
        }
        self.restart_node(node);
    }

    /// Replaces the process of a box by a new one.
    pub fn restart_node(&mut self, node: usize) {
        let boot = self.nodes[node].boot;
        self.pending.retain(|k, _| (k.0, k.1) != (node, boot));
        self.nodes[node] = self.new_node(node);
    }
}

/// Returns the index of the box or worker at an address.
fn index_of(address: SocketAddr, base: u16) -> usize {
    usize::from(address.port() - base)
}
