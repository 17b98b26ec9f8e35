//! The decisions against their baselines, in one cell and virtual time.
//!
//! `cargo bench --bench policy` drives one cell of eight stand-in workers with
//! requests and batch tasks of four kinds, some of which hurt the service. All
//! policies see the same arrivals. Service times follow the stand-in's table
//! of interference, which no policy but the oracle knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use willowpoint::cell::{
    Action, CallOutcome, Cell, Class, ListedWorker, PendingRequest, Policy, PollOutcome, PollReply,
    RunState, Sample, Selection, SendOutcome, SentPoll, Shape, Size, Timings,
};
use willowpoint::job::{JobShardRow, Spec, TaskRow, VersionedShard};
use willowpoint::lease::WriteOutcome;
use willowpoint::standin::worker::state::{ActiveRequest, Start, SyncRequest, Worker, WorkerRun};
use willowpoint::utils::Name;
use willowpoint::utils::random::Random;

const WORKERS: usize = 8;
const SLOTS: u32 = 8;
/// Milliseconds of one run, the first of which are not counted.
const SPAN: u64 = 60_000;
const WARM: u64 = 10_000;
/// Mean milliseconds of a request that nothing hurts.
const SERVICE: f64 = 20.0;
const DEADLINE: u64 = 500;
const SERVICES: &str = "stock";
const KINDS: [&str; 4] = ["reconcile", "settle", "restock", "payout"];
/// Milliseconds of work of a batch task.
const WORK: u64 = 4_000;
const SEED: u64 = 11;

/// What a policy came to.
#[derive(Default)]
struct Outcome {
    times: Vec<f64>,
    issued: u64,
    refused: u64,
    late: u64,
    finished: u64,
    evictions: u64,
}

struct Variant {
    name: &'static str,
    policy: Policy,
    oracle: bool,
}

fn variants() -> Vec<Variant> {
    let baseline = |name, pick| Variant {
        name,
        policy: Policy {
            request_selection: pick,
            task_selection: pick,
            throttling: false,
            ..Policy::default()
        },
        oracle: false,
    };
    let learned = |name, tail_weight, oracle| Variant {
        name,
        policy: Policy {
            tail_weight,
            ..Policy::default()
        },
        oracle,
    };
    vec![
        baseline("first fit", Selection::First),
        baseline("round robin", Selection::RoundRobin),
        baseline("random", Selection::Random),
        baseline("least loaded", Selection::LeastLoaded),
        learned("learned, tail 0.2", 0.2, false),
        learned("learned, tail 0.5", 0.5, false),
        learned("learned, tail 0.9", 0.9, false),
        learned("oracle, tail 0.9", 0.9, true),
    ]
}

fn main() {
    println!(
        "seed {SEED}, {WORKERS} workers of {SLOTS} slots, {} s each",
        (SPAN - WARM) / 1_000
    );
    for kind in KINDS {
        println!(
            "true interference of {kind} with {SERVICES}: {}",
            Worker::interference(SERVICES, kind)
        );
    }
    for load in [0.5, 0.8, 0.95, 1.2] {
        println!("\nload {:.0} % of the slots", load * 100.0);
        println!(
            "{:20} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>9}",
            "policy",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "in time/s",
            "refused",
            "batch/s",
            "evictions"
        );
        for variant in variants() {
            let outcome = World::new(&variant, load).run();
            print(variant.name, outcome);
        }
    }
}

