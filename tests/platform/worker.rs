//! A stand-in of a worker: runs tasks for a time under a lease, and watches
//! that no task of any worker runs twice.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http::StatusCode;
use monoio::time::sleep;
use serde_json::{Value, json};
use willowpoint::utils::clock;
use willowpoint::web::{Reply, Request};

use super::store::Store;

/// Time after the start of a task that crashes its worker.
const CRASH: Duration = Duration::from_millis(10);
/// Time until another life of a worker that crashed is back: longer than any call waits.
const AWAY: Duration = Duration::from_millis(1_500);
/// How long a run of a lasting task goes on by itself: longer than any test.
const LASTING: Duration = Duration::from_secs(3_600);
/// What the specification of a job says whose tasks are lasting.
pub const LASTING_SPEC: &str = "lasting";
/// Pause between two looks for an end that an exchange waits for.
const LOOK: Duration = Duration::from_millis(5);

/// When the lease of a worker's life ends.
type Lease = Arc<Mutex<Instant>>;

/// What all workers of a deployment ran.
#[derive(Default)]
pub struct Record {
    /// Starts of each task.
    pub starts: BTreeMap<String, u32>,
    /// Tasks that run now.
    pub running: BTreeSet<String>,
    /// Tasks that ran in two places at once, or again after their end was forgotten.
    pub doubled: Vec<String>,
    /// Start of the names of tasks that crash their workers; none for none.
    pub fatal: Option<String>,
    /// Workers that have crashed under each of these.
    pub crashes: BTreeMap<String, u32>,
    /// Lives of workers that have ended with each task.
    pub lost: BTreeMap<String, u32>,
    /// Tasks of which a run has ended as done.
    pub done: BTreeSet<String>,
    /// Tasks whose end was acknowledged.
    noted: BTreeSet<String>,
    /// The lease under which each of these runs.
    leases: BTreeMap<String, Lease>,
}

impl Record {
    /// Takes in that a task begins to run under a lease. One whose lease has ended runs no
    /// more, also where its worker was not asked since.
    fn begin(&mut self, task: String, lease: &Lease) {
        *self.starts.entry(task.clone()).or_insert(0) += 1;
        let before = self.leases.insert(task.clone(), lease.clone());
        let now = Instant::now();
        if before.is_some_and(|l| *l.lock().expect("no holder panicked") < now) {
            self.running.remove(&task);
        }
        if self.noted.contains(&task) || !self.running.insert(task.clone()) {
            self.doubled.push(task);
        }
    }

    /// Takes in that a task that ran under a lease does so no more.
    fn end(&mut self, task: &str, lease: &Lease) {
        let own = self.leases.get(task);
        if own.is_some_and(|l| Arc::ptr_eq(l, lease)) {
            self.running.remove(task);
            self.leases.remove(task);
        }
    }
}

struct Run {
    run: u64,
    ends: Instant,
}

struct State {
    began: Instant,
    /// The same in milliseconds since the Unix epoch.
    born: u64,
    fence: u64,
    /// End of the lease, in milliseconds on its clock.
    lease: u64,
    /// The same, for the record.
    until: Lease,
    runs: BTreeMap<String, Run>,
    barred: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next: u64,
    /// True after a crash until the next life is there.
    away: bool,
}

impl State {
    /// Returns the state of a life that begins.
    fn begin() -> Self {
        Self {
            began: Instant::now(),
            born: clock::wall(),
            fence: 0,
            lease: 0,
            until: Arc::new(Mutex::new(Instant::now())),
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            next: 1,
            away: false,
        }
    }
}

/// A worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    /// Id of its present life.
    id: Arc<Mutex<String>>,
    /// Its entry in the store, and the store.
    listing: Arc<Mutex<Value>>,
    store: Store,
    /// How long each task runs.
    span: Duration,
    state: Arc<Mutex<State>>,
    record: Arc<Mutex<Record>>,
    /// Starts that it has carried out, in all its lives.
    started: Arc<AtomicU64>,
    /// For how long orders lie.
    delay: Arc<Mutex<Duration>>,
}

impl Worker {
    /// Returns a worker that runs nothing.
    pub fn new(id: &str, span: Duration, record: Arc<Mutex<Record>>, store: Store) -> Self {
        Self {
            id: Arc::new(Mutex::new(id.into())),
            listing: Arc::default(),
            store,
            span,
            state: Arc::new(Mutex::new(State::begin())),
            record,
            started: Arc::default(),
            delay: Arc::default(),
        }
    }

