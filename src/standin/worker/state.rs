//! State of the stand-in worker: enforces its capacity, its leases and its fencing, and counts the
//! violations that a scheduler must not cause.

use std::collections::{BTreeMap, HashMap};

use crate::cell::{RunId, RunReport, RunState, Sample, Shape, Size};
use crate::constants::PER_MILLE;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::hash::stable;

/// Milliseconds after which a measurement is reported.
pub const SAMPLE_DELAY: Millis = 500;

/// A run on the worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    /// Id of the run.
    pub id: RunId,
    /// Job of the task.
    pub job: Name,
    /// Number of the task within the job.
    pub task: u32,
    /// Kind of work, which determines the interference.
    pub kind: Name,
    /// Requested size.
    pub size: Size,
    /// Thousandths of its requested cores that the run may use.
    pub share: u32,
    /// State of the run.
    pub state: RunState,
    /// Total work in milliseconds.
    pub work: Millis,
    /// Work done in milliseconds.
    pub done: f64,
    /// Work saved by a checkpoint, in milliseconds.
    pub saved: Millis,
    /// When the lease of the run ends.
    pub lease_end: Millis,
}

impl WorkerRun {
    /// Returns the size that the run occupies at its present throttle.
    fn allocated(&self) -> Size {
        self.size.with_core_share(self.share)
    }
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// Ticket that the sending box has assigned.
    pub ticket: u64,
    /// Epoch under which it was sent.
    pub epoch: u64,
    /// Service that handles the request.
    pub service: Name,
}

/// Counters of a worker.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that were admitted.
    pub requests: u64,
    /// Most requests in progress at the same time.
    pub peak_requests: u32,
    /// Starts and requests refused for lack of capacity.
    pub capacity_refusals: u64,
    /// Calls refused for a lower epoch, an old round or a time limit that has passed.
    pub fenced_calls: u64,
    /// Starts of a task that was already running here.
    pub duplicate_starts: u64,
    /// Runs started.
    pub starts: u64,
    /// Number of executions of each request, by its id.
    pub request_ids: HashMap<Name, u32>,
}

/// Why a worker refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The call has a lower epoch or an old round, or is past its time.
    Fenced,
    /// The worker has no capacity left.
    Full,
    /// The worker accepts no new work.
    Leaving,
    /// The worker does not have the run.
    Missing,
}

/// Faults that a trial can set.
#[derive(Clone, Debug)]
pub struct Faults {
    /// True when every run fails soon after its start.
    pub fail_runs: bool,
    /// Milliseconds added to each request.
    pub request_delay: Millis,
    /// False for a worker that accepts calls whatever their epoch, round or time.
    pub fencing: bool,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Capacity.
    pub shape: Shape,
    /// Faults that were set.
    pub faults: Faults,
    /// True when the worker accepts no new work.
    pub leaving: bool,
    /// Highest epoch seen.
    pub epoch: u64,
    /// Highest round seen under that epoch.
    pub round: u64,
    /// Active runs, and ended runs that have not been acknowledged.
    pub runs: BTreeMap<RunId, WorkerRun>,
    /// Requests in progress.
    pub active_requests: Vec<ActiveRequest>,
    /// Counters.
    pub counts: Counts,
    samples: Vec<(Millis, Sample)>,
    advanced_to: Millis,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// Epoch of the owner that sent the order.
    pub epoch: u64,
    /// Round of the owner's last poll.
    pub round: u64,
    /// Milliseconds of lease from receipt.
    pub lease: Millis,
    /// Milliseconds since the Unix epoch after which the run must not start.
    pub not_after: Millis,
    /// Run to start.
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

    /// Returns by how much a culprit's kind of work slows down a victim's, as a share of the
    /// victim's time alone. The scheduler has to learn these true values.
    pub fn interference(victim: &str, culprit: &str) -> f64 {
        let hash = stable(&[victim, culprit]) % 100;
        match hash {
            0..=49 => 0.02,
            50..=79 => 0.2,
            _ => 1.0,
        }
    }

    /// Returns the slowdown of a service by the present runs, as a factor of at least 1.
    pub fn slowdown(&self, service: &str) -> f64 {
        let running = self.running_runs();
        let interference = running.map(|r| {
            Self::interference(service, &r.kind) * f64::from(r.share) / f64::from(PER_MILLE)
        });
        1.0 + interference.sum::<f64>()
    }

