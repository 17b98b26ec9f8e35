//! The room of one worker, as its cell's owner counts it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::runs::{Run, RunId, RunPhase};
use super::{Shape, Size};
use crate::invariant::{self, Rule};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Weight of a new measurement in a moving average.
const SMOOTH: f64 = 0.1;
/// Failures in a row after which a worker is ejected.
const STRIKES: u32 = 3;
/// Milliseconds of a first ejection; each further one doubles it.
const EJECTION: Millis = 1_000;
/// Longest ejection in milliseconds.
const EJECTION_LIMIT: Millis = 60_000;

/// A request in progress on a worker.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// Service that is asked for.
    pub service: Name,
    /// Size that is reserved.
    pub size: Size,
    /// When it was sent, in microseconds.
    pub sent_us: u64,
    /// Set when its answer was lost: when the worker would not start it any more.
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
    /// What it has.
    pub shape: Shape,
    /// True once it answered under this epoch and while it keeps answering.
    pub responsive: bool,
    /// True when it takes nothing new.
    pub leaving: bool,
    /// True while the list of live workers names it.
    pub listed: bool,
    /// Requests sent under this epoch, by ticket.
    pub requests: BTreeMap<u64, ActiveRequest>,
    /// Requests of earlier epochs that still run.
    pub foreign_requests: u32,
    /// Runs that may be running.
    pub runs: BTreeMap<RunId, Run>,
    /// Runs that have ended, and when that was learned: an exchange sent
    /// before may still report them as running.
    pub ended_runs: BTreeMap<RunId, Millis>,
    /// Runs whose end is recorded and may be forgotten by the worker.
    pub acks: Vec<RunId>,
    /// Moving average of answer times in microseconds; 0 before the first.
    pub mean_latency: f64,
    /// When an exchange with it was last sent.
    pub last_poll: Option<Millis>,
    /// True while an exchange is in progress.
    pub polling: bool,
    /// Until when its last answer is relied on.
    pub valid_until: Millis,
    /// When it began to answer after a silence: what was sent to it before may
    /// take effect for some time more.
    pub responsive_since: Millis,
    /// When a renewal that it may have got was last sent.
    pub lease_renewed: Millis,
    /// When the renewal in progress was sent, or 0.
    pub renewal_sent: Millis,
    /// True when it says itself that it takes nothing new.
    pub retiring: bool,
    /// Request failures in a row.
    pub consecutive_failures: u32,
    /// Ejections without a success between.
    pub ejections: u32,
    /// No request goes there before this time.
    pub ejected_until: Millis,
    /// Jobs whose runs failed there, without a success between.
    pub failed_jobs: Vec<Name>,
    /// No task goes there before this time.
    pub quarantined_until: Millis,
    /// Quarantines without a success between.
    pub quarantines: u32,
    /// When a run there was last evicted.
    pub last_eviction: Millis,
    /// When a run there was last throttled or released.
    pub last_throttle: Millis,
    /// Cores and memory in use, kept in step with `active` and `runs`.
    allocated: Size,
}

impl Worker {
    /// Returns a worker that has not answered yet, and so counts as full.
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

    /// Returns true when anything new may go there: its last answer is young
    /// enough to be relied on, and it is not leaving.
    pub fn accepts_work(&self, now: Millis) -> bool {
        self.responsive && now < self.valid_until && !self.leaving && !self.retiring && self.listed
    }

    /// Returns true unless the worker is leaving and so gets nothing new.
    pub fn check_stays(&self) -> bool {
        let stays = self.listed && !self.leaving && !self.retiring;
        let detail = || format!("{} is leaving and was chosen", self.name);
        invariant::check(stays, Rule::Leaving, detail)
    }

    /// Returns the slots in use, those of earlier epochs included.
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

    /// Returns true when the rest of the room holds `size`.
    pub fn has_free(&self, size: Size) -> bool {
        self.allocated.cores + size.cores <= self.shape.cores
            && self.allocated.memory + size.memory <= self.shape.memory
            && self.allocated.accelerators + size.accelerators <= self.shape.accelerators
    }

