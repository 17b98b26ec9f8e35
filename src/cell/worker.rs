//! A worker and its allocated resources, as the owner of its cell accounts for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::runs::{Run, RunId, RunPhase};
use super::{Shape, Size};
use crate::invariant::{self, Rule};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Weight of a new measurement in the moving average of its latency.
const WORKER_LATENCY_WEIGHT: f64 = 0.1;
/// Consecutive failures of requests after which a worker is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Milliseconds of a first ejection; each further ejection doubles it.
const FIRST_EJECTION: Millis = 1_000;
/// Longest ejection in milliseconds.
const EJECTION_LIMIT: Millis = 60_000;

/// A request in progress on a worker.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// Requested service.
    pub service: Name,
    /// Reserved size.
    pub size: Size,
    /// When the request was sent, in microseconds.
    pub sent_us: u64,
    /// Set when the answer was lost: the time after which the worker no longer starts the
    /// request.
    pub start_deadline: Option<Millis>,
}

/// A worker of the cell.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the worker.
    pub name: Name,
    /// Address of its endpoint.
    pub http: SocketAddr,
    /// Address of its control RPC.
    pub rpc: SocketAddr,
    /// Capacity of the worker.
    pub shape: Shape,
    /// True once the worker has answered under this epoch, while it keeps answering.
    pub responsive: bool,
    /// True when the directory or an operator declares that the worker accepts no new work.
    pub leaving: bool,
    /// True while the worker is in the list of live workers.
    pub listed: bool,
    /// Requests sent under this epoch, by ticket.
    pub requests: BTreeMap<u64, ActiveRequest>,
    /// Number of requests of earlier epochs in progress.
    pub foreign_requests: u32,
    /// Runs that may be running.
    pub runs: BTreeMap<RunId, Run>,
    /// Runs that have ended, with the time when the owner learned of the end: a poll sent
    /// before that time may still report them as running.
    pub ended_runs: BTreeMap<RunId, Millis>,
    /// Runs whose end is recorded, so that the worker may forget them.
    pub acks: Vec<RunId>,
    /// Moving average of answer times in microseconds; 0 before the first.
    pub mean_latency: f64,
    /// When the last poll was sent.
    pub last_poll: Option<Millis>,
    /// True while a poll is in progress.
    pub polling: bool,
    /// When the worker's last answer to a poll becomes too old to rely on.
    pub valid_until: Millis,
    /// When the worker answered again after a silence. Calls sent before may still take
    /// effect for some time after.
    pub responsive_since: Millis,
    /// When the last renewal of leases that the worker may have received was sent.
    pub lease_renewed: Millis,
    /// When the renewal in progress was sent, or 0.
    pub renewal_sent: Millis,
    /// True when the worker itself reports that it accepts no new work.
    pub retiring: bool,
    /// Consecutive failures of requests.
    pub consecutive_failures: u32,
    /// Ejections since the last answered request.
    pub ejections: u32,
    /// No request is sent to the worker before this time.
    pub ejected_until: Millis,
    /// Jobs of the runs that failed on the worker since the last finished run.
    pub failed_jobs: Vec<Name>,
    /// No task is started on the worker before this time.
    pub quarantined_until: Millis,
    /// Quarantines since the last finished run.
    pub quarantines: u32,
    /// When a run was last evicted.
    pub last_eviction: Millis,
    /// When the share of a run was last changed or a run was last evicted.
    pub last_throttle: Millis,
    /// Sum of the sizes of `requests` and `runs`.
    allocated: Size,
}

impl Worker {
    /// Returns a worker that has not answered yet and therefore counts as full.
    pub fn new(name: Name, http: SocketAddr, rpc: SocketAddr) -> Self {
        Self {
            name,
            http,
            rpc,
            shape: Shape::default(),
            responsive: false,
            leaving: false,
            listed: true,
            requests: BTreeMap::new(),
            foreign_requests: 0,
            runs: BTreeMap::new(),
            ended_runs: BTreeMap::new(),
            acks: Vec::new(),
            mean_latency: 0.0,
            last_poll: None,
            polling: false,
            valid_until: 0,
            responsive_since: 0,
            lease_renewed: 0,
            renewal_sent: 0,
            retiring: false,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: 0,
            failed_jobs: Vec::new(),
            quarantined_until: 0,
            quarantines: 0,
            last_eviction: 0,
            last_throttle: 0,
            allocated: Size::default(),
        }
    }

    /// Returns true when the worker may get requests and tasks: its last answer is recent
    /// enough and it is not leaving.
    pub fn accepts_work(&self, now: Millis) -> bool {
        self.responsive && now < self.valid_until && !self.leaving && !self.retiring && self.listed
    }

    /// Checks the invariant that a leaving worker gets no new work; returns false when the
    /// worker is leaving.
    pub fn check_not_leaving(&self) -> bool {
        let staying = self.listed && !self.leaving && !self.retiring;
        let detail = || format!("worker {} was chosen although it is leaving", self.name);
        invariant::check(staying, Rule::Leaving, detail)
    }

