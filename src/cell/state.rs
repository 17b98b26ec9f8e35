//! The state of one owned cell.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use super::requests::Queue;
use super::runs::{Run, RunId, RunPhase, RunReport};
use super::shard::JobShard;
use super::worker::Worker;
use super::{Action, Policy, Shape};
use crate::interference::{InterferenceEstimates, Sample};
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::utils::random::Random;

/// Weight of a new measurement in a moving average.
const SMOOTH: f64 = 0.2;
/// Intervals between exchanges for which an answer is relied on.
pub(super) const SILENT: u64 = 3;

/// A worker in the list of live and leaving ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedWorker {
    /// Name of the worker.
    pub name: Name,
    /// Cell to which it belongs: `HALL/RACK`.
    pub cell: Name,
    /// Address of its endpoint.
    pub http: SocketAddr,
    /// Address of its control RPC.
    pub rpc: SocketAddr,
    /// True when it takes nothing new.
    pub leaving: bool,
}

/// A worker's answer to an exchange.
#[derive(Clone, Debug, Default)]
pub struct PollReply {
    /// True when the worker knows a higher epoch.
    pub refused: bool,
    /// What it has.
    pub shape: Shape,
    /// Requests of this epoch in progress.
    pub tickets: Vec<u64>,
    /// Requests of earlier epochs in progress.
    pub foreign_requests: u32,
    /// Runs that go on, and ended ones that are not acknowledged.
    pub runs: Vec<RunReport>,
    /// Late measurements.
    pub samples: Vec<Sample>,
    /// True when it takes nothing new.
    pub leaving: bool,
}

/// An exchange with a worker as it was sent.
#[derive(Clone, Debug)]
pub struct SentPoll {
    /// When it was sent.
    pub sent: Millis,
    /// Its round.
    pub round: u64,
    /// Ends that it acknowledged.
    pub acks: Vec<RunId>,
}

/// How an exchange with a worker ended.
#[derive(Clone, Debug)]
pub enum PollOutcome {
    /// The worker answered.
    Reply(PollReply),
    /// No byte of it left.
    NotSent,
    /// The worker may have got it.
    Lost,
}

/// What a team may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Thousandths of cores in the whole deployment.
    pub cores: u64,
    /// Weight against other teams.
    pub weight: u32,
}

/// Times that a cell needs, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Lease of runs on workers.
    pub run_lease: Millis,
    /// Margin for slow sends and clock drift.
    pub margin: Millis,
    /// Between two exchanges with the same worker.
    pub poll_interval: Millis,
}

/// State of one owned cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Name of the cell.
    pub name: Name,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// True while it takes nothing new, before its release.
    pub leaving: bool,
    /// Settings of the decisions.
    pub policy: Policy,
    /// What teams may use.
    pub quotas: BTreeMap<Name, Quota>,
    /// The cell's part of the deployment's cores, from 0 to 1.
    pub capacity_share: f64,
    /// Workers by name.
    pub workers: BTreeMap<Name, Worker>,
    /// Job shards by key.
    pub shards: BTreeMap<Name, JobShard>,
    /// Versions of the rows of job shards that ended under this epoch.
    pub ended_shards: BTreeMap<Name, u64>,
    /// Tasks evicted under this epoch.
    pub evictions: u64,
    /// Tasks finished under this epoch.
    pub finished_tasks: u64,
    /// Learned interference.
    pub interference: InterferenceEstimates,
    /// Mean answer time of each service in microseconds.
    pub mean_latencies: HashMap<Name, f64>,
    /// When a request to each service last came.
    pub(super) last_requests: BTreeMap<Name, Millis>,
    pub(super) slowdowns: BTreeMap<Name, f64>,
    pub(super) usage_factors: BTreeMap<Name, f64>,
    pub(super) team_cores: BTreeMap<Name, u64>,
    pub(super) queue: Queue,
    pub(super) tickets: BTreeMap<u64, Name>,
    pub(super) random: Random,
    pub(super) next_turn: u64,
    pub(super) run_counter: u64,
    pub(super) poll_round: u64,
    pub(super) hold_until: Millis,
    /// When the job shards were read: what workers told before settled nothing.
    pub(super) loaded_at: Millis,
    pub(super) loaded: bool,
    pub(super) margin: Millis,
    pub(super) timings: Timings,
}

