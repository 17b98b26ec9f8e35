//! Preemption: stops runs to free resources for waiting tasks that fit nowhere.
//!
//! Tasks of a lower priority are preempted, and lasting tasks of an equal one. A lasting task
//! only loses the time in which it does not run, while a task that ends loses all of its value
//! if it misses its due time.

use super::job::{StepKey, TaskKey};
use super::owner::Owner;
use super::placement::{Placement, Stage};
use super::scoring::could_run;
use super::spec::Resources;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds that a run lasts at least before it is preempted. A stop and the next start take
/// about one second, so that preempting shorter runs would cost more than it gains.
pub(super) const MIN_RUN_TIME: Millis = 3_000;
/// One in this many lasting tasks may be interrupted at the same time.
const INTERRUPTED_DIVISOR: usize = 12;
/// Milliseconds after which an interrupted lasting task may preempt another one, so that each is
/// interrupted for a short time only.
const MAX_INTERRUPTION: Millis = 2_500;
/// Most waiting tasks for which one placement pass searches victims, as each search examines all
/// runs.
const MAX_SEARCHES: usize = 6;

/// Resources of a worker that are kept for a waiting task.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// The task that they are kept for.
    pub key: TaskKey,
    /// Resources that the task reserves.
    pub resources: Resources,
}

/// Cost of preempting a run, its task and its worker. The run with the lowest cost is preempted.
type Victim = (u64, TaskKey, Name);

/// Search for victims in one placement pass. The tasks of a step follow each other in the order
/// and have the same possible victims, so that one search per step keeps passes short on full
/// workers.
pub(super) struct VictimSearch {
    /// Number of tasks for which resources may still be freed.
    searches_left: usize,
    /// The search that found `victims`: its step, and whether lasting tasks may be interrupted.
    searched_for: Option<(StepKey, bool)>,
    /// Runs that could be preempted, the lowest cost last.
    victims: Vec<Victim>,
}

impl VictimSearch {
    /// Returns the search for a new pass.
    pub fn new() -> Self {
        Self {
            searches_left: MAX_SEARCHES,
            searched_for: None,
            victims: Vec::new(),
        }
    }

    /// Returns true when resources are freed for no more tasks in this pass.
    pub fn is_exhausted(&self) -> bool {
        self.searches_left == 0
    }
}

