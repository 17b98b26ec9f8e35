//! The simulated world of one run: boxes, platform and workers in virtual time.

mod actions;
mod faults;
mod load;
mod messages;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use willowpoint::cell::{ListedWorker, Policy, Shape};
use willowpoint::dedup::DedupTimings;
use willowpoint::engine::{Engine, EngineSettings, Event, Now};
use willowpoint::invariant::Rule;
use willowpoint::lease::LeaseTimings;
use willowpoint::options::Intervals;
use willowpoint::standin::table::Table;
use willowpoint::standin::worker::state::Worker;
use willowpoint::utils::Name;
use willowpoint::utils::random::Random;

use crate::counts::Counts;
use crate::schedule::{BOXES, STEP, Schedule, WORKERS};
use crate::truth::{Truth, Violation};
use faults::{Cut, Disturbances};
use load::Operation;
use messages::{Payload, Request};

/// Steps without faults at the end, in which owners, configuration and jobs must recover.
const RECOVERY_STEPS: u64 = 800;
/// Wall clock time at the start of a run in ms.
const START_TIME: u64 = 1_700_000_000_000;
/// Racks of the workers.
const RACKS: [&str; 3] = ["h0/r0", "h0/r1", "h1/r0"];
/// Duration of a task's lease in ms.
const TASK_LEASE: u64 = 1_500;

/// Sender or receiver of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// The box of this index.
    Box(usize),
    /// The platform.
    Store,
    /// The worker of this index.
    Worker(usize),
}

/// A process of a box.
struct Node {
    engine: Engine,
    boot: u64,
    frozen_until: u64,
    /// Steady clock at the start of the run in ms.
    offset: u64,
    /// Rate error of the steady clock in thousandths; positive when it runs fast.
    drift: i64,
    /// Error of the wall clock in ms.
    skew: i64,
    /// Number of the last ticket issued.
    tickets: u64,
}

/// A stand-in worker and its faults.
struct Host {
    worker: Worker,
    frozen_until: u64,
    /// Error of the wall clock in ms.
    skew: i64,
    /// Time at which the worker began to leave.
    left_at: Option<u64>,
}

/// A call whose reply is awaited.
struct Call {
    node: usize,
    boot: u64,
    /// Event for the caller when no reply arrives in time.
    lost: Event,
}

/// A request in progress at a box.
struct PendingRequest {
    origin: Origin,
    attempt: usize,
    /// The attempt that an endpoint answered.
    answer: Option<usize>,
}

/// Where a request came from and its outcome goes to.
#[derive(Clone, Copy)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another box.
    Peer {
        /// Number of the peer's call.
        call: u64,
        /// Ticket of the request at the peer.
        ticket: u64,
    },
}

/// A scheduled delivery.
enum Delivery {
    /// An event for a box, dropped if the box has restarted since.
    Event {
        node: usize,
        boot: u64,
        event: Event,
    },
    /// A message from a box that expects a reply.
    Message {
        call: u64,
        from: usize,
        to: Party,
        sent: u64,
        payload: Box<Payload>,
    },
    /// A reply; `answer` is the receiver's ticket and the attempt that an endpoint answered.
    Reply {
        call: u64,
        from: Party,
        event: Event,
        answer: Option<(u64, usize)>,
    },
    /// The timeout of a call.
    Timeout(u64),
    /// An endpoint finishes a request.
    Finish {
        worker: usize,
        epoch: u64,
        request: Request,
        call: u64,
    },
    /// A caller sends a request again.
    Resend { request: usize },
    /// A caller stops waiting for an attempt.
    GiveUp { attempt: usize },
    /// An operator's call reaches the platform.
    OperatorCall { operation: usize },
}

/// The state of one run.
pub struct World {
    schedule: Schedule,
    random: Random,
    now: u64,
    /// Last number given to a delivery or a call.
    sequence: u64,
    /// Time and number of the scheduled deliveries, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    nodes: Vec<Node>,
    hosts: Vec<Host>,
    table: Table,
    cuts: Vec<Cut>,
    disturbances: Disturbances,
    calls: BTreeMap<u64, Call>,
    /// Requests in progress, by box, boot and ticket.
    pending: BTreeMap<(usize, u64, u64), PendingRequest>,
    operations: Vec<Operation>,
    jobs: Vec<Name>,
    /// Boot number of the box started last.
    boots: u64,
    truth: Truth,
}