    /// Puts its entry into the store.
    pub fn list(&self, mut listing: Value) {
        listing["born"] = json!(self.state().born);
        self.store.put("servers", &self.id(), &listing);
        *self.listing.lock().expect("no holder panicked") = listing;
    }

    /// Gives it another room, in thousandths of cores, which its entry tells.
    pub fn resize(&self, cpu: u64) {
        let mut listing = self.listing.lock().expect("no holder panicked").clone();
        listing["capacity"]["cpu"] = json!(cpu);
        self.list(listing);
    }

    /// Puts it into another hall, which its entry tells.
    pub fn stand_in(&self, hall: &str) {
        let mut listing = self.listing.lock().expect("no holder panicked").clone();
        listing["zone"] = json!(hall);
        self.list(listing);
    }

    /// Returns how many starts it has carried out.
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    fn id(&self) -> String {
        self.id.lock().expect("no holder panicked").clone()
    }

    /// Ends this life, with all that runs. The next one is back later, under another id.
    async fn crash(&self, task: &str) {
        sleep(CRASH).await;
        let before = self.id();
        let lost = std::mem::replace(&mut *self.state(), State::begin());
        {
            let mut record = self.record();
            for name in lost.runs.keys() {
                record.end(name, &lost.until);
            }
            *record.crashes.entry(task.into()).or_insert(0) += 1;
        }
        self.state().away = true;
        sleep(AWAY).await;
        *self.id.lock().expect("no holder panicked") = format!("{before}-next");
        self.state().away = false;
        self.store.drop_row("servers", &before);
        let listing = self.listing.lock().expect("no holder panicked").clone();
        self.list(listing);
    }

    /// Puts its entry into the store once more, as it is now.
    pub fn list_again(&self) {
        let listing = self.listing.lock().expect("no holder panicked").clone();
        self.list(listing);
    }

    /// Starts it again under its id; it holds and knows nothing of before. Its entry is as
    /// it was.
    pub fn restart(&self) {
        let lost = std::mem::replace(&mut *self.state(), State::begin());
        let mut record = self.record();
        for name in lost.runs.keys() {
            record.end(name, &lost.until);
            *record.lost.entry(name.clone()).or_insert(0) += 1;
        }
    }

    /// Has it leave orders alone for a time, and carry them out then. Those who gave them
    /// have gone away meanwhile.
    pub fn delay(&self, by: Duration) {
        *self.delay.lock().expect("no holder panicked") = by;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panicked")
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("no holder panicked")
    }

    /// Serves one call; one that lies is carried out also when its connection has ended.
    pub async fn handle(self, request: Request) -> Reply {
        let delay = *self.delay.lock().expect("no holder panicked");
        if delay.is_zero() {
            return self.carry_out(request).await;
        }
        let late = monoio::spawn(async move {
            sleep(delay).await;
            self.carry_out(request).await
        });
        late.await
    }

    async fn carry_out(self, request: Request) -> Reply {
        while self.state().away {
            sleep(LOOK).await;
        }
        let life = request.headers.get("x-expect-instance");
        if life.is_some_and(|l| l != self.id().as_str()) {
            return Reply::text(StatusCode::MISDIRECTED_REQUEST, "");
        }
        let Ok(call) = serde_json::from_slice::<Value>(&request.body) else {
            return Reply::text(StatusCode::BAD_REQUEST, "no JSON");
        };
        self.expire();
        if let Some(reply) = self.fenced(&call) {
            return reply;
        }
        match request.uri.path() {
            "/run-start" => match self.fatal(&call) {
                Some(task) => {
                    let crashing = self.clone();
                    monoio::spawn(async move { crashing.crash(&task).await });
                    self.start(&call)
                }
                None => self.start(&call),
            },
            "/run-stop" => self.stop(&call),
            "/hold" => self.hold(&call).await,
            "/pace" => self.clock(StatusCode::OK, json!({})),
            _ => Reply::text(StatusCode::NOT_FOUND, ""),
        }
    }

    fn clock(&self, status: StatusCode, mut body: Value) -> Reply {
        body["clockMs"] = json!(self.state().began.elapsed().as_millis() as u64);
        Reply::text(status, body.to_string())
    }

    fn conflict(&self, reason: &str) -> Reply {
        self.clock(StatusCode::CONFLICT, json!({ "reason": reason }))
    }

