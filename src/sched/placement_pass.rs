//! Placing tasks on workers, in their order and gangs as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::job::{Phase, StepKey, TaskKey};
use super::journal::AfterCommit;
use super::owner::Owner;
use super::placement::{Placement, Stage};
use super::preemption::VictimSearch;
use super::scoring::{PlacementRequest, Ranking, could_run};
use super::spec::{Resources, StepSpec};
use super::throttling::FULL_SPEED;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two passes, as one looks at all that waits.
const PASS_INTERVAL: Millis = 10;
/// Waiting tasks for each of which that pause is one millisecond longer, as a pass
/// goes through them all.
const WAITING_PER_MS: u64 = 1_000;
/// Workers looked at in a pass for each of which the same: at 3,000 workers a pass looks at
/// some 50,000, and passes that follow each other at once leave an owner of half a core no
/// time for leases and reports.
const EXAMINED_PER_MS: u64 = 1_000;
/// Most tasks that are placed in one pass, so that other events get their turn.
const MAX_PLACED: usize = 200;
/// Fillers of one service and label that are tried in vain in one pass: what one
/// did not find, the next rarely does.
const MAX_BEST_EFFORT_MISSES: usize = 6;

/// What a task asks for, as far as it tells whether the next one finds room.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Demand {
    /// Room that it holds; first, as it tells most demands apart without their names.
    resources: Resources,
    /// Service whose workers may run it.
    service: Name,
    /// Label that its worker must have; empty for none.
    label: Name,
    /// True when few tasks of its step may share a worker.
    limited_per_worker: bool,
    /// The step, where an advisor tells which workers may run it.
    advised_step: Option<StepKey>,
    /// True when it takes what others leave.
    best_effort: bool,
    /// True when its step is placed as a whole.
    gang: bool,
}

/// Demands that the same workers could meet: their service, label and advised step.
type DemandGroup = (Name, Name, Option<StepKey>);

impl Demand {
    fn group(&self) -> DemandGroup {
        (self.service.clone(), self.label.clone(), self.advised_step)
    }
}

/// How an attempt to place a task went.
enum Attempt {
    /// So many tasks were placed.
    Placed(usize),
    /// It was not placed; others of its step may be.
    Failed,
    /// Nor will others of its step be in this pass.
    Exhausted,
}

/// One pass of placing: what was tried in vain, so that it is not tried again.
struct Pass {
    /// Demands of single tasks that fit nowhere.
    unplaceable: BTreeSet<Rc<Demand>>,
    /// Fillers that found nothing, by family.
    best_effort_misses: BTreeMap<DemandGroup, usize>,
    /// Gangs that had their turn.
    tried_gangs: BTreeSet<StepKey>,
    /// Runs that could give way.
    search: VictimSearch,
    /// What the step of the last task asks for.
    last_demand: Option<(StepKey, Rc<Demand>)>,
    /// Suspects for which a worker may still be isolated; none before the first one.
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
            isolations_left: None,
        }
    }

    /// Returns true when a task has no turn any more: its gang had it, or the
    /// like of it failed too often.
    fn skips(&mut self, key: TaskKey, demand: &Demand) -> bool {
        if demand.gang && !self.tried_gangs.insert(key.step_key()) {
            return true;
        }
        let family = demand.group();
        let tried = self.best_effort_misses.get(&family).copied().unwrap_or(0);
        demand.best_effort && tried >= MAX_BEST_EFFORT_MISSES
    }

    /// Returns true when a worker may still be isolated; `left` counts for how many.
    fn may_isolate(&mut self, left: impl FnOnce() -> usize) -> bool {
        *self.isolations_left.get_or_insert_with(left) > 0
    }

    /// Takes in that a task found no room.
    fn record_miss(&mut self, demand: Rc<Demand>) {
        if demand.best_effort {
            let family = demand.group();
            *self.best_effort_misses.entry(family).or_default() += 1;
        }
        // Where a member of a spread step fits depends on where the others are.
        if !demand.limited_per_worker && !demand.best_effort && !demand.gang {
            self.unplaceable.insert(demand);
        }
    }
}

