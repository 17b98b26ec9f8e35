//! Placement pass: places waiting tasks on workers in order, and gangs as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

use crate::sched::job::{Phase, StepKey, Task, TaskKey};
use crate::sched::journal::AfterCommit;
use crate::sched::owner::Owner;
use crate::sched::placing::placement::{Placement, Stage};
use crate::sched::placing::preemption::VictimSearch;
use crate::sched::placing::racks::RackClaims;
use crate::sched::placing::scoring::{PlacementRequest, Ranking, could_run};
use crate::sched::shares::order::task_work;
use crate::sched::spec::{Resources, StepSpec};
use crate::sched::throttling::FULL_SPEED;
use crate::sched::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Least milliseconds between two passes, as each goes through all waiting tasks.
const PASS_INTERVAL: Millis = 10;
/// Number of waiting tasks that lengthens this interval by one millisecond.
const WAITING_PER_MS: u64 = 1_000;
/// Number of workers examined in a pass that lengthens the interval by one millisecond. With 3,000
/// workers a pass examines about 50,000, and passes without a pause leave an owner with half a
/// core no time for leases and reports.
const EXAMINED_PER_MS: u64 = 1_000;
/// Passing over this many workers that accept no tasks counts as examining one worker. A new owner
/// places tasks before most workers have answered it.
const PASSED_OVER_PER_EXAMINATION: usize = 8;
/// Most tasks that are placed in one pass, so that other events are not delayed.
const MAX_PLACED: usize = 200;
/// Most failed attempts in one pass to place best-effort tasks of one service and label. Where one
/// did not fit, the next rarely does.
const MAX_BEST_EFFORT_MISSES: usize = 6;

/// Requirements of a task that decide whether another task with the same ones fits.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Demand {
    /// Resources to reserve. First field, as it distinguishes most demands without comparing names.
    resources: Resources,
    /// Service whose workers may run the task.
    service: Name,
    /// Label that the worker must have; empty for none.
    label: Name,
    /// True when the number of tasks of the step on one worker is limited.
    limited_per_worker: bool,
    /// The step if an advisor decides which workers may run it.
    advised_step: Option<StepKey>,
    /// True when no processors are reserved for the task.
    best_effort: bool,
    /// True when all tasks of the step are placed together or not at all.
    gang: bool,
}

/// Service, label and advised step of demands that the same workers could meet.
type DemandGroup = (Name, Name, Option<StepKey>);

impl Demand {
    fn group(&self) -> DemandGroup {
        (self.service.clone(), self.label.clone(), self.advised_step)
    }
}

/// Result of an attempt to place a task.
enum Attempt {
    /// This number of tasks was placed.
    Placed(usize),
    /// The task was not placed; others of its step may be.
    Failed,
    /// Neither the task nor others of its step can be placed in this pass.
    Exhausted,
}

/// State of one pass: failed attempts, which are not repeated.
struct Pass {
    /// Demands of single tasks that fit nowhere.
    unplaceable: BTreeSet<Rc<Demand>>,
    /// Number of best-effort tasks that fit nowhere, by group.
    best_effort_misses: BTreeMap<DemandGroup, usize>,
    /// Gangs that were tried.
    tried_gangs: BTreeSet<StepKey>,
    /// Search for runs to preempt.
    search: VictimSearch,
    /// Demand of the step of the last task.
    last_demand: Option<(StepKey, Rc<Demand>)>,
    /// Places on racks that tasks wait for.
    claims: RackClaims,
    /// Number of suspects for which a worker may still be isolated; `None` before the first one.
    isolations_left: Option<usize>,
}

impl Pass {
    fn new() -> Self {
        Self {
            unplaceable: BTreeSet::new(),
            best_effort_misses: BTreeMap::new(),
            tried_gangs: BTreeSet::new(),
            search: VictimSearch::new(),
            last_demand: None,
            claims: RackClaims::default(),
            isolations_left: None,
        }
    }

    /// Returns true when a task is not to be tried in this pass: its gang was tried, or too many
    /// best-effort tasks of its group did not fit.
    fn skips(&mut self, key: TaskKey, demand: &Demand) -> bool {
        if demand.gang && !self.tried_gangs.insert(key.step_key()) {
            return true;
        }
        let group = demand.group();
        let tried = self.best_effort_misses.get(&group).copied().unwrap_or(0);
        demand.best_effort && tried >= MAX_BEST_EFFORT_MISSES
    }

    /// Returns true when a worker may still be isolated in this pass; `left` returns the number
    /// of isolations that are left when the pass begins.
    fn may_isolate(&mut self, left: impl FnOnce() -> usize) -> bool {
        *self.isolations_left.get_or_insert_with(left) > 0
    }