    fn running_runs(&self) -> impl Iterator<Item = &WorkerRun> {
        self.runs.values().filter(|r| r.state == RunState::Running)
    }

    /// Advances time: runs make progress, and runs whose lease has ended are stopped.
    pub fn advance(&mut self, now: Millis) {
        let from = self.advanced_to;
        self.advanced_to = now.max(from);
        let fail = self.faults.fail_runs;
        for run in self.runs.values_mut() {
            if run.state != RunState::Running {
                continue;
            }
            let end = now.min(run.lease_end);
            let span = end.saturating_sub(from) as f64;
            run.done += span * f64::from(run.share) / f64::from(PER_MILLE);
            if fail && run.done > run.saved as f64 + 20.0 {
                run.state = RunState::Failed;
            } else if run.done >= run.work as f64 {
                run.state = RunState::Finished;
                run.done = run.work as f64;
            } else if now >= run.lease_end {
                run.state = RunState::Stopped;
            }
        }
    }

    /// Returns the cores, memory and accelerators in use.
    fn allocated(&self) -> Size {
        let mut allocated = Size::default();
        for run in self.running_runs() {
            let size = run.allocated();
            allocated.cores += size.cores;
            allocated.memory += size.memory;
            allocated.accelerators += size.accelerators;
        }
        allocated
    }

    /// Adopts the epoch of a call if it is higher. Returns true, and counts the call, if it is
    /// lower.
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

    /// Renews the leases of all runs, removes acknowledged ones and returns reports of the others;
    /// `None` if the epoch is refused.
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
        let time_left = sync.not_after.saturating_sub(wall);
        for run in self.runs.values_mut() {
            if run.state == RunState::Running && sync.lease > 0 {
                run.lease_end = run.lease_end.max(now + sync.lease.min(time_left));
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
            .running_runs()
            .any(|r| r.job == start.run.job && r.task == start.run.task);
        self.counts.duplicate_starts += u64::from(duplicate);
        self.counts.starts += 1;
        let mut run = start.run;
        run.lease_end = now + start.lease;
        self.runs.insert(run.id, run);
        Ok(())
    }

    /// Stops a run and returns its saved work in milliseconds.
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
        // The next report contains the outcome of a run that has finished or failed.
        match run.state {
            RunState::Stopped => Ok(run.saved),
            _ => Err(Refusal::Missing),
        }
    }

    /// Sets the thousandths of its requested cores that a run may use.
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
        run.share = share.min(PER_MILLE);
        Ok(())
    }

    /// Admits a request, or refuses it before it runs.
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

    /// Counts an execution of the request with this id.
    pub fn record_request_id(&mut self, id: Name) {
        *self.counts.request_ids.entry(id).or_default() += 1;
    }

    /// Removes a request that has finished.
    pub fn finish_request(&mut self, ticket: u64, epoch: u64) {
        let index = self
            .active_requests
            .iter()
            .position(|a| a.ticket == ticket && a.epoch == epoch);
        if let Some(index) = index {
            self.active_requests.swap_remove(index);
        }
    }

    /// Returns the tickets of requests in progress under the present epoch, and the number of
    /// requests under others.
    pub fn request_tickets(&self) -> (Vec<u64>, u32) {
        let own = self
            .active_requests
            .iter()
            .filter(|a| a.epoch == self.epoch);
        let tickets: Vec<u64> = own.map(|a| a.ticket).collect();
        let foreign = self.active_requests.len() - tickets.len();
        (tickets, foreign as u32)
    }

    /// Records a measurement of each service with requests in progress.
    fn record_samples(&mut self, now: Millis) {
        let mut services: Vec<Name> = self
            .active_requests
            .iter()
            .map(|a| a.service.clone())
            .collect();
        services.sort();
        services.dedup();
        let others: Vec<Name> = self.running_runs().map(|r| r.kind.clone()).collect();
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

    /// Removes and returns the measurements that are old enough to be reported, with their ages.
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

/// A poll by the owner.
#[derive(Clone, Debug)]
pub struct SyncRequest {
    /// Epoch of the owner that sent the poll.
    pub epoch: u64,
    /// Number of the poll under this epoch.
    pub round: u64,
    /// Milliseconds of lease from receipt; 0 renews no lease.
    pub lease: Millis,
    /// Milliseconds since the Unix epoch after which no lease is renewed.
    pub not_after: Millis,
    /// Ended runs that are acknowledged and may be removed.
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
