//! Fake workers and a fake store around an owner, in virtual time.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::sched::job::{JobRow, Queue, Shown};
use crate::sched::journal::{JOB_TABLE, Journal, OWNER_KEY, OWNER_TABLE, OwnerRow, SPEC_TABLE};
use crate::sched::message::{
    Action, Answer, Ask, Ended, Event, Hold, How, Refusal, Reply, Report, Running, Start, Stop,
    Write, Written,
};
use crate::sched::owner::{Bounds, Kept, Now, Owner};
use crate::sched::spec::{JobSpec, Room, StepSpec};
use crate::sched::worker::Listing;
use crate::table::encode;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Milliseconds that a call takes each way.
const HOP: Millis = 1;
/// Milliseconds after which a call without an answer is given up.
const GIVEN_UP: Millis = 700;

pub const BOUNDS: Bounds = Bounds {
    lease: 4_000,
    unconfirmed: 10_000,
    drain: 2_000,
    remember: 60_000,
};

/// How likely faults are, from 0 to 1.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// An order is carried out and its answer is lost.
    pub lost: f64,
    /// An order is carried out seconds later, without an answer.
    pub late: f64,
    /// A commit is done and its answer is lost.
    pub commit: f64,
}

#[derive(Clone, Debug)]
struct Run {
    run: u32,
    ends: Millis,
    how: How,
}

/// A worker that keeps the platform's rules.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub listing: Listing,
    /// Takes no calls, and goes on with what it runs.
    pub cut: bool,
    epoch: u64,
    lease: Millis,
    running: BTreeMap<String, Run>,
    barred: BTreeMap<String, u32>,
    ended: Vec<Ended>,
    /// When runs ended that have done their work, by number of their end.
    done: BTreeMap<u64, (String, Millis)>,
    /// When its lease had lapsed last.
    lapsed: Millis,
    next: u64,
}

enum Call {
    Hold(Hold, Millis),
    Start(Start),
    Stop(Stop),
    Commit(u64, u64, Vec<Write>),
}

pub struct World {
    pub now: Millis,
    pub owner: Owner,
    pub workers: BTreeMap<Name, FakeWorker>,
    pub answers: BTreeMap<u64, Answer>,
    pub faults: Faults,
    /// The store answers nothing and does nothing.
    pub store_down: bool,
    /// How long each run takes and how it ends, by task name and run.
    pub script: fn(&str, u32) -> (Millis, How),
    /// Starts that workers carried out: task, run, worker, time.
    pub starts: Vec<(String, u32, Name, Millis)>,
    /// Breaches of the rules that a task runs once at a time, and not again
    /// after an end that was acknowledged.
    pub doubles: Vec<String>,
    pub rows: BTreeMap<(&'static str, Name), Bytes>,
    pub version: u64,
    pub owner_version: u64,
    epoch: u64,
    random: Random,
    due: BTreeMap<(Millis, u64), Due>,
    serial: u64,
    ticket: u64,
}

enum Due {
    Call(Call, bool),
    Event(u64, Event),
}

pub fn queue() -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        attempts: 3,
        stretch: 2_000,
        slack: 500,
    }
}

pub fn step(count: u32, cpu: u64) -> StepSpec {
    StepSpec {
        count,
        room: Room {
            cpu,
            memory: 100,
            gpu: 0,
        },
        estimate: 1_000,
        ..StepSpec::default()
    }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        text: "text".into(),
        steps,
        schedule: None,
    }
}

pub fn listing(id: &str, port: u16) -> Listing {
    Listing {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], port).into(),
        hall: "h".into(),
        labels: vec!["a".into(), "r1".into()],
        capacity: Room {
            cpu: 4_000,
            memory: 10_000,
            gpu: 0,
        },
        leaving: false,
        stays: 0,
    }
}

