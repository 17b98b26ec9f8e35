//! Messages between boxes, platform and workers.

use willowpoint::cell::{
    Action as CellAction, CallOutcome, PollOutcome, PollReply, Run, RunId, RunState, SendOutcome,
};
use willowpoint::engine::{Event, ForwardOutcome, Greeting, WorkerCallOutcome};
use willowpoint::invariant::Rule;
use willowpoint::job::{JobShardRow, Phase};
use willowpoint::lease::WriteOutcome;
use willowpoint::request::Meta;
use willowpoint::standin::worker::state::{ActiveRequest, Start, SyncRequest, WorkerRun};
use willowpoint::table::{Call as TableCall, Outcome, decode};
use willowpoint::utils::Name;

use super::{Call, Delivery, Origin, Party, PendingRequest, RACKS, TASK_LEASE, World};

/// Timeout of calls to the platform and to workers in ms.
pub const CALL_TIMEOUT: u64 = 450;
/// Time in ms after which a leaving worker must not receive new work.
const LEAVING_GRACE: u64 = 4_000;

/// A request on its way to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Ticket of the request at the sending box.
    pub ticket: u64,
    /// The caller's attempt.
    pub attempt: usize,
}

/// Content of a message.
pub enum Payload {
    /// A call to the table.
    TableCall { op: u64, sent: u64, call: TableCall },
    /// A query for the list of workers.
    ListWorkers,
    /// A request to an endpoint.
    EndpointRequest {
        epoch: u64,
        not_after: u64,
        request: Request,
        service: Name,
    },
    /// An RPC call to a worker.
    WorkerCall {
        cell: Name,
        epoch: u64,
        not_after: u64,
        sent: u64,
        action: CellAction,
    },
    /// A greeting.
    Greet { to: Name, greeting: Greeting },
    /// A request forwarded to another box.
    Forward {
        meta: Meta,
        cell: Option<Name>,
        dedup_shard: Option<Name>,
        epoch: u64,
        request: Request,
    },
    /// A query for the whole configuration.
    Snapshot,
}

impl World {
    /// Sends a message from a box. The box receives `lost` if no reply arrives within `limit` ms,
    /// or `not_sent` if no connection can be made.
    pub fn send_message(
        &mut self,
        node: usize,
        to: Party,
        limit: u64,
        payload: Payload,
        lost: Event,
        not_sent: Event,
    ) {
        let boot = self.nodes[node].boot;
        if self.is_cut(Party::Box(node), to) && self.random.chance(0.5) {
            let at = self.now + self.random.below(limit.max(1));
            return self.push(
                at,
                Delivery::Event {
                    node,
                    boot,
                    event: not_sent,
                },
            );
        }
        self.sequence += 1;
        let call = self.sequence;
        self.calls.insert(call, Call { node, boot, lost });
        self.push(self.now + limit, Delivery::Timeout(call));
        let at = self.now + self.delay(to);
        self.push(
            at,
            Delivery::Message {
                call,
                from: node,
                to,
                sent: self.now,
                payload: Box::new(payload),
            },
        );
    }

    fn send_reply(&mut self, call: u64, from: Party, event: Event, answer: Option<(u64, usize)>) {
        let at = self.now + self.delay(from);
        self.push(
            at,
            Delivery::Reply {
                call,
                from,
                event,
                answer,
            },
        );
    }

