//! Fake workers and a fake store around an owner, in virtual time.

mod calls;
mod crashes;
mod interference;
mod workers;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

pub use self::calls::{CALL_TIMEOUT, Faults};
use self::calls::{Call, Scheduled};
pub use self::crashes::Crashes;
pub use self::interference::InterferenceModel;
pub use self::workers::FakeWorker;
use crate::cordons::Halls;
use crate::sched::job::{JobRow, JobState, Queue};
use crate::sched::journal::{JOB_TABLE, Journal, OWNER_KEY, OWNER_TABLE, OwnerRow, SPEC_TABLE};
use crate::sched::mechanisms::Mechanisms;
use crate::sched::message::{
    Action, Answer, DirectoryEntry, Event, JobRequest, Poll, RunOutcome, Start,
};
use crate::sched::owner::{Now, Owner, OwnerSettings, StoredJob};
use crate::sched::spec::{JobSpec, Resources, StepSpec};
use crate::sched::worker::Listing;
use crate::table::encode;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

pub const SETTINGS: OwnerSettings = OwnerSettings {
    lease_length: 4_000,
    max_unconfirmed: 10_000,
    drain_time: 2_000,
    max_breach: 4_500,
    retention: 60_000,
    mechanisms: Mechanisms::ON,
};

/// An owner with its fake workers and store.
pub struct World {
    pub now: Millis,
    pub owner: Owner,
    pub workers: BTreeMap<Name, FakeWorker>,
    pub answers: BTreeMap<u64, Answer>,
    pub faults: Faults,
    /// The store answers nothing and does nothing.
    pub store_down: bool,
    /// Halls that are cordoned.
    pub cordoned: Halls,
    /// The next owner is not told which are.
    pub cordons_withheld: bool,
    /// Nothing of the jobs that are over is read.
    pub history_withheld: bool,
    pub settings: OwnerSettings,
    /// How long each run takes and how it ends, by task name and run.
    pub script: fn(&str, u32) -> (Millis, RunOutcome),
    /// What crashes workers, and those that have crashed.
    pub crashes: Crashes,
    /// Starts that workers carried out: task, run, worker, time.
    pub starts: Vec<(String, u32, Name, Millis)>,
    /// Workers that may run the steps of advised queues.
    pub permitted: BTreeSet<Name>,
    /// Numbers of workers in each request to the advisor.
    pub advice_requests: Vec<usize>,
    /// The checkpoint that the last start of each task brought.
    pub resumed_from: BTreeMap<String, Name>,
    /// Breaches of the rules that a task runs once at a time, and not again
    /// after an end that was acknowledged.
    pub duplicates: Vec<String>,
    /// Starts that brought a worker over its room.
    pub overcommits: Vec<String>,
    /// Starts that were turned away as unfit.
    pub unfit_starts: u32,
    /// Speeds that were ordered, in percent.
    pub ordered_speeds: Vec<u32>,
    /// How tasks press on each other.
    pub interference: InterferenceModel,
    /// The longest that a serving task was over its target by what fills beside it.
    pub longest_breach: Millis,
    /// Tasks of which an end with its work done was acknowledged under a lease.
    acknowledged: BTreeSet<String>,
    /// Failed runs that were acknowledged under a lease, by task.
    acknowledged_failures: BTreeMap<String, u32>,
    /// The exchange that was sent last, by worker.
    pub last_polls: BTreeMap<Name, Poll>,
    /// The start that was sent last, and when, by worker.
    pub last_starts: BTreeMap<Name, (Millis, Start)>,
    pub rows: BTreeMap<(&'static str, Name), Bytes>,
    pub version: u64,
    pub owner_version: u64,
    /// Until when the machine of the box is suspended.
    suspended_until: Millis,
    epoch: u64,
    random: Random,
    scheduled: BTreeMap<(Millis, u64), Scheduled>,
    serial: u64,
    last_ticket: u64,
}

pub fn queue() -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 2_000,
        slack: 500,
        advised: false,
    }
}

pub fn step(count: u32, cpu: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources {
            cpu,
            memory: 100,
            gpu: 0,
        },
        estimate: 1_000,
        ..StepSpec::default()
    }
}

/// Returns a step whose tasks run until their job is cancelled.
pub fn lasting(count: u32, cpu: u64) -> StepSpec {
    StepSpec {
        lasting: true,
        ..step(count, cpu)
    }
}

/// Returns a lasting task that serves users under a target of 100 ms.
pub fn serving() -> StepSpec {
    StepSpec {
        latency_target: 100,
        image: "serving".into(),
        ..lasting(1, 1_000)
    }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "text".into(),
        steps,
        schedule: None,
    }
}