impl Cell {
    /// Returns a cell that was just won; its workers are yet to be asked.
    pub fn new(name: Name, epoch: u64, now: Millis, policy: Policy, timings: Timings) -> Self {
        let random = Random::new(crate::utils::hash::stable(&[&name]) ^ epoch);
        Self {
            name,
            epoch,
            leaving: false,
            policy,
            quotas: BTreeMap::new(),
            capacity_share: 1.0,
            workers: BTreeMap::new(),
            shards: BTreeMap::new(),
            ended_shards: BTreeMap::new(),
            evictions: 0,
            finished_tasks: 0,
            interference: InterferenceEstimates::default(),
            mean_latencies: HashMap::new(),
            last_requests: BTreeMap::new(),
            slowdowns: BTreeMap::new(),
            usage_factors: BTreeMap::new(),
            team_cores: BTreeMap::new(),
            queue: Queue::default(),
            tickets: BTreeMap::new(),
            random,
            next_turn: 0,
            run_counter: 0,
            poll_round: 0,
            hold_until: now + timings.run_lease + timings.margin,
            loaded_at: now,
            loaded: false,
            margin: timings.margin,
            timings,
        }
    }

    /// Sets the list of the cell's workers and those drained by operators.
    pub fn set_workers(&mut self, places: &[ListedWorker], drained: &BTreeSet<Name>) {
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        for place in places.iter().filter(|p| p.cell == self.name) {
            let worker = self
                .workers
                .entry(place.name.clone())
                .or_insert_with(|| Worker::new(place.name.clone(), place.http, place.rpc));
            let moved = worker.rpc != place.rpc || worker.http != place.http;
            if moved && worker.runs.is_empty() && worker.requests.is_empty() {
                *worker = Worker::new(place.name.clone(), place.http, place.rpc);
            }
            worker.listed = true;
            worker.leaving = place.leaving || drained.contains(&place.name);
        }
        self.workers
            .retain(|_, w| w.listed || !w.runs.is_empty() || !w.requests.is_empty());
    }

    /// Returns the free slots of all workers.
    pub fn free_slots(&self, now: Millis) -> u32 {
        let open = self.workers.values().filter(|w| w.accepts_work(now));
        open.map(Worker::free_slots).sum()
    }

    /// Returns the free cores of all workers in thousandths.
    pub fn free_cores(&self, now: Millis) -> u64 {
        let open = self.workers.values().filter(|w| w.accepts_work(now));
        open.map(|w| u64::from(w.free_cores())).sum()
    }

    /// Returns the number of requests that wait.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns true when no request waits or is in progress.
    pub fn is_idle(&self) -> bool {
        let sent = self.workers.values().any(|w| !w.requests.is_empty());
        let calling = |w: &Worker| {
            let phases = w.runs.values().map(|r| r.phase);
            phases
                .into_iter()
                .any(|p| p == RunPhase::Starting || p == RunPhase::Stopping)
        };
        let journal = self.shards.values().all(JobShard::is_settled);
        self.queue.len() == 0 && !sent && journal && !self.workers.values().any(calling)
    }

    /// Returns what is due at `now`.
    pub fn tick(&mut self, now: Millis, micros: u64) -> Vec<Action> {
        let mut actions = self.poll_workers(now);
        self.end_lapsed_runs(now);
        self.release_held_tasks(now);
        actions.extend(self.refuse_expired(now));
        actions.extend(self.send_queued(now, micros));
        actions.extend(self.adjust_throttles(now));
        actions.extend(self.start_tasks(now));
        actions
    }

    fn poll_workers(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.poll_round += 1;
        for worker in self.workers.values_mut() {
            let due = worker
                .last_poll
                .is_none_or(|at| now >= at + self.timings.poll_interval);
            if worker.polling || !due {
                continue;
            }
            if now >= worker.valid_until {
                worker.responsive = false;
            }
            worker.polling = true;
            worker.last_poll = Some(now);
            // A silent worker's runs are left to lapse: it is asked, not renewed.
            let renew = worker.responsive;
            if renew {
                worker.renewal_sent = now;
            }
            actions.push(Action::Poll {
                worker: worker.name.clone(),
                rpc: worker.rpc,
                acks: std::mem::take(&mut worker.acks),
                renew,
                round: self.poll_round,
            });
        }
        actions
    }

