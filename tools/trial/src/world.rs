//! Boxes, platform and workers of one run, under one clock.

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
use faults::{Cut, Trouble};
use load::Operation;
use messages::{Payload, Request};

/// Steps without faults at the end, in which all must become whole.
const CALM: u64 = 800;
/// Wall clock at the start, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;
/// Racks of the workers.
const RACKS: [&str; 3] = ["h0/r0", "h0/r1", "h1/r0"];
/// Milliseconds of the task lease.
const TASK: u64 = 1_500;

/// One end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A box.
    Box(usize),
    /// The platform.
    Store,
    /// A worker.
    Worker(usize),
}

/// A process of an entry box.
struct Node {
    engine: Engine,
    boot: u64,
    frozen: u64,
    /// Start of its steady clock.
    offset: u64,
    /// Thousandths by which its steady clock runs fast.
    drift: i64,
    /// Milliseconds by which its wall clock is wrong.
    skew: i64,
    tickets: u64,
}

/// A worker and what disturbs it.
struct Host {
    worker: Worker,
    frozen: u64,
    skew: i64,
    left: Option<u64>,
}

/// A call that waits for its reply.
struct Call {
    node: usize,
    boot: u64,
    lost: Event,
}

/// A request that waits at a box for its outcome.
struct Parked {
    from: Asker,
    attempt: usize,
    answer: Option<usize>,
}

/// Who waits for a request's outcome.
#[derive(Clone, Copy)]
pub enum Asker {
    /// A caller.
    Caller,
    /// Another box.
    Peer {
        /// Number of its call.
        call: u64,
        /// Number of the request there.
        ticket: u64,
    },
}

/// Something that happens at a time.
enum Delivery {
    /// An event of the box itself.
    Local {
        node: usize,
        boot: u64,
        event: Event,
    },
    /// A message that needs a reply.
    Ask {
        call: u64,
        from: usize,
        to: End,
        sent: u64,
        payload: Box<Payload>,
    },
    /// A reply; it may carry the answer to an attempt.
    Reply {
        call: u64,
        from: End,
        event: Event,
        answer: Option<(u64, usize)>,
    },
    /// The time of a call is over.
    Timeout(u64),
    /// An endpoint has run a request.
    Finish {
        worker: usize,
        epoch: u64,
        request: Request,
        call: u64,
    },
    /// A caller sends a request once more, or gives up waiting for an attempt.
    Resend { request: usize },
    /// A caller waits no longer.
    GiveUp { attempt: usize },
    /// An operator's call comes to the platform.
    Operate { operation: usize },
}

/// All of one run.
pub struct World {
    schedule: Schedule,
    random: Random,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    nodes: Vec<Node>,
    hosts: Vec<Host>,
    table: Table,
    cuts: Vec<Cut>,
    trouble: Trouble,
    calls: BTreeMap<u64, Call>,
    parked: BTreeMap<(usize, u64, u64), Parked>,
    operations: Vec<Operation>,
    jobs: Vec<Name>,
    boots: u64,
    truth: Truth,
}

/// Runs a schedule to its end or to the first violation.
pub fn run(schedule: &Schedule) -> (Counts, Option<Violation>) {
    let mut world = World::new(schedule.clone());
    world.prepare();
    for step in 0..schedule.steps + CALM {
        if step < schedule.steps {
            world.inject(step);
            world.callers();
        } else if step == schedule.steps {
            world.heal();
        }
        world.step();
        if world.truth.violation.is_some() {
            break;
        }
    }
    if world.truth.violation.is_none() {
        world.finish();
    }
    (world.truth.counts, world.truth.violation)
}

fn address(base: u16, index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], base + index as u16))
}

/// First ports of boxes, endpoints and controls.
const PORTS: (u16, u16, u16) = (1_000, 2_000, 3_000);

fn place(index: usize, leaving: bool) -> ListedWorker {
    ListedWorker {
        name: format!("w{index}").into(),
        cell: RACKS[index % RACKS.len()].into(),
        http: address(PORTS.1, index),
        rpc: address(PORTS.2, index),
        leaving,
    }
}