pub fn owner_row(epoch: u64) -> OwnerRow {
    OwnerRow {
        name: format!("box-{epoch}").into(),
        life: epoch,
        address: ([127, 0, 0, 1], 1).into(),
        epoch,
        seq: 0,
        settled: true,
        released: false,
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
            owner: Owner::new(BOUNDS, journal, Vec::new(), now, at),
            workers: BTreeMap::new(),
            answers: BTreeMap::new(),
            faults: Faults::default(),
            store_down: false,
            script: |_, _| (1_000, How::Done),
            starts: Vec::new(),
            doubles: Vec::new(),
            rows: BTreeMap::new(),
            version: 1,
            owner_version: 1,
            epoch: 1,
            random: Random::new(7),
            due: BTreeMap::new(),
            serial: 0,
            ticket: 0,
        };
        world.put_owner(&owner_row(1));
        for number in 0..workers {
            world.add_worker(&format!("w{number}"), 100 + number);
        }
        world.list();
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
        let worker = FakeWorker {
            listing: listing(id, port),
            cut: false,
            epoch: 0,
            lease: 0,
            running: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            done: BTreeMap::new(),
            lapsed: 0,
            next: 1,
        };
        self.workers.insert(id.into(), worker);
    }

    /// Tells the owner the whole directory.
    pub fn list(&mut self) {
        let listings = self.workers.values().map(|w| w.listing.clone()).collect();
        self.step(Event::Directory(listings));
    }

    pub fn ask(&mut self, ask: Ask) -> u64 {
        self.ticket += 1;
        self.step(Event::Ask(self.ticket, ask));
        self.ticket
    }

    pub fn submit(&mut self, id: &str, spec: JobSpec) -> u64 {
        self.ask(Ask::Submit {
            id: id.into(),
            spec: Box::new(spec),
            queue: queue(),
        })
    }

    pub fn shown(&mut self, id: &str) -> Option<Shown> {
        let ticket = self.ask(Ask::Show(id.into()));
        match self.answers.get(&ticket) {
            Some(Answer::State(shown)) => Some(*shown),
            _ => None,
        }
    }

    /// Returns the runs that are on workers now, by task.
    pub fn running(&self) -> Vec<(String, Name)> {
        let on = |w: &FakeWorker| {
            let id = w.listing.id.clone();
            let tasks: Vec<_> = w.running.keys().map(|t| (t.clone(), id.clone())).collect();
            tasks
        };
        self.workers.values().flat_map(on).collect()
    }

    /// Puts another owner in the place of this one, as a takeover does.
    pub fn take_over(&mut self, inherited: Millis) {
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
        let kept = self.kept();
        self.owner = Owner::new(BOUNDS, journal, kept, self.now + inherited, at);
        self.list();
    }

    fn kept(&self) -> Vec<Kept> {
        let jobs = self
            .rows
            .iter()
            .filter(|((table, _), _)| *table == JOB_TABLE);
        jobs.map(|((_, id), value)| {
            let spec = &self.rows[&(SPEC_TABLE, id.clone())];
            let row: JobRow = serde_json::from_slice(value).expect("row");
            Kept {
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
            self.work();
            while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 <= self.now) {
                match entry.remove() {
                    Due::Call(call, answered) => self.arrive(call, answered),
                    Due::Event(epoch, event) if epoch == self.epoch => self.step(event),
                    Due::Event(..) => {}
                }
            }
            if self.now.is_multiple_of(5) {
                self.step(Event::Tick);
            }
        }
    }

    pub fn step(&mut self, event: Event) {
        let now = Now {
            steady: self.now,
            wall: self.now,
        };
        for action in self.owner.step(event, now) {
            let call = match action {
                Action::Reply(ticket, answer) => {
                    self.answers.insert(ticket, answer);
                    continue;
                }
                Action::Hold(hold) => Call::Hold(hold, self.now),
                Action::Start(start) => Call::Start(start),
                Action::Stop(stop) => Call::Stop(stop),
                Action::Pace(_) => continue,
                Action::Commit {
                    number,
                    version,
                    writes,
                } => Call::Commit(number, version, writes),
            };
            self.send(call);
        }
    }

    fn later(&mut self, after: Millis, due: Due) {
        self.serial += 1;
        self.due.insert((self.now + after, self.serial), due);
    }

    fn send(&mut self, call: Call) {
        let order = matches!(call, Call::Start(_) | Call::Stop(_) | Call::Hold(..));
        let lost = match call {
            Call::Commit(..) => self.random.chance(self.faults.commit),
            _ => self.random.chance(self.faults.lost),
        };
        if order && self.random.chance(self.faults.late) {
            let event = unanswered(&call);
            let delay = 2_000 + self.random.below(10_000);
            self.later(delay, Due::Call(call, false));
            return self.later(GIVEN_UP, Due::Event(self.epoch, event));
        }
        if lost {
            let event = unanswered(&call);
            self.later(GIVEN_UP, Due::Event(self.epoch, event));
        }
        self.later(HOP, Due::Call(call, !lost));
    }

    /// A call reaches its worker or the store.
    fn arrive(&mut self, call: Call, answered: bool) {
        let event = match call {
            Call::Commit(number, version, writes) => {
                if self.store_down {
                    return self.later(
                        GIVEN_UP,
                        Due::Event(self.epoch, Event::Written(number, Written::Unknown)),
                    );
                }
                Event::Written(number, self.commit(version, writes))
            }
            Call::Hold(hold, sent) => match self.reach(&hold.worker) {
                None => Event::Held(hold.worker, sent, Reply::Lost),
                Some(_) => {
                    let reply = self.hold(&hold);
                    Event::Held(hold.worker, sent, reply)
                }
            },
            Call::Start(start) => match self.reach(&start.worker) {
                None => Event::Started(start.key, start.run, start.worker, Reply::Lost),
                Some(_) => {
                    let reply = self.start(&start);
                    Event::Started(start.key, start.run, start.worker, reply)
                }
            },
            Call::Stop(stop) => match self.reach(&stop.worker) {
                None => Event::Stopped(stop.key, stop.run, stop.worker, Reply::Lost),
                Some(_) => {
                    let reply = self.stop(&stop);
                    Event::Stopped(stop.key, stop.run, stop.worker, reply)
                }
            },
        };
        let silent = matches!(
            event,
            Event::Held(_, _, Reply::Lost)
                | Event::Started(_, _, _, Reply::Lost)
                | Event::Stopped(_, _, _, Reply::Lost)
        );
        if answered {
            let after = if silent { GIVEN_UP } else { HOP };
            self.later(after, Due::Event(self.epoch, event));
        }
    }

    fn reach(&mut self, id: &str) -> Option<&mut FakeWorker> {
        self.workers.get_mut(id).filter(|w| !w.cut)
    }

    fn commit(&mut self, version: u64, writes: Vec<Write>) -> Written {
        if version != self.owner_version {
            let row = self.rows[&(OWNER_TABLE, OWNER_KEY.into())].clone();
            return Written::Conflict(Some((self.owner_version, row)));
        }
        self.version += 1;
        self.owner_version = self.version;
        for write in writes {
            let key = (write.table, write.key);
            match write.value {
                Some(value) => drop(self.rows.insert(key, value)),
                None => drop(self.rows.remove(&key)),
            }
        }
        Written::Done(self.version)
    }

    fn hold(&mut self, hold: &Hold) -> Reply<Report> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&hold.worker) else {
            return Reply::Lost;
        };
        if hold.epoch < worker.epoch {
            return Reply::Refused(Refusal::Fenced);
        }
        worker.epoch = hold.epoch;
        worker.lease = worker.lease.max(hold.lease.unwrap_or(0));
        worker.ended.retain(|e| e.number > hold.seen);
        let later = worker.done.split_off(&(hold.seen + 1));
        let noted = std::mem::replace(&mut worker.done, later);
        let lapsed = worker.lapsed;
        let running = worker.running.iter().map(|(task, run)| Running {
            task: task.as_str().into(),
            run: run.run,
            saved: "".into(),
            progress: 100,
            gauge: 0,
        });
        let report = Report {
            clock: now,
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        for (task, at) in noted.into_values().filter(|(_, at)| *at > lapsed) {
            let again = self.starts.iter().find(|s| s.0 == task && s.3 > at);
            if let Some(start) = again {
                let text = format!("{task} was done at {at} and run {} at {}", start.1, start.3);
                self.doubles.push(text);
            }
        }
        Reply::Ok(report)
    }

    fn start(&mut self, start: &Start) -> Reply<Millis> {
        let (span, how) = (self.script)(&start.task, start.run);
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&start.worker) else {
            return Reply::Lost;
        };
        if start.epoch < worker.epoch {
            return Reply::Refused(Refusal::Fenced);
        }
        worker.epoch = start.epoch;
        if start.lease <= now {
            return Reply::Refused(Refusal::Late);
        }
        worker.lease = worker.lease.max(start.lease);
        if worker
            .running
            .get(&start.task)
            .is_some_and(|r| r.run == start.run)
        {
            return Reply::Ok(now);
        }
        if worker
            .barred
            .get(&start.task)
            .is_some_and(|r| start.run <= *r)
        {
            return Reply::Refused(Refusal::Old);
        }
        let run = Run {
            run: start.run,
            ends: now + span,
            how,
        };
        worker.running.insert(start.task.clone(), run);
        let id = start.worker.clone();
        self.starts.push((start.task.clone(), start.run, id, now));
        let places = self
            .running()
            .into_iter()
            .filter(|(t, _)| *t == start.task)
            .count();
        if places > 1 {
            self.doubles
                .push(format!("{} run {} at {now}", start.task, start.run));
        }
        Reply::Ok(now)
    }

    fn stop(&mut self, stop: &Stop) -> Reply<Millis> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&stop.worker) else {
            return Reply::Lost;
        };
        if stop.epoch < worker.epoch {
            return Reply::Refused(Refusal::Fenced);
        }
        let barred = worker.barred.entry(stop.task.clone()).or_insert(0);
        *barred = stop.run.max(*barred);
        if worker
            .running
            .get(&stop.task)
            .is_some_and(|r| r.run == stop.run)
        {
            worker.end(&stop.task, How::Stopped, now);
        }
        Reply::Ok(now)
    }

    /// Ends runs whose time has come, and everything under a lapsed lease.
    fn work(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            let lapsed = now > worker.lease;
            if lapsed {
                worker.lapsed = now;
            }
            let ends: Vec<(String, How)> = worker
                .running
                .iter()
                .filter(|(_, r)| lapsed || r.ends <= now)
                .map(|(t, r)| (t.clone(), if r.ends <= now { r.how } else { How::Lapsed }))
                .collect();
            for (task, how) in ends {
                worker.end(&task, how, now);
            }
        }
    }
}

impl FakeWorker {
    fn end(&mut self, task: &str, how: How, now: Millis) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let barred = self.barred.entry(task.into()).or_insert(0);
        *barred = run.run.max(*barred);
        if how == How::Done {
            self.done.insert(self.next, (task.into(), now));
        }
        self.ended.push(Ended {
            number: self.next,
            task: task.into(),
            run: run.run,
            how,
            saved: "".into(),
        });
        self.next += 1;
    }
}

fn unanswered(call: &Call) -> Event {
    match call {
        Call::Hold(hold, sent) => Event::Held(hold.worker.clone(), *sent, Reply::Lost),
        Call::Start(s) => Event::Started(s.key, s.run, s.worker.clone(), Reply::Lost),
        Call::Stop(s) => Event::Stopped(s.key, s.run, s.worker.clone(), Reply::Lost),
        Call::Commit(number, _, _) => Event::Written(*number, Written::Unknown),
    }
}
