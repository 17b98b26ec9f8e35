//! Simulates a cell in virtual time: an owner with fake workers and a fake store.

mod calls;
mod crashes;
mod cuts;
mod interference;
mod owners;
mod pauses;
mod processor;
mod successors;
mod workers;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use self::calls::Scheduled;
pub use self::calls::{CALL_TIMEOUT, Faults};
pub use self::crashes::Crashes;
pub use self::cuts::Cuts;
pub use self::interference::{Harm, SimulatedInterference};
use self::owners::EarlierOwners;
pub use self::processor::{Costs, Processor, Usage};
pub use self::successors::Successors;
use self::workers::EndedAt;
pub use self::workers::FakeWorker;
use crate::cordons::Halls;
use crate::sched::fences::next_epoch;
use crate::sched::job::{JobRow, JobState, Queue};
use crate::sched::journal::{
    ESTIMATES_TABLE, JOB_TABLE, Journal, LEARNED_KEY, OWNER_KEY, OWNER_TABLE, OwnerRow, SPEC_TABLE,
};
use crate::sched::mechanisms::Mechanisms;
use crate::sched::message::{Answer, DirectoryEntry, Event, JobRequest, Poll, RunOutcome, Start};
use crate::sched::owner::{Now, Owner, OwnerSettings, StoredJob};
use crate::sched::spec::{JobSpec, Resources, StepSpec};
use crate::sched::worker::Listing;
use crate::table::encode;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Default settings of owners in tests.
pub const SETTINGS: OwnerSettings = OwnerSettings {
    lease_length: 4_000,
    longest_lease: 4_000,
    max_unconfirmed: 10_000,
    drain_time: 2_000,
    heartbeat: 1_100,
    max_breach: 4_500,
    far_factor: 2.0,
    retention: 60_000,
    row_bytes: 65_536,
    job_memory: usize::MAX,
    mechanisms: Mechanisms::ON,
};

/// A start that a worker executed: task, run, worker, time.
pub type Started = (String, u32, Name, Millis);

