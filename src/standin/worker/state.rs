//! What a worker does, as plain state: it holds its room, its leases and its
//! fence, and it counts on its own what must never happen.

use std::collections::{BTreeMap, HashMap};

use crate::cell::{RunId, RunReport, RunState, Sample, Shape, Size};
use crate::constants::WHOLE;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::hash::stable;

/// Age in milliseconds that measurements have when they are reported.
pub const SAMPLE_DELAY: Millis = 500;

/// A run on the worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    /// Number of the run.
    pub id: RunId,
    /// Job of the task.
    pub job: Name,
    /// Number of the task within the job.
    pub task: u32,
    /// Kind of work.
    pub kind: Name,
    /// Size that was asked for.
    pub size: Size,
    /// Thousandths of its cores that it may use.
    pub share: u32,
    /// How it is.
    pub state: RunState,
    /// Milliseconds of work to do in all.
    pub work: Millis,
    /// Milliseconds of work done.
    pub done: f64,
    /// Milliseconds of work kept by a checkpoint.
    pub saved: Millis,
    /// When its lease ends.
    pub lease: Millis,
}

impl WorkerRun {
    /// Returns the size that the run holds, its throttle taken into account.
    fn allocated(&self) -> Size {
        self.size.with_core_share(self.share)
    }
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// Ticket by the sending box.
    pub ticket: u64,
    /// Epoch under which it was sent.
    pub epoch: u64,
    /// Service that runs it.
    pub service: Name,
}

/// What the worker counted.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that were run.
    pub requests: u64,
    /// Most requests that were in progress at once.
    pub peak_requests: u32,
    /// Starts and requests beyond the room.
    pub capacity_refusals: u64,
    /// Calls refused for a lower epoch, an old round or their time.
    pub fenced_calls: u64,
    /// Starts of a task that was running here already.
    pub duplicate_starts: u64,
    /// Runs started.
    pub starts: u64,
    /// Ids of requests that were run, with how often.
    pub request_ids: HashMap<Name, u32>,
}

/// Why the worker refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A lower epoch, an old round or past its time.
    Fenced,
    /// No room.
    Full,
    /// It takes nothing new.
    Leaving,
    /// No such run.
    Missing,
}

/// Behaviour that a trial can set.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Every task fails soon after its start.
    pub fail_runs: bool,
    /// Milliseconds added to each request.
    pub request_delay: Millis,
    /// False for a worker that fences nothing.
    pub fencing: bool,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it has.
    pub shape: Shape,
    /// Behaviour that was set.
    pub faults: Faults,
    /// True when it takes nothing new.
    pub leaving: bool,
    /// Highest epoch seen.
    pub epoch: u64,
    /// Highest round seen under that epoch.
    pub round: u64,
    /// Runs that go on, and ended ones that are not acknowledged.
    pub runs: BTreeMap<RunId, WorkerRun>,
    /// Requests in progress.
    pub active_requests: Vec<ActiveRequest>,
    /// What was counted.
    pub counts: Counts,
    samples: Vec<(Millis, Sample)>,
    advanced_to: Millis,
}

/// A start as asked for.
#[derive(Clone, Debug)]
pub struct Start {
    /// Epoch of the asking owner.
    pub epoch: u64,
    /// Round of its last exchange.
    pub round: u64,
    /// Milliseconds of lease from receipt.
    pub lease: Millis,
    /// Milliseconds since the Unix epoch beyond which it must not start.
    pub not_after: Millis,
    /// The run.
    pub run: WorkerRun,
}

