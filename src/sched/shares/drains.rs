//! Drains of workers for large tasks. Load: small tasks take each part of a worker that becomes
//! free, so that a task that needs more than one of them leaves never fits.
//!
//! A drain reserves the resources of one worker, on which only runs that have begun go on until the
//! task fits. Few workers are drained at once, each for a bounded time, so that small tasks are not
//! held behind a large one that can't start.

use std::collections::{BTreeMap, BTreeSet};

use crate::sched::job::TaskKey;
use crate::sched::owner::Owner;
use crate::sched::placing::placement::Placement;
use crate::sched::placing::scoring::fits_now;
use crate::sched::shares::order::{Prospect, prospect};
use crate::sched::spec::Resources;
use crate::sched::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two updates of the drains: a drain lasts for runs of hundreds of
/// milliseconds, and an update goes through the waiting steps.
const UPDATE_INTERVAL: Millis = 100;
/// Milliseconds that a task waits before a worker is drained for it. Workers that are free are
/// found by the next passes, which follow within a few tens of milliseconds.
const DRAIN_AFTER: Millis = 300;
/// One in this many workers may be drained at once, so that small tasks keep nearly all.
const WORKERS_PER_DRAIN: usize = 8;
/// Longest expected drain in milliseconds: a job that could run must not stand still for 3 s, of
/// which a start takes up to 0.5 s.
const MAX_DRAIN: Millis = 2_000;
/// Milliseconds beyond the expected end after which a drain is given up. Runs may take longer than
/// declared, and the report of an end takes a poll.
const DRAIN_MARGIN: Millis = 1_000;
/// Longest drain in milliseconds. A task with a drain is placed nowhere else, so that it must not
/// wait for 3 s while another worker is free; the next update and its start take up to 0.7 s.
const MAX_HELD: Millis = 2_200;
/// Milliseconds until workers are searched again for a task for which none could be drained.
const RETRY_AFTER_SEARCH: Millis = 500;
/// Most tasks for which one update searches workers, as each search examines all of them.
const MAX_SEARCHES: usize = 4;
/// Milliseconds in which no worker is drained again for a task whose drain was given up.
const RETRY_AFTER_DRAIN: Millis = 2_000;
/// Most tasks for which given-up drains are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// A run that ends by itself: its expected end, and what it frees.
pub(in crate::sched) type EndingRun = (Millis, Resources);

/// Returns when resources are free on a worker that starts nothing else: `free` are free now, and
/// `runs` end. `None` when they never are.
pub(in crate::sched) fn drained_at(
    needed: Resources,
    free: Resources,
    mut runs: Vec<EndingRun>,
    now: Millis,
) -> Option<Millis> {
    runs.sort_unstable();
    let (mut free, mut end) = (free, now);
    for (at, freed) in runs {
        if needed.within(free) {
            break;
        }
        free = free.plus(freed);
        end = end.max(at);
    }
    needed.within(free).then_some(end)
}

/// Drains that are held, and tasks whose drain was given up.
#[derive(Default)]
pub(in crate::sched) struct Drains {
    /// When each drain is given up, by task.
    held: BTreeMap<TaskKey, Millis>,
    /// When a worker may be drained again for a task.
    retry: BTreeMap<TaskKey, Millis>,
    next_update: Millis,
}

impl Drains {
    /// Returns true when an update is due, at most once in each interval.
    fn is_due(&mut self, now: Millis) -> bool {
        let due = now >= self.next_update;
        if due {
            self.next_update = now + UPDATE_INTERVAL;
        }
        due
    }

    /// Begins a drain that is expected to end at `end`.
    fn begin(&mut self, key: TaskKey, end: Millis, now: Millis) {
        let until = (end + DRAIN_MARGIN).min(now + MAX_HELD);
        self.held.insert(key, until);
    }

    /// Gives a drain up.
    fn give_up(&mut self, key: TaskKey, now: Millis) {
        self.held.remove(&key);
        self.defer(key, now, RETRY_AFTER_DRAIN);
    }

    /// Drains no worker for a task for a while.
    fn defer(&mut self, key: TaskKey, now: Millis, span: Millis) {
        self.retry.retain(|_, at| *at > now);
        if self.retry.len() < MAX_REMEMBERED {
            self.retry.insert(key, now + span);
        }
    }

    /// Returns true when a worker is drained for a task.
    pub fn holds(&self, key: TaskKey) -> bool {
        self.held.contains_key(&key)
    }

    /// Returns true when a worker may be drained for a task.
    fn may_begin(&self, key: TaskKey, now: Millis) -> bool {
        self.retry.get(&key).is_none_or(|at| now >= *at)
    }

    /// Returns the number of drains.
    pub fn len(&self) -> usize {
        self.held.len()
    }
}

/// Priority and prospect of a waiting task. Only tasks of the first one are given drains.
type Standing = (u32, Prospect);

impl Owner {
    /// Ends the drains that are over or for which others wait, and begins new ones.
    pub(in crate::sched) fn update_drains(&mut self) {
        let enabled = self.settings.mechanisms.shares;
        if !enabled && self.drains.held.is_empty() || !self.drains.is_due(self.now.steady) {
            return;
        }
        let waiting = self.waiting_steps();
        let first = waiting.iter().map(|(standing, _)| *standing).min();
        self.end_drains(first, enabled);
        if !enabled {
            return;
        }
        let most = (self.workers.len() / WORKERS_PER_DRAIN).max(1);
        let mut tried = BTreeSet::new();
        for (_, step) in waiting.iter().filter(|(s, _)| Some(*s) == first) {
            if self.drains.len() >= most || tried.len() >= MAX_SEARCHES {
                return;
            }
            self.drain_for(*step, &mut tried);
        }
    }