impl Owner {
    /// Places ready tasks in their order, as far as there is room.
    pub(super) fn place_ready_tasks(&mut self) {
        let now = self.now.steady;
        if self.saturated || now < self.next_pass || self.journal.in_doubt() {
            return;
        }
        self.next_pass = now + PASS_INTERVAL + self.ready.len() as u64 / WAITING_PER_MS;
        self.ranking = None;
        self.prune_reservations();
        let before = self.workers_examined;
        let count = self.run_pass();
        self.next_pass += (self.workers_examined - before) / EXAMINED_PER_MS;
        self.saturated = count == 0;
    }

    /// Goes once through what waits; returns how many tasks were placed.
    fn run_pass(&mut self) -> usize {
        let mut pass = Pass::new();
        let mut count = 0;
        for turn in self.placement_order() {
            for key in self.waiting_tasks(turn) {
                if count >= MAX_PLACED {
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

    /// Places a task, with its gang if it has one, unless the like of it was tried
    /// in vain.
    fn try_place(&mut self, key: TaskKey, pass: &mut Pass) -> Attempt {
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
        // A gang needs all its places at once, so it does not wait for that.
        let suspect = self.is_suspect(key) && !demand.gang;
        if suspect && !pass.may_isolate(|| self.remaining_isolations()) {
            return Attempt::Failed;
        }
        let placed = match demand.gang {
            true => self.place_gang(key),
            false => self.place_one(key),
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

    /// Returns true while a task waits, as workers could not take its starts.
    fn is_deferred(&self, key: TaskKey) -> bool {
        let until = self.deferred.get(&key).map_or(0, |deferral| deferral.until);
        self.now.steady < until
    }

    /// Returns what a task asks for; tasks of a step ask for the same.
    fn cached_demand(&self, key: TaskKey, pass: &mut Pass) -> Rc<Demand> {
        let step = key.step_key();
        match &pass.last_demand {
            Some((asked, demand)) if *asked == step => demand.clone(),
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

    /// Returns the workers on which a task could run once there is room.
    pub(super) fn eligible_workers(&self, key: TaskKey) -> Vec<Name> {
        let all = |wish: &PlacementRequest<'_>| {
            let able = |w: &&Worker| could_run(w, wish, self.now.steady);
            let workers = self.workers.values().filter(able);
            workers.map(|w| w.listing.id.clone()).collect()
        };
        self.with_request(key, "", all)
    }

    /// Returns true when a task could run on a worker once there is room.
    pub(super) fn could_run_on(&self, key: TaskKey, worker: &Worker) -> bool {
        self.with_request(key, "", |wish| could_run(worker, wish, self.now.steady))
    }

    fn place_one(&mut self, key: TaskKey) -> usize {
        let Some(worker) = self.pick_worker(key, "") else {
            return 0;
        };
        let run = self.jobs[&key.job].task(key).map_or(0, |t| t.run) + 1;
        self.assign(key, run, worker);
        1
    }

    /// Places all members of a gang or none; they share the number of their run.
    fn place_gang(&mut self, key: TaskKey) -> usize {
        let members = self.members(key);
        let job = &self.jobs[&key.job];
        let tasks: Vec<_> = members.iter().filter_map(|m| job.task(*m)).collect();
        if tasks.iter().any(|t| t.phase != Phase::Waiting) {
            return 0;
        }
        let run = tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let one_rack = job.step(key).one_rack;
        let mut rack = Name::from("");
        let mut reserved = Vec::new();
        for member in &members {
            let Some(worker) = self.pick_worker(*member, &rack) else {
                break;
            };
            if one_rack && rack.is_empty() {
                rack = self.workers[&worker].listing.rack.clone();
            }
            self.reserve(*member, run, worker.clone());
            reserved.push((*member, worker));
        }
        let whole = reserved.len() == members.len();
        for (member, worker) in reserved {
            match whole {
                true => self.record(member, run, worker),
                false => self.unreserve(member, &worker),
            }
        }
        if whole { members.len() } else { 0 }
    }

    /// Returns the worker for a task, on `rack` unless that is empty.
    fn pick_worker(&mut self, key: TaskKey, rack: &str) -> Option<Name> {
        let now = self.now.steady;
        let alike = rack.is_empty() && self.failure_count(key) == 0 && !self.is_suspect(key);
        let known = self.ranking.take_if(|r| alike && r.step == key.step_key());
        if known.is_none() {
            self.workers_examined += self.workers.len() as u64;
        }
        let ranked = |wish: &PlacementRequest<'_>| {
            let ranking = known.unwrap_or_else(|| Ranking::new(&self.workers, wish, now));
            (ranking.best(wish), ranking)
        };
        let (best, ranking) = self.with_request(key, rack, ranked);
        self.ranking = alike.then_some(ranking);
        best
    }

    /// Scores a worker that took a task anew.
    fn update_ranking(&mut self, key: TaskKey, name: &Name) {
        let Some(mut ranking) = self.ranking.take_if(|r| r.step == key.step_key()) else {
            return;
        };
        if let Some(worker) = self.workers.get(name) {
            let now = self.now.steady;
            self.with_request(key, "", |wish| ranking.update(worker, wish, now));
        }
        self.ranking = Some(ranking);
    }

    /// Returns the worker that `find` gives for what a task asks for.
    pub(super) fn with_request<T>(
        &self,
        key: TaskKey,
        rack: &str,
        find: impl FnOnce(&PlacementRequest<'_>) -> T,
    ) -> T {
        let job = &self.jobs[&key.job];
        let step = job.step(key);
        let wanted;
        let step = match rack {
            "" => step,
            rack => {
                wanted = StepSpec {
                    rack: rack.into(),
                    ..step.clone()
                };
                &wanted
            }
        };
        let mut beside = BTreeMap::new();
        if step.max_per_worker > 0 {
            for member in self.members(key) {
                if let Some(worker) = self.placed_on.get(&member) {
                    *beside.entry(worker.clone()).or_insert(0) += 1;
                }
            }
        }
        let since = self.ready.get(&key).copied().unwrap_or(self.now.steady);
        let wish = PlacementRequest {
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
            step_tasks: &beside,
            permits: self.permits.get(&key.step_key()),
        };
        find(&wish)
    }

    /// Gives a task to a worker; the start is sent once the store holds it.
    fn assign(&mut self, key: TaskKey, run: u32, name: Name) {
        self.reserve(key, run, name.clone());
        self.record(key, run, name);
    }

    /// Takes room for a task on a worker.
    fn reserve(&mut self, key: TaskKey, run: u32, name: Name) {
        let placement = self.new_placement(key, run, Stage::Recording);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.insert(key, placement);
        }
        self.placed_on.insert(key, name.clone());
        self.update_ranking(key, &name);
    }

    /// Gives back the room of a task whose place was not recorded.
    fn unreserve(&mut self, key: TaskKey, name: &Name) {
        self.ranking = None;
        self.placed_on.remove(&key);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.remove(key, self.now.steady);
        }
    }

    /// Has the place of a task kept, and then its start sent.
    fn record(&mut self, key: TaskKey, run: u32, name: Name) {
        self.ready.remove(&key);
        let boot = self.workers.get(&name).and_then(|w| w.boot);
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|j| j.task_mut(key)) {
            task.run = run;
            task.boot = boot;
            task.phase = Phase::Placed(name);
        }
        self.journal
            .run_after_commit(key.job, AfterCommit::Start(key, run));
    }

    /// Returns what a run of a task takes on its worker.
    pub(super) fn new_placement(&mut self, key: TaskKey, run: u32, stage: Stage) -> Placement {
        let suspect = self.is_suspect(key);
        let job = &self.jobs[&key.job];
        let boot = job.task(key).and_then(|t| t.boot);
        let step = job.step(key);
        let image_number = self.interference.intern(&step.image);
        Placement {
            run,
            boot,
            suspect,
            stage,
            resources: step.reserved(),
            unreserved_cpu: if step.best_effort {
                step.resources.cpu
            } else {
                0
            },
            serving: step.latency_target > 0,
            best_effort: step.best_effort,
            lasting: step.lasting,
            image: step.image.clone(),
            image_number,
            latency_target: step.latency_target,
            cpu: step.resources.cpu,
            speed: FULL_SPEED,
            // The owner before may have ordered another.
            speed_confirmed: stage != Stage::Inherited,
            throttled_at: self.now.steady,
            throttle_pending: false,
            at_work: false,
            gauge: None,
            cpu_used: None,
            placed_at: self.now.steady,
            confirmed_at: None,
        }
    }
}