pub fn listing(id: &str, port: u16) -> Listing {
    Listing {
        id: id.into(),
        boot: Some(1),
        service: "s".into(),
        address: ([127, 0, 0, 1], port).into(),
        hall: "h".into(),
        labels: vec!["a".into(), "r1".into()],
        rack: "r1".into(),
        capacity: Resources {
            cpu: 4_000,
            memory: 10_000,
            gpu: 0,
        },
        leaving: false,
        min_stay: 0,
    }
}

pub fn owner_row(epoch: u64) -> OwnerRow {
    OwnerRow {
        name: format!("box-{epoch}").into(),
        incarnation: epoch,
        address: ([127, 0, 0, 1], 1).into(),
        epoch,
        seq: 0,
        settled: true,
        released: false,
        cores: 0,
    }
}

impl World {
    /// Returns a world with an owner and so many workers, listed and heard of.
    pub fn new(workers: u16) -> Self {
        let now = 1_000;
        let journal = Journal::new(owner_row(1), 1, now);
        let at = Now {
            steady: now,
            wall: now,
        };
        let mut world = Self {
            now,
            owner: Owner::new(SETTINGS, journal, Vec::new(), now, at),
            workers: BTreeMap::new(),
            answers: BTreeMap::new(),
            faults: Faults::default(),
            store_down: false,
            cordoned: Halls::new(),
            cordons_withheld: false,
            history_withheld: false,
            settings: SETTINGS,
            script: |_, _| (1_000, RunOutcome::Done),
            crashes: Crashes::default(),
            starts: Vec::new(),
            permitted: BTreeSet::new(),
            advice_requests: Vec::new(),
            resumed_from: BTreeMap::new(),
            duplicates: Vec::new(),
            overcommits: Vec::new(),
            unfit_starts: 0,
            ordered_speeds: Vec::new(),
            interference: InterferenceModel::default(),
            longest_breach: 0,
            acknowledged: BTreeSet::new(),
            acknowledged_failures: BTreeMap::new(),
            last_polls: BTreeMap::new(),
            last_starts: BTreeMap::new(),
            rows: BTreeMap::new(),
            version: 1,
            owner_version: 1,
            suspended_until: 0,
            epoch: 1,
            random: Random::new(7),
            scheduled: BTreeMap::new(),
            serial: 0,
            last_ticket: 0,
        };
        world.put_owner(&owner_row(1));
        for number in 0..workers {
            world.add_worker(&format!("w{number}"), 100 + number);
        }
        world.read_history(world.epoch, None);
        world.handle(Event::Cordoned(world.cordoned.clone()));
        world.send_directory();
        world.run(50);
        world
    }

    pub fn seed(&mut self, seed: u64) {
        self.random = Random::new(seed);
    }

    fn put_owner(&mut self, row: &OwnerRow) {
        self.rows
            .insert((OWNER_TABLE, OWNER_KEY.into()), encode(row));
    }

    pub fn add_worker(&mut self, id: &str, port: u16) {
        let worker = FakeWorker::new(listing(id, port));
        self.workers.insert(id.into(), worker);
    }

    /// Tells the owner the whole directory.
    pub fn send_directory(&mut self) {
        let listings = self.workers.values().map(|w| w.listing.clone());
        let entries = listings.map(|l| (l.id.clone(), DirectoryEntry::Listed(l)));
        self.notify(Event::Directory(entries.collect()));
    }

    /// Tells the owner event of the directory; a box that is suspended takes them in later,
    /// in their order.
    fn notify(&mut self, event: Event) {
        match self.now < self.suspended_until {
            true => self.schedule(0, Scheduled::Event(self.epoch, event)),
            false => self.handle(event),
        }
    }

    pub fn request(&mut self, request: JobRequest) -> u64 {
        self.last_ticket += 1;
        self.handle(Event::Request(self.last_ticket, request));
        self.last_ticket
    }

    pub fn submit(&mut self, id: &str, spec: JobSpec) -> u64 {
        self.submit_with_priority(id, spec, 0)
    }

    pub fn submit_with_priority(&mut self, id: &str, spec: JobSpec, priority: u32) -> u64 {
        let queue = Queue {
            priority,
            ..queue()
        };
        self.submit_to(queue, id, spec)
    }

    pub fn submit_to(&mut self, queue: Queue, id: &str, spec: JobSpec) -> u64 {
        self.request(JobRequest::Submit {
            id: id.into(),
            spec: Box::new(spec),
            queue,
        })
    }