impl Worker {
    /// Returns an idle worker.
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            faults: Faults {
                fail_runs: false,
                request_delay: 0,
                fencing: true,
            },
            leaving: false,
            epoch: 0,
            round: 0,
            runs: BTreeMap::new(),
            active_requests: Vec::new(),
            counts: Counts::default(),
            samples: Vec::new(),
            advanced_to: 0,
        }
    }

    /// Returns the slowdown above 1 that one kind causes another; the truth
    /// that the scheduler has to learn.
    pub fn interference(victim: &str, culprit: &str) -> f64 {
        let hash = stable(&[victim, culprit]) % 100;
        match hash {
            0..=49 => 0.02,
            50..=79 => 0.2,
            _ => 1.0,
        }
    }

    /// Returns how many times slower a service is now than alone.
    pub fn slowdown(&self, service: &str) -> f64 {
        let running = self.running();
        let interference = running
            .map(|t| Self::interference(service, &t.kind) * f64::from(t.share) / f64::from(WHOLE));
        1.0 + interference.sum::<f64>()
    }

    fn running(&self) -> impl Iterator<Item = &WorkerRun> {
        self.runs.values().filter(|r| r.state == RunState::Running)
    }

    /// Lets time pass: work is done, and lapsed leases end their runs.
    pub fn advance(&mut self, now: Millis) {
        let from = self.advanced_to;
        self.advanced_to = now.max(from);
        let fail = self.faults.fail_runs;
        for run in self.runs.values_mut() {
            if run.state != RunState::Running {
                continue;
            }
            let end = now.min(run.lease);
            let span = end.saturating_sub(from) as f64;
            run.done += span * f64::from(run.share) / f64::from(WHOLE);
            if fail && run.done > run.saved as f64 + 20.0 {
                run.state = RunState::Failed;
            } else if run.done >= run.work as f64 {
                run.state = RunState::Finished;
                run.done = run.work as f64;
            } else if now >= run.lease {
                run.state = RunState::Stopped;
            }
        }
    }

    /// Returns the slots, cores and memory in use.
    fn allocated(&self) -> Size {
        let mut allocated = Size::default();
        for run in self.running() {
            let size = run.allocated();
            allocated.cores += size.cores;
            allocated.memory += size.memory;
            allocated.accelerators += size.accelerators;
        }
        allocated
    }

    fn rejects_epoch(&mut self, epoch: u64) -> bool {
        if epoch < self.epoch && self.faults.fencing {
            self.counts.fenced_calls += 1;
            return true;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.round = 0;
        }
        false
    }

    /// Renews the leases of all runs, forgets acknowledged ones and reports;
    /// `None` refuses a lower epoch.
    pub fn sync(
        &mut self,
        now: Millis,
        wall: Millis,
        sync: &SyncRequest,
    ) -> Option<Vec<RunReport>> {
        self.advance(now);
        if self.rejects_epoch(sync.epoch) {
            return None;
        }
        self.round = self.round.max(sync.round);
        for id in &sync.acks {
            let ended = self
                .runs
                .get(id)
                .is_some_and(|r| r.state != RunState::Running);
            if ended {
                self.runs.remove(id);
            }
        }
        let left = sync.not_after.saturating_sub(wall);
        for run in self.runs.values_mut() {
            if run.state == RunState::Running && sync.lease > 0 {
                run.lease = run.lease.max(now + sync.lease.min(left));
            }
        }
        self.record_samples(now);
        Some(self.runs.values().map(report).collect())
    }

    /// Starts a run.
    pub fn start(&mut self, now: Millis, wall: Millis, start: Start) -> Result<(), Refusal> {
        self.advance(now);
        if self.rejects_epoch(start.epoch) {
            return Err(Refusal::Fenced);
        }
        let late = start.round < self.round || wall > start.not_after;
        if late && self.faults.fencing {
            self.counts.fenced_calls += 1;
            return Err(Refusal::Fenced);
        }
        if self.runs.contains_key(&start.run.id) {
            return Ok(());
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        let allocated = self.allocated();
        let size = start.run.allocated();
        let total = Size {
            cores: allocated.cores + size.cores,
            memory: allocated.memory + size.memory,
            accelerators: allocated.accelerators + size.accelerators,
        };
        if !self.shape.has_capacity_for(total) {
            self.counts.capacity_refusals += 1;
            return Err(Refusal::Full);
        }
        let duplicate = self
            .running()
            .any(|r| r.job == start.run.job && r.task == start.run.task);
        self.counts.duplicate_starts += u64::from(duplicate);
        self.counts.starts += 1;
        let mut run = start.run;
        run.lease = now + start.lease;
        self.runs.insert(run.id, run);
        Ok(())
    }

    /// Stops a run; returns the milliseconds of work that are kept.
    pub fn stop(
        &mut self,
        now: Millis,
        epoch: u64,
        id: RunId,
        checkpoint: bool,
    ) -> Result<Millis, Refusal> {
        self.advance(now);
        if self.rejects_epoch(epoch) {
            return Err(Refusal::Fenced);
        }
        let run = self.runs.get_mut(&id).ok_or(Refusal::Missing)?;
        if run.state == RunState::Running {
            run.state = RunState::Stopped;
            if checkpoint {
                run.saved = run.done as Millis;
            }
        }
        // A run that ended otherwise is told by the next report.
        match run.state {
            RunState::Stopped => Ok(run.saved),
            _ => Err(Refusal::Missing),
        }
    }

    /// Sets the share of its cores that a run may use.
    pub fn throttle(
        &mut self,
        now: Millis,
        epoch: u64,
        id: RunId,
        share: u32,
    ) -> Result<(), Refusal> {
        self.advance(now);
        if self.rejects_epoch(epoch) {
            return Err(Refusal::Fenced);
        }
        let run = self.runs.get_mut(&id).ok_or(Refusal::Missing)?;
        run.share = share.min(WHOLE);
        Ok(())
    }

    /// Takes in a request, or refuses it before it runs.
    pub fn begin_request(
        &mut self,
        now: Millis,
        wall: Millis,
        request: ActiveRequest,
        not_after: Millis,
    ) -> Result<(), Refusal> {
        self.advance(now);
        if self.rejects_epoch(request.epoch) {
            return Err(Refusal::Fenced);
        }
        if wall > not_after && self.faults.fencing {
            self.counts.fenced_calls += 1;
            return Err(Refusal::Fenced);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.active_requests.len() as u32 >= self.shape.slots {
            self.counts.capacity_refusals += 1;
            return Err(Refusal::Full);
        }
        self.active_requests.push(request);
        self.counts.requests += 1;
        self.counts.peak_requests = self
            .counts
            .peak_requests
            .max(self.active_requests.len() as u32);
        Ok(())
    }

    /// Records the id of a request that runs.
    pub fn record_request_id(&mut self, id: Name) {
        *self.counts.request_ids.entry(id).or_default() += 1;
    }

    /// Takes in that a request has run.
    pub fn finish_request(&mut self, ticket: u64, epoch: u64) {
        let index = self
            .active_requests
            .iter()
            .position(|a| a.ticket == ticket && a.epoch == epoch);
        if let Some(index) = index {
            self.active_requests.swap_remove(index);
        }
    }

    /// Returns tickets of the present epoch and the number of others.
    pub fn request_tickets(&self) -> (Vec<u64>, u32) {
        let own = self
            .active_requests
            .iter()
            .filter(|a| a.epoch == self.epoch);
        let tickets: Vec<u64> = own.map(|a| a.ticket).collect();
        let foreign = self.active_requests.len() - tickets.len();
        (tickets, foreign as u32)
    }

    fn record_samples(&mut self, now: Millis) {
        let mut services: Vec<Name> = self
            .active_requests
            .iter()
            .map(|a| a.service.clone())
            .collect();
        services.sort();
        services.dedup();
        let others: Vec<Name> = self.running().map(|t| t.kind.clone()).collect();
        let busy = self.active_requests.len() as u32 * 2 > self.shape.slots;
        for service in services {
            let sample = Sample {
                slowdown: self.slowdown(&service),
                kind: service,
                others: others.clone(),
                busy,
            };
            self.samples.push((now, sample));
        }
    }

    /// Returns measurements that are old enough to be reported, with their age.
    pub fn take_due_samples(&mut self, now: Millis) -> Vec<(Millis, Sample)> {
        let ready = self
            .samples
            .iter()
            .take_while(|(at, _)| at + SAMPLE_DELAY <= now)
            .count();
        self.samples
            .drain(..ready)
            .map(|(at, s)| (now - at, s))
            .collect()
    }
}

/// An exchange as asked for.
#[derive(Clone, Debug)]
pub struct SyncRequest {
    /// Epoch of the asking owner.
    pub epoch: u64,
    /// Counts its exchanges.
    pub round: u64,
    /// Milliseconds of lease from receipt; 0 renews nothing.
    pub lease: Millis,
    /// Milliseconds since the Unix epoch beyond which it renews nothing.
    pub not_after: Millis,
    /// Ended runs that may be forgotten.
    pub acks: Vec<RunId>,
}

fn report(run: &WorkerRun) -> RunReport {
    let progress = match run.state {
        RunState::Stopped => run.saved,
        _ => run.done as Millis,
    };
    RunReport {
        id: run.id,
        job: run.job.clone(),
        task: run.task,
        kind: run.kind.clone(),
        size: run.size,
        state: run.state,
        progress,
        share: run.share,
        usage: run.size.cores,
    }
}
