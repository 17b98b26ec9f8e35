//! Making room for tasks that fit nowhere, at the cost of others.
//!
//! Tasks of a worse priority give way, and among equals tasks that last: they
//! lose only the time that they are away, while a task that ends loses all that
//! it is worth with its due time.

use super::job::{StepKey, TaskKey};
use super::owner::Owner;
use super::placement::{Placement, Stage};
use super::scoring::could_run;
use super::spec::Resources;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds that a run is left alone: a stop and another start take about
/// one second, which has to be worth it.
pub(super) const MIN_RUN_TIME: Millis = 3_000;
/// One in so many lasting tasks of all may be away for others at once.
const INTERRUPTED_DIVISOR: usize = 12;
/// Milliseconds after which a lasting task that gave way takes the room of
/// another, so that each is away for a short while only.
const TURN_LENGTH: Millis = 2_500;
/// Waiting tasks for which room is looked for in one pass of placing, as each
/// looks at all that runs.
const MAX_SEARCHES: usize = 6;

/// Room on a worker that is being made for a task.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// The task that it is for.
    pub key: TaskKey,
    /// What the task needs.
    pub resources: Resources,
}

/// A run that could give way, and what that costs: lower is better.
type Victim = (u64, TaskKey, Name);

/// The search for runs that give way in one pass of placing. Tasks of a step come one after
/// the other, and what could give way for one could for the next, so that one search a step
/// keeps passes short on full workers.
pub(super) struct VictimSearch {
    /// Tasks for which room may still be made.
    searches_left: usize,
    /// For what the runs below were found: the step, and whether lasting tasks may be away.
    searched_for: Option<(StepKey, bool)>,
    /// Runs that could give way, the least cost last.
    victims: Vec<Victim>,
}

impl VictimSearch {
    /// Returns the search of a pass that begins.
    pub fn new() -> Self {
        Self {
            searches_left: MAX_SEARCHES,
            searched_for: None,
            victims: Vec::new(),
        }
    }

    /// Returns true when room is made for no more tasks in this pass.
    pub fn is_exhausted(&self) -> bool {
        self.searches_left == 0
    }
}

impl Owner {
    /// Forgets promises to tasks that do not wait any more, and which lasting
    /// tasks were away that run again.
    pub(super) fn prune_reservations(&mut self) {
        let stops = |key| {
            let stage = self.placement_of(key).map(|run| run.stage);
            matches!(stage, Some(Stage::Stopping(_) | Stage::Stopped(_)))
        };
        let waits = |key: &TaskKey| self.ready.contains_key(key) || stops(*key);
        let settled = self.reservations.iter().filter(|(key, _)| !waits(key));
        let settled: Vec<(TaskKey, Name)> = settled.map(|(k, n)| (*k, n.clone())).collect();
        let runs = |key: &TaskKey| self.placement_of(*key).is_none_or(Placement::is_running);
        let back = |key: &&TaskKey| !self.ready.contains_key(*key) && runs(key);
        let returned: Vec<TaskKey> = self.interrupted.iter().filter(back).copied().collect();
        for (key, name) in settled {
            self.reservations.remove(&key);
            let worker = self.workers.get_mut(&name);
            if let Some(worker) = worker.filter(|w| w.reserved_task() == Some(key)) {
                worker.reservation = None;
            }
        }
        for key in returned {
            self.interrupted.remove(&key);
        }
    }

    /// Has a task look for room elsewhere for which it was made on a worker.
    pub(super) fn cancel_reservation(&mut self, name: &Name) {
        let worker = self.workers.get_mut(name);
        if let Some(promise) = worker.and_then(|w| w.reservation.take()) {
            self.reservations.remove(&promise.key);
        }
    }

    /// Keeps room on a worker for a task.
    pub(super) fn reserve_on(&mut self, key: TaskKey, resources: Resources, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.reservation = Some(Reservation { key, resources });
        self.reservations.insert(key, name.clone());
    }

    /// Makes room for a waiting task that fits nowhere.
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
            && self.now.steady >= since + TURN_LENGTH
        {
            search.searches_left -= 1;
            self.preempt(key, search);
        }
    }

    /// Stops the run that takes the room of a waiting task at the least cost.
    fn preempt(&mut self, key: TaskKey, search: &mut VictimSearch) {
        if !self.settings.mechanisms.preempt {
            return;
        }
        let step = self.jobs[&key.job].step(key);
        let resources = step.reserved();
        let spare = self.may_interrupt_lasting() || self.interrupted.contains(&key);
        let kind = (key.step_key(), spare);
        if search.searched_for != Some(kind) {
            search.searched_for = Some(kind);
            search.victims = self.victims(key, resources, spare);
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

    /// Returns the run whose end makes room for a task of the searched step at the least
    /// cost. Meanwhile others may have been stopped, and room promised.
    fn next_victim(&self, search: &mut VictimSearch, resources: Resources) -> Option<Victim> {
        let gives = |(_, key, name): &Victim| {
            let Some(worker) = self.workers.get(name) else {
                return false;
            };
            let run = worker.placements.get(key).filter(|run| run.is_running());
            run.is_some_and(|run| worker.fits_without(run, resources)) && self.may_disrupt(*key)
        };
        while let Some(victim) = search.victims.pop() {
            if gives(&victim) {
                return Some(victim);
            }
        }
        None
    }

    /// Returns the runs any of which could give way to a task, the least cost last.
    fn victims(&self, key: TaskKey, resources: Resources, spare: bool) -> Vec<Victim> {
        let mut victims: Vec<Victim> = self.with_request(key, "", |wish| {
            let able = |w: &&Worker| could_run(w, wish, self.now.steady);
            let workers = self.workers.values().filter(able);
            let victims = workers.flat_map(|w| self.victims_on(w, key, resources, spare));
            victims.collect()
        });
        victims.sort_unstable_by(|a, b| b.cmp(a));
        victims
    }

    /// Returns the runs on a worker any of which could give way to a task; lasting ones
    /// are among them if some can be spared.
    fn victims_on(
        &self,
        worker: &Worker,
        key: TaskKey,
        resources: Resources,
        spare: bool,
    ) -> Vec<Victim> {
        let now = self.now.steady;
        let name = &worker.listing.id;
        let permits = self.permits.get(&key.step_key());
        let able = worker.placements.len() > worker.non_preemptible(spare);
        if !able || permits.is_some_and(|p| !p.allows(name, now)) {
            return Vec::new();
        }
        let rested =
            |run: &Placement| now >= run.placed_at + MIN_RUN_TIME && (spare || !run.lasting);
        let runs = worker.placements.iter();
        let able = runs.filter(|(_, run)| worker.fits_without(run, resources) && rested(run));
        let costs = able.filter_map(|(victim, run)| {
            let cost = self.preemption_cost(key, *victim, run)?;
            Some((cost, *victim, name.clone()))
        });
        costs.collect()
    }

    /// Returns what stopping a run for a task costs; none when it may not be.
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
            // One that does badly where it is loses least.
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

    /// Returns true when one more lasting task may be away for others: few are,
    /// and those come back in time.
    fn may_interrupt_lasting(&self) -> bool {
        let long = |key: &TaskKey| {
            let since = self.ready.get(key);
            since.is_some_and(|at| self.now.steady >= at + TURN_LENGTH)
        };
        if self.interrupted.iter().any(long) {
            return false;
        }
        let all: u32 = self.workers.values().map(|w| w.lasting_tasks).sum();
        self.interrupted.len() * INTERRUPTED_DIVISOR < all as usize
    }
}
