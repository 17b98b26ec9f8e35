//! State machine of a cell's owner: takes events in and returns the actions to carry out.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use super::admission::Admission;
use super::copies::running::Copies;
use super::crashes::ProvisionalCrash;
use super::fences::{Fences, next_epoch};
use super::history::History;
use super::job::{Job, JobRow, Outcome, Phase, StepKey, TaskKey};
use super::journal::Journal;
use super::learned::Learned;
use super::learned::interference::InterferenceModel;
use super::learned::loads::OwnLoads;
use super::long_leases::EarlierIncarnations;
use super::losses::UnresolvedLosses;
use super::message::{Action, Answer, Event, Ticket};
use super::pacing::Pacing;
use super::placing::permits::Permits;
use super::placing::placement::Placement;
use super::placing::racks::RackWaits;
use super::placing::scoring::Ranking;
use super::placing::worker_index::WorkerIndex;
use super::polls::schedule::PollSchedule;
use super::sequence::Sequence;
pub use super::settings::OwnerSettings;
use super::shares::drains::Drains;
use super::shares::ledger::Shares;
use super::spec::JobSpec;
use super::starts::Deferral;
use super::worker::{Worker, max_lease_duration};
use crate::cordons::Halls;
use crate::interference::PairEstimate;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Readings of this box's clocks at the time of an event.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Milliseconds since boot, including time in which the machine was suspended.
    pub steady: Millis,
    /// Milliseconds since the Unix epoch.
    pub wall: Millis,
}

/// A job as a new owner reads it from the store.
pub struct StoredJob {
    /// Id chosen by the caller.
    pub id: Name,
    /// Description given by the caller.
    pub spec: JobSpec,
    /// State of the job and its tasks.
    pub row: JobRow,
}

