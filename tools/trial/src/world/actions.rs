//! What the engines ask for, carried out as the daemon's tasks do.

use std::net::SocketAddr;

use willowpoint::cell::{Action as CellAction, CallOutcome, PollOutcome, Reason, SendOutcome};
use willowpoint::engine::{Action, Event, ForwardOutcome, Verdict, WorkerCallOutcome};
use willowpoint::invariant::Rule;
use willowpoint::lease::WriteOutcome;
use willowpoint::table::{Call as TableCall, Outcome};
use willowpoint::utils::Name;

use super::messages::{PATIENCE, Payload, Request};
use super::{Asker, End, PORTS, TASK, World};

/// Milliseconds that a greeting may take.
const GREETING: u64 = 200;

impl World {
    /// Brings an event to a box and carries out what it asks for.
    pub fn feed(&mut self, node: usize, event: Event) {
        let now = self.clock(node);
        let actions = self.nodes[node].engine.step(now, event);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    /// Carries out one action of a box.
    pub fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send {
                ticket,
                epoch,
                http,
                time_left,
                ..
            } => self.send(node, ticket, epoch, http, time_left),
            Action::Forward {
                ticket,
                to,
                meta,
                cell,
                dedup_shard,
                epoch,
            } => {
                let retries = meta.retries;
                let unsent = |reason| Event::ForwardEnded {
                    ticket,
                    outcome: ForwardOutcome::NotRun {
                        reason,
                        retry_after: 100,
                        retries,
                    },
                };
                let admitted = dedup_shard.is_some() && cell.is_some();
                if admitted && !self.acts(node) {
                    return self.feed(node, unsent(Reason::Lapsed));
                }
                let Some(attempt) = self.attempt(node, ticket) else {
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
                let unsent = unsent(Reason::Unreachable);
                self.ask(
                    node,
                    End::Box(index(to, PORTS.0)),
                    limit,
                    payload,
                    lost,
                    unsent,
                );
            }
            Action::Finish {
                ticket,
                verdict,
                retries,
            } => self.conclude(node, ticket, verdict, retries),
            Action::CallTable { op, call } => self.call_store(node, op, call),
            Action::ListWorkers => {
                let event = Event::WorkersListed(None);
                self.ask(
                    node,
                    End::Store,
                    PATIENCE,
                    Payload::List,
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
                let end = End::Box(index(rpc, PORTS.0));
                let payload = Payload::Greet { to, greeting };
                self.ask(node, end, GREETING, payload, event.clone(), event);
            }
            Action::FetchSnapshot(rpc) => {
                let event = Event::SnapshotEnded(None);
                let end = End::Box(index(rpc, PORTS.0));
                self.ask(node, end, PATIENCE, Payload::Snapshot, event.clone(), event);
            }
            Action::Exit { .. } => self.exit(node),
            Action::AnswerGreeting { .. }
            | Action::Hint { .. }
            | Action::AnswerQuery { .. }
            | Action::Disconnect(_) => {}
        }
    }

    fn acts(&self, node: usize) -> bool {
        let now = self.clock(node).millis;
        self.nodes[node].engine.may_act(now)
    }

    fn attempt(&self, node: usize, ticket: u64) -> Option<usize> {
        let key = (node, self.nodes[node].boot, ticket);
        self.parked.get(&key).map(|p| p.attempt)
    }

    fn send(&mut self, node: usize, ticket: u64, epoch: u64, http: SocketAddr, time_left: u64) {
        let event = |outcome| Event::SendEnded { ticket, outcome };
        if !self.acts(node) {
            return self.feed(node, event(SendOutcome::LeaseLapsed));
        }
        let Some(attempt) = self.attempt(node, ticket) else {
            return;
        };
        let now = self.clock(node);
        let until = self.nodes[node].engine.send_until();
        let wait = time_left.min(until.saturating_sub(now.millis));
        let payload = Payload::Begin {
            epoch,
            not_after: now.wall + wait,
            request: Request { ticket, attempt },
            service: "s0".into(),
        };
        let lost = event(SendOutcome::Unknown {
            until: now.millis + time_left * 2,
        });
        let end = End::Worker(index(http, PORTS.1));
        self.ask(
            node,
            end,
            time_left.max(1),
            payload,
            lost,
            event(SendOutcome::NotRun),
        );
    }

    fn call_store(&mut self, node: usize, op: u64, call: TableCall) {
        let sent = self.clock(node).millis;
        let event = |outcome| Event::TableCallEnded { op, sent, outcome };
        let (lost, unsent) = match call {
            TableCall::Commit(_) => (
                event(Outcome::Written(WriteOutcome::Unknown)),
                event(Outcome::Written(WriteOutcome::NotSent)),
            ),
            _ => (event(Outcome::Failed), event(Outcome::Failed)),
        };
        let payload = Payload::Store { op, sent, call };
        self.ask(node, End::Store, PATIENCE, payload, lost, unsent);
    }

    fn call_worker(&mut self, node: usize, cell: Name, epoch: u64, action: CellAction) {
        let now = self.clock(node);
        let (worker, lost, unsent) = match &action {
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
        let (lost, unsent) = (event(lost), event(unsent));
        if !self.acts(node) {
            return self.feed(node, unsent);
        }
        let number: usize = worker.trim_start_matches('w').parse().unwrap_or(0);
        let until = self.nodes[node].engine.send_until();
        let payload = Payload::Worker {
            cell,
            epoch,
            not_after: now.wall + until.saturating_sub(now.millis).min(TASK),
            sent: now.millis,
            action,
        };
        self.ask(node, End::Worker(number), PATIENCE, payload, lost, unsent);
    }

    fn conclude(&mut self, node: usize, ticket: u64, verdict: Verdict, retries: u32) {
        let key = (node, self.nodes[node].boot, ticket);
        let Some(parked) = self.parked.remove(&key) else {
            self.truth
                .check(false, Rule::Answer, || format!("{ticket} has two outcomes"));
            return;
        };
        match parked.from {
            Asker::Caller => self.tell_caller(parked.attempt, verdict, parked.answer),
            Asker::Peer { call, ticket } => {
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
                self.tell_peer(node, call, ticket, outcome, parked.answer);
            }
        }
    }

    /// Ends a planned stop: nothing may be in progress, or it took too long.
    fn exit(&mut self, node: usize) {
        let boot = self.nodes[node].boot;
        let waiting = self
            .parked
            .keys()
            .filter(|k| (k.0, k.1) == (node, boot))
            .count();
        match waiting {
            0 => self.truth.counts.event("planned stops completed"),
            _ => self.truth.counts.event("planned stops cut short"),
        }
        self.replace(node);
    }

    /// Puts a new process in the place of a box.
    pub fn replace(&mut self, node: usize) {
        let boot = self.nodes[node].boot;
        self.parked.retain(|k, _| (k.0, k.1) != (node, boot));
        self.nodes[node] = self.boot(node);
    }
}

fn index(address: SocketAddr, base: u16) -> usize {
    usize::from(address.port() - base)
}