impl Owner {
    /// Removes reservations for tasks that no longer wait, and unmarks interrupted tasks that run
    /// again.
    pub(super) fn prune_reservations(&mut self) {
        let stops = |key| {
            let stage = self.placement_of(key).map(|run| run.stage);
            matches!(stage, Some(Stage::Stopping(_) | Stage::Stopped(_)))
        };
        let waits = |key: &TaskKey| self.ready.contains_key(key) || stops(*key);
        let obsolete = self.reservations.iter().filter(|(key, _)| !waits(key));
        let obsolete: Vec<(TaskKey, Name)> = obsolete.map(|(k, n)| (*k, n.clone())).collect();
        let runs = |key: &TaskKey| self.placement_of(*key).is_none_or(Placement::is_running);
        let resumed = |key: &&TaskKey| !self.ready.contains_key(*key) && runs(key);
        let resumed: Vec<TaskKey> = self.interrupted.iter().filter(resumed).copied().collect();
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

    /// Cancels the reservation on a worker, so that its task may be placed elsewhere.
    pub(super) fn cancel_reservation(&mut self, name: &Name) {
        let worker = self.workers.get_mut(name);
        if let Some(reservation) = worker.and_then(|w| w.reservation.take()) {
            self.reservations.remove(&reservation.key);
        }
    }

    /// Reserves resources of a worker for a task.
    pub(super) fn reserve_on(&mut self, key: TaskKey, resources: Resources, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.reservation = Some(Reservation { key, resources });
        self.reservations.insert(key, name.clone());
    }

    /// Preempts a run for a waiting task that fits nowhere, if the task may preempt others.
    pub(super) fn free_resources_for(&mut self, key: TaskKey, search: &mut VictimSearch) {
        if search.searches_left == 0 {
            return;
        }
        let step = self.jobs[&key.job].step(key);
        let since = self.ready.get(&key).copied().unwrap_or(self.now.steady);
        if step.best_effort || step.gang || self.reservations.contains_key(&key) {
            return;
        }
        if !step.lasting {
            search.searches_left -= 1;
            return self.preempt(key, search);
        }
        if self.is_overdue(key, since)
            && self.interrupted.contains(&key)
            && self.now.steady >= since + MAX_INTERRUPTION
        {
            search.searches_left -= 1;
            self.preempt(key, search);
        }
    }

    /// Stops the run with the lowest cost that frees enough resources for a waiting task.
    fn preempt(&mut self, key: TaskKey, search: &mut VictimSearch) {
        if !self.settings.mechanisms.preempt {
            return;
        }
        let step = self.jobs[&key.job].step(key);
        let resources = step.reserved();
        let include_lasting = self.may_interrupt_lasting() || self.interrupted.contains(&key);
        let kind = (key.step_key(), include_lasting);
        if search.searched_for != Some(kind) {
            search.searched_for = Some(kind);
            search.victims = self.victims(key, resources, include_lasting);
            self.workers_examined += self.workers.len() as u64;
        }
        let Some((_, victim, name)) = self.next_victim(search, resources) else {
            return;
        };
        let (task, other) = (self.task_name(victim), self.task_name(key));
        log::info!(target: "task", "task={task} event=preempted worker={name} for={other}");
        if self.jobs[&victim.job].step(victim).lasting {
            self.interrupted.insert(victim);
        }
        self.reserve_on(key, resources, &name);
        self.ranking = None;
        self.stop_task(victim);
    }

    /// Returns the run with the lowest cost that frees enough resources for a task of the searched
    /// step. Runs may have been stopped and resources reserved since the search.
    fn next_victim(&self, search: &mut VictimSearch, resources: Resources) -> Option<Victim> {
        let still_valid = |(_, key, name): &Victim| {
            let Some(worker) = self.workers.get(name) else {
                return false;
            };
            let run = worker.placements.get(key).filter(|run| run.is_running());
            run.is_some_and(|run| worker.fits_without(run, resources)) && self.may_disrupt(*key)
        };
        while let Some(victim) = search.victims.pop() {
            if still_valid(&victim) {
                return Some(victim);
            }
        }
        None
    }

    /// Returns the runs any of which could be preempted for a task, the lowest cost last.
    fn victims(&self, key: TaskKey, resources: Resources, include_lasting: bool) -> Vec<Victim> {
        let mut victims: Vec<Victim> = self.with_request(key, "", |request| {
            let candidate = |w: &&Worker| could_run(w, request, self.now.steady);
            let workers = self.workers.values().filter(candidate);
            let victims = workers.flat_map(|w| self.victims_on(w, key, resources, include_lasting));
            victims.collect()
        });
        victims.sort_unstable_by(|a, b| b.cmp(a));
        victims
    }

    /// Returns the runs on a worker any of which could be preempted for a task, lasting ones only
    /// if `include_lasting` is true.
    fn victims_on(
        &self,
        worker: &Worker,
        key: TaskKey,
        resources: Resources,
        include_lasting: bool,
    ) -> Vec<Victim> {
        let now = self.now.steady;
        let name = &worker.listing.id;
        let permits = self.permits.get(&key.step_key());
        let any = worker.placements.len() > worker.count_non_preemptible(include_lasting);
        if !any || permits.is_some_and(|p| !p.allows(name, now)) {
            return Vec::new();
        }
        let preemptible = |run: &Placement| {
            now >= run.placed_at + MIN_RUN_TIME && (include_lasting || !run.lasting)
        };
        let runs = worker.placements.iter();
        let victims =
            runs.filter(|(_, run)| worker.fits_without(run, resources) && preemptible(run));
        let costs = victims.filter_map(|(victim, run)| {
            let cost = self.preemption_cost(key, *victim, run)?;
            Some((cost, *victim, name.clone()))
        });
        costs.collect()
    }

    /// Returns the cost of stopping a run for a task, or `None` when it may not be stopped.
    fn preemption_cost(&self, key: TaskKey, victim: TaskKey, run: &Placement) -> Option<u64> {
        let own = self.jobs.get(&key.job)?.row.queue.priority;
        let job = self.jobs.get(&victim.job).filter(|j| j.is_open())?;
        let step = job.step(victim);
        if !run.is_running() || step.gang || step.best_effort {
            return None;
        }
        let other = job.row.queue.priority;
        if other < own || (other == own && !step.lasting) {
            return None;
        }
        if step.lasting {
            // A task over its latency target loses least, as it runs badly on this worker.
            let over = run.gauge.as_ref().is_some_and(|g| g.breach.is_some());
            return Some(if over { run.cpu / 2 } else { run.cpu });
        }
        let done = (self.now.steady - run.placed_at) * run.cpu / 1_000;
        Some(if step.checkpoints {
            run.cpu
        } else {
            run.cpu + done
        })
    }

    /// Returns true when another lasting task may be interrupted: few are, and none of them waits
    /// for long.
    fn may_interrupt_lasting(&self) -> bool {
        let waits_long = |key: &TaskKey| {
            let since = self.ready.get(key);
            since.is_some_and(|at| self.now.steady >= at + MAX_INTERRUPTION)
        };
        if self.interrupted.iter().any(waits_long) {
            return false;
        }
        let all: u32 = self.workers.values().map(|w| w.lasting_tasks).sum();
        self.interrupted.len() * INTERRUPTED_DIVISOR < all as usize
    }
}
