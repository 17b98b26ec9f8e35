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
    pub sent: u64,
    /// Set when its answer was lost: when the worker would not start it any more.
    pub ghost: Option<Millis>,
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
    pub known: bool,
    /// True when it takes nothing new.
    pub leaving: bool,
    /// True while the list of live workers names it.
    pub listed: bool,
    /// Requests sent under this epoch, by ticket.
    pub active: BTreeMap<u64, ActiveRequest>,
    /// Requests of earlier epochs that still run.
    pub foreign: u32,
    /// Runs that may be running.
    pub runs: BTreeMap<RunId, Run>,
    /// Runs that have ended, and when that was learned: an exchange sent
    /// before may still report them as running.
    pub ended: BTreeMap<RunId, Millis>,
    /// Runs whose end is recorded and may be forgotten by the worker.
    pub acks: Vec<RunId>,
    /// Moving average of answer times in microseconds; 0 before the first.
    pub latency: f64,
    /// When an exchange with it was last sent.
    pub asked: Option<Millis>,
    /// True while an exchange is in progress.
    pub syncing: bool,
    /// Until when its last answer is relied on.
    pub trusted: Millis,
    /// When it began to answer after a silence: what was sent to it before may
    /// take effect for some time more.
    pub awake: Millis,
    /// When a renewal that it may have got was last sent.
    pub renewed: Millis,
    /// When the renewal in progress was sent, or 0.
    pub renewing: Millis,
    /// True when it says itself that it takes nothing new.
    pub retiring: bool,
    /// Request failures in a row.
    pub strikes: u32,
    /// Ejections without a success between.
    pub ejections: u32,
    /// No request goes there before this time.
    pub ejected: Millis,
    /// Jobs whose runs failed there, without a success between.
    pub failing: Vec<Name>,
    /// No task goes there before this time.
    pub quarantine: Millis,
    /// Quarantines without a success between.
    pub quarantines: u32,
    /// When a run there was last evicted.
    pub evicted: Millis,
    /// When a run there was last throttled or released.
    pub throttled: Millis,
    /// Cores and memory in use, kept in step with `active` and `runs`.
    used: Size,
}

impl Worker {
    /// Returns a worker that has not answered yet, and so counts as full.
    pub fn new(name: Name, http: SocketAddr, rpc: SocketAddr) -> Self {
        Self {
            name,
            http,
            rpc,
            shape: Shape::default(),
            known: false,
            leaving: false,
            listed: true,
            active: BTreeMap::new(),
            foreign: 0,
            runs: BTreeMap::new(),
            ended: BTreeMap::new(),
            acks: Vec::new(),
            latency: 0.0,
            asked: None,
            syncing: false,
            trusted: 0,
            awake: 0,
            renewed: 0,
            renewing: 0,
            retiring: false,
            strikes: 0,
            ejections: 0,
            ejected: 0,
            failing: Vec::new(),
            quarantine: 0,
            quarantines: 0,
            evicted: 0,
            throttled: 0,
            used: Size::default(),
        }
    }

    /// Returns true when anything new may go there: its last answer is young
    /// enough to be relied on, and it is not leaving.
    pub fn open(&self, now: Millis) -> bool {
        self.known && now < self.trusted && !self.leaving && !self.retiring && self.listed
    }

    /// Returns true unless the worker is leaving and so gets nothing new.
    pub fn stays(&self) -> bool {
        let stays = self.listed && !self.leaving && !self.retiring;
        let detail = || format!("{} is leaving and was chosen", self.name);
        invariant::check(stays, Rule::Leaving, detail)
    }

    /// Returns the slots in use, those of earlier epochs included.
    pub fn busy(&self) -> u32 {
        self.active.len() as u32 + self.foreign
    }

    /// Returns the free slots.
    pub fn slots(&self) -> u32 {
        self.shape.slots.saturating_sub(self.busy())
    }

    /// Returns the free cores in thousandths.
    pub fn cores(&self) -> u32 {
        self.shape.cores.saturating_sub(self.used.cores)
    }

    /// Returns true when the rest of the room holds `size`.
    pub fn fits(&self, size: Size) -> bool {
        self.used.cores + size.cores <= self.shape.cores
            && self.used.memory + size.memory <= self.shape.memory
            && self.used.accelerators + size.accelerators <= self.shape.accelerators
    }

    /// Returns true when more than half of the slots are in use.
    pub fn crowded(&self) -> bool {
        self.busy() * 2 > self.shape.slots
    }

    /// Adds a request.
    pub fn add(&mut self, ticket: u64, active: ActiveRequest) {
        self.used = plus(self.used, active.size);
        self.active.insert(ticket, active);
        let held = self.busy() <= self.shape.slots && self.within();
        let detail = || format!("{} has {} requests", self.name, self.busy());
        invariant::check(held, Rule::Room, detail);
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: u64) -> Option<ActiveRequest> {
        let active = self.active.remove(&ticket)?;
        self.used = minus(self.used, active.size);
        Some(active)
    }

    /// Adds a run.
    pub fn hold(&mut self, run: Run) {
        self.used = plus(self.used, run.held());
        self.runs.insert(run.id, run);
    }

    /// Removes a run that has ended.
    pub fn free(&mut self, now: Millis, id: RunId) -> Option<Run> {
        self.ended.insert(id, now);
        self.drop_run(id)
    }

    /// Forgets ended runs that no exchange sent after `sent` can report.
    pub fn forget_ended(&mut self, sent: Millis) {
        self.ended.retain(|_, at| *at >= sent);
    }

    /// Returns true when a run had ended before an exchange was answered.
    pub fn has_ended(&self, id: RunId) -> bool {
        self.ended.contains_key(&id)
    }

    /// Takes a run out of the count.
    pub fn drop_run(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.used = minus(self.used, run.held());
        Some(run)
    }

    /// Changes a run and keeps the count of room in step.
    pub fn change<T>(&mut self, id: RunId, change: impl FnOnce(&mut Run) -> T) -> Option<T> {
        let run = self.runs.get_mut(&id)?;
        let before = run.held();
        let result = change(run);
        let after = run.held();
        self.used = plus(minus(self.used, before), after);
        Some(result)
    }

    /// Returns true while what is counted is within the worker's shape.
    pub fn within(&self) -> bool {
        let used = self.used;
        self.shape.holds(used)
    }

    /// Takes in that a request was answered after `micros`.
    pub fn answered(&mut self, micros: u64) {
        self.strikes = 0;
        self.ejections = 0;
        let value = micros as f64;
        self.latency = match self.latency {
            0.0 => value,
            old => old + SMOOTH * (value - old),
        };
    }

    /// Takes in that a request failed there; true ejects the worker.
    pub fn failed(&mut self, now: Millis) -> bool {
        self.strikes += 1;
        if self.strikes < STRIKES || self.ejected > now {
            return false;
        }
        let span = EJECTION << self.ejections.min(10);
        self.ejected = now + span.min(EJECTION_LIMIT);
        self.ejections += 1;
        self.strikes = STRIKES - 1;
        true
    }

    /// Returns runs that batch could be made to yield with.
    pub fn running(&self) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(|r| r.phase == RunPhase::Running)
    }
}

impl Run {
    /// Returns the size that the run holds, its throttle taken into account.
    pub fn held(&self) -> Size {
        self.size.at(self.share.max(self.floor))
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