/// A simulated cell: an owner with its fake workers and store.
pub struct World {
    pub now: Millis,
    pub owner: Owner,
    pub workers: BTreeMap<Name, FakeWorker>,
    /// Answers to job requests, by ticket.
    pub answers: BTreeMap<u64, Answer>,
    pub faults: Faults,
    /// True while the store neither executes nor answers a call.
    pub store_down: bool,
    /// Cordoned halls.
    pub cordoned: Halls,
    /// True when the next owner gets no list of cordoned halls.
    pub cordons_withheld: bool,
    /// Jobs whose rows the next owner can't decode.
    pub torn: BTreeSet<Name>,
    /// True while no page of the finished jobs can be read.
    pub history_withheld: bool,
    /// Milliseconds by which a listed follower waits less for inherited leases than it should.
    pub span_cut: Millis,
    /// Settings of the next owner.
    pub settings: OwnerSettings,
    /// Returns duration and outcome of a run by task name and run number.
    pub script: fn(&str, u32) -> (Millis, RunOutcome),
    /// Tasks that crash their workers, and the crashes so far.
    pub crashes: Crashes,
    /// Starts that workers executed.
    pub starts: Vec<Started>,
    /// Workers for which the advisor issues permits.
    pub permitted: BTreeSet<Name>,
    /// Number of workers in each request to the advisor.
    pub advice_requests: Vec<usize>,
    /// Checkpoint that the last start of each task was given, by task.
    pub resumed_from: BTreeMap<String, Name>,
    /// Violations of these rules: a task runs in one place at a time, and not again after an end
    /// as done, or after its last attempt, that is acknowledged then or later. A task that may have
    /// a copy runs in two places at most, under two run numbers that were stored before, and no
    /// start of it is sent after such an acknowledgement.
    pub duplicates: Vec<String>,
    /// Starts that exceeded the capacity of their worker.
    pub overcommits: Vec<String>,
    /// Number of starts refused as `Refusal::Unfit`.
    pub unfit_starts: u32,
    /// Speeds that the owner ordered, in percent of full speed.
    pub ordered_speeds: Vec<u32>,
    /// How tasks on one worker slow each other down.
    pub interference: SimulatedInterference,
    /// Longest time that interference kept a serving task over its latency target.
    pub longest_breach: Millis,
    /// What tasks have suffered from interference.
    pub harm: Harm,
    /// Factor by which runs outside the rack of their step take longer.
    pub far_factor: u64,
    /// The thread of the owner's box; without one, decisions take no time.
    pub processor: Option<Processor>,
    /// Boxes that follow the owner.
    pub successors: Successors,
    /// When runs ended as done.
    pub done: Vec<Millis>,
    /// Successful runs whose end was acknowledged under the lease in which they ended, by task.
    acknowledged: BTreeMap<String, BTreeSet<EndedAt>>,
    /// When such an end was first acknowledged, as done or after the last attempt, by task.
    closed_at: BTreeMap<String, Millis>,
    /// Steps whose tasks may have copies, by job.
    speculative: BTreeSet<(Name, u32)>,
    /// When the start of each run was last sent.
    sent_starts: BTreeMap<(String, u32), Millis>,
    /// The same for failed runs.
    acknowledged_failures: BTreeMap<String, BTreeSet<EndedAt>>,
    /// Number of polls that were sent.
    pub polls: usize,
    /// Number of the last commit that was sent.
    pub last_commit: u64,
    /// Last poll that was sent, by worker.
    pub last_polls: BTreeMap<Name, Poll>,
    /// Last poll that acknowledged a completion, by worker.
    pub last_acknowledging: BTreeMap<Name, Poll>,
    /// Last start that was sent and its time, by worker.
    pub last_starts: BTreeMap<Name, (Millis, Start)>,
    /// Rows of the store, by table and key.
    pub rows: BTreeMap<(&'static str, Name), Bytes>,
    /// Last version that the store has assigned.
    pub version: u64,
    /// Version of the owner row.
    pub owner_version: u64,
    /// Time until which the owner's machine is suspended or its process stopped.
    suspended_until: Millis,
    /// True from a stop of the owner's process until it resumes.
    process_stopped: bool,
    epoch: u64,
    /// Earlier owners that still act, and what each owner can't reach.
    earlier: EarlierOwners,
    random: Random,
    /// Calls and events to come, by time and serial number.
    scheduled: BTreeMap<(Millis, u64), Scheduled>,
    last_serial: u64,
    last_ticket: u64,
}

/// Returns the default queue of the tests.
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

/// Returns a step of `count` tasks that use `cpu` thousandths of a processor each.
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

/// Returns a step of one serving task with a latency target of 100 ms.
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

/// Returns the directory entry of a worker with four processors.
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

/// Returns the owner row of a box that serves under an epoch.
pub fn owner_row(epoch: u64) -> OwnerRow {
    OwnerRow {
        name: format!("box-{epoch}").into(),
        incarnation: epoch,
        address: ([127, 0, 0, 1], 1).into(),
        epoch,
        seq: 0,
        settled: true,
        inherited: Some(0),
        followers: Vec::new(),
        released: false,
        cores: 0,
    }
}

impl World {
    /// Returns an owner with `workers` workers that are listed and have answered a poll.
    pub fn new(workers: u16) -> Self {
        let now = 1_000;
        let row = owner_row(next_epoch(0));
        let journal = Journal::new(row.clone(), 1, now);
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
            torn: BTreeSet::new(),
            history_withheld: false,
            span_cut: 0,
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
            interference: SimulatedInterference::default(),
            longest_breach: 0,
            harm: Harm::default(),
            far_factor: 1,
            processor: None,
            successors: Successors::default(),
            done: Vec::new(),
            acknowledged: BTreeMap::new(),
            closed_at: BTreeMap::new(),
            speculative: BTreeSet::new(),
            sent_starts: BTreeMap::new(),
            acknowledged_failures: BTreeMap::new(),
            polls: 0,
            last_commit: 0,
            last_polls: BTreeMap::new(),
            last_acknowledging: BTreeMap::new(),
            last_starts: BTreeMap::new(),
            rows: BTreeMap::new(),
            version: 1,
            owner_version: 1,
            suspended_until: 0,
            process_stopped: false,
            epoch: row.epoch,
            earlier: EarlierOwners::default(),
            random: Random::new(7),
            scheduled: BTreeMap::new(),
            last_serial: 0,
            last_ticket: 0,
        };
        world.put_owner(&row);
        for number in 0..workers {
            world.add_worker(&format!("w{number}"), 100 + number);
        }
        world.read_history(world.epoch, None);
        world.handle(Event::Cordoned(world.cordoned.clone()));
        world.send_directory();
        world.run(50);
        world
    }