    /// Places a task on the worker that is drained for it once it fits there. Returns `None` for
    /// a task without such a worker, and whether it was placed otherwise.
    ///
    /// The task is not tried elsewhere: a miss would say nothing of other tasks with the same
    /// needs, whose own workers may be free.
    pub(in crate::sched) fn place_on_drained(&mut self, key: TaskKey) -> Option<bool> {
        if !self.drains.holds(key) {
            return None;
        }
        let name = self.reservations.get(&key)?.clone();
        let worker = self.workers.get(&name)?;
        let now = self.now.steady;
        let fits = self.with_request(key, "", |request| fits_now(worker, request, now));
        if fits {
            let run = self.jobs[&key.job].task(key).map_or(0, |t| t.run) + 1;
            self.assign(key, run, name);
        }
        Some(fits)
    }

    /// Returns the waiting steps whose tasks reserve resources and end by themselves.
    fn waiting_steps(&self) -> Vec<(Standing, TaskKey)> {
        let mut steps = Vec::new();
        let mut next = self.ready.keys().next().copied();
        while let Some(key) = next {
            let step = key.step_key();
            next = self
                .ready
                .range(step.task(u32::MAX)..)
                .next()
                .map(|(key, _)| *key);
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let spec = job.step(key);
            if !spec.lasting && !spec.best_effort && !spec.gang {
                let prospect = prospect(job, key.round as usize, self.now.wall).0;
                steps.push(((job.row.queue.priority, prospect), key));
            }
        }
        steps
    }

    /// Ends drains whose task is placed, whose time is over, or that others precede.
    fn end_drains(&mut self, first: Option<Standing>, enabled: bool) {
        let now = self.now.steady;
        let held: Vec<(TaskKey, Millis)> =
            self.drains.held.iter().map(|(k, at)| (*k, *at)).collect();
        for (key, until) in held {
            let name = self.reservations.get(&key).cloned();
            let Some(name) = name.filter(|_| self.ready.contains_key(&key)) else {
                self.drains.held.remove(&key);
                continue;
            };
            let job = &self.jobs[&key.job];
            let prospect = prospect(job, key.round as usize, self.now.wall).0;
            let standing = (job.row.queue.priority, prospect);
            let preceded = first.is_some_and(|first| first < standing);
            if enabled && now < until && !preceded && prospect != Prospect::Worthless {
                continue;
            }
            self.drains.give_up(key, now);
            self.cancel_reservation(&name);
            self.saturated = false;
            log::info!(target: "task", "task={} event=drain-ended worker={name} preceded={preceded} late_ms={}", self.task_name(key), now.saturating_sub(until));
        }
    }

    /// Drains the worker that is free first for a task of a step, if smaller ones were started
    /// there while the task waited. Steps whose needs were `tried` in vain are passed over.
    fn drain_for(&mut self, key: TaskKey, tried: &mut BTreeSet<(Name, Name, Resources)>) {
        let now = self.now.steady;
        let Some(since) = self.ready.get(&key).copied() else {
            return;
        };
        let is_new = !self.reservations.contains_key(&key) && self.drains.may_begin(key, now);
        if !is_new || now < since + DRAIN_AFTER {
            return;
        }
        let job = &self.jobs[&key.job];
        let step = job.step(key);
        let needed = step.reserved();
        let needs = (job.row.queue.service.clone(), step.label.clone(), needed);
        if !tried.insert(needs) {
            return;
        }
        let candidates = self.workers.values();
        let candidates = candidates
            .filter(|w| w.reservation.is_none() && was_passed_over(w, needed, since))
            .filter(|w| self.could_run_on(key, w));
        let ends = candidates.filter_map(|w| {
            let end = self.drain_end(w, needed)?;
            Some((end, w.listing.id.clone()))
        });
        let Some((end, name)) = ends.min().filter(|(end, _)| *end <= now + MAX_DRAIN) else {
            return self.drains.defer(key, now, RETRY_AFTER_SEARCH);
        };
        self.drains.begin(key, end, now);
        self.reserve_on(key, needed, &name);
        self.ranking = None;
        log::info!(target: "task", "task={} event=drain worker={name} needed={needed} waited_ms={} expected_ms={}", self.task_name(key), now - since, end - now);
    }

    /// Returns when resources are free on a worker that starts nothing else.
    fn drain_end(&self, worker: &Worker, needed: Resources) -> Option<Millis> {
        let capacity = worker.listing.capacity;
        if !worker.allocated.within(capacity) {
            return None;
        }
        let runs = worker.placements.iter();
        let runs = runs.filter(|(_, run)| !run.lasting);
        let ending = |(key, run): (&TaskKey, &Placement)| {
            let job = self.jobs.get(&key.job)?;
            let end = run.placed_at + job.step(*key).estimate;
            Some((end, run.resources))
        };
        let runs = runs.filter_map(ending).collect();
        let free = capacity.minus(worker.allocated);
        drained_at(needed, free, runs, self.now.steady)
    }
}

/// Returns true when a smaller task was started on a worker after a task began to wait.
fn was_passed_over(worker: &Worker, needed: Resources, since: Millis) -> bool {
    let is_smaller = |run: &Placement| run.resources != needed && run.resources.within(needed);
    let runs = worker.placements.values();
    let mut later = runs.filter(|run| run.placed_at >= since && !run.lasting && !run.best_effort);
    later.any(is_smaller)
}