    /// Returns the slots in use, including those of requests of earlier epochs.
    pub fn used_slots(&self) -> u32 {
        self.requests.len() as u32 + self.foreign_requests
    }

    /// Returns the free slots.
    pub fn free_slots(&self) -> u32 {
        self.shape.slots.saturating_sub(self.used_slots())
    }

    /// Returns the free cores in thousandths.
    pub fn free_cores(&self) -> u32 {
        self.shape.cores.saturating_sub(self.allocated.cores)
    }

    /// Returns true when the free resources are enough for `size`.
    pub fn has_free(&self, size: Size) -> bool {
        self.allocated.cores + size.cores <= self.shape.cores
            && self.allocated.memory + size.memory <= self.shape.memory
            && self.allocated.accelerators + size.accelerators <= self.shape.accelerators
    }

    /// Returns true when more than half of the slots are in use.
    pub fn is_busy(&self) -> bool {
        self.used_slots() * 2 > self.shape.slots
    }

    /// Adds a request and checks that the worker is not overcommitted.
    pub fn add_request(&mut self, ticket: u64, request: ActiveRequest) {
        self.allocated = add(self.allocated, request.size);
        self.requests.insert(ticket, request);
        let fits = self.used_slots() <= self.shape.slots && self.is_within_capacity();
        let detail = || format!("worker {} has {} requests", self.name, self.used_slots());
        invariant::check(fits, Rule::Room, detail);
    }

    /// Removes a request.
    pub fn remove_request(&mut self, ticket: u64) -> Option<ActiveRequest> {
        let request = self.requests.remove(&ticket)?;
        self.allocated = subtract(self.allocated, request.size);
        Some(request)
    }

    /// Adds a run.
    pub fn add_run(&mut self, run: Run) {
        self.allocated = add(self.allocated, run.allocated());
        self.runs.insert(run.id, run);
    }

    /// Removes a run and remembers that it has ended.
    pub fn end_run(&mut self, now: Millis, id: RunId) -> Option<Run> {
        self.ended_runs.insert(id, now);
        self.remove_run(id)
    }

    /// Forgets runs that ended before `sent`: polls sent later do not report them as running.
    pub fn forget_ended_runs(&mut self, sent: Millis) {
        self.ended_runs.retain(|_, at| *at >= sent);
    }

    /// Returns true when a run has ended, even if a poll sent earlier reports it as running.
    pub fn has_ended_run(&self, id: RunId) -> bool {
        self.ended_runs.contains_key(&id)
    }

    /// Removes a run and frees its resources.
    pub fn remove_run(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.allocated = subtract(self.allocated, run.allocated());
        Some(run)
    }

    /// Changes a run and updates the allocated resources.
    pub fn update_run<T>(&mut self, id: RunId, change: impl FnOnce(&mut Run) -> T) -> Option<T> {
        let run = self.runs.get_mut(&id)?;
        let before = run.allocated();
        let result = change(run);
        let after = run.allocated();
        self.allocated = add(subtract(self.allocated, before), after);
        Some(result)
    }

    /// Returns true when the allocated resources do not exceed the worker's capacity.
    pub fn is_within_capacity(&self) -> bool {
        let allocated = self.allocated;
        self.shape.has_capacity_for(allocated)
    }

    /// Records a request that was answered after `micros` microseconds.
    pub fn record_answered_request(&mut self, micros: u64) {
        self.consecutive_failures = 0;
        self.ejections = 0;
        let value = micros as f64;
        self.mean_latency = match self.mean_latency {
            0.0 => value,
            old => old + WORKER_LATENCY_WEIGHT * (value - old),
        };
    }

    /// Records a failed request; returns true when that ejects the worker.
    pub fn record_failed_request(&mut self, now: Millis) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECTION_FAILURES || self.ejected_until > now {
            return false;
        }
        let duration = FIRST_EJECTION << self.ejections.min(10);
        self.ejected_until = now + duration.min(EJECTION_LIMIT);
        self.ejections += 1;
        self.consecutive_failures = EJECTION_FAILURES - 1;
        true
    }

    /// Returns the runs that may be throttled or stopped.
    pub fn running_runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(|r| r.phase == RunPhase::Running)
    }
}

impl Run {
    /// Returns the resources that the run holds at its present share of its cores.
    pub fn allocated(&self) -> Size {
        self.size.with_core_share(self.share.max(self.share_floor))
    }
}

fn add(a: Size, b: Size) -> Size {
    Size {
        cores: a.cores + b.cores,
        memory: a.memory + b.memory,
        accelerators: a.accelerators + b.accelerators,
    }
}

fn subtract(a: Size, b: Size) -> Size {
    Size {
        cores: a.cores - b.cores,
        memory: a.memory - b.memory,
        accelerators: a.accelerators - b.accelerators,
    }
}
