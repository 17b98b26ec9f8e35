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
const SAMPLE_WEIGHT: f64 = 0.2;
/// Poll intervals after which a worker without an answer counts as silent.
pub(super) const SILENT_POLLS: u64 = 3;

/// A worker in the directory's list of live and leaving workers.
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
    /// True when the worker accepts no new work.
    pub leaving: bool,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default)]
pub struct PollReply {
    /// True when the worker knows a higher epoch.
    pub refused: bool,
    /// Capacity of the worker.
    pub shape: Shape,
    /// Tickets of the requests of this epoch in progress.
    pub tickets: Vec<u64>,
    /// Number of requests of earlier epochs in progress.
    pub foreign_requests: u32,
    /// Runs in progress, and ended runs that are not yet acknowledged.
    pub runs: Vec<RunReport>,
    /// Measured slowdowns; they arrive late.
    pub samples: Vec<Sample>,
    /// True when the worker accepts no new work.
    pub leaving: bool,
}

/// A poll of a worker as it was sent.
#[derive(Clone, Debug)]
pub struct SentPoll {
    /// When the poll was sent.
    pub sent: Millis,
    /// Round of the poll.
    pub round: u64,
    /// Ends of runs that the poll acknowledged.
    pub acks: Vec<RunId>,
}

/// How a poll of a worker ended.
#[derive(Clone, Debug)]
pub enum PollOutcome {
    /// The worker answered.
    Reply(PollReply),
    /// Nothing was sent.
    NotSent,
    /// No answer arrived; the worker may have received the poll.
    Lost,
}

/// Quota of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Thousandths of cores in the whole deployment.
    pub cores: u64,
    /// Weight relative to other teams.
    pub weight: u32,
}

/// Durations that a cell depends on, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Lease of runs on workers.
    pub run_lease: Millis,
    /// Margin for slow sends and clock drift.
    pub margin: Millis,
    /// Time between two polls of the same worker.
    pub poll_interval: Millis,
}

/// State of one owned cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Name of the cell.
    pub name: Name,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// True while the cell accepts no new work because it is about to be released.
    pub leaving: bool,
    /// Settings of the decisions.
    pub policy: Policy,
    /// Quotas by team.
    pub quotas: BTreeMap<Name, Quota>,
    /// The cell's fraction of the deployment's capacity, from 0 to 1.
    pub capacity_share: f64,
    /// Workers by name.
    pub workers: BTreeMap<Name, Worker>,
    /// Job shards by key.
    pub shards: BTreeMap<Name, JobShard>,
    /// Jobs with a row of this cell that can't be decoded. Their runs are left as they are.
    pub(super) unreadable_jobs: BTreeSet<Name>,
    /// Row versions of the job shards that ended under this epoch, by key.
    pub ended_shards: BTreeMap<Name, u64>,
    /// Tasks evicted under this epoch.
    pub evictions: u64,
    /// Tasks finished under this epoch.
    pub finished_tasks: u64,
    /// Learned interference.
    pub interference: InterferenceEstimates,
    /// Mean answer time of each service in microseconds.
    pub mean_latencies: HashMap<Name, f64>,
    /// When each service was last requested.
    pub(super) last_requests: BTreeMap<Name, Millis>,
    /// Moving average of the slowdowns measured on each worker.
    pub(super) slowdowns: BTreeMap<Name, f64>,
    /// Measured over declared cores of each kind of task.
    pub(super) usage_factors: BTreeMap<Name, f64>,
    /// Thousandths of cores that the runs of each team use.
    pub(super) team_cores: BTreeMap<Name, u64>,
    pub(super) queue: Queue,
    /// Worker of each request in progress, by ticket.
    pub(super) tickets: BTreeMap<u64, Name>,
    pub(super) random: Random,
    /// Number of selections made by [`super::Selection::RoundRobin`].
    pub(super) next_turn: u64,
    /// Number of runs started under this epoch.
    pub(super) run_counter: u64,
    /// Round of the last polls; each tick begins a new round.
    pub(super) poll_round: u64,
    /// When all leases of an earlier owner's runs have lapsed.
    pub(super) hold_until: Millis,
    /// When the job shards were read. Earlier reports changed the state of no task.
    pub(super) loaded_at: Millis,
    /// True once the job shards were read.
    pub(super) loaded: bool,
    pub(super) margin: Millis,
    pub(super) timings: Timings,
}

impl Cell {
    /// Returns a cell that this box has just become the owner of, without workers.
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
            unreadable_jobs: BTreeSet::new(),
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

    /// Updates the workers from the directory's list and the set of workers that operators
    /// drained. A worker that is no longer listed stays while it has runs or requests.
    pub fn set_workers(&mut self, list: &[ListedWorker], drained: &BTreeSet<Name>) {
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        for listed in list.iter().filter(|w| w.cell == self.name) {
            let worker = self
                .workers
                .entry(listed.name.clone())
                .or_insert_with(|| Worker::new(listed.name.clone(), listed.http, listed.rpc));
            let moved = worker.rpc != listed.rpc || worker.http != listed.http;
            if moved && worker.runs.is_empty() && worker.requests.is_empty() {
                *worker = Worker::new(listed.name.clone(), listed.http, listed.rpc);
            }
            worker.listed = true;
            worker.leaving = listed.leaving || drained.contains(&listed.name);
        }
        self.workers
            .retain(|_, w| w.listed || !w.runs.is_empty() || !w.requests.is_empty());
    }