/// Runs a schedule to its end or to the first violation.
pub fn run(schedule: &Schedule) -> (Counts, Option<Violation>) {
    let mut world = World::new(schedule.clone());
    world.write_config();
    for step in 0..schedule.steps + RECOVERY_STEPS {
        if step < schedule.steps {
            world.begin_faults(step);
            world.issue_request();
        } else if step == schedule.steps {
            world.end_faults();
        }
        world.step();
        if world.truth.violation.is_some() {
            break;
        }
    }
    if world.truth.violation.is_none() {
        world.check_final_state();
    }
    (world.truth.counts, world.truth.violation)
}

fn address(base: u16, index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], base + index as u16))
}

/// First ports of boxes, of workers' endpoints and of workers' RPC listeners.
const PORTS: (u16, u16, u16) = (1_000, 2_000, 3_000);

fn listed_worker(index: usize, leaving: bool) -> ListedWorker {
    ListedWorker {
        name: format!("w{index}").into(),
        cell: RACKS[index % RACKS.len()].into(),
        http: address(PORTS.1, index),
        rpc: address(PORTS.2, index),
        leaving,
    }
}

fn engine_settings(index: usize, boot: u64) -> EngineSettings {
    EngineSettings {
        name: format!("b{index}").into(),
        boot,
        rpc: address(PORTS.0, index),
        hall: format!("h{}", index % 2).into(),
        lease_timings: LeaseTimings {
            length: 2_000,
            margin: 400,
            promise: 900,
            outage: 8_000,
        },
        intervals: Intervals {
            heartbeat: 200,
            poll: 250,
            worker_poll: 200,
            shard_write: 100,
            task_lease: TASK_LEASE,
            stop_timeout: 8_000,
        },
        policy: Policy {
            queue_limit: 16,
            first_quarantine: 1_000,
            ..Policy::default()
        },
        dedup_timings: DedupTimings {
            retention: 8_000,
            skew: 500,
        },
    }
}

impl World {
    fn new(schedule: Schedule) -> Self {
        let mut world = Self {
            random: Random::new(schedule.seed),
            schedule,
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            nodes: Vec::new(),
            hosts: Vec::new(),
            table: Table::default(),
            cuts: Vec::new(),
            disturbances: Disturbances::default(),
            calls: BTreeMap::new(),
            pending: BTreeMap::new(),
            operations: Vec::new(),
            jobs: Vec::new(),
            boots: 0,
            truth: Truth::default(),
        };
        for index in 0..BOXES {
            let node = world.new_node(index);
            world.nodes.push(node);
        }
        for _ in 0..WORKERS {
            let host = world.new_host();
            world.hosts.push(host);
        }
        world
    }

    fn new_node(&mut self, index: usize) -> Node {
        // Leaves numbers between two boots: an engine that rejoins within its process increments
        // its own.
        self.boots += 100;
        Node {
            engine: Engine::new(engine_settings(index, self.boots)),
            boot: self.boots,
            frozen_until: 0,
            offset: 10_000 + self.random.below(1_000_000),
            drift: self.random.below(5) as i64 - 2,
            skew: self.random.below(401) as i64 - 200,
            tickets: 0,
        }
    }

    fn new_host(&mut self) -> Host {
        let mut worker = Worker::new(Shape {
            slots: 3,
            connections: 64,
            cores: 4_000,
            memory: 8_000,
            accelerators: 1,
        });
        worker.faults.fencing = self.schedule.fence;
        Host {
            worker,
            frozen_until: 0,
            skew: self.random.below(201) as i64 - 100,
            left_at: None,
        }
    }

    /// Returns the time by the clocks of a box.
    fn clock(&self, node: usize) -> Now {
        let Node {
            offset,
            drift,
            skew,
            ..
        } = self.nodes[node];
        let elapsed = self.now as i64 + self.now as i64 * drift / 1_000;
        let millis = offset + elapsed as u64;
        Now {
            millis,
            micros: millis * 1_000,
            wall: (START_TIME + self.now).saturating_add_signed(skew),
        }
    }

