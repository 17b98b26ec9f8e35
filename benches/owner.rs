//! Measures the processor time of an owner in a simulation in virtual time.
//!
//! `cargo bench --bench owner` drives an owner with 66, 490 and 890 stand-in workers, which run
//! every task to its end, and prints the share of a core that the owner spends on each kind of
//! event.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use willowpoint::sched::fences::next_epoch;
use willowpoint::sched::history::HistoryPage;
use willowpoint::sched::incarnation::Incarnation;
use willowpoint::sched::job::{Queue, TaskKey};
use willowpoint::sched::journal::{Journal, OwnerRow};
use willowpoint::sched::mechanisms::Mechanisms;
use willowpoint::sched::message::{
    Action, ActiveRun, CommitOutcome, DirectoryEntry, EndedRun, Event, JobRequest, OrderAck, Poll,
    Reply, Report, RunOutcome, Start,
};
use willowpoint::sched::owner::{Now, Owner, OwnerSettings};
use willowpoint::sched::spec::{JobSpec, Resources, StepSpec};
use willowpoint::sched::worker::Listing;
use willowpoint::utils::Name;
use willowpoint::utils::random::Random;

/// Length of a simulation in ms.
const SIMULATED: u64 = 24_000;
/// Time in ms at the start of a simulation that is not measured.
const WARM_UP: u64 = 8_000;
/// Latency of a call to a worker in ms.
const CALL_LATENCY: u64 = 2;
/// Latency of a commit in ms.
const COMMIT_LATENCY: u64 = 8;
/// Interval between heartbeats of a worker in ms. The directory reports each of them.
const HEARTBEAT_INTERVAL: u64 = 1_100;
/// Longest time in ms that a poll waits for a run to end.
const MAX_POLL_WAIT: u64 = 1_000;
const SEED: u64 = 5;

/// A load: workers, lasting jobs, and rates of two kinds of jobs.
struct Load {
    workers: usize,
    lasting_jobs: usize,
    /// Number of tasks of a lasting job.
    lasting_width: u32,
    /// Jobs of kind "check" per second.
    check_rate: f64,
    /// Jobs of kind "settle" per second.
    settle_rate: f64,
    /// Number of tasks in a step of a settle job.
    settle_width: u32,
}

/// The measured loads. In each, half of the lasting jobs allow at most two tasks per worker.
const LOADS: [Load; 4] = [
    Load {
        workers: 66,
        lasting_jobs: 51,
        lasting_width: 6,
        check_rate: 5.1,
        settle_rate: 8.8,
        settle_width: 20,
    },
    Load {
        workers: 490,
        lasting_jobs: 163,
        lasting_width: 14,
        check_rate: 13.7,
        settle_rate: 26.1,
        settle_width: 20,
    },
    Load {
        workers: 890,
        lasting_jobs: 173,
        lasting_width: 24,
        check_rate: 13.0,
        settle_rate: 14.9,
        settle_width: 39,
    },
    // More load than the workers have capacity for.
    Load {
        workers: 890,
        lasting_jobs: 226,
        lasting_width: 24,
        check_rate: 16.0,
        settle_rate: 22.0,
        settle_width: 39,
    },
];

/// A run on a stand-in worker.
struct Run {
    run: u32,
    /// Time at which the run ends; none for a lasting task.
    end: Option<u64>,
}

/// A stand-in worker.
#[derive(Default)]
struct Worker {
    running: BTreeMap<Name, Run>,
    ended: Vec<EndedRun>,
    /// Number of the run that ended last.
    last_number: u64,
    pending_poll: Option<Poll>,
}

/// The simulated world: an owner with its workers.
struct World {
    now: u64,
    owner: Owner,
    workers: HashMap<Name, Worker>,
    /// Scheduled events by time and serial number.
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    serial: u64,
    ticket: u64,
    random: Random,
    settle_width: u32,
    /// Number of events and time spent on them, by kind of event.
    spent: BTreeMap<&'static str, (u64, Duration)>,
}

