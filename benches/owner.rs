//! Processor time of one owner, in virtual time.
//!
//! `cargo bench --bench owner` drives an owner with stand-in workers that answer
//! at once and run every task to its end, at 66, 490 and 890 workers, and prints
//! the share of one core that the owner's decisions take, by kind of event.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

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

/// Milliseconds of a run, the first of which are not counted.
const SPAN: u64 = 24_000;
const WARM: u64 = 8_000;
/// Milliseconds of a call to a worker and of a commit.
const CALL: u64 = 2;
const COMMIT: u64 = 8;
/// Milliseconds between two heartbeats of a worker, each of which the directory tells.
const HEARTBEAT: u64 = 1_100;
/// Most milliseconds that an exchange waits for an end.
const POLL: u64 = 1_000;
const SEED: u64 = 5;

/// A load: workers, lasting jobs, and jobs a second of two kinds.
struct Load {
    workers: usize,
    lasting: usize,
    width: u32,
    checks: f64,
    settles: f64,
    /// Tasks of a step of a settle.
    settle_width: u32,
}

const LOADS: [Load; 4] = [
    Load {
        workers: 66,
        lasting: 51,
        width: 6,
        checks: 5.1,
        settles: 8.8,
        settle_width: 20,
    },
    Load {
        workers: 490,
        lasting: 163,
        width: 14,
        checks: 13.7,
        settles: 26.1,
        settle_width: 20,
    },
    Load {
        workers: 890,
        lasting: 173,
        width: 24,
        checks: 13.0,
        settles: 14.9,
        settle_width: 39,
    },
    // More than fits, half of the lasting jobs with two tasks a worker at most.
    Load {
        workers: 890,
        lasting: 226,
        width: 24,
        checks: 16.0,
        settles: 22.0,
        settle_width: 39,
    },
];

struct Run {
    run: u32,
    ends: Option<u64>,
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<Name, Run>,
    ended: Vec<EndedRun>,
    last: u64,
    waiting: Option<Poll>,
}

struct World {
    now: u64,
    owner: Owner,
    workers: HashMap<Name, Worker>,
    due: BTreeMap<(u64, u64), Due>,
    serial: u64,
    ticket: u64,
    random: Random,
    settle_width: u32,
    spent: BTreeMap<&'static str, (u64, Duration)>,
}