    /// Delivers a message to its receiver, after the freeze if the receiver is frozen.
    pub fn deliver_message(
        &mut self,
        call: u64,
        from: usize,
        to: Party,
        sent: u64,
        payload: Box<Payload>,
    ) {
        if self.is_cut(Party::Box(from), to) {
            return;
        }
        let frozen_until = match to {
            Party::Box(node) => self.nodes[node].frozen_until,
            Party::Worker(worker) => self.hosts[worker].frozen_until,
            Party::Store => 0,
        };
        if frozen_until > self.now {
            return self.push(
                frozen_until,
                Delivery::Message {
                    call,
                    from,
                    to,
                    sent,
                    payload,
                },
            );
        }
        match (*payload, to) {
            (Payload::TableCall { op, sent, call: c }, _) => {
                self.handle_table_call(call, op, sent, &c)
            }
            (Payload::ListWorkers, _) => self.handle_list_workers(call),
            (
                Payload::EndpointRequest {
                    epoch,
                    not_after,
                    request,
                    service,
                },
                Party::Worker(worker),
            ) => {
                self.check_leaving(worker, sent);
                self.begin_request(call, worker, epoch, not_after, request, service);
            }
            (
                Payload::WorkerCall {
                    cell,
                    epoch,
                    not_after,
                    sent: stamp,
                    action,
                },
                Party::Worker(worker),
            ) => {
                if matches!(action, CellAction::Start { .. }) {
                    self.check_leaving(worker, sent);
                }
                let outcome = self.handle_worker_call(worker, epoch, not_after, stamp, &action);
                let event = Event::WorkerCallEnded {
                    cell,
                    epoch,
                    worker: format!("w{worker}").into(),
                    outcome,
                };
                self.send_reply(call, to, event, None);
            }
            (Payload::Greet { to: id, greeting }, Party::Box(node)) => {
                self.handle_greeting(call, node, id, greeting);
            }
            (
                Payload::Forward {
                    meta,
                    cell,
                    dedup_shard,
                    epoch,
                    request,
                },
                Party::Box(node),
            ) => {
                let origin = Origin::Peer {
                    call,
                    ticket: request.ticket,
                };
                let ticket = self.add_pending(node, origin, request.attempt);
                self.handle_event(
                    node,
                    Event::Forwarded {
                        ticket,
                        meta,
                        cell,
                        dedup_shard,
                        epoch,
                    },
                );
            }
            (Payload::Snapshot, Party::Box(node)) => {
                let config = self.nodes[node].engine.config().clone();
                self.send_reply(call, to, Event::SnapshotEnded(Some(config)), None);
            }
            _ => {}
        }
    }

    /// Adds a request in progress at a box and returns its ticket.
    pub fn add_pending(&mut self, node: usize, origin: Origin, attempt: usize) -> u64 {
        let entry = &mut self.nodes[node];
        entry.tickets += 1;
        let key = (node, entry.boot, entry.tickets);
        let pending = PendingRequest {
            origin,
            attempt,
            answer: None,
        };
        self.pending.insert(key, pending);
        key.2
    }

    fn handle_table_call(&mut self, call: u64, op: u64, sent: u64, table_call: &TableCall) {
        let is_commit = matches!(table_call, TableCall::Commit(_));
        if self.disturbances.store_down > self.now {
            let outcome = match is_commit {
                true => Outcome::Written(WriteOutcome::Unknown),
                false => Outcome::Failed,
            };
            return self.send_reply(
                call,
                Party::Store,
                Event::TableCallEnded { op, sent, outcome },
                None,
            );
        }
        let outcome = self.table.call(table_call);
        let lost =
            is_commit && self.disturbances.lost_answers > self.now && self.random.chance(0.5);
        if lost {
            self.truth.counts.event("answers lost after the write");
            return;
        }
        self.send_reply(
            call,
            Party::Store,
            Event::TableCallEnded { op, sent, outcome },
            None,
        );
    }

    fn handle_list_workers(&mut self, call: u64) {
        if self.disturbances.store_down > self.now {
            return self.send_reply(call, Party::Store, Event::WorkersListed(None), None);
        }
        let workers = self.listed_workers();
        self.send_reply(
            call,
            Party::Store,
            Event::WorkersListed(Some(workers)),
            None,
        );
    }

    fn check_leaving(&mut self, worker: usize, sent: u64) {
        let left_at = self.hosts[worker].left_at;
        let late = left_at.is_some_and(|at| sent > at + LEAVING_GRACE);
        self.truth.check(!late, Rule::Leaving, || {
            format!("w{worker} receives work sent at {sent} ms, but is leaving since {left_at:?}")
        });
    }