/// Scheduling state of a cell, held by the one box that owns it.
pub struct Owner {
    pub(super) settings: OwnerSettings,
    /// Changes that are to be committed to the store.
    pub(super) journal: Journal,
    /// Jobs by the number that this owner gave them.
    pub(super) jobs: BTreeMap<u32, Job>,
    /// Number of each job by its id.
    pub(super) job_numbers: HashMap<Name, u32>,
    /// Fences of the orders to workers.
    pub(super) fences: Fences,
    /// Finished jobs without placed tasks.
    pub(super) history: History,
    /// Jobs whose rows in the store can't be decoded. Their state is unknown to this owner,
    /// which never overwrites the rows.
    pub(super) unreadable_jobs: BTreeSet<Name>,
    /// Tasks that wait for a worker, with the time since when they do.
    pub(super) ready: BTreeMap<TaskKey, Millis>,
    /// Workers by id.
    pub(super) workers: BTreeMap<Name, Worker>,
    /// True once the whole directory was read.
    pub(super) directory_read: bool,
    /// Index of the workers by address.
    pub(super) addresses: WorkerIndex<SocketAddr>,
    /// Index of the workers by rack.
    pub(super) racks: WorkerIndex<Name>,
    /// Halls whose workers get no new tasks. `None` until the cordons are known: a box that has
    /// just become the owner may have older ones than its predecessor.
    pub(super) cordoned_halls: Option<Halls>,
    /// When polls of the workers are due.
    pub(super) poll_schedule: PollSchedule,
    /// The worker of each placed task.
    pub(super) placed_on: HashMap<TaskKey, Name>,
    /// Second runs of placed tasks.
    pub(super) copies: Copies,
    /// Tasks that the store has as placed on workers which this owner has not seen listed yet.
    pub(super) unadopted: BTreeMap<Name, Vec<TaskKey>>,
    /// The worker on which a task failed last.
    pub(super) failed_on: HashMap<TaskKey, Name>,
    /// Tasks that wait before their next start, as workers had to refuse the last one.
    pub(super) deferred: HashMap<TaskKey, Deferral>,
    /// Permits to run steps on workers, as the advisor gave them.
    pub(super) permits: BTreeMap<StepKey, Permits>,
    /// Lasting tasks that have run, and are being stopped or wait for their next start, with the
    /// time since when they do.
    pub(super) interrupted: BTreeMap<TaskKey, Millis>,
    /// Scores of the workers for the step placed last in this placement pass.
    pub(super) ranking: Option<Ranking>,
    /// Id from which on workers are examined for the next ranking.
    pub(super) next_candidate: Name,
    /// Tasks for which resources are reserved, with the worker that is to run them.
    pub(super) reservations: BTreeMap<TaskKey, Name>,
    /// Number of times that a worker was examined for placing tasks.
    pub(super) workers_examined: u64,
    /// Tasks that wait for a place on their rack.
    pub(super) rack_waits: RackWaits,
    /// Actions that the current event has caused.
    pub(super) actions: Vec<Action>,
    /// The clocks at the current event.
    pub(super) now: Now,
    /// Position of the last handled event or sent poll.
    pub(super) sequence: Sequence,
    /// When all leases granted by earlier owners have certainly ended.
    pub(super) inherited_leases_end: Millis,
    /// What is known of incarnations of workers before those that this owner has heard of.
    pub(super) earlier: EarlierIncarnations,
    /// True after a placement pass that placed nothing, until the state changes.
    pub(super) saturated: bool,
    /// When the next placement pass may run.
    pub(super) next_pass: Millis,
    /// How much best-effort tasks raise the load of serving tasks, by image.
    pub(super) interference: InterferenceModel,
    /// Own loads of serving tasks.
    pub(super) own_loads: OwnLoads,
    /// Learned run times and worker speeds.
    pub(super) learned: Learned,
    /// Admission of jobs by the measured load.
    pub(super) admission: Admission,
    /// When workers crashed within the outage window.
    pub(super) crash_times: VecDeque<Millis>,
    /// Counted crashes that become an outage if enough others follow at once.
    pub(super) provisional_crashes: Vec<ProvisionalCrash>,
    /// Workers that fell silent with runs, and the tasks that are held because of them.
    pub(super) unresolved: UnresolvedLosses,
    /// When the store last failed, was slow or gave no answer.
    pub(super) last_store_trouble: Millis,
    /// Moving average of the declared work of a job, by queue.
    pub(super) typical_work: HashMap<Name, f64>,
    /// Weights of queues and sizes of jobs.
    pub(super) shares: Shares,
    /// Workers that are drained for large tasks.
    pub(super) drains: Drains,
    /// Backlog of best-effort work, from 0 to 1; the higher it is, the higher serving tasks may be
    /// loaded.
    pub(super) backlog_level: f64,
    /// When swaps of serving tasks are next considered.
    pub(super) next_swap: Millis,
    /// When this owner began.
    pub(super) began: Millis,
    /// Bytes that the jobs take in memory.
    pub(super) job_bytes: usize,
    /// Number of the next job.
    next_job: u32,
    /// When the next sweep for due and expired state runs.
    pub(super) next_sweep: Millis,
    /// Pace of passes, sweeps and starts.
    pub(super) pacing: Pacing,
    /// When the learned estimates are written next.
    pub(super) next_estimates: Millis,
    /// Number of runs that were released because the lease of their worker had ended.
    pub(super) lapsed_runs: u64,
    /// True while leases are extended, as last logged.
    extends_leases: bool,
    /// True once another box owns the cell.
    pub(super) deposed: bool,
}

/// Milliseconds without a confirmed commit that count as trouble of the store. An idle owner
/// commits every 300 ms.
const STORE_SILENCE: Millis = 900;
/// Milliseconds between two sweeps for due and expired state.
const SWEEP_INTERVAL: Millis = 100;