    /// Restarts the random numbers of the simulation from a seed.
    pub fn seed(&mut self, seed: u64) {
        self.random = Random::new(seed);
    }

    /// Writes the owner row to the store.
    fn put_owner(&mut self, row: &OwnerRow) {
        self.rows
            .insert((OWNER_TABLE, OWNER_KEY.into()), encode(row));
    }

    /// Adds a worker; the owner learns of it from `send_directory`.
    pub fn add_worker(&mut self, id: &str, port: u16) {
        let worker = FakeWorker::new(listing(id, port));
        self.workers.insert(id.into(), worker);
    }

    /// Sends the owner the complete directory.
    pub fn send_directory(&mut self) {
        let listed = self.workers.values().filter(|w| w.listed);
        let listings = listed.map(|w| w.listing.clone());
        let entries = listings.map(|l| (l.id.clone(), DirectoryEntry::Listed(l)));
        self.notify(Event::Directory(entries.collect()));
    }

    /// Sends the owner the directory entry of a worker.
    pub fn send_listing(&mut self, id: &str) {
        let entry = DirectoryEntry::Listed(self.workers[id].listing.clone());
        self.notify(Event::DirectoryChanged(vec![(id.into(), entry)]));
    }

    /// Delivers an event to the owner. While its machine is suspended, events are queued and
    /// delivered in order when it resumes.
    pub fn notify(&mut self, event: Event) {
        match self.now < self.suspended_until {
            true => self.schedule(0, Scheduled::Event(self.epoch, event)),
            false => self.receive(event),
        }
    }

    /// Sends a job request to the owner and returns the ticket of its answer in `answers`.
    pub fn request(&mut self, request: JobRequest) -> u64 {
        self.last_ticket += 1;
        self.handle(Event::Request(self.last_ticket, request));
        self.last_ticket
    }

    /// Submits a job of priority 0 and returns the ticket of the answer.
    pub fn submit(&mut self, id: &str, spec: JobSpec) -> u64 {
        self.submit_with_priority(id, spec, 0)
    }

    /// Submits a job to a queue with this priority and returns the ticket of the answer.
    pub fn submit_with_priority(&mut self, id: &str, spec: JobSpec, priority: u32) -> u64 {
        let queue = Queue {
            priority,
            ..queue()
        };
        self.submit_to(queue, id, spec)
    }

    /// Submits a job to a queue and returns the ticket of the answer.
    pub fn submit_to(&mut self, queue: Queue, id: &str, spec: JobSpec) -> u64 {
        let steps = spec.steps.iter().zip(0..);
        let steps = steps.filter(|(step, _)| step.speculative);
        self.speculative
            .extend(steps.map(|(_, index)| (id.into(), index)));
        self.request(JobRequest::Submit {
            id: id.into(),
            spec: Box::new(spec),
            queue,
        })
    }

    /// Returns the state of a job as the owner answers it; `None` if the owner gives no state.
    pub fn job_state(&mut self, id: &str) -> Option<JobState> {
        let ticket = self.request(JobRequest::Show(id.into()));
        match self.answers.get(&ticket) {
            Some(Answer::State(shown)) => Some(*shown),
            _ => None,
        }
    }

