//! Preemption: stops runs to free resources for waiting tasks that fit nowhere.
//!
//! Tasks of a lower priority are preempted, and lasting tasks of an equal one. A lasting task
//! only loses the time in which it does not run, while a task that ends loses all of its value
//! if it misses its due time.
//!
//! Lasting tasks that do not all fit take turns: one that was interrupted for a while takes the place
//! of one that has run for a while, or of several on one worker.

use std::collections::BTreeMap;

use crate::sched::job::TaskKey;
use crate::sched::owner::Owner;
use crate::sched::placing::permits::Permits;
use crate::sched::placing::placement::{Placement, Stage};
use crate::sched::placing::scoring::{PlacementRequest, could_run};
use crate::sched::shares::floor::Usage;
use crate::sched::spec::Resources;
use crate::sched::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds that a run lasts at least before it is preempted. A stop and the next start take
/// about one second, so that preempting shorter runs would cost more than it gains.
pub(in crate::sched) const MIN_RUN_TIME: Millis = 3_000;
/// Milliseconds that a lasting task runs at least before another one takes its place. With shorter
/// turns the workers would be idle for too much of the time.
const MIN_TURN: Millis = 6_000;
/// One in this many lasting tasks may be interrupted at the same time.
const INTERRUPTED_DIVISOR: usize = 12;
/// Milliseconds after which an interrupted lasting task preempts another one. The platform allows
/// 6 s, and the stop of one and the start of the other take up to 1.5 s.
const MAX_INTERRUPTION: Millis = 3_000;
/// Most waiting tasks that end for which one placement pass searches victims, as each search may
/// examine all runs.
const MAX_SEARCHES: usize = 6;

/// Resources of a worker that are kept for a waiting task.
#[derive(Clone, Debug)]
pub(in crate::sched) struct Reservation {
    /// The task that they are kept for.
    pub key: TaskKey,
    /// Resources that the task reserves.
    pub resources: Resources,
}

/// A run that could be preempted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    /// Thousandths of cores that the run uses, and has used in vain if it is stopped.
    cost: u64,
    /// Task of the run.
    key: TaskKey,
    /// Worker of the run.
    worker: Name,
}

/// What decides which runs a waiting task may preempt, and in which order.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Criteria {
    /// Service whose workers may run the task.
    service: Name,
    /// Priority of the queue of the task.
    priority: u32,
    /// True when lasting tasks may be preempted.
    include_lasting: bool,
    /// Resources that one run has to free; none for an interrupted lasting task that is to run
    /// again, for which several runs may be stopped.
    freed: Option<Resources>,
}

impl Criteria {
    /// Returns true when an interrupted lasting task is to run again.
    fn is_restart(&self) -> bool {
        self.freed.is_none()
    }
}

/// Runs that tasks with the same criteria could preempt.
struct FoundVictims {
    criteria: Criteria,
    /// The runs, the lowest cost first.
    victims: Vec<Victim>,
    /// Resources for which no victims are left, on any worker.
    unmet: Vec<Resources>,
}

/// Search for victims in one placement pass. Its result is used for all tasks with the same
/// criteria, so that passes stay short on full workers.
pub(in crate::sched) struct VictimSearch {
    /// Number of tasks that end for which resources may still be freed.
    searches_left: usize,
    /// Result of the last search.
    found: Option<FoundVictims>,
}

impl VictimSearch {
    /// Returns the search for a new pass.
    pub fn new() -> Self {
        Self {
            searches_left: MAX_SEARCHES,
            found: None,
        }
    }

    /// Returns true when resources are freed for no more tasks that end in this pass.
    pub fn is_exhausted(&self) -> bool {
        self.searches_left == 0
    }
}

