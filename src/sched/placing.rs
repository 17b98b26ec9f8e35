//! Placing tasks on workers, in their order and gangs as a whole.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::choice::{Ranking, Wish, could_run};
use super::job::{Phase, StepKey, TaskKey};
use super::journal::AfterCommit;
use super::owner::Owner;
use super::placement::{Placement, Stage};
use super::preempt::Search;
use super::spec::{Resources, StepSpec};
use super::throttling::FULL_SPEED;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two passes, as one looks at all that waits.
const PLACE_PAUSE: Millis = 10;
/// Waiting tasks for each of which that pause is one millisecond longer, as a pass
/// goes through them all.
const WAITING: u64 = 1_000;
/// Workers looked at in a pass for each of which the same: at 3,000 workers a pass looks at
/// some 50,000, and passes that follow each other at once leave an owner of half a core no
/// time for leases and reports.
const LOOKED: u64 = 1_000;
/// Most tasks that are placed in one pass, so that other events get their turn.
const PLACED_AT_ONCE: usize = 200;
/// Fillers of one service and label that are tried in vain in one pass: what one
/// did not find, the next rarely does.
const FILLERS_TRIED: usize = 6;

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
    spread: bool,
    /// The step, where an advisor tells which workers may run it.
    advised: Option<StepKey>,
    /// True when it takes what others leave.
    best_effort: bool,
    /// True when its step is placed as a whole.
    gang: bool,
}

/// Demands that the same workers could meet: their service, label and advised step.
type Family = (Name, Name, Option<StepKey>);

impl Demand {
    fn family(&self) -> Family {
        (self.service.clone(), self.label.clone(), self.advised)
    }
}

/// How an attempt to place a task went.
enum Attempt {
    /// So many tasks were placed.
    Placed(usize),
    /// It was not placed; others of its step may be.
    Failed,
    /// Nor will others of its step be in this pass.
    Hopeless,
}

/// One pass of placing: what was tried in vain, so that it is not tried again.
struct Pass {
    /// Demands of single tasks that fit nowhere.
    misfits: BTreeSet<Rc<Demand>>,
    /// Fillers that found nothing, by family.
    fillers: BTreeMap<Family, usize>,
    /// Gangs that had their turn.
    gangs: BTreeSet<StepKey>,
    /// Runs that could give way.
    search: Search,
    /// What the step of the last task asks for.
    asked: Option<(StepKey, Rc<Demand>)>,
    /// Suspects for which a worker may still be isolated; none before the first one.
    isolations: Option<usize>,
}

impl Pass {
    fn new() -> Self {
        Self {
            misfits: BTreeSet::new(),
            fillers: BTreeMap::new(),
            gangs: BTreeSet::new(),
            search: Search::new(),
            asked: None,
            isolations: None,
        }
    }

    /// Returns true when a task has no turn any more: its gang had it, or the
    /// like of it failed too often.
    fn skips(&mut self, key: TaskKey, demand: &Demand) -> bool {
        if demand.gang && !self.gangs.insert(key.step_key()) {
            return true;
        }
        let family = demand.family();
        let tried = self.fillers.get(&family).copied().unwrap_or(0);
        demand.best_effort && tried >= FILLERS_TRIED
    }

    /// Returns true when a worker may still be isolated; `left` counts for how many.
    fn isolates(&mut self, left: impl FnOnce() -> usize) -> bool {
        *self.isolations.get_or_insert_with(left) > 0
    }

    /// Takes in that a task found no room.
    fn failed(&mut self, demand: Rc<Demand>) {
        if demand.best_effort {
            let family = demand.family();
            *self.fillers.entry(family).or_default() += 1;
        }
        // Where a member of a spread step fits depends on where the others are.
        if !demand.spread && !demand.best_effort && !demand.gang {
            self.misfits.insert(demand);
        }
    }
}

impl Owner {
    /// Places ready tasks in their order, as far as there is room.
    pub(super) fn place(&mut self) {
        let now = self.now.steady;
        if self.saturated || now < self.next_pass || self.journal.in_doubt() {
            return;
        }
        self.next_pass = now + PLACE_PAUSE + self.ready.len() as u64 / WAITING;
        self.ranking = None;
        self.settle_promises();
        let before = self.workers_examined;
        let count = self.pass();
        self.next_pass += (self.workers_examined - before) / LOOKED;
        self.saturated = count == 0;
    }

    /// Goes once through what waits; returns how many tasks were placed.
    fn pass(&mut self) -> usize {
        let mut pass = Pass::new();
        let mut count = 0;
        for turn in self.order() {
            for key in self.waiting_of(turn) {
                if count >= PLACED_AT_ONCE {
                    return count;
                }
                if !self.ready.contains_key(&key) {
                    continue;
                }
                match self.attempt(key, &mut pass) {
                    Attempt::Placed(tasks) => count += tasks,
                    Attempt::Failed => {}
                    Attempt::Hopeless => break,
                }
            }
        }
        count
    }