    /// Returns each running task with its worker.
    pub fn running(&self) -> Vec<(String, Name)> {
        let on = |w: &FakeWorker| {
            let id = w.listing.id.clone();
            let tasks: Vec<_> = w.tasks().map(|t| (t.clone(), id.clone())).collect();
            tasks
        };
        self.workers.values().flat_map(on).collect()
    }

    /// Replaces the owner as a takeover does; leases from earlier owners end within `inherited` ms.
    pub fn take_over(&mut self, inherited: Millis) {
        self.begin_owner(owner_row(next_epoch(self.epoch)), inherited);
    }

    /// Begins the term of the owner of a row, and returns the owner before it.
    fn begin_owner(&mut self, row: OwnerRow, inherited: Millis) -> Owner {
        self.suspended_until = 0;
        self.process_stopped = false;
        self.epoch = row.epoch;
        self.version += 1;
        self.owner_version = self.version;
        self.put_owner(&row);
        let at = Now {
            steady: self.now,
            wall: self.now,
        };
        let journal = Journal::new(row, self.owner_version, self.now);
        let jobs = self.stored_jobs();
        let next = Owner::new(self.settings, journal, jobs, self.now + inherited, at);
        let before = std::mem::replace(&mut self.owner, next);
        let torn = self.torn.iter().cloned().collect();
        self.owner.mark_unreadable(torn);
        let learned = self.rows.get(&(ESTIMATES_TABLE, LEARNED_KEY.into()));
        if let Some(row) = learned {
            self.owner.import_learned(row);
        }
        self.read_history(self.epoch, None);
        if !self.cordons_withheld {
            self.notify(Event::Cordoned(self.cordoned.clone()));
        }
        self.send_directory();
        before
    }

    /// Cordons exactly these halls and notifies the owner.
    pub fn cordon(&mut self, halls: &[&str]) {
        self.cordoned = halls.iter().map(|h| (*h).into()).collect();
        self.notify(Event::Cordoned(self.cordoned.clone()));
    }

    /// Returns the keys of the rows in a table.
    pub fn ids(&self, table: &str) -> Vec<Name> {
        let rows = self.rows.keys().filter(|(t, _)| *t == table);
        rows.map(|(_, id)| id.clone()).collect()
    }

    /// Returns the jobs in the job table of the store that a new owner can decode.
    fn stored_jobs(&self) -> Vec<StoredJob> {
        let jobs = self
            .rows
            .iter()
            .filter(|((table, id), _)| *table == JOB_TABLE && !self.torn.contains(id));
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

    /// Advances virtual time by `span` ms.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.end_due_runs();
            self.measure_workers();
            self.apply_due_crashes();
            self.resume_if_due();
            while let Some(entry) = self
                .scheduled
                .first_entry()
                .filter(|e| e.key().0 <= self.now)
            {
                match entry.remove() {
                    Scheduled::Call(epoch, call, answered) => self.deliver(epoch, call, answered),
                    Scheduled::Delayed(call, incarnation) => {
                        self.deliver_delayed(call, incarnation)
                    }
                    Scheduled::Event(epoch, event) if epoch == self.epoch => self.receive(event),
                    Scheduled::Event(epoch, event) => self.handle_as(epoch, event),
                    Scheduled::History(epoch, from) => self.read_history(epoch, from),
                }
            }
            match self.processor.is_some() {
                true => self.run_thread(),
                false if self.now.is_multiple_of(5) && self.now >= self.suspended_until => {
                    self.handle(Event::Tick);
                }
                false => {}
            }
            if self.now.is_multiple_of(5) {
                self.tick_earlier_owners();
            }
        }
    }

    /// Returns the steady and the wall clock, which show the same time here.
    pub fn clock(&self) -> Now {
        Now {
            steady: self.now,
            wall: self.now,
        }
    }
}