/// A scheduled event of the simulation.
enum Scheduled {
    /// An event for the owner.
    Owner(Event),
    /// The end of a run: worker, task and run number.
    RunEnd(Name, Name, u32),
    /// Submission of a job of a kind, repeated at a rate per second.
    Submit(&'static str, f64),
    /// The reply of a worker to the poll sent at a time.
    PollReply(Name, u64),
    /// A heartbeat of a worker.
    Heartbeat(Listing),
}

/// Returns the directory's listing of a worker.
fn listing(index: usize) -> Listing {
    Listing {
        id: format!("w{index:04}").into(),
        boot: Some(1),
        service: "s".into(),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
        hall: "h".into(),
        labels: vec!["a".into()],
        rack: format!("r{}", index / 12).into(),
        capacity: Resources {
            cpu: if index % 3 == 2 { 96_000 } else { 64_000 },
            memory: 256_000,
            gpu: 0,
        },
        leaving: false,
        min_stay: 2_000,
    }
}

impl World {
    fn new(load: &Load) -> Self {
        let row = OwnerRow {
            name: "a".into(),
            incarnation: 1,
            address: ([127, 0, 0, 1], 1).into(),
            epoch: next_epoch(0),
            seq: 0,
            settled: true,
            inherited: Some(0),
            followers: Vec::new(),
            released: false,
            cores: 0,
        };
        let settings = OwnerSettings {
            row_bytes: 65_536,
            job_memory: usize::MAX,
            lease_length: 4_000,
            longest_lease: 4_000,
            max_unconfirmed: 10_000,
            max_breach: 4_000,
            far_factor: 2.0,
            drain_time: 2_000,
            heartbeat: 1_100,
            retention: 120_000,
            mechanisms: Mechanisms::ON,
        };
        let now = Now {
            steady: 1,
            wall: 1_000_000,
        };
        let owner = Owner::new(settings, Journal::new(row, 1, 1), Vec::new(), 0, now);
        let listings: Vec<Listing> = (0..load.workers).map(listing).collect();
        let workers = listings.iter().map(|l| (l.id.clone(), Worker::default()));
        let mut world = Self {
            now: 1,
            owner,
            workers: workers.collect(),
            scheduled: BTreeMap::new(),
            serial: 0,
            ticket: 0,
            random: Random::new(SEED),
            settle_width: load.settle_width,
            spent: BTreeMap::new(),
        };
        for (index, listing) in listings.iter().enumerate() {
            let first = HEARTBEAT_INTERVAL + index as u64 % HEARTBEAT_INTERVAL;
            world.schedule(first, Scheduled::Heartbeat(listing.clone()));
        }
        let entries = listings.into_iter();
        let entries = entries.map(|l| (l.id.clone(), DirectoryEntry::Listed(l)));
        world.schedule(1, Scheduled::Owner(Event::Directory(entries.collect())));
        let page = HistoryPage {
            last: true,
            ..HistoryPage::default()
        };
        world.schedule(1, Scheduled::Owner(Event::History(page)));
        world.schedule(1, Scheduled::Owner(Event::Cordoned(Default::default())));
        for index in 0..load.lasting_jobs {
            let spec = lasting_job(index, load.lasting_width);
            world.submit(100 + index as u64 * 20, spec, 0);
        }
        world.schedule(4_000, Scheduled::Submit("check", load.check_rate));
        world.schedule(4_000, Scheduled::Submit("settle", load.settle_rate));
        world
    }

    fn schedule(&mut self, time: u64, event: Scheduled) {
        self.serial += 1;
        self.scheduled.insert((time, self.serial), event);
    }

    fn submit(&mut self, time: u64, spec: JobSpec, priority: u32) {
        self.ticket += 1;
        let queue = Queue {
            name: "q".into(),
            service: "s".into(),
            priority,
            max_attempts: 3,
            stretch: 2_000,
            slack: 1_000,
            advised: false,
        };
        let request = JobRequest::Submit {
            id: format!("{:016x}", self.ticket).into(),
            spec: spec.into(),
            queue,
        };
        self.schedule(time, Scheduled::Owner(Event::Request(self.ticket, request)));
    }