    /// Takes in how an exchange ended. Returns true when a higher epoch rules the worker.
    pub fn finish_poll(
        &mut self,
        now: Millis,
        micros: u64,
        name: &Name,
        asked: SentPoll,
        exchange: PollOutcome,
    ) -> (bool, Vec<Action>) {
        let SentPoll { sent, acks, .. } = asked;
        let Some(worker) = self.workers.get_mut(name) else {
            return (false, Vec::new());
        };
        worker.polling = false;
        let renewing = std::mem::take(&mut worker.renewal_sent);
        if !matches!(exchange, PollOutcome::NotSent) {
            worker.lease_renewed = worker.lease_renewed.max(renewing);
        }
        let PollOutcome::Reply(reply) = exchange else {
            worker.acks.extend(acks);
            return (false, Vec::new());
        };
        if reply.refused {
            worker.responsive = false;
            return (true, Vec::new());
        }
        if !worker.responsive || now >= worker.valid_until {
            worker.responsive_since = now;
        }
        worker.valid_until = sent + self.timings.poll_interval * SILENT;
        worker.responsive = true;
        worker.shape = reply.shape;
        worker.retiring = reply.leaving;
        worker.foreign_requests = reply.foreign_requests;
        let gone: Vec<u64> = worker
            .requests
            .iter()
            .filter(|(ticket, a)| {
                a.start_deadline.is_some_and(|g| sent > g) && !reply.tickets.contains(ticket)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in gone {
            worker.remove_request(ticket);
        }
        let missing = absent(worker, sent, self.margin, &reply.runs);
        let mut actions = Vec::new();
        for id in missing {
            self.lose_run(now, name, id);
        }
        for report in &reply.runs {
            actions.extend(self.apply_report(now, name, report));
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.forget_ended_runs(sent);
        }
        self.record_measurements(name, &reply);
        actions.extend(self.send_queued(now, micros));
        (false, actions)
    }

    fn record_measurements(&mut self, name: &Name, reply: &PollReply) {
        for sample in &reply.samples {
            self.interference.learn(sample);
            let slow = self.slowdowns.entry(name.clone()).or_insert(1.0);
            *slow += SMOOTH * (sample.slowdown - *slow);
        }
        if reply.runs.is_empty() {
            self.slowdowns.remove(name);
        }
        for report in &reply.runs {
            if report.usage == 0 || report.size.cores == 0 {
                continue;
            }
            let ratio = f64::from(report.usage) / f64::from(report.size.cores);
            let factor = self.usage_factors.entry(report.kind.clone()).or_insert(1.0);
            *factor += SMOOTH * (ratio - *factor);
        }
    }

    /// Ends the runs of workers that can't have renewed them.
    ///
    /// A start in doubt may lie unread before a worker that stands still, and
    /// not all workers refuse it later: it is over only when the worker has
    /// answered, or is gone from the list.
    fn end_lapsed_runs(&mut self, now: Millis) {
        let span = self.timings.run_lease + self.timings.margin;
        let mut lapsed: Vec<(Name, RunId)> = Vec::new();
        for worker in self.workers.values() {
            // An earlier owner may have renewed them until this one won.
            let end = self
                .hold_until
                .max(worker.lease_renewed.max(worker.renewal_sent) + span);
            if worker.responsive || now <= end {
                continue;
            }
            let over = |r: &&Run| !worker.listed || !r.is_start_unconfirmed();
            let runs = worker.runs.values().filter(over);
            lapsed.extend(runs.map(|r| (worker.name.clone(), r.id)));
        }
        for (name, id) in lapsed {
            self.lose_run(now, &name, id);
        }
    }
}

/// Returns runs that should be on the worker and are not, by an exchange that
/// was sent at `sent`.
fn absent(worker: &Worker, sent: Millis, margin: Millis, reports: &[RunReport]) -> Vec<RunId> {
    let reported: BTreeSet<RunId> = reports.iter().map(|r| r.id).collect();
    let gone = worker.runs.values().filter(|run| {
        let confirmed = match run.phase {
            RunPhase::Running | RunPhase::Stopping => run.phase_since < sent,
            // What was sent before has taken effect by now, or never will.
            RunPhase::InDoubt => sent > run.phase_since.max(worker.responsive_since) + margin,
            RunPhase::Starting => false,
        };
        confirmed && !reported.contains(&run.id)
    });
    gone.map(|run| run.id).collect()
}
