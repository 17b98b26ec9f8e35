//! Stand-in for a worker: runs tasks for a fixed time under a lease, and checks that no task runs
//! twice on any worker.

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

/// Time from the start of a crashing task until the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time from a crash until the next incarnation serves: longer than any call waits.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Duration of a run of a lasting task: longer than any test.
const LASTING_DURATION: Duration = Duration::from_secs(3_600);
/// Specification of jobs whose tasks are lasting.
pub const LASTING_SPEC: &str = "lasting";
/// Time between two checks of a condition that a call waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// End of the lease of a worker's incarnation.
type Lease = Arc<Mutex<Instant>>;

/// Record of what all workers of a deployment ran.
#[derive(Default)]
pub struct Record {
    /// Number of starts of each task.
    pub starts: BTreeMap<String, u32>,
    /// Running tasks.
    pub running: BTreeSet<String>,
    /// Tasks that ran in two places at once, or again after their end was acknowledged.
    pub duplicates: Vec<String>,
    /// Prefix of the names of tasks that crash their workers; `None` if no task does.
    pub crash_prefix: Option<String>,
    /// Number of workers that each of these tasks has crashed.
    pub crashes: BTreeMap<String, u32>,
    /// Number of runs of each task that were lost in a restart of their worker.
    pub lost_runs: BTreeMap<String, u32>,
    /// Tasks with a run that has ended as done.
    pub done: BTreeSet<String>,
    /// Tasks that were done and whose end was acknowledged.
    acknowledged: BTreeSet<String>,
    /// Lease under which each task runs.
    leases: BTreeMap<String, Lease>,
}

impl Record {
    /// Records that a task starts under a lease. An earlier run whose lease has ended counts as
    /// ended, even if its worker has not been called since.
    fn start(&mut self, task: String, lease: &Lease) {
        *self.starts.entry(task.clone()).or_insert(0) += 1;
        let previous = self.leases.insert(task.clone(), lease.clone());
        let now = Instant::now();
        if previous.is_some_and(|l| *l.lock().expect("the lock is not poisoned") < now) {
            self.running.remove(&task);
        }
        if self.acknowledged.contains(&task) || !self.running.insert(task.clone()) {
            self.duplicates.push(task);
        }
    }

    /// Records that the run of a task under a lease has ended.
    fn end(&mut self, task: &str, lease: &Lease) {
        let own = self.leases.get(task);
        if own.is_some_and(|l| Arc::ptr_eq(l, lease)) {
            self.running.remove(task);
            self.leases.remove(task);
        }
    }
}

/// An active run.
struct Run {
    run: u64,
    ends_at: Instant,
}

/// State of an incarnation of a worker.
struct WorkerState {
    started_at: Instant,
    /// Start of the incarnation in milliseconds since the Unix epoch.
    boot: u64,
    epoch: u64,
    /// End of the lease in milliseconds on the worker's clock.
    lease_end: u64,
    /// End of the lease, shared with the record.
    shared_lease: Lease,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that ended or was stopped here; starts up to it are refused.
    closed_runs: BTreeMap<String, u64>,
    /// Ended runs that the owner has not acknowledged: number, task, run, outcome.
    unacknowledged: Vec<(u64, String, u64, &'static str)>,
    /// Number of the next completion.
    next_end: u64,
    /// True from a crash until the next incarnation serves.
    down: bool,
}

impl WorkerState {
    /// Returns the state of a new incarnation.
    fn new() -> Self {
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
    /// Id of the present incarnation.
    id: Arc<Mutex<String>>,
    /// Directory entry of the worker in the store.
    listing: Arc<Mutex<Value>>,
    store: Store,
    /// Duration of each run.
    duration: Duration,
    state: Arc<Mutex<WorkerState>>,
    record: Arc<Mutex<Record>>,
    /// Number of starts that all incarnations have executed.
    started: Arc<AtomicU64>,
    /// Delay before each order is executed.
    order_delay: Arc<Mutex<Duration>>,
}

impl Worker {
    /// Returns a worker without runs.
    pub fn new(id: &str, duration: Duration, record: Arc<Mutex<Record>>, store: Store) -> Self {
        Self {
            id: Arc::new(Mutex::new(id.into())),
            listing: Arc::default(),
            store,
            duration,
            state: Arc::new(Mutex::new(WorkerState::new())),
            record,
            started: Arc::default(),
            order_delay: Arc::default(),
        }
    }

    /// Writes the worker's directory entry to the store.
    pub fn register(&self, mut listing: Value) {
        listing["born"] = json!(self.state().boot);
        self.store.put("servers", &self.id(), &listing);
        *self.listing.lock().expect("the lock is not poisoned") = listing;
    }

    /// Changes the processors in the directory entry, in thousandths of cores.
    pub fn resize(&self, cpu: u64) {
        let mut listing = self
            .listing
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        listing["capacity"]["cpu"] = json!(cpu);
        self.register(listing);
    }