    fn run(&mut self) {
        while self.now < SIMULATED {
            let wall = 1_000_000 + self.now;
            let now = Now {
                steady: self.now,
                wall,
            };
            let wake = self.now + self.owner.due_in(now);
            let next = self.scheduled.first_key_value().map(|(key, _)| key.0);
            if next.is_none_or(|n| n > wake) {
                self.now = wake;
                self.handle_event(Event::Tick);
                continue;
            }
            let Some(((time, _), event)) = self.scheduled.pop_first() else {
                return;
            };
            self.now = self.now.max(time);
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: Scheduled) {
        match event {
            Scheduled::Owner(event) => self.handle_event(event),
            Scheduled::RunEnd(worker, task, run) => self.end_run(worker, task, run),
            Scheduled::Submit(name, rate) => {
                let (spec, priority) = random_job(name, self.settle_width, &mut self.random);
                self.submit(self.now, spec, priority);
                let gap = self.random.exponential(1_000.0 / rate) as u64;
                self.schedule(self.now + gap, Scheduled::Submit(name, rate));
            }
            Scheduled::PollReply(worker, sent) => self.answer_poll(worker, sent),
            Scheduled::Heartbeat(listing) => self.heartbeat(listing),
        }
    }

    fn heartbeat(&mut self, listing: Listing) {
        self.schedule(
            self.now + HEARTBEAT_INTERVAL,
            Scheduled::Heartbeat(listing.clone()),
        );
        let entry = (listing.id.clone(), DirectoryEntry::Listed(listing));
        self.handle_event(Event::DirectoryChanged(vec![entry]));
    }

    /// Passes an event to the owner, measures the time it takes and executes the actions.
    fn handle_event(&mut self, event: Event) {
        let now = Now {
            steady: self.now,
            wall: 1_000_000 + self.now,
        };
        let kind = event.kind();
        let start = Instant::now();
        let actions = self.owner.handle_event(event, now);
        let elapsed = start.elapsed();
        if self.now >= WARM_UP {
            let spent = self.spent.entry(kind).or_default();
            spent.0 += 1;
            spent.1 += elapsed;
        }
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Poll(poll) => {
                let (worker, sent) = (poll.incarnation.id.clone(), poll.sent);
                let wait = poll.wait.min(MAX_POLL_WAIT);
                let ready = match self.workers.get_mut(&worker) {
                    Some(w) => {
                        w.ended.retain(|e| e.number > poll.acknowledged);
                        !w.ended.is_empty()
                    }
                    None => return,
                };
                self.workers.get_mut(&worker).expect("listed").pending_poll = Some(poll);
                let wait = if ready { 0 } else { wait };
                self.schedule(
                    self.now + CALL_LATENCY + wait,
                    Scheduled::PollReply(worker, sent),
                );
            }
            Action::Start(start) => self.start(start),
            Action::Stop(stop) => {
                if let Some(w) = self.workers.get_mut(&stop.incarnation.id) {
                    w.running.remove(&*stop.task);
                }
                let event = Event::Stopped(
                    stop.key,
                    stop.run,
                    stop.incarnation,
                    Reply::Ok(self.order_ack()),
                );
                self.schedule(self.now + CALL_LATENCY, Scheduled::Owner(event));
            }
            Action::Throttle(throttle) => {
                let event = Event::Throttled(
                    throttle.key,
                    throttle.run,
                    throttle.percent,
                    throttle.incarnation,
                    Reply::Ok(self.order_ack()),
                );
                self.schedule(self.now + CALL_LATENCY, Scheduled::Owner(event));
            }
            Action::Commit { number, .. } => {
                let event = Event::CommitEnded(number, CommitOutcome::Done(number));
                self.schedule(self.now + COMMIT_LATENCY, Scheduled::Owner(event));
            }
            Action::Reply(..) | Action::RequestAdvice(_) => {}
        }
    }

    /// Returns a worker's acknowledgement of an order.
    fn order_ack(&self) -> OrderAck {
        OrderAck {
            clock: self.now,
            boot: Some(1),
        }
    }

    fn start(&mut self, start: Start) {
        let Start {
            key,
            run,
            incarnation,
            ..
        } = start;
        let worker = incarnation.id.clone();
        let task: Name = start.task.into();
        let end = (!start.payload.contains("lasting")).then(|| {
            let mean = if start.payload.contains("check") {
                800.0
            } else {
                1_700.0
            };
            self.now + (mean * (0.5 + self.random.unit())) as u64
        });
        if let Some(w) = self.workers.get_mut(&worker) {
            w.running.insert(task.clone(), Run { run, end });
        }
        if let Some(end) = end {
            self.schedule(end, Scheduled::RunEnd(worker.clone(), task, run));
        }
        self.acknowledge_start(key, run, incarnation);
    }