impl Owner {
    /// Removes reservations for tasks that no longer wait, and unmarks interrupted tasks that run
    /// again.
    pub(in crate::sched) fn prune_reservations(&mut self) {
        let stops = |key| {
            let stage = self.placement_of(key).map(|run| run.stage);
            matches!(stage, Some(Stage::Stopping(_) | Stage::Stopped(_)))
        };
        let waits = |key: &TaskKey| self.ready.contains_key(key) || stops(*key);
        let obsolete = self.reservations.iter().filter(|(key, _)| !waits(key));
        let obsolete: Vec<(TaskKey, Name)> = obsolete.map(|(k, n)| (*k, n.clone())).collect();
        let runs = |key: &TaskKey| self.placement_of(*key).is_none_or(Placement::is_running);
        let resumed = |key: &&TaskKey| !self.ready.contains_key(*key) && runs(key);
        let resumed: Vec<TaskKey> = self.interrupted.keys().filter(resumed).copied().collect();
        for (key, name) in obsolete {
            self.reservations.remove(&key);
            let worker = self.workers.get_mut(&name);
            if let Some(worker) = worker.filter(|w| w.reserved_task() == Some(key)) {
                worker.reservation = None;
            }
        }
        for key in resumed {
            self.interrupted.remove(&key);
        }
    }

    /// Marks a lasting task as interrupted from now on, unless it already is.
    pub(in crate::sched) fn mark_interrupted(&mut self, key: TaskKey) {
        self.interrupted.entry(key).or_insert(self.now.steady);
    }

    /// Cancels the reservation on a worker, so that its task may be placed elsewhere.
    pub(in crate::sched) fn cancel_reservation(&mut self, name: &Name) {
        let worker = self.workers.get_mut(name);
        if let Some(reservation) = worker.and_then(|w| w.reservation.take()) {
            self.reservations.remove(&reservation.key);
        }
    }

    /// Reserves resources of a worker for a task.
    pub(in crate::sched) fn reserve_on(&mut self, key: TaskKey, resources: Resources, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.reservation = Some(Reservation { key, resources });
        self.reservations.insert(key, name.clone());
    }

    /// Preempts runs for a waiting task that fits nowhere, if the task may preempt others.
    pub(in crate::sched) fn free_resources_for(&mut self, key: TaskKey, search: &mut VictimSearch) {
        let step = self.jobs[&key.job].step(key);
        if step.best_effort || step.gang || self.reservations.contains_key(&key) {
            return;
        }
        if step.lasting {
            if self.is_interrupted_for_long(key) {
                self.preempt(key, search);
            }
        } else if search.searches_left > 0 {
            search.searches_left -= 1;
            self.preempt(key, search);
        }
    }

    /// Returns true when an interrupted lasting task should run again at once.
    fn is_interrupted_for_long(&self, key: TaskKey) -> bool {
        let since = self.interrupted.get(&key);
        since.is_some_and(|at| self.now.steady >= at + MAX_INTERRUPTION)
    }

    /// Stops the runs with the lowest cost that free enough resources for a waiting task.
    fn preempt(&mut self, key: TaskKey, search: &mut VictimSearch) {
        if !self.settings.mechanisms.preempt {
            return;
        }
        let criteria = self.victim_criteria(key);
        let found = search.found.take().filter(|f| f.criteria == criteria);
        let mut found = found.unwrap_or_else(|| {
            self.workers_examined += self.workers.len() as u64;
            FoundVictims {
                victims: self.victims(&criteria),
                criteria,
                unmet: Vec::new(),
            }
        });
        let chosen = self.choose_victims(key, &mut found);
        search.found = Some(found);
        self.stop_victims(key, chosen);
    }

    /// Chooses the runs to stop for a task, and removes the runs of their worker from the found ones.
    fn choose_victims(&self, key: TaskKey, found: &mut FoundVictims) -> Vec<Victim> {
        let resources = self.jobs[&key.job].step(key).reserved();
        if found.unmet.iter().any(|unmet| unmet.within(resources)) {
            return Vec::new();
        }
        let mut chosen = Vec::from_iter(self.find_victim(key, &found.victims));
        if chosen.is_empty() && found.criteria.is_restart() {
            chosen = self.find_victim_group(key, &found.victims);
        }
        if let Some(worker) = chosen.first().map(|victim| victim.worker.clone()) {
            // The worker has a reservation now.
            found.victims.retain(|victim| victim.worker != worker);
        } else if !self.is_restricted(key) {
            found.unmet.push(resources);
        }
        chosen
    }

    /// Returns true when a task may not run on every worker that has the resources. That it finds
    /// no victims then says nothing of other tasks.
    fn is_restricted(&self, key: TaskKey) -> bool {
        let step = self.jobs[&key.job].step(key);
        let is_advised = self.permits.contains_key(&key.step_key());
        !step.label.is_empty() || step.max_per_worker > 0 || is_advised
    }

