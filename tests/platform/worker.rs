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
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time until another life of a worker that crashed is back: longer than any call waits.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// How long a run of a lasting task goes on by itself: longer than any test.
const LASTING_DURATION: Duration = Duration::from_secs(3_600);
/// What the specification of a job says whose tasks are lasting.
pub const LASTING_SPEC: &str = "lasting";
/// Pause between two looks for an end that an exchange waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

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
    pub duplicates: Vec<String>,
    /// Start of the names of tasks that crash their workers; none for none.
    pub crash_prefix: Option<String>,
    /// Workers that have crashed under each of these.
    pub crashes: BTreeMap<String, u32>,
    /// Lives of workers that have ended with each task.
    pub lost_runs: BTreeMap<String, u32>,
    /// Tasks of which a run has ended as done.
    pub done: BTreeSet<String>,
    /// Tasks whose end was acknowledged.
    acknowledged: BTreeSet<String>,
    /// The lease under which each of these runs.
    leases: BTreeMap<String, Lease>,
}

impl Record {
    /// Takes in that a task begins to run under a lease. One whose lease has ended runs no
    /// more, also where its worker was not asked since.
    fn start(&mut self, task: String, lease: &Lease) {
        *self.starts.entry(task.clone()).or_insert(0) += 1;
        let before = self.leases.insert(task.clone(), lease.clone());
        let now = Instant::now();
        if before.is_some_and(|l| *l.lock().expect("the lock is not poisoned") < now) {
            self.running.remove(&task);
        }
        if self.acknowledged.contains(&task) || !self.running.insert(task.clone()) {
            self.duplicates.push(task);
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
    started_at: Instant,
    /// The same in milliseconds since the Unix epoch.
    boot: u64,
    epoch: u64,
    /// End of the lease, in milliseconds on its clock.
    lease_end: u64,
    /// The same, for the record.
    shared_lease: Lease,
    runs: BTreeMap<String, Run>,
    closed_runs: BTreeMap<String, u64>,
    unacknowledged: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// True after a crash until the next life is there.
    down: bool,
}

impl State {
    /// Returns the state of a life that begins.
    fn begin() -> Self {
        Self {
            started_at: Instant::now(),
            boot: clock::wall(),
            epoch: 0,
            lease_end: 0,
            shared_lease: Arc::new(Mutex::new(Instant::now())),
            runs: BTreeMap::new(),
            closed_runs: BTreeMap::new(),
            unacknowledged: Vec::new(),
            next_end: 1,
            down: false,
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
    duration: Duration,
    state: Arc<Mutex<State>>,
    record: Arc<Mutex<Record>>,
    /// Starts that it has carried out, in all its lives.
    started: Arc<AtomicU64>,
    /// For how long orders lie.
    order_delay: Arc<Mutex<Duration>>,
}

impl Worker {
    /// Returns a worker that runs nothing.
    pub fn new(id: &str, duration: Duration, record: Arc<Mutex<Record>>, store: Store) -> Self {
        Self {
            id: Arc::new(Mutex::new(id.into())),
            listing: Arc::default(),
            store,
            duration,
            state: Arc::new(Mutex::new(State::begin())),
            record,
            started: Arc::default(),
            order_delay: Arc::default(),
        }
    }

    /// Puts its entry into the store.
    pub fn register(&self, mut listing: Value) {
        listing["born"] = json!(self.state().boot);
        self.store.put("servers", &self.id(), &listing);
        *self.listing.lock().expect("the lock is not poisoned") = listing;
    }

    /// Gives it another room, in thousandths of cores, which its entry tells.
    pub fn resize(&self, cpu: u64) {
        let mut listing = self
            .listing
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        listing["capacity"]["cpu"] = json!(cpu);
        self.register(listing);
    }

    /// Puts it into another hall, which its entry tells.
    pub fn move_to_hall(&self, hall: &str) {
        let mut listing = self
            .listing
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        listing["zone"] = json!(hall);
        self.register(listing);
    }

    /// Returns how many starts it has carried out.
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    fn id(&self) -> String {
        self.id.lock().expect("the lock is not poisoned").clone()
    }

    /// Ends this life, with all that runs. The next one is back later, under another id.
    async fn crash(&self, task: &str) {
        sleep(CRASH_DELAY).await;
        let before = self.id();
        let lost = std::mem::replace(&mut *self.state(), State::begin());
        {
            let mut record = self.record();
            for name in lost.runs.keys() {
                record.end(name, &lost.shared_lease);
            }
            *record.crashes.entry(task.into()).or_insert(0) += 1;
        }
        self.state().down = true;
        sleep(RESTART_DELAY).await;
        *self.id.lock().expect("the lock is not poisoned") = format!("{before}-next");
        self.state().down = false;
        self.store.delete_row("servers", &before);
        let listing = self
            .listing
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        self.register(listing);
    }

    /// Puts its entry into the store once more, as it is now.
    pub fn register_again(&self) {
        let listing = self
            .listing
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        self.register(listing);
    }

    /// Starts it again under its id; it holds and knows nothing of before. Its entry is as
    /// it was.
    pub fn restart(&self) {
        let lost = std::mem::replace(&mut *self.state(), State::begin());
        let mut record = self.record();
        for name in lost.runs.keys() {
            record.end(name, &lost.shared_lease);
            *record.lost_runs.entry(name.clone()).or_insert(0) += 1;
        }
    }

    /// Has it leave orders alone for a time, and carry them out then. Those who gave them
    /// have gone away meanwhile.
    pub fn delay_orders(&self, by: Duration) {
        *self.order_delay.lock().expect("the lock is not poisoned") = by;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("the lock is not poisoned")
    }

    /// Serves one call; one that lies is carried out also when its connection has ended.
    pub async fn handle(self, request: Request) -> Reply {
        let delay = *self.order_delay.lock().expect("the lock is not poisoned");
        if delay.is_zero() {
            return self.execute(request).await;
        }
        let delayed = monoio::spawn(async move {
            sleep(delay).await;
            self.execute(request).await
        });
        delayed.await
    }

    async fn execute(self, request: Request) -> Reply {
        while self.state().down {
            sleep(POLL_INTERVAL).await;
        }
        let incarnation = request.headers.get("x-expect-instance");
        if incarnation.is_some_and(|i| i != self.id().as_str()) {
            return Reply::text(StatusCode::MISDIRECTED_REQUEST, "");
        }
        let Ok(call) = serde_json::from_slice::<Value>(&request.body) else {
            return Reply::text(StatusCode::BAD_REQUEST, "no JSON");
        };
        self.end_due_runs();
        if let Some(reply) = self.reject_fenced(&call) {
            return reply;
        }
        match request.uri.path() {
            "/run-start" => match self.crashing_task(&call) {
                Some(task) => {
                    let crashing = self.clone();
                    monoio::spawn(async move { crashing.crash(&task).await });
                    self.start(&call)
                }
                None => self.start(&call),
            },
            "/run-stop" => self.stop(&call),
            "/hold" => self.poll(&call).await,
            "/pace" => self.reply_with_clock(StatusCode::OK, json!({})),
            _ => Reply::text(StatusCode::NOT_FOUND, ""),
        }
    }

    fn reply_with_clock(&self, status: StatusCode, mut body: Value) -> Reply {
        body["clockMs"] = json!(self.state().started_at.elapsed().as_millis() as u64);
        Reply::text(status, body.to_string())
    }

    fn conflict(&self, reason: &str) -> Reply {
        self.reply_with_clock(StatusCode::CONFLICT, json!({ "reason": reason }))
    }

    /// Refuses an order of an earlier owner; keeps a later one's fence and lease.
    fn reject_fenced(&self, call: &Value) -> Option<Reply> {
        let epoch = call["fence"].as_u64().unwrap_or(0);
        let known = self.state().epoch;
        if epoch < known {
            return Some(self.conflict("fence"));
        }
        let mut state = self.state();
        state.epoch = epoch;
        state.lease_end = state
            .lease_end
            .max(call["deadlineMs"].as_u64().unwrap_or(0));
        let end = state.started_at + Duration::from_millis(state.lease_end);
        *state.shared_lease.lock().expect("the lock is not poisoned") = end;
        None
    }

    /// Returns the task of a start if it crashes the worker.
    fn crashing_task(&self, call: &Value) -> Option<String> {
        let task = call["task"].as_str().unwrap_or_default();
        let record = self.record();
        let prefix = record.crash_prefix.as_ref()?;
        task.starts_with(prefix).then(|| task.to_string())
    }

    fn start(&self, call: &Value) -> Reply {
        let task = call["task"].as_str().unwrap_or_default().to_string();
        let run = call["run"].as_u64().unwrap_or(0);
        let known = self.state().runs.get(&task).map(|r| r.run);
        if known == Some(run) {
            return self.reply_with_clock(StatusCode::OK, json!({}));
        }
        if self
            .state()
            .closed_runs
            .get(&task)
            .is_some_and(|r| run <= *r)
        {
            return self.conflict("old");
        }
        if self.lease_expired() {
            return self.conflict("late");
        }
        let lasting = call["spec"] == LASTING_SPEC;
        let ends = Instant::now()
            + if lasting {
                LASTING_DURATION
            } else {
                self.duration
            };
        self.state().runs.insert(task.clone(), Run { run, ends });
        self.started.fetch_add(1, Ordering::Relaxed);
        let lease = self.state().shared_lease.clone();
        self.record().start(task, &lease);
        self.reply_with_clock(StatusCode::OK, json!({}))
    }

    /// Returns true once its lease has ended.
    fn lease_expired(&self) -> bool {
        let state = self.state();
        state.started_at.elapsed().as_millis() as u64 > state.lease_end
    }

    fn stop(&self, call: &Value) -> Reply {
        let task = call["task"].as_str().unwrap_or_default();
        let run = call["run"].as_u64().unwrap_or(0);
        let known = self.state().runs.get(task).map(|r| r.run);
        if known == Some(run) {
            self.end(task, "stopped");
        }
        let mut state = self.state();
        let closed = state.closed_runs.entry(task.into()).or_insert(0);
        *closed = run.max(*closed);
        drop(state);
        self.reply_with_clock(StatusCode::OK, json!({}))
    }

    fn end(&self, task: &str, outcome: &'static str) {
        let mut state = self.state();
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.closed_runs.insert(task.into(), run.run);
        let number = state.next_end;
        state.next_end += 1;
        state
            .unacknowledged
            .push((number, task.into(), run.run, outcome));
        let lease = state.shared_lease.clone();
        drop(state);
        let mut record = self.record();
        record.end(task, &lease);
        if outcome == "done" {
            record.done.insert(task.into());
        }
    }

    /// Ends what has run its time, and everything once the lease is over.
    fn end_due_runs(&self) {
        let lapsed = self.lease_expired();
        let state = self.state();
        let now = Instant::now();
        let due = state.runs.iter().filter(|(_, r)| lapsed || r.ends <= now);
        let due: Vec<(String, bool)> = due.map(|(t, r)| (t.clone(), r.ends <= now)).collect();
        drop(state);
        for (task, done) in due {
            self.end(&task, if done { "done" } else { "lapsed" });
        }
    }

    async fn poll(&self, call: &Value) -> Reply {
        self.acknowledge(call["lastSeen"].as_u64().unwrap_or(0));
        let wait = Duration::from_millis(call["waitMs"].as_u64().unwrap_or(0));
        let end = Instant::now() + wait;
        let incarnation = self.id();
        let boot = self.state().boot;
        while self.state().unacknowledged.is_empty() && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
            self.end_due_runs();
        }
        while self.state().down {
            sleep(POLL_INTERVAL).await;
        }
        if self.id() != incarnation {
            return Reply::text(StatusCode::MISDIRECTED_REQUEST, "");
        }
        if self.state().boot != boot {
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
            .unacknowledged
            .iter()
            .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]))
            .collect();
        drop(state);
        let lists = json!({ "running": running, "finished": finished, "born": boot });
        self.reply_with_clock(StatusCode::OK, lists)
    }

    /// Forgets ends that were acknowledged.
    fn acknowledge(&self, seen: u64) {
        let mut state = self.state();
        let acknowledged = state
            .unacknowledged
            .iter()
            .filter(|e| e.0 <= seen && e.3 == "done");
        let acknowledged: Vec<String> = acknowledged.map(|e| e.1.clone()).collect();
        state.unacknowledged.retain(|e| e.0 > seen);
        drop(state);
        self.record().acknowledged.extend(acknowledged);
    }
}
