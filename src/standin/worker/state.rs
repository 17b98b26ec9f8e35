//! What a worker does, as plain state: it holds its room, its leases and its
//! fence, and it counts on its own what must never happen.

use std::collections::{BTreeMap, HashMap};

use crate::cell::{RunId, RunReport, RunState, Sample, Shape, Size};
use crate::constants::WHOLE;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::hash::stable;

/// Age in milliseconds that measurements have when they are reported.
pub const LAG: Millis = 500;

/// A run on the worker.
#[derive(Clone, Debug)]
pub struct Task {
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

impl Task {
    /// Returns the size that the run holds, its throttle taken into account.
    fn held(&self) -> Size {
        self.size.with_core_share(self.share)
    }
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Active {
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
    pub peak: u32,
    /// Starts and requests beyond the room.
    pub overloads: u64,
    /// Calls refused for a lower epoch, an old round or their time.
    pub fenced: u64,
    /// Starts of a task that was running here already.
    pub doubled: u64,
    /// Runs started.
    pub starts: u64,
    /// Ids of requests that were run, with how often.
    pub ids: HashMap<Name, u32>,
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
    pub fail: bool,
    /// Milliseconds added to each request.
    pub slow: Millis,
    /// False for a worker that fences nothing.
    pub fence: bool,
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
    pub tasks: BTreeMap<RunId, Task>,
    /// Requests in progress.
    pub active: Vec<Active>,
    /// What was counted.
    pub counts: Counts,
    samples: Vec<(Millis, Sample)>,
    at: Millis,
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
    pub task: Task,
}

impl Worker {
    /// Returns an idle worker.
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            faults: Faults {
                fail: false,
                slow: 0,
                fence: true,
            },
            leaving: false,
            epoch: 0,
            round: 0,
            tasks: BTreeMap::new(),
            active: Vec::new(),
            counts: Counts::default(),
            samples: Vec::new(),
            at: 0,
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

    fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().filter(|t| t.state == RunState::Running)
    }

    /// Lets time pass: work is done, and lapsed leases end their runs.
    pub fn advance(&mut self, now: Millis) {
        let from = self.at;
        self.at = now.max(from);
        let fail = self.faults.fail;
        for task in self.tasks.values_mut() {
            if task.state != RunState::Running {
                continue;
            }
            let end = now.min(task.lease);
            let span = end.saturating_sub(from) as f64;
            task.done += span * f64::from(task.share) / f64::from(WHOLE);
            if fail && task.done > task.saved as f64 + 20.0 {
                task.state = RunState::Failed;
            } else if task.done >= task.work as f64 {
                task.state = RunState::Finished;
                task.done = task.work as f64;
            } else if now >= task.lease {
                task.state = RunState::Stopped;
            }
        }
    }

    /// Returns the slots, cores and memory in use.
    fn used(&self) -> Size {
        let mut used = Size::default();
        for task in self.running() {
            let held = task.held();
            used.cores += held.cores;
            used.memory += held.memory;
            used.accelerators += held.accelerators;
        }
        used
    }