    fn worker_wall(&self, worker: usize) -> u64 {
        (START_TIME + self.now).saturating_add_signed(self.hosts[worker].skew)
    }

    fn push(&mut self, at: u64, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.deliveries.insert(self.sequence, delivery);
    }

    /// Advances time by one step: delivers what is due, ticks the boxes and checks the rules.
    fn step(&mut self) {
        let end = self.now + STEP;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            self.truth.now = self.now;
            if let Some(delivery) = self.deliveries.remove(&sequence) {
                self.deliver(delivery);
            }
            if self.truth.violation.is_some() {
                return;
            }
        }
        self.now = end;
        self.truth.now = end;
        for node in 0..BOXES {
            if self.nodes[node].frozen_until <= self.now {
                self.handle_event(node, Event::Tick);
            }
        }
        self.check_rules();
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event { node, boot, event } => self.deliver_event(node, boot, event),
            Delivery::Message {
                call,
                from,
                to,
                sent,
                payload,
            } => self.deliver_message(call, from, to, sent, payload),
            Delivery::Reply {
                call,
                from,
                event,
                answer,
            } => self.deliver_reply(call, from, event, answer),
            Delivery::Timeout(call) => {
                if let Some(call) = self.calls.remove(&call) {
                    self.deliver_event(call.node, call.boot, call.lost);
                }
            }
            Delivery::Finish {
                worker,
                epoch,
                request,
                call,
            } => self.finish_request(worker, epoch, request, call),
            Delivery::Resend { request } => self.send_request(request),
            Delivery::GiveUp { attempt } => self.give_up(attempt),
            Delivery::OperatorCall { operation } => self.execute_operator_call(operation),
        }
    }

    /// Delivers an event to a box, after the freeze if the box is frozen.
    fn deliver_event(&mut self, node: usize, boot: u64, event: Event) {
        let Node {
            boot: current,
            frozen_until,
            ..
        } = self.nodes[node];
        if boot != current {
            return;
        }
        match frozen_until > self.now {
            true => self.push(frozen_until, Delivery::Event { node, boot, event }),
            false => self.handle_event(node, event),
        }
    }

    fn deliver_reply(
        &mut self,
        call: u64,
        from: Party,
        event: Event,
        answer: Option<(u64, usize)>,
    ) {
        let Some(node) = self.calls.get(&call).map(|c| c.node) else {
            return;
        };
        if self.is_cut(from, Party::Box(node)) {
            return;
        }
        let Some(awaited) = self.calls.remove(&call) else {
            return;
        };
        if let Some((ticket, attempt)) = answer
            && let Some(pending) = self.pending.get_mut(&(node, awaited.boot, ticket))
        {
            pending.answer = Some(attempt);
        }
        self.deliver_event(node, awaited.boot, event);
    }

    /// Checks the rules that must hold at any time.
    fn check_rules(&mut self) {
        self.check_owners();
        for index in 0..BOXES {
            let engine = &self.nodes[index].engine;
            let (id, version) = (engine.id().clone(), engine.config_version());
            let last = self.truth.versions.insert(id.clone(), version).unwrap_or(0);
            self.truth.check(version >= last, Rule::Config, || {
                format!("{id} went from {last} back to {version}")
            });
        }
        for index in 0..WORKERS {
            let overloads = self.hosts[index].worker.counts.capacity_refusals;
            self.truth.check(overloads == 0, Rule::Room, || {
                format!("w{index} was given more work than its capacity")
            });
        }
    }

    fn check_owners(&mut self) {
        let mut owners: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for node in 0..BOXES {
            let now = self.clock(node).millis;
            let Node {
                engine,
                frozen_until,
                ..
            } = &self.nodes[node];
            if *frozen_until > self.now || !engine.may_act(now) {
                continue;
            }
            if engine.acts_by_promises(now) {
                self.truth.counts.event("box steps acted past the lease");
            }
            for (cell, _) in engine.owned_cells() {
                owners
                    .entry(cell.clone())
                    .or_default()
                    .push(engine.id().clone());
            }
        }
        for (cell, boxes) in owners {
            self.truth.check(boxes.len() == 1, Rule::Owner, || {
                format!("{cell} has the owners {boxes:?}")
            });
        }
    }
}