    /// Places a task, with its gang if it has one, unless the like of it was tried
    /// in vain.
    fn attempt(&mut self, key: TaskKey, pass: &mut Pass) -> Attempt {
        let demand = self.demand(key, pass);
        if pass.misfits.contains(&demand) {
            self.make_room(key, &mut pass.search);
            return match pass.search.over() {
                true => Attempt::Hopeless,
                false => Attempt::Failed,
            };
        }
        if pass.skips(key, &demand) {
            return Attempt::Hopeless;
        }
        if self.waits(key) || !self.permitted(key) {
            return Attempt::Failed;
        }
        // A gang needs all its places at once, so it does not wait for that.
        let suspect = self.is_suspect(key) && !demand.gang;
        if suspect && !pass.isolates(|| self.remaining_isolations()) {
            return Attempt::Failed;
        }
        let placed = match demand.gang {
            true => self.place_gang(key),
            false => self.place_one(key),
        };
        if placed > 0 && suspect {
            pass.isolations = pass.isolations.map(|left| left - 1);
        }
        if placed == 0 {
            self.more_permits(key);
            self.make_room(key, &mut pass.search);
            pass.failed(demand);
            return Attempt::Failed;
        }
        Attempt::Placed(placed)
    }

    /// Returns true while a task waits, as workers could not take its starts.
    fn waits(&self, key: TaskKey) -> bool {
        let until = self.deferred.get(&key).map_or(0, |deferral| deferral.until);
        self.now.steady < until
    }

    /// Returns what a task asks for; tasks of a step ask for the same.
    fn demand(&self, key: TaskKey, pass: &mut Pass) -> Rc<Demand> {
        let step = key.step_key();
        match &pass.asked {
            Some((asked, demand)) if *asked == step => demand.clone(),
            _ => {
                let demand = Rc::new(self.demand_of(key));
                pass.asked = Some((step, demand.clone()));
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
            spread: step.max_per_worker > 0,
            advised: job.row.queue.advised.then(|| key.step_key()),
            best_effort: step.best_effort,
            gang: step.gang,
        }
    }

    /// Returns the workers on which a task could run once there is room.
    pub(super) fn able(&self, key: TaskKey) -> Vec<Name> {
        let all = |wish: &Wish<'_>| {
            let able = |w: &&Worker| could_run(w, wish, self.now.steady);
            let workers = self.workers.values().filter(able);
            workers.map(|w| w.listing.id.clone()).collect()
        };
        self.wished(key, "", all)
    }

    /// Returns true when a task could run on a worker once there is room.
    pub(super) fn could_run_on(&self, key: TaskKey, worker: &Worker) -> bool {
        self.wished(key, "", |wish| could_run(worker, wish, self.now.steady))
    }

    fn place_one(&mut self, key: TaskKey) -> usize {
        let Some(worker) = self.pick(key, "") else {
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
            let Some(worker) = self.pick(*member, &rack) else {
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
    fn pick(&mut self, key: TaskKey, rack: &str) -> Option<Name> {
        let now = self.now.steady;
        let alike = rack.is_empty() && self.failures(key) == 0 && !self.is_suspect(key);
        let known = self.ranking.take_if(|r| alike && r.step == key.step_key());
        if known.is_none() {
            self.workers_examined += self.workers.len() as u64;
        }
        let ranked = |wish: &Wish<'_>| {
            let ranking = known.unwrap_or_else(|| Ranking::new(&self.workers, wish, now));
            (ranking.best(wish), ranking)
        };
        let (best, ranking) = self.wished(key, rack, ranked);
        self.ranking = alike.then_some(ranking);
        best
    }

    /// Scores a worker that took a task anew.
    fn rank_again(&mut self, key: TaskKey, name: &Name) {
        let Some(mut ranking) = self.ranking.take_if(|r| r.step == key.step_key()) else {
            return;
        };
        if let Some(worker) = self.workers.get(name) {
            let now = self.now.steady;
            self.wished(key, "", |wish| ranking.update(worker, wish, now));
        }
        self.ranking = Some(ranking);
    }

    /// Returns the worker that `find` gives for what a task asks for.
    pub(super) fn wished<T>(
        &self,
        key: TaskKey,
        rack: &str,
        find: impl FnOnce(&Wish<'_>) -> T,
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
        let wish = Wish {
            key,
            waited: self.now.steady - since,
            suspect: self.is_suspect(key),
            service: &job.row.queue.service,
            step,
            last_try: !step.lasting && self.failures(key) + 1 >= job.row.queue.attempts,
            image: self.interference.image_number(&step.image),
            interference: self
                .settings
                .mechanisms
                .interference
                .then_some(&self.interference),
            avoid: self.failed_on.get(&key).map_or("", |w| w),
            beside: &beside,
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
        let placement = self.placement(key, run, Stage::Recording);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.insert(key, placement);
        }
        self.placed_on.insert(key, name.clone());
        self.rank_again(key, &name);
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
    pub(super) fn placement(&mut self, key: TaskKey, run: u32, stage: Stage) -> Placement {
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