impl Owner {
    /// Returns an owner that continues from the jobs in the store. Leases granted by earlier
    /// owners have ended by `inherited_leases_end`.
    pub fn new(
        settings: OwnerSettings,
        journal: Journal,
        stored_jobs: Vec<StoredJob>,
        inherited_leases_end: Millis,
        now: Now,
    ) -> Self {
        // The first owner inherits no leases.
        let has_predecessors = journal.epoch() > next_epoch(0);
        let earlier = EarlierIncarnations::new(&settings, has_predecessors, now.steady);
        let mut owner = Self {
            settings,
            fences: Fences::new(journal.epoch()),
            journal,
            jobs: BTreeMap::new(),
            job_numbers: HashMap::new(),
            history: History::default(),
            unreadable_jobs: BTreeSet::new(),
            ready: BTreeMap::new(),
            workers: BTreeMap::new(),
            directory_read: false,
            addresses: WorkerIndex::default(),
            racks: WorkerIndex::default(),
            cordoned_halls: None,
            poll_schedule: PollSchedule::default(),
            placed_on: HashMap::new(),
            copies: Copies::default(),
            unadopted: BTreeMap::new(),
            failed_on: HashMap::new(),
            deferred: HashMap::new(),
            permits: BTreeMap::new(),
            interrupted: BTreeMap::new(),
            ranking: None,
            next_candidate: Name::from(""),
            reservations: BTreeMap::new(),
            workers_examined: 0,
            rack_waits: RackWaits::default(),
            actions: Vec::new(),
            now,
            sequence: Sequence::default(),
            inherited_leases_end,
            earlier,
            saturated: false,
            next_pass: 0,
            interference: InterferenceModel::default(),
            own_loads: OwnLoads::default(),
            learned: Learned::default(),
            admission: Admission::default(),
            crash_times: VecDeque::new(),
            provisional_crashes: Vec::new(),
            unresolved: UnresolvedLosses::default(),
            last_store_trouble: 0,
            typical_work: HashMap::new(),
            shares: Shares::default(),
            drains: Drains::default(),
            backlog_level: 0.0,
            next_swap: 0,
            began: now.steady,
            job_bytes: 0,
            next_job: 0,
            next_sweep: 0,
            pacing: Pacing::default(),
            next_estimates: 0,
            lapsed_runs: 0,
            extends_leases: true,
            deposed: false,
        };
        owner.journal.set_inherited_end(inherited_leases_end);
        for job in stored_jobs {
            owner.load_job(Job::from_stored(job.id, job.spec, job.row));
        }
        owner
    }

    fn load_job(&mut self, job: Job) {
        let number = self.add_job(job);
        let job = &self.jobs[&number];
        let placed: Vec<(TaskKey, Name)> = job
            .tasks(number)
            .filter_map(|(key, task)| match &task.phase {
                Phase::Placed(worker) => Some((key, worker.clone())),
                _ => None,
            })
            .collect();
        for (key, worker) in &placed {
            self.unadopted.entry(worker.clone()).or_default().push(*key);
        }
        self.placed_on.extend(placed);
        self.load_copies(number);
        self.load_losses(number);
        self.queue_ready_tasks(number);
    }

    /// Adds a job and returns its number.
    pub(super) fn add_job(&mut self, job: Job) -> u32 {
        let number = self.next_job;
        self.next_job += 1;
        self.job_numbers.insert(job.id.clone(), number);
        self.job_bytes += Job::memory(&job.spec);
        self.jobs.insert(number, job);
        self.learn_typical_work(number);
        self.track_shares(number);
        number
    }

