//! Compares placement policies with their baselines in a simulation of one cell in virtual time.
//!
//! `cargo bench --bench policy` drives a cell of eight stand-in workers with requests and batch
//! tasks of four kinds, some of which slow the service down. All policies see the same arrivals.
//! Service times follow the stand-ins' table of interference, which only the oracle knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use willowpoint::cell::{
    Action, CallOutcome, Cell, CellRequest, Class, ListedWorker, Policy, PollOutcome, PollReply,
    RunState, Sample, Selection, SendOutcome, SentPoll, Shape, Size, Timings,
};
use willowpoint::job::{JobShardRow, Spec, TaskRow, VersionedShard};
use willowpoint::lease::WriteOutcome;
use willowpoint::standin::worker::state::{ActiveRequest, Start, SyncRequest, Worker, WorkerRun};
use willowpoint::utils::Name;
use willowpoint::utils::random::Random;

const WORKERS: usize = 8;
const SLOTS: u32 = 8;
/// Length of a simulation in ms.
const SIMULATED: u64 = 60_000;
/// Time in ms at the start of a simulation that is not counted.
const WARM_UP: u64 = 10_000;
/// Mean service time in ms of a request without interference.
const MEAN_SERVICE_TIME: f64 = 20.0;
/// Time allowed for a request in ms.
const DEADLINE: u64 = 500;
const SERVICE: &str = "stock";
/// Kinds of the batch tasks.
const KINDS: [&str; 4] = ["reconcile", "settle", "restock", "payout"];
/// Work of a batch task in ms.
const TASK_WORK: u64 = 4_000;
const SEED: u64 = 11;

/// Results of a policy. All but the evictions are counted after the warm-up only.
#[derive(Default)]
struct Outcome {
    /// Latencies of the answered requests in ms.
    latencies: Vec<f64>,
    issued: u64,
    refused: u64,
    /// Requests answered after their deadline.
    late: u64,
    /// Batch tasks that finished.
    finished: u64,
    evictions: u64,
}

/// A policy under test.
struct Variant {
    name: &'static str,
    policy: Policy,
    /// True when the cell learns the true interference instead of the workers' samples.
    oracle: bool,
}