    fn begin_request(
        &mut self,
        call: u64,
        worker: usize,
        epoch: u64,
        not_after: u64,
        request: Request,
        service: Name,
    ) {
        let wall = self.worker_wall(worker);
        let active = ActiveRequest {
            ticket: request.ticket,
            epoch,
            service,
        };
        let began = self.hosts[worker]
            .worker
            .begin_request(self.now, wall, active, not_after);
        let ticket = request.ticket;
        if began.is_err() {
            self.truth.counts.event("requests refused by workers");
            let event = Event::SendEnded {
                ticket,
                outcome: SendOutcome::NotRun,
            };
            return self.send_reply(call, Party::Worker(worker), event, None);
        }
        self.truth.counts.event("requests run");
        self.truth.record_run(request.attempt);
        let duration = 20 + self.random.below(200);
        self.push(
            self.now + duration,
            Delivery::Finish {
                worker,
                epoch,
                request,
                call,
            },
        );
    }

    /// Ends a request at its endpoint, after the freeze if the worker is frozen.
    pub fn finish_request(&mut self, worker: usize, epoch: u64, request: Request, call: u64) {
        let frozen_until = self.hosts[worker].frozen_until;
        if frozen_until > self.now {
            return self.push(
                frozen_until,
                Delivery::Finish {
                    worker,
                    epoch,
                    request,
                    call,
                },
            );
        }
        let Request { ticket, attempt } = request;
        self.hosts[worker].worker.finish_request(ticket, epoch);
        let event = Event::SendEnded {
            ticket,
            outcome: SendOutcome::Answered,
        };
        self.send_reply(call, Party::Worker(worker), event, Some((ticket, attempt)));
    }

    fn handle_worker_call(
        &mut self,
        worker: usize,
        epoch: u64,
        not_after: u64,
        sent: u64,
        action: &CellAction,
    ) -> WorkerCallOutcome {
        let (now, wall) = (self.now, self.worker_wall(worker));
        match action {
            CellAction::Poll {
                acks, renew, round, ..
            } => {
                let sync = SyncRequest {
                    epoch,
                    round: *round,
                    lease: if *renew { TASK_LEASE } else { 0 },
                    not_after,
                    acks: acks.clone(),
                };
                let host = &mut self.hosts[worker].worker;
                let runs = host.sync(now, wall, &sync);
                let (tickets, foreign_requests) = host.request_tickets();
                let samples = host.take_due_samples(now).into_iter().map(|(_, s)| s);
                let reply = PollReply {
                    refused: runs.is_none(),
                    shape: host.shape,
                    tickets,
                    foreign_requests,
                    samples: samples.collect(),
                    leaving: host.leaving,
                    runs: runs.unwrap_or_default(),
                };
                WorkerCallOutcome::Polled {
                    sent,
                    round: *round,
                    acks: acks.clone(),
                    outcome: PollOutcome::Reply(reply),
                }
            }
            CellAction::Start { run, work, .. } => {
                let called = self.start_run(worker, epoch, not_after, run, *work);
                WorkerCallOutcome::Started(run.id, called)
            }
            CellAction::Stop {
                run, checkpoint, ..
            } => {
                let host = &mut self.hosts[worker].worker;
                let result = host.stop(now, epoch, *run, *checkpoint);
                WorkerCallOutcome::Stopped(
                    *run,
                    result.map_or(CallOutcome::Refused, CallOutcome::Done),
                )
            }
            CellAction::Throttle { run, share, .. } => {
                let host = &mut self.hosts[worker].worker;
                let result = host.throttle(now, epoch, *run, *share);
                let called = result.map_or(CallOutcome::Refused, |()| CallOutcome::Done(0));
                WorkerCallOutcome::Throttled(*run, *share, called)
            }
            _ => WorkerCallOutcome::Started(0, CallOutcome::Refused),
        }
    }