fn setup(index: usize, boot: u64) -> EngineSettings {
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
            journal: 100,
            task_lease: TASK,
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
            trouble: Trouble::default(),
            calls: BTreeMap::new(),
            parked: BTreeMap::new(),
            operations: Vec::new(),
            jobs: Vec::new(),
            boots: 0,
            truth: Truth::default(),
        };
        for index in 0..BOXES {
            let node = world.boot(index);
            world.nodes.push(node);
        }
        for _ in 0..WORKERS {
            let host = world.host();
            world.hosts.push(host);
        }
        world
    }

    fn boot(&mut self, index: usize) -> Node {
        // A box that starts again within its process counts on from here.
        self.boots += 100;
        Node {
            engine: Engine::new(setup(index, self.boots)),
            boot: self.boots,
            frozen: 0,
            offset: 10_000 + self.random.below(1_000_000),
            drift: self.random.below(5) as i64 - 2,
            skew: self.random.below(401) as i64 - 200,
            tickets: 0,
        }
    }

    fn host(&mut self) -> Host {
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
            frozen: 0,
            skew: self.random.below(201) as i64 - 100,
            left: None,
        }
    }

    /// Returns the clocks of a box.
    fn clock(&self, node: usize) -> Now {
        let Node {
            offset,
            drift,
            skew,
            ..
        } = self.nodes[node];
        let ran = self.now as i64 + self.now as i64 * drift / 1_000;
        let millis = offset + ran as u64;
        Now {
            millis,
            micros: millis * 1_000,
            wall: (EPOCH + self.now).saturating_add_signed(skew),
        }
    }

    fn wall_of(&self, worker: usize) -> u64 {
        (EPOCH + self.now).saturating_add_signed(self.hosts[worker].skew)
    }

    fn push(&mut self, at: u64, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.deliveries.insert(self.sequence, delivery);
    }

    /// Lets one step of time pass.
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
            if self.nodes[node].frozen <= self.now {
                self.feed(node, Event::Tick);
            }
        }
        self.watch();
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Local { node, boot, event } => self.local(node, boot, event),
            Delivery::Ask {
                call,
                from,
                to,
                sent,
                payload,
            } => self.arrive(call, from, to, sent, payload),
            Delivery::Reply {
                call,
                from,
                event,
                answer,
            } => self.reply_arrives(call, from, event, answer),
            Delivery::Timeout(call) => {
                if let Some(call) = self.calls.remove(&call) {
                    self.local(call.node, call.boot, call.lost);
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
            Delivery::Operate { operation } => self.operate(operation),
        }
    }

    /// Brings an event to a box, later when it is frozen.
    fn local(&mut self, node: usize, boot: u64, event: Event) {
        let Node {
            boot: present,
            frozen,
            ..
        } = self.nodes[node];
        if boot != present {
            return;
        }
        match frozen > self.now {
            true => self.push(frozen, Delivery::Local { node, boot, event }),
            false => self.feed(node, event),
        }
    }

    fn reply_arrives(&mut self, call: u64, from: End, event: Event, answer: Option<(u64, usize)>) {
        let Some(node) = self.calls.get(&call).map(|c| c.node) else {
            return;
        };
        if self.is_cut(from, End::Box(node)) {
            return;
        }
        let Some(waiting) = self.calls.remove(&call) else {
            return;
        };
        if let Some((ticket, attempt)) = answer
            && let Some(parked) = self.parked.get_mut(&(node, waiting.boot, ticket))
        {
            parked.answer = Some(attempt);
        }
        self.local(node, waiting.boot, event);
    }

    /// Checks what must hold at any time.
    fn watch(&mut self) {
        self.watch_owners();
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
                format!("w{index} was given more than its room")
            });
        }
    }

    fn watch_owners(&mut self) {
        let mut owners: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for node in 0..BOXES {
            let now = self.clock(node).millis;
            let Node { engine, frozen, .. } = &self.nodes[node];
            if *frozen > self.now || !engine.may_act(now) {
                continue;
            }
            if engine.acts_on_promises(now) {
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