    /// Returns true when more than half of the slots are in use.
    pub fn is_busy(&self) -> bool {
        self.used_slots() * 2 > self.shape.slots
    }

    /// Adds a request.
    pub fn add_request(&mut self, ticket: u64, active: ActiveRequest) {
        self.allocated = plus(self.allocated, active.size);
        self.requests.insert(ticket, active);
        let held = self.used_slots() <= self.shape.slots && self.is_within_capacity();
        let detail = || format!("{} has {} requests", self.name, self.used_slots());
        invariant::check(held, Rule::Room, detail);
    }

    /// Removes a request.
    pub fn remove_request(&mut self, ticket: u64) -> Option<ActiveRequest> {
        let active = self.requests.remove(&ticket)?;
        self.allocated = minus(self.allocated, active.size);
        Some(active)
    }

    /// Adds a run.
    pub fn add_run(&mut self, run: Run) {
        self.allocated = plus(self.allocated, run.allocated());
        self.runs.insert(run.id, run);
    }

    /// Removes a run that has ended.
    pub fn end_run(&mut self, now: Millis, id: RunId) -> Option<Run> {
        self.ended_runs.insert(id, now);
        self.remove_run(id)
    }

    /// Forgets ended runs that no exchange sent after `sent` can report.
    pub fn forget_ended_runs(&mut self, sent: Millis) {
        self.ended_runs.retain(|_, at| *at >= sent);
    }

    /// Returns true when a run had ended before an exchange was answered.
    pub fn has_ended_run(&self, id: RunId) -> bool {
        self.ended_runs.contains_key(&id)
    }

    /// Takes a run out of the count.
    pub fn remove_run(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.allocated = minus(self.allocated, run.allocated());
        Some(run)
    }

    /// Changes a run and keeps the count of room in step.
    pub fn update_run<T>(&mut self, id: RunId, change: impl FnOnce(&mut Run) -> T) -> Option<T> {
        let run = self.runs.get_mut(&id)?;
        let before = run.allocated();
        let result = change(run);
        let after = run.allocated();
        self.allocated = plus(minus(self.allocated, before), after);
        Some(result)
    }

    /// Returns true while what is counted is within the worker's shape.
    pub fn is_within_capacity(&self) -> bool {
        let used = self.allocated;
        self.shape.has_capacity_for(used)
    }

    /// Takes in that a request was answered after `micros`.
    pub fn record_answer(&mut self, micros: u64) {
        self.consecutive_failures = 0;
        self.ejections = 0;
        let value = micros as f64;
        self.mean_latency = match self.mean_latency {
            0.0 => value,
            old => old + SMOOTH * (value - old),
        };
    }

    /// Takes in that a request failed there; true ejects the worker.
    pub fn record_failure(&mut self, now: Millis) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < STRIKES || self.ejected_until > now {
            return false;
        }
        let span = EJECTION << self.ejections.min(10);
        self.ejected_until = now + span.min(EJECTION_LIMIT);
        self.ejections += 1;
        self.consecutive_failures = STRIKES - 1;
        true
    }

    /// Returns runs that batch could be made to yield with.
    pub fn running_runs(&self) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(|r| r.phase == RunPhase::Running)
    }
}

impl Run {
    /// Returns the size that the run holds, its throttle taken into account.
    pub fn allocated(&self) -> Size {
        self.size.with_core_share(self.share.max(self.share_floor))
    }
}

fn plus(a: Size, b: Size) -> Size {
    Size {
        cores: a.cores + b.cores,
        memory: a.memory + b.memory,
        accelerators: a.accelerators + b.accelerators,
    }
}

fn minus(a: Size, b: Size) -> Size {
    Size {
        cores: a.cores - b.cores,
        memory: a.memory - b.memory,
        accelerators: a.accelerators - b.accelerators,
    }
}