    pub fn job_state(&mut self, id: &str) -> Option<JobState> {
        let ticket = self.request(JobRequest::Show(id.into()));
        match self.answers.get(&ticket) {
            Some(Answer::State(shown)) => Some(*shown),
            _ => None,
        }
    }

    /// Returns the runs that are on workers now, by task.
    pub fn running(&self) -> Vec<(String, Name)> {
        let on = |w: &FakeWorker| {
            let id = w.listing.id.clone();
            let tasks: Vec<_> = w.tasks().map(|t| (t.clone(), id.clone())).collect();
            tasks
        };
        self.workers.values().flat_map(on).collect()
    }

    /// Puts another owner in the place of this one, as a takeover does.
    pub fn take_over(&mut self, inherited: Millis) {
        self.suspended_until = 0;
        self.epoch += 1;
        self.version += 1;
        self.owner_version = self.version;
        let row = owner_row(self.epoch);
        self.put_owner(&row);
        let at = Now {
            steady: self.now,
            wall: self.now,
        };
        let journal = Journal::new(row, self.owner_version, self.now);
        let kept = self.stored_jobs();
        self.owner = Owner::new(self.settings, journal, kept, self.now + inherited, at);
        self.read_history(self.epoch, None);
        if !self.cordons_withheld {
            self.handle(Event::Cordoned(self.cordoned.clone()));
        }
        self.send_directory();
    }

    /// Tells the owner that these halls are cordoned, and no others.
    pub fn cordon(&mut self, halls: &[&str]) {
        self.cordoned = halls.iter().map(|h| (*h).into()).collect();
        self.notify(Event::Cordoned(self.cordoned.clone()));
    }

    /// Returns the ids of the rows in a table.
    pub fn ids(&self, table: &str) -> Vec<Name> {
        let rows = self.rows.keys().filter(|(t, _)| *t == table);
        rows.map(|(_, id)| id.clone()).collect()
    }

    fn stored_jobs(&self) -> Vec<StoredJob> {
        let jobs = self
            .rows
            .iter()
            .filter(|((table, _), _)| *table == JOB_TABLE);
        jobs.map(|((_, id), value)| {
            let spec = &self.rows[&(SPEC_TABLE, id.clone())];
            let row: JobRow = serde_json::from_slice(value).expect("row");
            StoredJob {
                id: id.clone(),
                spec: serde_json::from_slice(spec).expect("spec"),
                row,
            }
        })
        .collect()
    }

    /// Lets so many milliseconds pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.end_due_runs();
            self.measure_workers();
            self.apply_due_crashes();
            while let Some(entry) = self
                .scheduled
                .first_entry()
                .filter(|e| e.key().0 <= self.now)
            {
                match entry.remove() {
                    Scheduled::Call(call, answered) => self.deliver(call, answered),
                    Scheduled::Delayed(call, incarnation) => {
                        self.deliver_delayed(call, incarnation)
                    }
                    Scheduled::Event(epoch, event) if epoch == self.epoch => self.handle(event),
                    Scheduled::Event(..) => {}
                    Scheduled::History(epoch, from) => self.read_history(epoch, from),
                }
            }
            if self.now.is_multiple_of(5) && self.now >= self.suspended_until {
                self.handle(Event::Tick);
            }
        }
    }

    /// Returns both clocks, which show the same time here.
    pub fn clock(&self) -> Now {
        Now {
            steady: self.now,
            wall: self.now,
        }
    }

    pub fn handle(&mut self, event: Event) {
        for action in self.owner.handle_event(event, self.clock()) {
            let call = match action {
                Action::Reply(ticket, answer) => {
                    self.answers.insert(ticket, answer);
                    continue;
                }
                Action::Poll(poll) => {
                    self.last_polls
                        .insert(poll.incarnation.id.clone(), poll.clone());
                    Call::Poll(poll)
                }
                Action::Start(start) => {
                    let sent = (self.now, start.clone());
                    self.last_starts.insert(start.incarnation.id.clone(), sent);
                    Call::Start(start)
                }
                Action::Stop(stop) => Call::Stop(stop),
                Action::RequestAdvice(request) => {
                    self.answer_advice(request);
                    continue;
                }
                Action::Throttle(throttle) => {
                    self.ordered_speeds.push(throttle.percent);
                    Call::Throttle(throttle)
                }
                Action::Commit {
                    number,
                    version,
                    writes,
                } => Call::Commit(number, version, writes),
            };
            self.send(call);
        }
    }
}
