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

use super::{Asker, Call, Delivery, End, Parked, RACKS, TASK, World};

/// Milliseconds that calls to the platform and to workers may take.
pub const PATIENCE: u64 = 450;
/// Milliseconds after which a leaving worker must get nothing new.
const LEAVING: u64 = 4_000;

/// A request on its way to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Number of the request at the sending box.
    pub ticket: u64,
    /// The caller's attempt.
    pub attempt: usize,
}

/// What a message asks for.
pub enum Payload {
    /// A call to the table.
    Store { op: u64, sent: u64, call: TableCall },
    /// The list of workers.
    List,
    /// A request to an endpoint.
    Begin {
        epoch: u64,
        not_after: u64,
        request: Request,
        service: Name,
    },
    /// A call to a worker's control.
    Worker {
        cell: Name,
        epoch: u64,
        not_after: u64,
        sent: u64,
        action: CellAction,
    },
    /// A greeting.
    Greet { to: Name, greeting: Greeting },
    /// A request handed to another box.
    Forward {
        meta: Meta,
        cell: Option<Name>,
        dedup_shard: Option<Name>,
        epoch: u64,
        request: Request,
    },
    /// A question for the whole configuration.
    Snapshot,
}

impl World {
    /// Sends a message; `lost` is the event when no reply comes in time, and
    /// `unsent` the one when no connection can be made.
    pub fn ask(
        &mut self,
        node: usize,
        to: End,
        limit: u64,
        payload: Payload,
        lost: Event,
        unsent: Event,
    ) {
        let boot = self.nodes[node].boot;
        if self.is_cut(End::Box(node), to) && self.random.chance(0.5) {
            let at = self.now + self.random.below(limit.max(1));
            return self.push(
                at,
                Delivery::Local {
                    node,
                    boot,
                    event: unsent,
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
            Delivery::Ask {
                call,
                from: node,
                to,
                sent: self.now,
                payload: Box::new(payload),
            },
        );
    }

    fn reply(&mut self, call: u64, from: End, event: Event, answer: Option<(u64, usize)>) {
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

    /// Takes in a message at its end.
    pub fn arrive(&mut self, call: u64, from: usize, to: End, sent: u64, payload: Box<Payload>) {
        if self.is_cut(End::Box(from), to) {
            return;
        }
        let frozen = match to {
            End::Box(node) => self.nodes[node].frozen,
            End::Worker(worker) => self.hosts[worker].frozen,
            End::Store => 0,
        };
        if frozen > self.now {
            return self.push(
                frozen,
                Delivery::Ask {
                    call,
                    from,
                    to,
                    sent,
                    payload,
                },
            );
        }
        match (*payload, to) {
            (Payload::Store { op, sent, call: c }, _) => self.store(call, op, sent, &c),
            (Payload::List, _) => self.list(call),
            (
                Payload::Begin {
                    epoch,
                    not_after,
                    request,
                    service,
                },
                End::Worker(worker),
            ) => {
                self.watch_leaving(worker, sent);
                self.begin(call, worker, epoch, not_after, request, service);
            }
            (
                Payload::Worker {
                    cell,
                    epoch,
                    not_after,
                    sent: stamp,
                    action,
                },
                End::Worker(worker),
            ) => {
                if matches!(action, CellAction::Start { .. }) {
                    self.watch_leaving(worker, sent);
                }
                let outcome = self.control(worker, epoch, not_after, stamp, &action);
                let event = Event::WorkerCallEnded {
                    cell,
                    epoch,
                    worker: format!("w{worker}").into(),
                    outcome,
                };
                self.reply(call, to, event, None);
            }
            (Payload::Greet { to: id, greeting }, End::Box(node)) => {
                self.greet(call, node, id, greeting);
            }
            (
                Payload::Forward {
                    meta,
                    cell,
                    dedup_shard,
                    epoch,
                    request,
                },
                End::Box(node),
            ) => {
                let asker = Asker::Peer {
                    call,
                    ticket: request.ticket,
                };
                let ticket = self.park(node, asker, request.attempt);
                self.feed(
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
            (Payload::Snapshot, End::Box(node)) => {
                let config = self.nodes[node].engine.config().clone();
                self.reply(call, to, Event::SnapshotEnded(Some(config)), None);
            }
            _ => {}
        }
    }

    /// Gives a request a number at a box.
    pub fn park(&mut self, node: usize, from: Asker, attempt: usize) -> u64 {
        let entry = &mut self.nodes[node];
        entry.tickets += 1;
        let key = (node, entry.boot, entry.tickets);
        let parked = Parked {
            from,
            attempt,
            answer: None,
        };
        self.parked.insert(key, parked);
        key.2
    }

    fn store(&mut self, call: u64, op: u64, sent: u64, table_call: &TableCall) {
        let is_commit = matches!(table_call, TableCall::Commit(_));
        if self.trouble.store_down > self.now {
            let outcome = match is_commit {
                true => Outcome::Written(WriteOutcome::Unknown),
                false => Outcome::Failed,
            };
            return self.reply(
                call,
                End::Store,
                Event::TableCallEnded { op, sent, outcome },
                None,
            );
        }
        let outcome = self.table.call(table_call);
        let lost = is_commit && self.trouble.lose > self.now && self.random.chance(0.5);
        if lost {
            self.truth.counts.event("answers lost after the write");
            return;
        }
        self.reply(
            call,
            End::Store,
            Event::TableCallEnded { op, sent, outcome },
            None,
        );
    }

    fn list(&mut self, call: u64) {
        if self.trouble.store_down > self.now {
            return self.reply(call, End::Store, Event::WorkersListed(None), None);
        }
        let places = self.places();
        self.reply(call, End::Store, Event::WorkersListed(Some(places)), None);
    }

    fn watch_leaving(&mut self, worker: usize, sent: u64) {
        let left = self.hosts[worker].left;
        let late = left.is_some_and(|at| sent > at + LEAVING);
        self.truth.check(!late, Rule::Leaving, || {
            format!("w{worker} gets new work sent at {sent}, leaving since {left:?}")
        });
    }

    fn begin(
        &mut self,
        call: u64,
        worker: usize,
        epoch: u64,
        not_after: u64,
        request: Request,
        service: Name,
    ) {
        let wall = self.wall_of(worker);
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
            return self.reply(call, End::Worker(worker), event, None);
        }
        self.truth.counts.event("requests run");
        self.truth.ran(request.attempt);
        let took = 20 + self.random.below(200);
        self.push(
            self.now + took,
            Delivery::Finish {
                worker,
                epoch,
                request,
                call,
            },
        );
    }

    /// Takes in that an endpoint has run a request.
    pub fn finish_request(&mut self, worker: usize, epoch: u64, request: Request, call: u64) {
        let frozen = self.hosts[worker].frozen;
        if frozen > self.now {
            return self.push(
                frozen,
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
        self.reply(call, End::Worker(worker), event, Some((ticket, attempt)));
    }

    fn control(
        &mut self,
        worker: usize,
        epoch: u64,
        not_after: u64,
        sent: u64,
        action: &CellAction,
    ) -> WorkerCallOutcome {
        let (now, wall) = (self.now, self.wall_of(worker));
        match action {
            CellAction::Poll {
                acks, renew, round, ..
            } => {
                let sync = SyncRequest {
                    epoch,
                    round: *round,
                    lease: if *renew { TASK } else { 0 },
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
                let called = self.start(worker, epoch, not_after, run, *work);
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

    fn start(
        &mut self,
        worker: usize,
        epoch: u64,
        not_after: u64,
        run: &Run,
        work: u64,
    ) -> CallOutcome {
        let wall = self.wall_of(worker);
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
            lease: 0,
        };
        let start = Start {
            epoch,
            round: run.poll_round,
            lease: TASK,
            not_after,
            run: worker_run,
        };
        let result = self.hosts[worker].worker.start(self.now, wall, start);
        if self.hosts[worker].worker.counts.starts > before {
            self.truth.counts.event("runs started");
            self.watch_start(worker, run);
        }
        result.map_or(CallOutcome::Refused, |()| CallOutcome::Done(0))
    }

    /// Checks a run that has just started against all workers and the table.
    fn watch_start(&mut self, worker: usize, run: &Run) {
        let mut twins: Vec<(usize, RunId)> = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            // A frozen worker's tasks stand still with it.
            host.worker.advance(self.now);
            let same =
                host.worker.runs.values().filter(|t| {
                    t.state == RunState::Running && t.job == run.job && t.task == run.task
                });
            twins.extend(same.map(|t| (index, t.id)));
        }
        self.truth.check(twins.len() <= 1, Rule::Place, || {
            format!("{} {} runs at {twins:?}", run.job, run.task)
        });
        let rack = worker % RACKS.len();
        let known = self.truth.started.insert((rack, run.id), worker);
        self.truth.check(known.is_none(), Rule::Resume, || {
            format!("run {:x} starts twice", run.id)
        });
        let (rows, _) = self.table.scan("lot/", "", usize::MAX);
        let shards = rows.iter().filter_map(decode::<JobShardRow>);
        let mut tasks = shards
            .filter(|l| l.spec.id == run.job)
            .flat_map(|l| l.tasks);
        let row = tasks.find(|t| t.index == run.task);
        let fits = row
            .as_ref()
            .is_some_and(|t| t.phase == Phase::Open && run.saved == t.saved);
        self.truth.check(fits, Rule::Resume, || {
            format!(
                "{} {} starts from {} and is recorded as {row:?}",
                run.job, run.task, run.saved
            )
        });
    }

    fn greet(&mut self, call: u64, node: usize, to: Name, greeting: Greeting) {
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
                self.reply(call, End::Box(node), event, None);
            } else {
                self.carry_out(node, action);
            }
        }
    }

    /// Tells who waits for a request what came of it.
    pub fn tell_peer(
        &mut self,
        node: usize,
        call: u64,
        ticket: u64,
        outcome: ForwardOutcome,
        answer: Option<usize>,
    ) {
        let event = Event::ForwardEnded { ticket, outcome };
        let answer = answer.map(|attempt| (ticket, attempt));
        self.reply(call, End::Box(node), event, answer);
    }
}