    /// Stops runs of one worker, whose resources are reserved for a waiting task.
    fn stop_victims(&mut self, key: TaskKey, victims: Vec<Victim>) {
        let Some(name) = victims.first().map(|victim| victim.worker.clone()) else {
            return;
        };
        let resources = self.jobs[&key.job].step(key).reserved();
        self.reserve_on(key, resources, &name);
        self.ranking = None;
        let since = self.interrupted.get(&key).copied();
        let away = self.now.steady - since.unwrap_or(self.now.steady);
        for victim in victims {
            let (task, other) = (self.task_name(victim.key), self.task_name(key));
            log::info!(target: "task", "task={task} event=preempted worker={name} for={other} away_ms={away}");
            if self.jobs[&victim.key.job].step(victim.key).lasting {
                self.mark_interrupted(victim.key);
            }
            self.stop_run(victim.key, &name);
        }
    }

    /// Returns the criteria of a waiting task for its victims.
    fn victim_criteria(&self, key: TaskKey) -> Criteria {
        let job = &self.jobs[&key.job];
        let step = job.step(key);
        Criteria {
            service: job.row.queue.service.clone(),
            priority: job.row.queue.priority,
            include_lasting: step.lasting
                || self.may_interrupt_lasting()
                || self.is_below_floor(&job.row.queue.service),
            freed: (!step.lasting).then(|| step.reserved()),
        }
    }

    /// Returns the run with the lowest cost that alone frees enough resources for a task.
    fn find_victim(&self, key: TaskKey, victims: &[Victim]) -> Option<Victim> {
        self.with_request(key, "", |request| {
            let resources = request.step.reserved();
            let enough = |victim: &&Victim| {
                self.frees_alone(victim, resources)
                    && self.preemptible_run(victim, request).is_some()
            };
            victims.iter().find(enough).cloned()
        })
    }

    /// Returns true when the resources of a run are enough for a task.
    fn frees_alone(&self, victim: &Victim, resources: Resources) -> bool {
        let worker = self.workers.get(&victim.worker);
        worker.is_some_and(|w| {
            let run = w.placements.get(&victim.key);
            run.is_some_and(|run| w.fits_without(run.resources, resources))
        })
    }

    /// Returns runs of one worker, those with the lowest cost, that together free enough resources
    /// for a task; none if there are no such runs.
    fn find_victim_group(&self, key: TaskKey, victims: &[Victim]) -> Vec<Victim> {
        self.with_request(key, "", |request| {
            let mut groups: BTreeMap<&Name, (Resources, Vec<&Victim>)> = BTreeMap::new();
            for victim in victims {
                let Some((worker, run)) = self.preemptible_run(victim, request) else {
                    continue;
                };
                let (freed, group) = groups.entry(&victim.worker).or_default();
                // Two tasks of one step may not be disrupted together even if either may alone.
                let step = victim.key.step_key();
                if group.iter().any(|other| other.key.step_key() == step) {
                    continue;
                }
                *freed = freed.plus(run.resources);
                group.push(victim);
                if worker.fits_without(*freed, request.step.reserved()) {
                    return group.iter().copied().cloned().collect();
                }
            }
            Vec::new()
        })
    }

    /// Returns the run of a victim and its worker if it may still be stopped for a task. Since the
    /// search, it may have been stopped or resources of its worker reserved.
    fn preemptible_run(
        &self,
        victim: &Victim,
        request: &PlacementRequest<'_>,
    ) -> Option<(&Worker, &Placement)> {
        let now = self.now.steady;
        let worker = self.workers.get(&victim.worker)?;
        let run = worker.placements.get(&victim.key)?;
        let permitted = |permits: &Permits| permits.allows(&victim.worker, now);
        let may_stop = run.is_running()
            && worker.reservation.is_none()
            && could_run(worker, request, now)
            && request.permits.is_none_or(permitted)
            && self.may_disrupt(victim.key);
        may_stop.then_some((worker, run))
    }

    /// Returns the runs that meet criteria, the lowest cost first.
    fn victims(&self, criteria: &Criteria) -> Vec<Victim> {
        let now = self.now.steady;
        let candidate = |w: &&Worker| w.listing.service == criteria.service && w.accepts_tasks(now);
        let workers = self.workers.values().filter(candidate);
        let mut victims: Vec<Victim> = workers.flat_map(|w| self.victims_on(w, criteria)).collect();
        victims.sort_unstable();
        victims
    }