    /// Records that a task fits nowhere.
    fn record_miss(&mut self, demand: Rc<Demand>) {
        if demand.best_effort {
            let group = demand.group();
            *self.best_effort_misses.entry(group).or_default() += 1;
        }
        // Where a task with a limit per worker fits depends on where the others of its step are.
        if !demand.limited_per_worker && !demand.best_effort && !demand.gang {
            self.unplaceable.insert(demand);
        }
    }
}

impl Owner {
    /// Runs a placement pass if one is due.
    pub(in crate::sched) fn place_ready_tasks(&mut self) {
        let now = self.now.steady;
        if self.saturated || now < self.next_pass || self.journal.in_doubt() {
            return;
        }
        self.next_pass = now + PASS_INTERVAL;
        let allowed = self.pacing.starts.allowance(now).min(MAX_PLACED);
        if allowed == 0 {
            return;
        }
        self.next_pass += self.ready.len() as u64 / WAITING_PER_MS;
        self.pacing.placed = true;
        self.ranking = None;
        self.prune_reservations();
        let before = self.workers_examined;
        let count = self.run_pass(allowed);
        self.pacing.starts.record_starts(count);
        self.next_pass += (self.workers_examined - before) / EXAMINED_PER_MS;
        self.saturated = count == 0;
        self.update_drains();
    }

    /// Tries to place each waiting task in order, until `most` are placed. Returns the number of
    /// placed tasks.
    fn run_pass(&mut self, most: usize) -> usize {
        let mut pass = Pass::new();
        let mut count = 0;
        for entry in self.placement_order() {
            for key in self.waiting_tasks(entry) {
                if count >= most {
                    return count;
                }
                if !self.ready.contains_key(&key) {
                    continue;
                }
                match self.try_place(key, &mut pass) {
                    Attempt::Placed(tasks) => count += tasks,
                    Attempt::Failed => {}
                    Attempt::Exhausted => break,
                }
            }
        }
        count
    }

    /// Places a task or its whole gang, unless a task with the same demand was found not to fit.
    /// For a task that is not placed, permits are queried and a run may be preempted.
    fn try_place(&mut self, key: TaskKey, pass: &mut Pass) -> Attempt {
        if self.drains.holds(key) && (self.is_deferred(key) || !self.ensure_permitted(key)) {
            return Attempt::Failed;
        }
        match self.place_on_drained(key) {
            Some(true) => return Attempt::Placed(1),
            Some(false) => return Attempt::Failed,
            None => {}
        }
        let demand = self.cached_demand(key, pass);
        if pass.unplaceable.contains(&demand) {
            self.free_resources_for(key, &mut pass.search);
            return match pass.search.is_exhausted() {
                true => Attempt::Exhausted,
                false => Attempt::Failed,
            };
        }
        if pass.skips(key, &demand) {
            return Attempt::Exhausted;
        }
        if self.is_deferred(key) || !self.ensure_permitted(key) {
            return Attempt::Failed;
        }
        // A gang needs all its workers at once, so it does not wait for an isolated worker.
        let suspect = self.is_suspect(key) && !demand.gang;
        if suspect && !pass.may_isolate(|| self.remaining_isolations()) {
            return Attempt::Failed;
        }
        // The task could run elsewhere, so nothing is preempted for it, and others of its demand
        // may be placed.
        if self.awaits_rack(key, &mut pass.claims) {
            return Attempt::Failed;
        }
        let placed = match demand.gang {
            true => self.place_gang(key),
            false => self.place_single(key),
        };
        if placed > 0 && suspect {
            pass.isolations_left = pass.isolations_left.map(|left| left - 1);
        }
        if placed == 0 {
            self.query_more_permits(key);
            self.free_resources_for(key, &mut pass.search);
            pass.record_miss(demand);
            return Attempt::Failed;
        }
        Attempt::Placed(placed)
    }

    /// Returns true while a task may not be placed because workers refused its starts.
    fn is_deferred(&self, key: TaskKey) -> bool {
        let until = self.deferred.get(&key).map_or(0, |deferral| deferral.until);
        self.now.steady < until
    }

    /// Returns the demand of a task, which is the same for all tasks of a step.
    fn cached_demand(&self, key: TaskKey, pass: &mut Pass) -> Rc<Demand> {
        let step = key.step_key();
        match &pass.last_demand {
            Some((last, demand)) if *last == step => demand.clone(),
            _ => {
                let demand = Rc::new(self.demand_of(key));
                pass.last_demand = Some((step, demand.clone()));
                demand
            }
        }
    }

    fn demand_of(&self, key: TaskKey) -> Demand {
        let job = &self.jobs[&key.job];
        let step = job.step(key);
        Demand {
            resources: step.reserved(),
            service: job.row.queue.service.clone(),
            label: step.label.clone(),
            limited_per_worker: step.max_per_worker > 0,
            advised_step: job.row.queue.advised.then(|| key.step_key()),
            best_effort: step.best_effort,
            gang: step.gang,
        }
    }