    /// Changes the hall in the directory entry.
    pub fn move_to_hall(&self, hall: &str) {
        let mut listing = self
            .listing
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        listing["zone"] = json!(hall);
        self.register(listing);
    }

    /// Returns the number of starts that the worker has executed.
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    fn id(&self) -> String {
        self.id.lock().expect("the lock is not poisoned").clone()
    }

    /// Ends this incarnation with all its runs. The next one serves later, under another id.
    async fn crash(&self, task: &str) {
        sleep(CRASH_DELAY).await;
        let old_id = self.id();
        let lost = std::mem::replace(&mut *self.state(), WorkerState::new());
        {
            let mut record = self.record();
            for name in lost.runs.keys() {
                record.end(name, &lost.shared_lease);
            }
            *record.crashes.entry(task.into()).or_insert(0) += 1;
        }
        self.state().down = true;
        sleep(RESTART_DELAY).await;
        *self.id.lock().expect("the lock is not poisoned") = format!("{old_id}-next");
        self.state().down = false;
        self.store.delete_row("servers", &old_id);
        let listing = self
            .listing
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        self.register(listing);
    }

    /// Writes the present directory entry, with the start time of this incarnation, to the store.
    pub fn register_again(&self) {
        let listing = self
            .listing
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        self.register(listing);
    }

    /// Restarts the worker under its id without its former state. The directory entry does not
    /// change.
    pub fn restart(&self) {
        let lost = std::mem::replace(&mut *self.state(), WorkerState::new());
        let mut record = self.record();
        for name in lost.runs.keys() {
            record.end(name, &lost.shared_lease);
            *record.lost_runs.entry(name.clone()).or_insert(0) += 1;
        }
    }

    /// Delays the execution of orders. Their senders may have given up by then.
    pub fn delay_orders(&self, delay: Duration) {
        *self.order_delay.lock().expect("the lock is not poisoned") = delay;
    }

    fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("the lock is not poisoned")
    }

    /// Serves a call. A delayed call is executed even if its connection has been closed.
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

    /// Returns the refusal of an order.
    fn conflict(&self, reason: &str) -> Reply {
        self.reply_with_clock(StatusCode::CONFLICT, json!({ "reason": reason }))
    }

    /// Refuses an order with a lower epoch. Otherwise adopts the epoch and the lease of the order.
    fn reject_fenced(&self, call: &Value) -> Option<Reply> {
        let epoch = call["fence"].as_u64().unwrap_or(0);
        let known_epoch = self.state().epoch;
        if epoch < known_epoch {
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

    /// Returns the task of a start if the task crashes its worker.
    fn crashing_task(&self, call: &Value) -> Option<String> {
        let task = call["task"].as_str().unwrap_or_default();
        let record = self.record();
        let prefix = record.crash_prefix.as_ref()?;
        task.starts_with(prefix).then(|| task.to_string())
    }

    /// Executes a start; refuses old runs and starts after the end of the lease.
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
        let ends_at = Instant::now()
            + if lasting {
                LASTING_DURATION
            } else {
                self.duration
            };
        self.state().runs.insert(task.clone(), Run { run, ends_at });
        self.started.fetch_add(1, Ordering::Relaxed);
        let lease = self.state().shared_lease.clone();
        self.record().start(task, &lease);
        self.reply_with_clock(StatusCode::OK, json!({}))
    }

    /// Returns true when the worker's lease has ended.
    fn lease_expired(&self) -> bool {
        let state = self.state();
        state.started_at.elapsed().as_millis() as u64 > state.lease_end
    }

    /// Executes a stop; later starts up to its run are refused.
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

    /// Ends the run of a task, if there is one, and keeps its completion for the next reports.
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

    /// Ends runs that have taken their time, and all runs when the lease has ended.
    fn end_due_runs(&self) {
        let lapsed = self.lease_expired();
        let state = self.state();
        let now = Instant::now();
        let due = state
            .runs
            .iter()
            .filter(|(_, r)| lapsed || r.ends_at <= now);
        let due: Vec<(String, bool)> = due.map(|(t, r)| (t.clone(), r.ends_at <= now)).collect();
        drop(state);
        for (task, done) in due {
            self.end(&task, if done { "done" } else { "lapsed" });
        }
    }

    /// Executes a poll: waits for a completion as long as the poll allows, then reports all runs.
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
            // The polled incarnation has ended.
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

    /// Removes the completions that the owner has acknowledged.
    fn acknowledge(&self, last_seen: u64) {
        let mut state = self.state();
        let acknowledged = state
            .unacknowledged
            .iter()
            .filter(|e| e.0 <= last_seen && e.3 == "done");
        let acknowledged: Vec<String> = acknowledged.map(|e| e.1.clone()).collect();
        state.unacknowledged.retain(|e| e.0 > last_seen);
        drop(state);
        self.record().acknowledged.extend(acknowledged);
    }
}