    /// Removes a job that is over or was never accepted.
    pub(super) fn remove_job(&mut self, number: u32) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        self.job_numbers.remove(&job.id);
        self.job_bytes -= Job::memory(&job.spec);
        Some(job)
    }

    /// Returns the numbers of jobs, workers and waiting tasks, for metrics.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.jobs.len(), self.workers.len(), self.ready.len())
    }

    /// Returns how many runs were released because the lease of their worker had ended.
    pub fn lapsed_runs(&self) -> u64 {
        self.lapsed_runs
    }

    /// Returns when the last call was sent by which the store confirmed this owner.
    pub fn last_confirmed(&self) -> Millis {
        self.journal.last_confirmed()
    }

    /// Returns true while this owner may grant and extend leases: the next owner waits for leases
    /// that this one granted for some time after its last confirmation.
    pub(super) fn may_grant_leases(&self) -> bool {
        let longest = self.settings.max_unconfirmed;
        let confirmed = self.journal.may_extend_leases(longest, self.now.steady);
        confirmed && !self.is_releasing()
    }

    /// Records a ping of another box that has returned the clock reading `confirmed` of this box.
    pub fn record_confirmation(&mut self, address: SocketAddr, confirmed: Millis, now: Now) {
        // A reading ahead of the clock would confirm this owner for longer than the box did.
        if confirmed > 0 && confirmed <= now.steady {
            let at = now.steady;
            self.journal.record_confirmation(address, confirmed, at);
        }
    }

    /// Returns true once another box owns the cell.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns true once the store has recorded that this owner released the cell.
    pub fn is_released(&self) -> bool {
        self.journal.is_released()
    }

    /// Returns the milliseconds until the owner next has work that is due.
    pub fn due_in(&self, now: Now) -> Millis {
        let can_place = !self.saturated && !self.ready.is_empty() && self.cordoned_halls.is_some();
        let pass = can_place.then_some(self.next_pass);
        let due = self
            .next_poll()
            .into_iter()
            .chain(self.journal.next_due())
            .chain(pass)
            .chain([self.next_sweep]);
        due.min().unwrap_or(0).saturating_sub(now.steady).max(1)
    }

    /// Replaces the settings.
    pub fn change_settings(&mut self, settings: OwnerSettings) {
        self.settings = settings;
    }

    /// Releases the cell once all changes are written, or after a short delay.
    pub fn release(&mut self, now: Now) {
        self.journal.release(now.steady);
    }

    /// Returns true once this owner is releasing the cell.
    pub fn is_releasing(&self) -> bool {
        self.journal.is_releasing()
    }

    /// Releases the cell for a larger box with this many thousandths of cores.
    pub fn release_to_larger(&mut self, cores: u32, now: Now) {
        self.journal.release_to_larger(cores, now.steady);
    }

    /// Records that the preceding owner no longer extends leases.
    pub fn record_predecessor_end(&mut self, now: Now) {
        let end = now.steady + max_lease_duration(self.settings.lease_length);
        self.inherited_leases_end = self.inherited_leases_end.min(end);
        self.journal.mark_predecessors_ended();
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle_event(&mut self, event: Event, now: Now) -> Vec<Action> {
        self.learned.note_gap(self.now.steady, now.steady);
        self.now = now;
        self.sequence.advance();
        (self.pacing.placed, self.pacing.swept) = (false, false);
        match event {
            Event::Request(ticket, request) => self.handle_request(ticket, request),
            Event::Directory(listings) => self.replace_directory(listings),
            Event::DirectoryChanged(changes) => self.apply_directory_changes(changes),
            Event::Cordoned(halls) => self.set_cordoned_halls(halls),
            Event::Polled(poll, reply) => self.handle_poll_reply(&poll, reply),
            Event::Started(key, run, incarnation, reply) => {
                self.pacing.starts.record_answer();
                self.handle_start_reply(key, run, &incarnation, reply)
            }
            Event::Stopped(key, run, incarnation, reply) => {
                self.handle_stop_reply(key, run, &incarnation, reply)
            }
            Event::Throttled(key, run, percent, incarnation, reply) => {
                self.handle_throttle_reply(key, run, percent, &incarnation, reply);
            }
            Event::Advised(step, asked, reply) => self.handle_advice(step, asked, reply),
            Event::CommitEnded(number, outcome) => {
                self.handle_commit_outcome(number, outcome);
                self.answer_parked();
            }
            Event::History(page) => self.merge_history(page),
            Event::Tick => {}
        }
        if now.steady >= self.next_sweep {
            self.next_sweep = now.steady + SWEEP_INTERVAL;
            self.pacing.swept = true;
            self.sweep();
        }
        // An owner that releases the cell extends no leases: the next owner relies on that.
        if !self.deposed && !self.is_releasing() {
            if self.cordoned_halls.is_some() {
                self.place_ready_tasks();
                self.swap_serving_tasks();
                self.review_copies();
            }
            self.poll_due_workers();
        }
        if !self.deposed {
            self.commit_if_due();
        }
        std::mem::take(&mut self.actions)
    }

    pub(super) fn reply(&mut self, ticket: Ticket, answer: Answer) {
        self.actions.push(Action::Reply(ticket, answer));
    }

    /// Handles what is due by time rather than by an event, such as expired listings and leases,
    /// repeated stops, rounds of scheduled jobs, and finished jobs to archive.
    fn sweep(&mut self) {
        if self.now.steady > self.inherited_leases_end {
            self.journal.mark_predecessors_ended();
        }
        if self.now.steady > self.journal.last_confirmed() + STORE_SILENCE {
            self.last_store_trouble = self.now.steady;
        }
        self.log_lease_extension();
        self.expire_lapsed_listings();
        self.expire_leases();
        self.review_losses();
        self.forget_removed();
        self.evacuate();
        self.retry_stops();
        let wall = self.now.wall;
        let scheduled: Vec<u32> = self
            .jobs
            .iter_mut()
            .filter_map(|(number, job)| job.add_due_rounds(wall).then_some(*number))
            .collect();
        for number in scheduled {
            self.journal.mark_changed(number);
            self.queue_ready_tasks(number);
        }
        self.update_backlog_level();
        self.pacing.starts.adjust(self.now.steady);
        self.update_admission();
        self.shares.advance(wall);
        self.export_longest_breach();
        self.archive_finished();
        self.refuse_parked();
        self.refuse_unsent_jobs();
        self.own_loads.remove_stale(self.now.steady);
        self.forget_idle_speeds();
        self.prune_rack_waits();
        self.saturated = false;
    }

    /// Logs when this owner stops extending leases or does so again, with the follower that has not
    /// confirmed it, if any.
    fn log_lease_extension(&mut self) {
        let (now, extends) = (self.now.steady, self.may_grant_leases());
        if extends == self.extends_leases {
            return;
        }
        self.extends_leases = extends;
        let (epoch, releasing) = (self.journal.epoch(), self.is_releasing());
        let unconfirmed = now.saturating_sub(self.journal.last_confirmed());
        let silent = self.journal.unconfirming(now).map(|a| a.to_string());
        log::info!(target: "owner", "event=lease-extension epoch={epoch} extends={extends} releasing={releasing} unconfirmed_ms={unconfirmed} silent_follower={}", silent.as_deref().unwrap_or("none"));
    }

    /// Marks jobs whose rows can't be decoded.
    pub fn mark_unreadable(&mut self, ids: Vec<Name>) {
        self.unreadable_jobs.extend(ids);
    }

    /// Imports the interference between images that earlier owners learned.
    pub fn import_interference(&mut self, known: Vec<PairEstimate>) {
        if self.settings.mechanisms.warm_start {
            self.interference.import(known);
        }
    }

    /// Sets the final outcome of a job. Its runs are stopped once the store has the outcome.
    pub(super) fn finish_job(&mut self, number: u32, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.row.outcome = outcome;
        job.row.ended = self.now.wall;
        self.shares.end(number, outcome, self.now.wall);
        log::info!(target: "job", "job={} event=end outcome={outcome:?}", job.id);
        self.journal.mark_changed(number);
        self.ready.retain(|key, _| key.job != number);
        self.unresolved.forget_held(|key| key.job == number);
        self.permits.retain(|step, _| step.job != number);
    }

    /// Returns the placement of a task on its worker.
    pub(super) fn placement_of(&self, key: TaskKey) -> Option<&Placement> {
        let worker = self.workers.get(self.placed_on.get(&key)?)?;
        worker.placements.get(&key)
    }

    /// Returns the name by which workers know a task, for log lines; empty once its job was
    /// removed.
    pub(super) fn task_name(&self, key: TaskKey) -> String {
        let job = self.jobs.get(&key.job);
        job.map(|j| j.task_name(key)).unwrap_or_default()
    }
}