    /// Returns the workers on which a task could run once enough of their resources are free.
    pub(in crate::sched) fn candidate_workers(&self, key: TaskKey) -> Vec<Name> {
        let all = |request: &PlacementRequest<'_>| {
            let candidate = |w: &&Worker| could_run(w, request, self.now.steady);
            let workers = self.workers.values().filter(candidate);
            workers.map(|w| w.listing.id.clone()).collect()
        };
        self.with_request(key, "", all)
    }

    /// Returns true when a task could run on a worker once enough of its resources are free.
    pub(in crate::sched) fn could_run_on(&self, key: TaskKey, worker: &Worker) -> bool {
        self.with_request(key, "", |request| {
            could_run(worker, request, self.now.steady)
        })
    }

    fn place_single(&mut self, key: TaskKey) -> usize {
        let Some(worker) = self.pick_worker(key, "") else {
            return 0;
        };
        let run = self.jobs[&key.job].task(key).map_or(1, Task::next_run);
        self.assign(key, run, worker);
        1
    }

    /// Places all members of a gang or none. They share a run number.
    fn place_gang(&mut self, key: TaskKey) -> usize {
        let members = self.members(key);
        let job = &self.jobs[&key.job];
        let tasks: Vec<_> = members.iter().filter_map(|m| job.task(*m)).collect();
        if tasks.iter().any(|t| t.phase != Phase::Waiting) || self.must_hold(key) {
            return 0;
        }
        let run = tasks.iter().map(|t| t.next_run()).max().unwrap_or(1);
        let one_rack = job.step(key).one_rack;
        let mut rack = Name::from("");
        let mut allocated = Vec::new();
        for member in &members {
            let Some(worker) = self.pick_worker(*member, &rack) else {
                break;
            };
            if one_rack && rack.is_empty() {
                rack = self.workers[&worker].listing.rack.clone();
            }
            self.allocate(*member, run, worker.clone());
            allocated.push((*member, worker));
        }
        let whole = allocated.len() == members.len();
        for (member, worker) in allocated {
            match whole {
                true => self.record_placement(member, run, worker),
                false => self.deallocate(member, &worker),
            }
        }
        if whole { members.len() } else { 0 }
    }

    /// Returns the best worker for a task, preferably on `rack` unless that is empty.
    pub(in crate::sched) fn pick_worker(&mut self, key: TaskKey, rack: &str) -> Option<Name> {
        let now = self.now.steady;
        let suspect = self.is_suspect(key);
        let reusable = rack.is_empty() && self.failure_count(key) == 0;
        let cached = self
            .ranking
            .take_if(|ranking| reusable && ranking.is_for(key, suspect));
        let is_new = cached.is_none();
        let ranked = |request: &PlacementRequest<'_>| {
            let new = || Ranking::new(self.candidates(&request.step.rack), request, now);
            let ranking = cached.unwrap_or_else(new);
            (ranking.best(request), ranking)
        };
        let (best, ranking) = self.with_request(key, rack, ranked);
        if is_new {
            let passed_over = ranking.passed_over / PASSED_OVER_PER_EXAMINATION;
            self.workers_examined += (ranking.examined + passed_over) as u64;
            if let Some(last) = &ranking.last_examined {
                self.next_candidate = last.clone();
            }
        }
        self.ranking = reusable.then_some(ranking);
        best
    }

    /// Returns the workers in the order in which they are examined for a task: those of its rack,
    /// then the others in turn, so that each ranking begins where the last one ended.
    fn candidates<'a>(&'a self, rack: &'a Name) -> impl Iterator<Item = &'a Worker> {
        let on_rack = match rack.is_empty() {
            true => None,
            false => Some(self.racks.at(rack)),
        };
        let on_rack = on_rack.into_iter().flatten();
        let on_rack = on_rack.filter_map(|id| self.workers.get(id));
        let from = &self.next_candidate;
        let later = self
            .workers
            .range::<Name, _>((Bound::Excluded(from), Bound::Unbounded));
        let earlier = self.workers.range::<Name, _>(..=from);
        let others = later.chain(earlier).map(|(_, worker)| worker);
        let others = others.filter(|w| rack.is_empty() || w.listing.rack != *rack);
        on_rack.chain(others)
    }

    /// Updates the score of a worker that took a task.
    fn update_ranking(&mut self, key: TaskKey, name: &Name) {
        let suspect = self.is_suspect(key);
        let Some(mut ranking) = self.ranking.take_if(|r| r.is_for(key, suspect)) else {
            return;
        };
        if let Some(worker) = self.workers.get(name) {
            let now = self.now.steady;
            self.with_request(key, "", |request| ranking.update(worker, request, now));
        }
        self.ranking = Some(ranking);
    }

    /// Calls `find` with the requirements of a task and returns its result. A `rack` that is not
    /// empty replaces that of the task's step.
    pub(in crate::sched) fn with_request<T>(
        &self,
        key: TaskKey,
        rack: &str,
        find: impl FnOnce(&PlacementRequest<'_>) -> T,
    ) -> T {
        let job = &self.jobs[&key.job];
        let step = job.step(key);
        let on_rack;
        let step = match rack {
            "" => step,
            rack => {
                on_rack = StepSpec {
                    rack: rack.into(),
                    ..step.clone()
                };
                &on_rack
            }
        };
        let mut step_tasks = BTreeMap::new();
        if step.max_per_worker > 0 {
            for member in self.members(key) {
                let copy = self.copies.get(member).map(|copy| &copy.worker);
                for worker in self.placed_on.get(&member).into_iter().chain(copy) {
                    *step_tasks.entry(worker.clone()).or_insert(0) += 1;
                }
            }
        }
        let since = self.ready.get(&key).copied().unwrap_or(self.now.steady);
        let request = PlacementRequest {
            key,
            waited: self.now.steady - since,
            suspect: self.is_suspect(key),
            service: &job.row.queue.service,
            step,
            last_attempt: !step.lasting
                && self.failure_count(key) + 1 >= job.row.queue.max_attempts,
            image: self.interference.image_number(&step.image),
            interference: self
                .settings
                .mechanisms
                .interference
                .then_some(&self.interference),
            last_failed_on: self.failed_on.get(&key).map_or("", |w| w),
            step_tasks: &step_tasks,
            rack_waits: self
                .settings
                .mechanisms
                .spreading
                .then_some(&self.rack_waits),
            permits: self.permits.get(&key.step_key()),
            speeds: self.expected_run(job, step),
        };
        find(&request)
    }

    /// Places a task on a worker. The start is sent once the store has the placement.
    pub(in crate::sched) fn assign(&mut self, key: TaskKey, run: u32, name: Name) {
        self.allocate(key, run, name.clone());
        self.record_placement(key, run, name);
    }

    /// Allocates resources of a worker to a task.
    fn allocate(&mut self, key: TaskKey, run: u32, name: Name) {
        let placement = self.new_placement(key, run, Stage::Recording);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.insert(key, placement);
        }
        self.placed_on.insert(key, name.clone());
        self.update_ranking(key, &name);
    }

    /// Undoes the allocation of a task whose placement was not recorded.
    pub(in crate::sched) fn deallocate(&mut self, key: TaskKey, name: &Name) {
        self.ranking = None;
        self.placed_on.remove(&key);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.remove(key, self.now.steady);
        }
    }

    /// Records a placement for the next commit, after which the start is sent.
    fn record_placement(&mut self, key: TaskKey, run: u32, name: Name) {
        self.ready.remove(&key);
        self.end_rack_wait(key, &name);
        let boot = self.workers.get(&name).and_then(|w| w.boot);
        let long_lease = self.may_have_long_lease(&name);
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|j| j.task_mut(key)) {
            task.run = run;
            task.boot = boot;
            task.long_lease = long_lease;
            task.phase = Phase::Placed(name);
        }
        let job = &self.jobs[&key.job];
        if let Some(group) = job.group.filter(|_| self.settings.mechanisms.shares) {
            self.shares.serve(group, task_work(job.step(key)));
        }
        self.journal
            .run_after_commit(key.job, AfterCommit::Start(key, run));
    }

    /// Returns the placement of a run of a task.
    pub(in crate::sched) fn new_placement(
        &mut self,
        key: TaskKey,
        run: u32,
        stage: Stage,
    ) -> Placement {
        let suspect = self.is_suspect(key);
        let job = &self.jobs[&key.job];
        let boot = job.task(key).and_then(|t| t.boot);
        let resumed = job.task(key).is_some_and(|t| !t.checkpoint.is_empty());
        let step = job.step(key);
        let image_number = self.interference.intern(&step.image);
        Placement {
            run,
            boot,
            suspect,
            stage,
            fence: 0,
            resources: step.reserved(),
            unreserved_cpu: if step.best_effort {
                step.resources.cpu
            } else {
                0
            },
            serving: step.latency_target > 0,
            best_effort: step.best_effort,
            speculative: step.speculative,
            lasting: step.lasting,
            image: step.image.clone(),
            image_number,
            latency_target: step.latency_target,
            cpu: step.resources.cpu,
            speed: FULL_SPEED,
            // An earlier owner may have ordered another speed.
            speed_confirmed: stage != Stage::Inherited,
            throttled_at: self.now.steady,
            throttle_pending: false,
            reported_ready: false,
            gauge: None,
            cpu_used: None,
            placed_at: self.now.steady,
            confirmed_at: None,
            measurable: stage != Stage::Inherited && !resumed,
            judged: false,
        }
    }
}