    fn start_run(
        &mut self,
        worker: usize,
        epoch: u64,
        not_after: u64,
        run: &Run,
        work: u64,
    ) -> CallOutcome {
        let wall = self.worker_wall(worker);
        let before = self.hosts[worker].worker.counts.starts;
        let worker_run = WorkerRun {
            id: run.id,
            job: run.job.clone(),
            task: run.task,
            kind: run.kind.clone(),
            size: run.size,
            share: run.share,
            state: RunState::Running,
            work,
            done: run.saved as f64,
            saved: run.saved,
            lease_end: 0,
        };
        let start = Start {
            epoch,
            round: run.poll_round,
            lease: TASK_LEASE,
            not_after,
            run: worker_run,
        };
        let result = self.hosts[worker].worker.start(self.now, wall, start);
        if self.hosts[worker].worker.counts.starts > before {
            self.truth.counts.event("runs started");
            self.check_start(worker, run);
        }
        result.map_or(CallOutcome::Refused, |()| CallOutcome::Done(0))
    }

    /// Checks a started run against the runs of all workers and against the table.
    fn check_start(&mut self, worker: usize, run: &Run) {
        let mut copies: Vec<(usize, RunId)> = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            // The tasks of a frozen worker stand still during the freeze. Advancing the worker ends
            // those whose lease has lapsed, so that they are not counted as running.
            host.worker.advance(self.now);
            let same =
                host.worker.runs.values().filter(|t| {
                    t.state == RunState::Running && t.job == run.job && t.task == run.task
                });
            copies.extend(same.map(|t| (index, t.id)));
        }
        self.truth.check(copies.len() <= 1, Rule::Place, || {
            format!("{} {} runs at {copies:?}", run.job, run.task)
        });
        let rack = worker % RACKS.len();
        let earlier = self.truth.started.insert((rack, run.id), worker);
        self.truth.check(earlier.is_none(), Rule::Resume, || {
            format!("run {:x} starts twice", run.id)
        });
        let (rows, _) = self.table.scan("lot/", "", usize::MAX);
        let shards = rows.iter().filter_map(decode::<JobShardRow>);
        let mut tasks = shards
            .filter(|s| s.spec.id == run.job)
            .flat_map(|s| s.tasks);
        let row = tasks.find(|t| t.index == run.task);
        let fits = row
            .as_ref()
            .is_some_and(|t| t.phase == Phase::Open && run.saved == t.saved);
        self.truth.check(fits, Rule::Resume, || {
            format!(
                "{} {} starts from {}, but is recorded as {row:?}",
                run.job, run.task, run.saved
            )
        });
    }

    fn handle_greeting(&mut self, call: u64, node: usize, to: Name, greeting: Greeting) {
        let entry = &mut self.nodes[node];
        entry.tickets += 1;
        let ticket = entry.tickets;
        let now = self.clock(node);
        let sent = greeting.sent;
        let event = Event::GreetingReceived { ticket, greeting };
        let actions = self.nodes[node].engine.step(now, event);
        for action in actions {
            if let willowpoint::engine::Action::AnswerGreeting {
                greeting, promised, ..
            } = action
            {
                let reply = Some((greeting, promised));
                let event = Event::GreetingEnded {
                    to: to.clone(),
                    sent,
                    reply,
                };
                self.send_reply(call, Party::Box(node), event, None);
            } else {
                self.execute(node, action);
            }
        }
    }

    /// Replies to a peer with the outcome of a request that it forwarded.
    pub fn reply_to_peer(
        &mut self,
        node: usize,
        call: u64,
        ticket: u64,
        outcome: ForwardOutcome,
        answer: Option<usize>,
    ) {
        let event = Event::ForwardEnded { ticket, outcome };
        let answer = answer.map(|attempt| (ticket, attempt));
        self.send_reply(call, Party::Box(node), event, answer);
    }
}