    fn acknowledge_start(&mut self, key: TaskKey, run: u32, incarnation: Incarnation) {
        let event = Event::Started(key, run, incarnation, Reply::Ok(self.order_ack()));
        self.schedule(self.now + CALL_LATENCY, Scheduled::Owner(event));
    }

    fn end_run(&mut self, worker: Name, task: Name, run: u32) {
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        if w.running.get(&task).is_none_or(|r| r.run != run) {
            return;
        }
        w.running.remove(&task);
        w.last_number += 1;
        w.ended.push(EndedRun {
            number: w.last_number,
            task,
            run,
            outcome: RunOutcome::Done,
            checkpoint: "".into(),
        });
        if let Some(sent) = w.pending_poll.as_ref().map(|p| p.sent) {
            self.schedule(
                self.now + CALL_LATENCY / 2,
                Scheduled::PollReply(worker, sent),
            );
        }
    }

    /// Replies to the poll of a worker sent at `sent`, unless it was answered already.
    fn answer_poll(&mut self, name: Name, sent: u64) {
        let Some(w) = self.workers.get_mut(&name) else {
            return;
        };
        let Some(poll) = w.pending_poll.take_if(|p| p.sent == sent) else {
            return;
        };
        let running = w.running.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: "".into(),
            progress: 100,
            gauge: match run.end {
                Some(_) => 4,
                None => 15 + self.random.below(25),
            },
        });
        let report = Report {
            boot: Some(1),
            clock: self.now,
            running: running.collect(),
            ended: w.ended.clone(),
            unreadable: 0,
        };
        self.handle_event(Event::Polled(poll, Reply::Ok(report)));
    }
}

/// Returns a job whose tasks run without end and have a latency target.
fn lasting_job(index: usize, width: u32) -> JobSpec {
    JobSpec {
        payload: "lasting".into(),
        steps: vec![StepSpec {
            count: width,
            resources: Resources {
                cpu: 13_000,
                memory: 26_000,
                gpu: 0,
            },
            estimate: 400,
            image: format!("s{}", index % 5).into(),
            lasting: true,
            max_per_worker: index as u32 % 2 * 2,
            latency_target: 50,
            ..StepSpec::default()
        }],
        schedule: None,
    }
}

/// Returns a job of two steps of the kind "check" or "settle", and its priority. Only the tasks of
/// settle jobs are best-effort and have checkpoints.
fn random_job(name: &'static str, settle_width: u32, random: &mut Random) -> (JobSpec, u32) {
    let settles = name == "settle";
    let width = if settles { settle_width } else { 10 };
    let step = |after: Vec<usize>, image: u64| StepSpec {
        count: width,
        resources: Resources {
            cpu: if settles { 7_000 } else { 6_300 },
            memory: 13_000,
            gpu: 0,
        },
        estimate: if settles { 1_700 } else { 800 },
        image: if settles {
            format!("f{image}").into()
        } else {
            "".into()
        },
        best_effort: settles,
        checkpoints: settles,
        depends_on: after,
        ..StepSpec::default()
    };
    let image = random.below(9);
    let spec = JobSpec {
        payload: name.into(),
        steps: vec![step(Vec::new(), image), step(vec![0], image)],
        schedule: None,
    };
    (spec, if settles { 2 } else { 0 })
}

fn main() {
    for load in LOADS {
        let mut world = World::new(&load);
        world.run();
        let seconds = (SIMULATED - WARM_UP) as f64 / 1_000.0;
        println!(
            "{} workers, {} lasting jobs",
            load.workers, load.lasting_jobs
        );
        let mut total = Duration::ZERO;
        for (kind, (count, elapsed)) in &world.spent {
            total += *elapsed;
            println!(
                "  {kind:<10} {:>8.0}/s {:>8.1} us each {:>6.2} % of a core",
                *count as f64 / seconds,
                elapsed.as_secs_f64() * 1e6 / *count as f64,
                elapsed.as_secs_f64() / seconds * 100.0
            );
        }
        println!(
            "  in all {:.2} % of a core",
            total.as_secs_f64() / seconds * 100.0
        );
    }
}