    /// Returns the runs on a worker that meet criteria.
    fn victims_on(&self, worker: &Worker, criteria: &Criteria) -> Vec<Victim> {
        let count = worker.count_non_preemptible(criteria.include_lasting);
        if worker.placements.len() <= count {
            return Vec::new();
        }
        let frees_enough = |run: &Placement| {
            let fits = |resources| worker.fits_without(run.resources, resources);
            criteria.freed.is_none_or(fits)
        };
        let runs = worker.placements.iter();
        let runs = runs.filter(|(_, run)| frees_enough(run));
        let victims = runs.filter_map(|(key, run)| {
            let cost = self.preemption_cost(criteria, *key, run)?;
            Some(Victim {
                cost,
                key: *key,
                worker: worker.listing.id.clone(),
            })
        });
        victims.collect()
    }

    /// Returns the cost of stopping a run, or `None` when it does not meet criteria.
    fn preemption_cost(
        &self,
        criteria: &Criteria,
        victim: TaskKey,
        run: &Placement,
    ) -> Option<u64> {
        let job = self.jobs.get(&victim.job).filter(|j| j.is_open())?;
        let step = job.step(victim);
        if !run.is_running() || step.gang || step.best_effort {
            return None;
        }
        let age = self.now.steady - run.placed_at;
        let priority = job.row.queue.priority;
        if priority < criteria.priority || age < MIN_RUN_TIME {
            return None;
        }
        if step.lasting {
            return self.lasting_cost(criteria, run);
        }
        if priority == criteria.priority {
            return None;
        }
        let done = age * run.cpu / 1_000;
        Some(match step.checkpoints {
            true => run.cpu,
            false => run.cpu + done,
        })
    }

    /// Returns the cost of stopping the run of a lasting task, or `None` when it does not meet
    /// criteria.
    fn lasting_cost(&self, criteria: &Criteria, run: &Placement) -> Option<u64> {
        if !criteria.include_lasting {
            return None;
        }
        if criteria.is_restart() && self.now.steady < run.placed_at + MIN_TURN {
            return None;
        }
        // A task over its latency target loses least, as it runs badly on this worker.
        let over = run.gauge.as_ref().is_some_and(|g| g.breach.is_some());
        Some(if over { run.cpu / 2 } else { run.cpu })
    }

    /// Returns true when the tasks of a service that end hold less than their floor of processors.
    fn is_below_floor(&self, service: &str) -> bool {
        if !self.settings.mechanisms.shares {
            return false;
        }
        let (mut usage, now) = (Usage::default(), self.now.steady);
        for worker in self.workers.values() {
            if &*worker.listing.service == service {
                usage.ending += worker.ending_cpu;
                usage.lasting += worker.allocated.cpu - worker.ending_cpu;
                if worker.accepts_tasks(now) {
                    usage.capacity += worker.listing.capacity.cpu;
                }
            }
        }
        let waiting = self.interrupted.keys().filter_map(|key| {
            let job = self.jobs.get(&key.job)?;
            let waits = self.ready.contains_key(key) && &*job.row.queue.service == service;
            waits.then(|| job.step(*key).reserved().cpu)
        });
        usage.waiting = waiting.sum();
        let reserved = self.reservations.keys().filter_map(|key| {
            let job = self.jobs.get(&key.job)?;
            let step = job.step(*key);
            (!step.lasting && &*job.row.queue.service == service).then(|| step.reserved().cpu)
        });
        usage.ending += reserved.sum::<u64>();
        usage.is_below_floor()
    }

    /// Returns true when another lasting task may be interrupted: few are, and none of them waits
    /// for long.
    fn may_interrupt_lasting(&self) -> bool {
        let waits_long =
            |key: &TaskKey| self.ready.contains_key(key) && self.is_interrupted_for_long(*key);
        if self.interrupted.keys().any(waits_long) {
            return false;
        }
        let all: u32 = self.workers.values().map(|w| w.lasting_tasks).sum();
        self.interrupted.len() * INTERRUPTED_DIVISOR < all as usize
    }
}