/// What happens at some time.
enum Due {
    Tell(Event),
    End(Name, Name, u32),
    Submit(&'static str, f64),
    Answer(Name, u64),
    /// The heartbeat of a worker.
    Beat(Listing),
}

fn listing(place: usize) -> Listing {
    Listing {
        id: format!("w{place:04}").into(),
        boot: Some(1),
        service: "s".into(),
        address: ([10, 0, (place / 250) as u8, (place % 250) as u8], 80).into(),
        hall: "h".into(),
        labels: vec!["a".into()],
        rack: format!("r{}", place / 12).into(),
        capacity: Resources {
            cpu: if place % 3 == 2 { 96_000 } else { 64_000 },
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
            epoch: 1,
            seq: 0,
            settled: true,
            released: false,
            cores: 0,
        };
        let bounds = OwnerSettings {
            lease_length: 4_000,
            max_unconfirmed: 10_000,
            max_breach: 4_000,
            drain_time: 2_000,
            retention: 120_000,
            mechanisms: Mechanisms::ON,
        };
        let now = Now {
            steady: 1,
            wall: 1_000_000,
        };
        let owner = Owner::new(bounds, Journal::new(row, 1, 1), Vec::new(), 0, now);
        let listings: Vec<Listing> = (0..load.workers).map(listing).collect();
        let workers = listings.iter().map(|l| (l.id.clone(), Worker::default()));
        let mut world = Self {
            now: 1,
            owner,
            workers: workers.collect(),
            due: BTreeMap::new(),
            serial: 0,
            ticket: 0,
            random: Random::new(SEED),
            settle_width: load.settle_width,
            spent: BTreeMap::new(),
        };
        for (place, listing) in listings.iter().enumerate() {
            let first = HEARTBEAT + place as u64 % HEARTBEAT;
            world.at(first, Due::Beat(listing.clone()));
        }
        let entries = listings.into_iter();
        let entries = entries.map(|l| (l.id.clone(), DirectoryEntry::Listed(l)));
        world.at(1, Due::Tell(Event::Directory(entries.collect())));
        let page = HistoryPage {
            last: true,
            ..HistoryPage::default()
        };
        world.at(1, Due::Tell(Event::History(page)));
        world.at(1, Due::Tell(Event::Cordoned(Default::default())));
        for place in 0..load.lasting {
            let spec = lasting(place, load.width);
            world.submit(100 + place as u64 * 20, spec, 0);
        }
        world.at(4_000, Due::Submit("check", load.checks));
        world.at(4_000, Due::Submit("settle", load.settles));
        world
    }

    fn at(&mut self, time: u64, due: Due) {
        self.serial += 1;
        self.due.insert((time, self.serial), due);
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
        let ask = JobRequest::Submit {
            id: format!("{:016x}", self.ticket).into(),
            spec: spec.into(),
            queue,
        };
        self.at(time, Due::Tell(Event::Request(self.ticket, ask)));
    }

    fn run(&mut self) {
        while self.now < SPAN {
            let wall = 1_000_000 + self.now;
            let now = Now {
                steady: self.now,
                wall,
            };
            let wake = self.now + self.owner.due_in(now);
            let next = self.due.first_key_value().map(|(key, _)| key.0);
            if next.is_none_or(|n| n > wake) {
                self.now = wake;
                self.step(Event::Tick);
                continue;
            }
            let Some(((time, _), due)) = self.due.pop_first() else {
                return;
            };
            self.now = self.now.max(time);
            self.happen(due);
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Tell(event) => self.step(event),
            Due::End(worker, task, run) => self.end(worker, task, run),
            Due::Submit(name, rate) => {
                let (spec, priority) = job(name, self.settle_width, &mut self.random);
                self.submit(self.now, spec, priority);
                let gap = self.random.exponential(1_000.0 / rate) as u64;
                self.at(self.now + gap, Due::Submit(name, rate));
            }
            Due::Answer(worker, sent) => self.answer(worker, sent),
            Due::Beat(listing) => self.beat(listing),
        }
    }

    fn beat(&mut self, listing: Listing) {
        self.at(self.now + HEARTBEAT, Due::Beat(listing.clone()));
        let entry = (listing.id.clone(), DirectoryEntry::Listed(listing));
        self.step(Event::DirectoryChanged(vec![entry]));
    }

    fn step(&mut self, event: Event) {
        let now = Now {
            steady: self.now,
            wall: 1_000_000 + self.now,
        };
        let kind = event.kind();
        let start = Instant::now();
        let actions = self.owner.handle_event(event, now);
        let took = start.elapsed();
        if self.now >= WARM {
            let spent = self.spent.entry(kind).or_default();
            spent.0 += 1;
            spent.1 += took;
        }
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Poll(hold) => {
                let (worker, sent) = (hold.incarnation.id.clone(), hold.sent);
                let wait = hold.wait.min(POLL);
                let ready = match self.workers.get_mut(&worker) {
                    Some(w) => {
                        w.ended.retain(|e| e.number > hold.acknowledged);
                        !w.ended.is_empty()
                    }
                    None => return,
                };
                self.workers.get_mut(&worker).expect("listed").waiting = Some(hold);
                let wait = if ready { 0 } else { wait };
                self.at(self.now + CALL + wait, Due::Answer(worker, sent));
            }
            Action::Start(start) => self.start(start),
            Action::Stop(stop) => {
                if let Some(w) = self.workers.get_mut(&stop.incarnation.id) {
                    w.running.remove(&*stop.task);
                }
                let event =
                    Event::Stopped(stop.key, stop.run, stop.incarnation, Reply::Ok(self.word()));
                self.at(self.now + CALL, Due::Tell(event));
            }
            Action::Throttle(throttle) => {
                let event = Event::Throttled(
                    throttle.key,
                    throttle.run,
                    throttle.percent,
                    throttle.incarnation,
                    Reply::Ok(self.word()),
                );
                self.at(self.now + CALL, Due::Tell(event));
            }
            Action::Commit { number, .. } => {
                let event = Event::CommitEnded(number, CommitOutcome::Done(number));
                self.at(self.now + COMMIT, Due::Tell(event));
            }
            Action::Reply(..) | Action::RequestAdvice(_) => {}
        }
    }