fn variants() -> Vec<Variant> {
    let baseline = |name, selection| Variant {
        name,
        policy: Policy {
            request_selection: selection,
            task_selection: selection,
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
        (SIMULATED - WARM_UP) / 1_000
    );
    for kind in KINDS {
        println!(
            "true interference of {kind} with {SERVICE}: {}",
            Worker::interference(SERVICE, kind)
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
    outcome.latencies.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let last = outcome.latencies.len().saturating_sub(1) as f64;
        outcome
            .latencies
            .get((last * share) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    let seconds = (SIMULATED - WARM_UP) as f64 / 1e3;
    let in_time = (outcome.latencies.len() as u64 - outcome.late) as f64 / seconds;
    let refused = outcome.refused as f64 * 100.0 / outcome.issued.max(1) as f64;
    let batch_rate = outcome.finished as f64 / seconds;
    println!(
        "{name:20} {:>8.1} {:>8.1} {:>8.1} {in_time:>9.0} {refused:>8.1}% {batch_rate:>8.2} {:>9}",
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        outcome.evictions
    );
}

/// The simulated world: a cell with its workers.
struct World {
    cell: Cell,
    workers: Vec<Worker>,
    random: Random,
    /// Requests per ms.
    rate: f64,
    oracle: bool,
    now: u64,
    /// Workers of the requests in progress, by end time and ticket.
    ends: BTreeMap<(u64, u64), usize>,
    /// Times at which open requests were issued, by ticket.
    issued: BTreeMap<u64, u64>,
    outcome: Outcome,
    ticket: u64,
}

impl World {
    fn new(variant: &Variant, load: f64) -> Self {
        let timings = Timings {
            run_lease: 10_000,
            margin: 1_000,
            poll_interval: 200,
        };
        let policy = variant.policy.clone();
        let mut cell = Cell::new("h/r".into(), 1, 0, policy, timings);
        let listed_worker = |i: usize| ListedWorker {
            name: format!("w{i}").into(),
            cell: "h/r".into(),
            http: SocketAddr::from(([127, 0, 0, 1], 1 + i as u16)),
            rpc: SocketAddr::from(([127, 0, 0, 2], 1 + i as u16)),
            leaving: false,
        };
        let listed: Vec<ListedWorker> = (0..WORKERS).map(listed_worker).collect();
        cell.set_workers(&listed, &Default::default());
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
            rate: load * (WORKERS as f64) * f64::from(SLOTS) / MEAN_SERVICE_TIME,
            oracle: variant.oracle,
            now: 0,
            ends: BTreeMap::new(),
            issued: BTreeMap::new(),
            outcome: Outcome::default(),
            ticket: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let mut next_arrival = 0.0;
        while self.now < SIMULATED {
            self.now += 1;
            while next_arrival < self.now as f64 {
                next_arrival += self.random.exponential(1.0 / self.rate);
                self.issue_request();
            }
            self.finish_requests();
            if self.now.is_multiple_of(25) {
                let actions = self.cell.tick(self.now, self.now * 1_000);
                self.execute_all(actions);
                for action in self.cell.write_shards() {
                    if let Action::Write { key, .. } = action {
                        self.cell.finish_write(&key, WriteOutcome::Committed);
                    }
                }
            }
        }
        self.outcome.evictions = self.cell.evictions;
        self.outcome
    }

    fn issue_request(&mut self) {
        self.ticket += 1;
        if self.now > WARM_UP {
            self.outcome.issued += 1;
        }
        self.issued.insert(self.ticket, self.now);
        let request = CellRequest {
            ticket: self.ticket,
            service: SERVICE.into(),
            class: Class::Critical,
            size: Size {
                cores: 1_000,
                memory: 0,
                accelerators: 0,
            },
            deadline: self.now + DEADLINE,
        };
        let actions = self.cell.admit(self.now, self.now * 1_000, request);
        self.execute_all(actions);
    }

    /// Finishes the requests that end by now.
    fn finish_requests(&mut self) {
        while let Some(((at, ticket), worker)) = self.ends.first_key_value().map(|(k, v)| (*k, *v))
        {
            if at > self.now {
                return;
            }
            self.ends.remove(&(at, ticket));
            self.workers[worker].finish_request(ticket, 1);
            if let Some(issued) = self.issued.remove(&ticket)
                && issued > WARM_UP
            {
                let latency = self.now - issued;
                self.outcome.latencies.push(latency as f64);
                self.outcome.late += u64::from(latency > DEADLINE);
            }
            let actions =
                self.cell
                    .finish_send(self.now, self.now * 1_000, ticket, SendOutcome::Answered);
            self.execute_all(actions);
        }
    }

    /// Executes actions of the cell and the actions that follow from them.
    fn execute_all(&mut self, actions: Vec<Action>) {
        let mut pending = actions;
        while let Some(action) = pending.pop() {
            pending.extend(self.execute(action));
        }
    }

    /// Executes an action of the cell and returns the actions that follow.
    fn execute(&mut self, action: Action) -> Vec<Action> {
        let (now, micros) = (self.now, self.now * 1_000);
        match action {
            Action::Send { ticket, worker, .. } => {
                let index = worker_index(&worker);
                let active = ActiveRequest {
                    ticket,
                    epoch: 1,
                    service: SERVICE.into(),
                };
                let begun = self.workers[index].begin_request(now, now, active, u64::MAX);
                assert!(begun.is_ok(), "the worker refused a request of the cell");
                let slowdown = self.workers[index].slowdown(SERVICE);
                let service_time =
                    self.random.exponential(MEAN_SERVICE_TIME / 2.0) + MEAN_SERVICE_TIME / 2.0;
                let end = now + (service_time * slowdown).ceil() as u64;
                self.ends.insert((end, ticket), index);
                Vec::new()
            }
            Action::Refuse { ticket, .. } => {
                if self.issued.remove(&ticket).is_some_and(|at| at > WARM_UP) {
                    self.outcome.refused += 1;
                }
                Vec::new()
            }
            Action::Poll {
                worker,
                acks,
                renew,
                round,
                ..
            } => self.poll(&worker, acks, renew, round),
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
                        lease_end: 0,
                    },
                };
                let result = self.workers[worker_index(&worker)].start(now, now, start);
                let called = result.map_or(CallOutcome::Refused, |()| CallOutcome::Done(0));
                self.cell.finish_start(now, &worker, run.id, called)
            }
            Action::Stop {
                worker,
                run,
                checkpoint,
                ..
            } => {
                let result = self.workers[worker_index(&worker)].stop(now, 1, run, checkpoint);
                let called = result.map_or(CallOutcome::Refused, CallOutcome::Done);
                self.cell.finish_stop(now, micros, &worker, run, called)
            }
            Action::Throttle {
                worker, run, share, ..
            } => {
                let result = self.workers[worker_index(&worker)].throttle(now, 1, run, share);
                let called = result.map_or(CallOutcome::Refused, |()| CallOutcome::Done(0));
                self.cell
                    .finish_throttle(now, micros, &worker, run, share, called)
            }
            Action::Write { .. } => Vec::new(),
        }
    }

    /// Polls a worker and returns the actions that follow.
    fn poll(&mut self, worker: &Name, acks: Vec<u64>, renew: bool, round: u64) -> Vec<Action> {
        let host = &mut self.workers[worker_index(worker)];
        let sync = SyncRequest {
            epoch: 1,
            round,
            lease: if renew { 10_000 } else { 0 },
            not_after: u64::MAX,
            acks: acks.clone(),
        };
        let runs = host.sync(self.now, self.now, &sync).unwrap_or_default();
        let ended = runs.iter().filter(|r| r.state == RunState::Finished);
        let unreported = ended.filter(|r| self.cell.workers[worker].runs.contains_key(&r.id));
        let finished = unreported.count() as u64;
        if self.now > WARM_UP {
            self.outcome.finished += finished;
        }
        let (tickets, foreign_requests) = host.request_tickets();
        let delayed = host.take_due_samples(self.now).into_iter().map(|(_, s)| s);
        let samples = match self.oracle {
            false => delayed.collect(),
            true => oracle_samples(),
        };
        let reply = PollReply {
            shape: host.shape,
            tickets,
            foreign_requests,
            runs,
            samples,
            ..PollReply::default()
        };
        let sent = SentPoll {
            sent: self.now,
            round,
            acks,
        };
        let reply = PollOutcome::Reply(reply);
        self.cell
            .finish_poll(self.now, self.now * 1_000, worker, sent, reply)
            .1
    }
}

/// Returns the true table of interference as samples without noise or delay.
fn oracle_samples() -> Vec<Sample> {
    let sample = |kind: &&str, busy| Sample {
        kind: SERVICE.into(),
        others: vec![(*kind).into()],
        slowdown: 1.0 + Worker::interference(SERVICE, kind),
        busy,
    };
    let both = |kind| [sample(kind, true), sample(kind, false)];
    KINDS.iter().flat_map(both).collect()
}

/// Returns the index of a worker from its name.
fn worker_index(worker: &str) -> usize {
    worker.trim_start_matches('w').parse().unwrap_or(0)
}

/// Returns a job shard with open tasks of a kind.
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
        work: TASK_WORK,
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