fn print(name: &str, mut outcome: Outcome) {
    outcome.times.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let last = outcome.times.len().saturating_sub(1) as f64;
        outcome
            .times
            .get((last * part) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    let seconds = (SPAN - WARM) as f64 / 1e3;
    let good = (outcome.times.len() as u64 - outcome.late) as f64 / seconds;
    let refused = outcome.refused as f64 * 100.0 / outcome.issued.max(1) as f64;
    let batch = outcome.finished as f64 / seconds;
    println!(
        "{name:20} {:>8.1} {:>8.1} {:>8.1} {good:>9.0} {refused:>8.1}% {batch:>8.2} {:>9}",
        at(0.5),
        at(0.99),
        at(0.999),
        outcome.evictions
    );
}

struct World {
    cell: Cell,
    workers: Vec<Worker>,
    random: Random,
    rate: f64,
    oracle: bool,
    now: u64,
    ends: BTreeMap<(u64, u64), usize>,
    issued: BTreeMap<u64, u64>,
    done: Outcome,
    ticket: u64,
}

impl World {
    fn new(variant: &Variant, load: f64) -> Self {
        let times = Timings {
            run_lease: 10_000,
            margin: 1_000,
            poll_interval: 200,
        };
        let policy = variant.policy.clone();
        let mut cell = Cell::new("h/r".into(), 1, 0, policy, times);
        let place = |i: usize| ListedWorker {
            name: format!("w{i}").into(),
            cell: "h/r".into(),
            http: SocketAddr::from(([127, 0, 0, 1], 1 + i as u16)),
            rpc: SocketAddr::from(([127, 0, 0, 2], 1 + i as u16)),
            leaving: false,
        };
        let places: Vec<ListedWorker> = (0..WORKERS).map(place).collect();
        cell.set_workers(&places, &Default::default());
        cell.load_shards(0, KINDS.iter().map(|k| shard(k)).collect());
        let shape = Shape {
            slots: SLOTS,
            connections: 64,
            cores: 16_000,
            memory: 60_000,
            accelerators: 0,
        };
        Self {
            cell,
            workers: (0..WORKERS).map(|_| Worker::new(shape)).collect(),
            random: Random::new(SEED),
            rate: load * (WORKERS as f64) * f64::from(SLOTS) / SERVICE,
            oracle: variant.oracle,
            now: 0,
            ends: BTreeMap::new(),
            issued: BTreeMap::new(),
            done: Outcome::default(),
            ticket: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let mut next = 0.0;
        while self.now < SPAN {
            self.now += 1;
            while next < self.now as f64 {
                next += self.random.exponential(1.0 / self.rate);
                self.issue();
            }
            self.finish();
            if self.now.is_multiple_of(25) {
                let actions = self.cell.tick(self.now, self.now * 1_000);
                self.carry_out(actions);
                for action in self.cell.write_shards() {
                    if let Action::Write { key, .. } = action {
                        self.cell.finish_write(&key, WriteOutcome::Committed);
                    }
                }
            }
        }
        self.done.evictions = self.cell.evictions;
        self.done
    }

    fn issue(&mut self) {
        self.ticket += 1;
        if self.now > WARM {
            self.done.issued += 1;
        }
        self.issued.insert(self.ticket, self.now);
        let ask = PendingRequest {
            ticket: self.ticket,
            service: SERVICES.into(),
            class: Class::Critical,
            size: Size {
                cores: 1_000,
                memory: 0,
                accelerators: 0,
            },
            deadline: self.now + DEADLINE,
        };
        let actions = self.cell.admit(self.now, self.now * 1_000, ask);
        self.carry_out(actions);
    }

    fn finish(&mut self) {
        while let Some(((at, ticket), worker)) = self.ends.first_key_value().map(|(k, v)| (*k, *v))
        {
            if at > self.now {
                return;
            }
            self.ends.remove(&(at, ticket));
            self.workers[worker].finish_request(ticket, 1);
            if let Some(issued) = self.issued.remove(&ticket)
                && issued > WARM
            {
                let took = self.now - issued;
                self.done.times.push(took as f64);
                self.done.late += u64::from(took > DEADLINE);
            }
            let actions =
                self.cell
                    .finish_send(self.now, self.now * 1_000, ticket, SendOutcome::Answered);
            self.carry_out(actions);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut rest = actions;
        while let Some(action) = rest.pop() {
            rest.extend(self.one(action));
        }
    }

    fn one(&mut self, action: Action) -> Vec<Action> {
        let (now, micros) = (self.now, self.now * 1_000);
        match action {
            Action::Send { ticket, worker, .. } => {
                let index = number(&worker);
                let active = ActiveRequest {
                    ticket,
                    epoch: 1,
                    service: SERVICES.into(),
                };
                let began = self.workers[index].begin_request(now, now, active, u64::MAX);
                assert!(began.is_ok(), "the cell gave more than the room");
                let slow = self.workers[index].slowdown(SERVICES);
                let took = self.random.exponential(SERVICE / 2.0) + SERVICE / 2.0;
                let end = now + (took * slow).ceil() as u64;
                self.ends.insert((end, ticket), index);
                Vec::new()
            }
            Action::Refuse { ticket, .. } => {
                if self.issued.remove(&ticket).is_some_and(|at| at > WARM) {
                    self.done.refused += 1;
                }
                Vec::new()
            }
            Action::Poll {
                worker,
                acks,
                renew,
                round,
                ..
            } => self.sync(&worker, acks, renew, round),
            Action::Start {
                worker, run, work, ..
            } => {
                let start = Start {
                    epoch: 1,
                    round: run.poll_round,
                    lease: 10_000,
                    not_after: u64::MAX,
                    run: WorkerRun {
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
                    },
                };
                let result = self.workers[number(&worker)].start(now, now, start);
                let called = result.map_or(CallOutcome::Refused, |()| CallOutcome::Done(0));
                self.cell.finish_start(now, &worker, run.id, called)
            }
            Action::Stop {
                worker,
                run,
                checkpoint,
                ..
            } => {
                let result = self.workers[number(&worker)].stop(now, 1, run, checkpoint);
                let called = result.map_or(CallOutcome::Refused, CallOutcome::Done);
                self.cell.finish_stop(now, micros, &worker, run, called)
            }
            Action::Throttle {
                worker, run, share, ..
            } => {
                let result = self.workers[number(&worker)].throttle(now, 1, run, share);
                let called = result.map_or(CallOutcome::Refused, |()| CallOutcome::Done(0));
                self.cell
                    .finish_throttle(now, micros, &worker, run, share, called)
            }
            Action::Write { .. } => Vec::new(),
        }
    }

    fn sync(&mut self, worker: &Name, acks: Vec<u64>, renew: bool, round: u64) -> Vec<Action> {
        let host = &mut self.workers[number(worker)];
        let sync = SyncRequest {
            epoch: 1,
            round,
            lease: if renew { 10_000 } else { 0 },
            not_after: u64::MAX,
            acks: acks.clone(),
        };
        let runs = host.sync(self.now, self.now, &sync).unwrap_or_default();
        let ended = runs.iter().filter(|r| r.state == RunState::Finished);
        let fresh = ended.filter(|r| self.cell.workers[worker].runs.contains_key(&r.id));
        let finished = fresh.count() as u64;
        if self.now > WARM {
            self.done.finished += finished;
        }
        let (tickets, foreign_requests) = host.request_tickets();
        let late = host.take_due_samples(self.now).into_iter().map(|(_, s)| s);
        let samples = match self.oracle {
            false => late.collect(),
            true => oracle(),
        };
        let reply = PollReply {
            shape: host.shape,
            tickets,
            foreign_requests,
            runs,
            samples,
            ..PollReply::default()
        };
        let asked = SentPoll {
            sent: self.now,
            round,
            acks,
        };
        let reply = PollOutcome::Reply(reply);
        self.cell
            .finish_poll(self.now, self.now * 1_000, worker, asked, reply)
            .1
    }
}

/// Returns the true table of interference as samples without noise or lag.
fn oracle() -> Vec<Sample> {
    let sample = |kind: &&str, busy| Sample {
        kind: SERVICES.into(),
        others: vec![(*kind).into()],
        slowdown: 1.0 + Worker::interference(SERVICES, kind),
        busy,
    };
    let both = |kind| [sample(kind, true), sample(kind, false)];
    KINDS.iter().flat_map(both).collect()
}

fn number(worker: &str) -> usize {
    worker.trim_start_matches('w').parse().unwrap_or(0)
}

fn shard(kind: &str) -> VersionedShard {
    let spec = Spec {
        id: format!("{kind}-1").into(),
        team: kind.into(),
        kind: kind.into(),
        tasks: 600,
        size: Size {
            cores: 2_000,
            memory: 1_000,
            accelerators: 0,
        },
        work: WORK,
        urgent: false,
    };
    VersionedShard {
        key: format!("lot/h/r/{kind}-1.0").into(),
        version: 1,
        row: JobShardRow {
            spec,
            submitted: 0,
            epoch: 0,
            seq: 0,
            tasks: (0..600).map(TaskRow::open).collect(),
        },
    }
}