    /// Refuses an order of an earlier owner; keeps a later one's fence and lease.
    fn fenced(&self, call: &Value) -> Option<Reply> {
        let fence = call["fence"].as_u64().unwrap_or(0);
        let known = self.state().fence;
        if fence < known {
            return Some(self.conflict("fence"));
        }
        let mut state = self.state();
        state.fence = fence;
        state.lease = state.lease.max(call["deadlineMs"].as_u64().unwrap_or(0));
        let until = state.began + Duration::from_millis(state.lease);
        *state.until.lock().expect("no holder panicked") = until;
        None
    }

    /// Returns the task of a start if it crashes the worker.
    fn fatal(&self, call: &Value) -> Option<String> {
        let task = call["task"].as_str().unwrap_or_default();
        let record = self.record();
        let fatal = record.fatal.as_ref()?;
        task.starts_with(fatal).then(|| task.to_string())
    }

    fn start(&self, call: &Value) -> Reply {
        let task = call["task"].as_str().unwrap_or_default().to_string();
        let run = call["run"].as_u64().unwrap_or(0);
        let known = self.state().runs.get(&task).map(|r| r.run);
        if known == Some(run) {
            return self.clock(StatusCode::OK, json!({}));
        }
        if self.state().barred.get(&task).is_some_and(|b| run <= *b) {
            return self.conflict("old");
        }
        if self.lapsed() {
            return self.conflict("late");
        }
        let lasting = call["spec"] == LASTING_SPEC;
        let ends = Instant::now() + if lasting { LASTING } else { self.span };
        self.state().runs.insert(task.clone(), Run { run, ends });
        self.started.fetch_add(1, Ordering::Relaxed);
        let until = self.state().until.clone();
        self.record().begin(task, &until);
        self.clock(StatusCode::OK, json!({}))
    }

    /// Returns true once its lease has ended.
    fn lapsed(&self) -> bool {
        let state = self.state();
        state.began.elapsed().as_millis() as u64 > state.lease
    }

    fn stop(&self, call: &Value) -> Reply {
        let task = call["task"].as_str().unwrap_or_default();
        let run = call["run"].as_u64().unwrap_or(0);
        let known = self.state().runs.get(task).map(|r| r.run);
        if known == Some(run) {
            self.end(task, "stopped");
        }
        let mut state = self.state();
        let barred = state.barred.entry(task.into()).or_insert(0);
        *barred = run.max(*barred);
        drop(state);
        self.clock(StatusCode::OK, json!({}))
    }

    fn end(&self, task: &str, how: &'static str) {
        let mut state = self.state();
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.barred.insert(task.into(), run.run);
        let number = state.next;
        state.next += 1;
        state.ended.push((number, task.into(), run.run, how));
        let until = state.until.clone();
        drop(state);
        let mut record = self.record();
        record.end(task, &until);
        if how == "done" {
            record.done.insert(task.into());
        }
    }

    /// Ends what has run its time, and everything once the lease is over.
    fn expire(&self) {
        let lapsed = self.lapsed();
        let state = self.state();
        let now = Instant::now();
        let due = state.runs.iter().filter(|(_, r)| lapsed || r.ends <= now);
        let due: Vec<(String, bool)> = due.map(|(t, r)| (t.clone(), r.ends <= now)).collect();
        drop(state);
        for (task, done) in due {
            self.end(&task, if done { "done" } else { "lapsed" });
        }
    }

    async fn hold(&self, call: &Value) -> Reply {
        self.forget(call["lastSeen"].as_u64().unwrap_or(0));
        let wait = Duration::from_millis(call["waitMs"].as_u64().unwrap_or(0));
        let end = Instant::now() + wait;
        let life = self.id();
        let born = self.state().born;
        while self.state().ended.is_empty() && Instant::now() < end {
            sleep(LOOK).await;
            self.expire();
        }
        while self.state().away {
            sleep(LOOK).await;
        }
        if self.id() != life {
            return Reply::text(StatusCode::MISDIRECTED_REQUEST, "");
        }
        if self.state().born != born {
            // The exchange ended with the life that it came to.
            return Reply::text(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let state = self.state();
        let running: Vec<Value> = state
            .runs
            .iter()
            .map(|(task, run)| json!([task, run.run, "", 50, 0]))
            .collect();
        let finished: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        drop(state);
        let lists = json!({ "running": running, "finished": finished, "born": born });
        self.clock(StatusCode::OK, lists)
    }

    /// Forgets ends that were acknowledged.
    fn forget(&self, seen: u64) {
        let mut state = self.state();
        let noted = state.ended.iter().filter(|e| e.0 <= seen && e.3 == "done");
        let noted: Vec<String> = noted.map(|e| e.1.clone()).collect();
        state.ended.retain(|e| e.0 > seen);
        drop(state);
        self.record().noted.extend(noted);
    }
}