    fn fenced(&mut self, epoch: u64) -> bool {
        if epoch < self.epoch && self.faults.fence {
            self.counts.fenced += 1;
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
    pub fn sync(&mut self, now: Millis, wall: Millis, sync: &Sync) -> Option<Vec<RunReport>> {
        self.advance(now);
        if self.fenced(sync.epoch) {
            return None;
        }
        self.round = self.round.max(sync.round);
        for id in &sync.acks {
            let ended = self
                .tasks
                .get(id)
                .is_some_and(|t| t.state != RunState::Running);
            if ended {
                self.tasks.remove(id);
            }
        }
        let left = sync.not_after.saturating_sub(wall);
        for task in self.tasks.values_mut() {
            if task.state == RunState::Running && sync.lease > 0 {
                task.lease = task.lease.max(now + sync.lease.min(left));
            }
        }
        self.sample(now);
        Some(self.tasks.values().map(report).collect())
    }

    /// Starts a run.
    pub fn start(&mut self, now: Millis, wall: Millis, start: Start) -> Result<(), Refusal> {
        self.advance(now);
        if self.fenced(start.epoch) {
            return Err(Refusal::Fenced);
        }
        let late = start.round < self.round || wall > start.not_after;
        if late && self.faults.fence {
            self.counts.fenced += 1;
            return Err(Refusal::Fenced);
        }
        if self.tasks.contains_key(&start.task.id) {
            return Ok(());
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        let used = self.used();
        let size = start.task.held();
        let total = Size {
            cores: used.cores + size.cores,
            memory: used.memory + size.memory,
            accelerators: used.accelerators + size.accelerators,
        };
        if !self.shape.has_capacity_for(total) {
            self.counts.overloads += 1;
            return Err(Refusal::Full);
        }
        let twin = self
            .running()
            .any(|t| t.job == start.task.job && t.task == start.task.task);
        self.counts.doubled += u64::from(twin);
        self.counts.starts += 1;
        let mut task = start.task;
        task.lease = now + start.lease;
        self.tasks.insert(task.id, task);
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
        if self.fenced(epoch) {
            return Err(Refusal::Fenced);
        }
        let task = self.tasks.get_mut(&id).ok_or(Refusal::Missing)?;
        if task.state == RunState::Running {
            task.state = RunState::Stopped;
            if checkpoint {
                task.saved = task.done as Millis;
            }
        }
        // A run that ended otherwise is told by the next report.
        match task.state {
            RunState::Stopped => Ok(task.saved),
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
        if self.fenced(epoch) {
            return Err(Refusal::Fenced);
        }
        let task = self.tasks.get_mut(&id).ok_or(Refusal::Missing)?;
        task.share = share.min(WHOLE);
        Ok(())
    }

    /// Takes in a request, or refuses it before it runs.
    pub fn begin(
        &mut self,
        now: Millis,
        wall: Millis,
        active: Active,
        not_after: Millis,
    ) -> Result<(), Refusal> {
        self.advance(now);
        if self.fenced(active.epoch) {
            return Err(Refusal::Fenced);
        }
        if wall > not_after && self.faults.fence {
            self.counts.fenced += 1;
            return Err(Refusal::Fenced);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.active.len() as u32 >= self.shape.slots {
            self.counts.overloads += 1;
            return Err(Refusal::Full);
        }
        self.active.push(active);
        self.counts.requests += 1;
        self.counts.peak = self.counts.peak.max(self.active.len() as u32);
        Ok(())
    }

    /// Records the id of a request that runs.
    pub fn record(&mut self, id: Name) {
        *self.counts.ids.entry(id).or_default() += 1;
    }

    /// Takes in that a request has run.
    pub fn finish(&mut self, ticket: u64, epoch: u64) {
        let index = self
            .active
            .iter()
            .position(|a| a.ticket == ticket && a.epoch == epoch);
        if let Some(index) = index {
            self.active.swap_remove(index);
        }
    }

    /// Returns tickets of the present epoch and the number of others.
    pub fn tickets(&self) -> (Vec<u64>, u32) {
        let own = self.active.iter().filter(|a| a.epoch == self.epoch);
        let tickets: Vec<u64> = own.map(|a| a.ticket).collect();
        let foreign = self.active.len() - tickets.len();
        (tickets, foreign as u32)
    }

    fn sample(&mut self, now: Millis) {
        let mut services: Vec<Name> = self.active.iter().map(|a| a.service.clone()).collect();
        services.sort();
        services.dedup();
        let others: Vec<Name> = self.running().map(|t| t.kind.clone()).collect();
        let busy = self.active.len() as u32 * 2 > self.shape.slots;
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
    pub fn late_samples(&mut self, now: Millis) -> Vec<(Millis, Sample)> {
        let ready = self
            .samples
            .iter()
            .take_while(|(at, _)| at + LAG <= now)
            .count();
        self.samples
            .drain(..ready)
            .map(|(at, s)| (now - at, s))
            .collect()
    }
}

/// An exchange as asked for.
#[derive(Clone, Debug)]
pub struct Sync {
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

fn report(task: &Task) -> RunReport {
    let progress = match task.state {
        RunState::Stopped => task.saved,
        _ => task.done as Millis,
    };
    RunReport {
        id: task.id,
        job: task.job.clone(),
        task: task.task,
        kind: task.kind.clone(),
        size: task.size,
        state: task.state,
        progress,
        share: task.share,
        usage: task.size.cores,
    }
}