    /// Returns the free slots of all workers that accept work.
    pub fn free_slots(&self, now: Millis) -> u32 {
        let open = self.workers.values().filter(|w| w.accepts_work(now));
        open.map(Worker::free_slots).sum()
    }

    /// Returns the free cores of all workers that accept work, in thousandths.
    pub fn free_cores(&self, now: Millis) -> u64 {
        let open = self.workers.values().filter(|w| w.accepts_work(now));
        open.map(|w| u64::from(w.free_cores())).sum()
    }

    /// Returns the number of queued requests.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns true when nothing is queued or in progress: no request, no start or stop of a
    /// run, no write or read of a job shard.
    pub fn is_idle(&self) -> bool {
        let sent = self.workers.values().any(|w| !w.requests.is_empty());
        let has_calls = |w: &Worker| {
            let phases = w.runs.values().map(|r| r.phase);
            phases
                .into_iter()
                .any(|p| p == RunPhase::Starting || p == RunPhase::Stopping)
        };
        let settled = self.shards.values().all(JobShard::is_settled);
        self.queue.len() == 0 && !sent && settled && !self.workers.values().any(has_calls)
    }

    /// Returns the actions that are due at `now`, given in milliseconds and as `micros`.
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

    /// Polls the workers whose interval has passed.
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
            // The leases of a silent worker's runs are not renewed, so that they lapse.
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

    /// Handles the outcome of a poll. Returns true when the worker knows a higher epoch.
    pub fn finish_poll(
        &mut self,
        now: Millis,
        micros: u64,
        name: &Name,
        poll: SentPoll,
        outcome: PollOutcome,
    ) -> (bool, Vec<Action>) {
        let SentPoll { sent, acks, .. } = poll;
        let Some(worker) = self.workers.get_mut(name) else {
            return (false, Vec::new());
        };
        worker.polling = false;
        let renewing = std::mem::take(&mut worker.renewal_sent);
        if !matches!(outcome, PollOutcome::NotSent) {
            worker.lease_renewed = worker.lease_renewed.max(renewing);
        }
        let PollOutcome::Reply(reply) = outcome else {
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
        worker.valid_until = sent + self.timings.poll_interval * SILENT_POLLS;
        worker.responsive = true;
        worker.shape = reply.shape;
        worker.retiring = reply.leaving;
        worker.foreign_requests = reply.foreign_requests;
        let finished: Vec<u64> = worker
            .requests
            .iter()
            .filter(|(ticket, r)| {
                r.start_deadline.is_some_and(|at| sent > at) && !reply.tickets.contains(ticket)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in finished {
            worker.remove_request(ticket);
        }
        let missing = missing_runs(worker, sent, self.margin, &reply.runs);
        let mut actions = Vec::new();
        for id in missing {
            self.handle_lost_run(now, name, id);
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

    /// Learns from the slowdowns and the use of cores that a worker reports.
    fn record_measurements(&mut self, name: &Name, reply: &PollReply) {
        for sample in &reply.samples {
            self.interference.learn(sample);
            let slowdown = self.slowdowns.entry(name.clone()).or_insert(1.0);
            *slowdown += SAMPLE_WEIGHT * (sample.slowdown - *slowdown);
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
            *factor += SAMPLE_WEIGHT * (ratio - *factor);
        }
    }

    /// Ends the runs of silent workers whose leases have lapsed.
    ///
    /// An unconfirmed start may still be unread at a worker that is suspended, and not all
    /// workers refuse it later. It ends only when the worker has answered or is no longer
    /// listed.
    fn end_lapsed_runs(&mut self, now: Millis) {
        let lease = self.timings.run_lease + self.timings.margin;
        let mut lapsed: Vec<(Name, RunId)> = Vec::new();
        for worker in self.workers.values() {
            // An earlier owner may have renewed the leases until this box became the owner.
            let end = self
                .hold_until
                .max(worker.lease_renewed.max(worker.renewal_sent) + lease);
            if worker.responsive || now <= end {
                continue;
            }
            let ended = |r: &&Run| !worker.listed || !r.is_start_unconfirmed();
            let runs = worker.runs.values().filter(ended);
            lapsed.extend(runs.map(|r| (worker.name.clone(), r.id)));
        }
        for (name, id) in lapsed {
            self.handle_lost_run(now, &name, id);
        }
    }
}

/// Returns the runs that are over because a worker's answer to a poll sent at `sent` does not
/// contain them: confirmed runs, and runs in doubt whose start can no longer take effect.
fn missing_runs(
    worker: &Worker,
    sent: Millis,
    margin: Millis,
    reports: &[RunReport],
) -> Vec<RunId> {
    let reported: BTreeSet<RunId> = reports.iter().map(|r| r.id).collect();
    let missing = worker.runs.values().filter(|run| {
        let confirmed = match run.phase {
            RunPhase::Running | RunPhase::Stopping => run.phase_since < sent,
            // After this time a call sent earlier has either taken effect or never will.
            RunPhase::InDoubt => sent > run.phase_since.max(worker.responsive_since) + margin,
            RunPhase::Starting => false,
        };
        confirmed && !reported.contains(&run.id)
    });
    missing.map(|run| run.id).collect()
}