    /// Returns what a worker tells with an answer.
    fn word(&self) -> OrderAck {
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
        let ends = (!start.payload.contains("lasting")).then(|| {
            let mean = if start.payload.contains("check") {
                800.0
            } else {
                1_700.0
            };
            self.now + (mean * (0.5 + self.random.unit())) as u64
        });
        if let Some(w) = self.workers.get_mut(&worker) {
            w.running.insert(task.clone(), Run { run, ends });
        }
        if let Some(ends) = ends {
            self.at(ends, Due::End(worker.clone(), task, run));
        }
        self.started(key, run, incarnation);
    }

    fn started(&mut self, key: TaskKey, run: u32, incarnation: Incarnation) {
        let event = Event::Started(key, run, incarnation, Reply::Ok(self.word()));
        self.at(self.now + CALL, Due::Tell(event));
    }

    fn end(&mut self, worker: Name, task: Name, run: u32) {
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
        if w.running.get(&task).is_none_or(|r| r.run != run) {
            return;
        }
        w.running.remove(&task);
        w.last += 1;
        w.ended.push(EndedRun {
            number: w.last,
            task,
            run,
            outcome: RunOutcome::Done,
            checkpoint: "".into(),
        });
        if let Some(sent) = w.waiting.as_ref().map(|h| h.sent) {
            self.at(self.now + CALL / 2, Due::Answer(worker, sent));
        }
    }

    fn answer(&mut self, name: Name, sent: u64) {
        let Some(w) = self.workers.get_mut(&name) else {
            return;
        };
        let Some(hold) = w.waiting.take_if(|h| h.sent == sent) else {
            return;
        };
        let running = w.running.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: "".into(),
            progress: 100,
            gauge: match run.ends {
                Some(_) => 4,
                None => 15 + self.random.below(25),
            },
        });
        let report = Report {
            boot: Some(1),
            clock: self.now,
            running: running.collect(),
            ended: w.ended.clone(),
        };
        self.step(Event::Polled(hold, Reply::Ok(report)));
    }
}

fn lasting(place: usize, width: u32) -> JobSpec {
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
            image: format!("s{}", place % 5).into(),
            lasting: true,
            max_per_worker: place as u32 % 2 * 2,
            latency_target: 50,
            ..StepSpec::default()
        }],
        schedule: None,
    }
}

fn job(name: &'static str, settle_width: u32, random: &mut Random) -> (JobSpec, u32) {
    let fills = name == "settle";
    let width = if fills { settle_width } else { 10 };
    let step = |after: Vec<usize>, image: u64| StepSpec {
        count: width,
        resources: Resources {
            cpu: if fills { 7_000 } else { 6_300 },
            memory: 13_000,
            gpu: 0,
        },
        estimate: if fills { 1_700 } else { 800 },
        image: if fills {
            format!("f{image}").into()
        } else {
            "".into()
        },
        best_effort: fills,
        checkpoints: fills,
        depends_on: after,
        ..StepSpec::default()
    };
    let image = random.below(9);
    let spec = JobSpec {
        payload: name.into(),
        steps: vec![step(Vec::new(), image), step(vec![0], image)],
        schedule: None,
    };
    (spec, if fills { 2 } else { 0 })
}

fn main() {
    for load in LOADS {
        let mut world = World::new(&load);
        world.run();
        let seconds = (SPAN - WARM) as f64 / 1_000.0;
        println!("{} workers, {} lasting jobs", load.workers, load.lasting);
        let mut all = Duration::ZERO;
        for (kind, (count, took)) in &world.spent {
            all += *took;
            println!(
                "  {kind:<10} {:>8.0}/s {:>8.1} us each {:>6.2} % of a core",
                *count as f64 / seconds,
                took.as_secs_f64() * 1e6 / *count as f64,
                took.as_secs_f64() / seconds * 100.0
            );
        }
        println!(
            "  in all {:.2} % of a core",
            all.as_secs_f64() / seconds * 100.0
        );
    }
}
