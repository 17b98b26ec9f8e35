//! Starts waiting tasks: selects the next task, its worker and its share of cores.

use std::collections::BTreeSet;

use super::runs::{Run, RunPhase};
use super::shard::{JobShard, TaskState};
use super::state::Cell;
use super::throttling::LOWEST_SHARE;
use super::worker::Worker;
use super::{Action, Selection, Size};
use crate::constants::PER_MILLE;
use crate::invariant::{self, Rule};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Most starts in one tick, which bounds the tick's duration.
const MAX_STARTS: usize = 64;
/// Shares of its cores with which a run may start, in thousandths, the largest first.
const START_SHARES: [u32; 3] = [PER_MILLE, PER_MILLE / 2, LOWEST_SHARE];
/// Milliseconds without a start of its shard after which a task starts at the lowest share
/// even where it slows down services too much. Otherwise it could wait forever.
const STARVATION: Millis = 10_000;
/// Milliseconds for which a service counts as in use after a request.
const IN_USE: Millis = 5_000;

/// A waiting task for which a worker is selected.
struct WaitingTask<'a> {
    kind: &'a str,
    size: Size,
    urgent: bool,
    /// True when the task may exceed the limit of interference because it waited too long.
    starved: bool,
    /// Worker on which the last run of the task failed.
    failed_on: Option<Name>,
}

impl Cell {
    /// Starts waiting tasks where resources are free, and preempts runs for urgent tasks.
    pub fn start_tasks(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.leaving || !self.loaded {
            return actions;
        }
        let mut skipped = BTreeSet::new();
        while actions.len() < MAX_STARTS {
            let Some(key) = self.next_shard(&skipped) else {
                break;
            };
            match self.start_task(now, &key) {
                Some(action) => actions.push(action),
                None => {
                    actions.extend(self.preempt_for(now, &key));
                    skipped.insert(key);
                }
            }
        }
        actions
    }

    /// Returns the job shard whose task starts next: urgent shards first, then those of the
    /// team that uses the fewest cores for its weight, then the oldest.
    fn next_shard(&self, skipped: &BTreeSet<Name>) -> Option<Name> {
        let ready = self
            .shards
            .iter()
            .filter(|(key, shard)| {
                !skipped.contains(*key) && shard.states.contains(&TaskState::Waiting)
            })
            .filter(|(_, shard)| self.within_quota(shard));
        let rank = |(key, shard): &(&Name, &JobShard)| {
            let team = &shard.row.spec.team;
            let used = self.team_cores.get(team).copied().unwrap_or(0);
            let weight = self.team_weight(team);
            let share = (used as f64 / weight * 1_000.0) as u64;
            (
                !shard.row.spec.urgent,
                share,
                shard.row.submitted,
                (*key).clone(),
            )
        };
        ready.min_by_key(rank).map(|(key, _)| key.clone())
    }

    /// Returns true when a further task of the shard is within the quota of its team.
    fn within_quota(&self, shard: &JobShard) -> bool {
        let spec = &shard.row.spec;
        let Some(quota) = self.quotas.get(&spec.team) else {
            return true;
        };
        let used = self.team_cores.get(&spec.team).copied().unwrap_or(0);
        // The cell's share of the quota of the whole deployment. One task may always run:
        // the share of a small cell can be less than the size of any task.
        let limit = (quota.cores as f64 * self.capacity_share) as u64;
        used == 0 || used + u64::from(spec.size.cores) <= limit
    }

    fn team_weight(&self, team: &str) -> f64 {
        let quota = self.quotas.get(team);
        quota.map_or(1.0, |q| f64::from(q.weight.max(1)))
    }

    /// Starts the first waiting task of a shard, unless no worker is suitable.
    fn start_task(&mut self, now: Millis, key: &Name) -> Option<Action> {
        let shard = self.shards.get(key)?;
        let index = shard.states.iter().position(|s| *s == TaskState::Waiting)?;
        let spec = shard.row.spec.clone();
        let size = self.corrected_size(&spec.kind, spec.size);
        let failed_on = shard.failed_on.get(&index).cloned();
        let saved = shard.row.tasks[index].saved;
        let task = shard.row.tasks[index].index;
        let waiting = WaitingTask {
            kind: &spec.kind,
            size,
            urgent: spec.urgent,
            starved: now >= shard.last_start + STARVATION,
            failed_on,
        };
        let (name, share) = self.select_task_worker(now, waiting)?;
        if self.has_run(&spec.id, task) || !self.workers.get(&name)?.check_not_leaving() {
            return None;
        }
        self.run_counter += 1;
        let id = (self.epoch << 32) | self.run_counter;
        let worker = self.workers.get_mut(&name)?;
        let run = Run {
            id,
            job: spec.id.clone(),
            task,
            kind: spec.kind.clone(),
            size,
            share,
            share_floor: 0,
            throttle_pending: false,
            phase: RunPhase::Starting,
            saved,
            progress: saved,
            phase_since: now,
            poll_round: self.poll_round,
            urgent: spec.urgent,
        };
        worker.add_run(run.clone());
        worker.lease_renewed = worker.lease_renewed.max(now);
        invariant::check(worker.is_within_capacity(), Rule::Room, || {
            format!("worker {name} is overcommitted by a start")
        });
        let rpc = worker.rpc;
        *self.team_cores.entry(spec.team.clone()).or_default() += u64::from(size.cores);
        if let Some(shard) = self.shards.get_mut(key) {
            shard.last_start = now;
            let before = std::mem::replace(&mut shard.states[index], TaskState::Running(id));
            invariant::check(before == TaskState::Waiting, Rule::Resume, || {
                format!("task {task} of {key} started although it was not waiting")
            });
        }
        Some(Action::Start {
            worker: name,
            rpc,
            run,
            work: spec.work,
        })
    }

    /// Checks the invariant that a task has at most one run; returns true when the task has a
    /// run on any worker.
    fn has_run(&self, job: &Name, task: u32) -> bool {
        let same_task = |r: &Run| r.task == task && r.job == *job;
        let found = self
            .workers
            .values()
            .any(|w| w.runs.values().any(same_task));
        let detail = || format!("task {task} of job {job} would get a second run");
        !invariant::check(!found, Rule::Place, detail)
    }

    /// Evicts a run for a waiting urgent task: among the runs without which the task fits,
    /// the one that loses the least work. Does nothing while any run is stopping.
    fn preempt_for(&mut self, now: Millis, key: &Name) -> Option<Action> {
        let shard = self.shards.get(key)?;
        let spec = &shard.row.spec;
        if !spec.urgent {
            return None;
        }
        let size = self.corrected_size(&spec.kind, spec.size);
        let stopping = self
            .workers
            .values()
            .any(|w| w.runs.values().any(|r| r.phase == RunPhase::Stopping));
        if stopping {
            return None;
        }
        let index = shard.states.iter().position(|s| *s == TaskState::Waiting)?;
        let failed_on = shard.failed_on.get(&index);
        let victims = self.workers.values().filter(|w| {
            w.accepts_work(now) && w.quarantined_until <= now && Some(&w.name) != failed_on
        });
        let victims = victims.flat_map(|w| w.running_runs().map(move |r| (w, r)));
        let enough = |(w, r): &(&Worker, &Run)| !r.urgent && fits_without(w, r, size);
        let loss = |(_, r): &(&Worker, &Run)| (r.progress.saturating_sub(r.saved), r.id);
        let (worker, run) = victims.filter(enough).min_by_key(loss)?;
        let (worker, run) = (worker.name.clone(), run.id);
        self.evict(now, &worker, run)
    }

    /// Returns a worker for a task and the share of its cores with which the task starts.
    fn select_task_worker(&mut self, now: Millis, waiting: WaitingTask) -> Option<(Name, u32)> {
        let reserve = if waiting.urgent {
            0.0
        } else {
            self.policy.reserve
        };
        let reserved = |w: &Worker| (f64::from(w.shape.cores) * reserve) as u32;
        let size = waiting.size;
        let candidates: Vec<&Worker> = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now) && w.quarantined_until <= now)
            .filter(|w| Some(&w.name) != waiting.failed_on.as_ref())
            .filter(|w| w.has_free(size) && w.free_cores() >= size.cores + reserved(w))
            .collect();
        let count = candidates.len() as u64;
        let chosen = match self.policy.task_selection {
            Selection::First => candidates.first().copied(),
            Selection::LeastLoaded => candidates
                .into_iter()
                .max_by_key(|w| (w.free_cores(), w.name.clone())),
            Selection::Random => {
                let index = self.random.below(count) as usize;
                candidates.get(index).copied()
            }
            Selection::RoundRobin => {
                self.next_turn += 1;
                let index = self.next_turn.checked_rem(count).unwrap_or(0) as usize;
                candidates.get(index).copied()
            }
            Selection::Learned => return self.least_interference(now, candidates, &waiting),
        };
        chosen.map(|w| (w.name.clone(), PER_MILLE))
    }

    /// Returns the worker on which a task would slow down services the least, and the largest
    /// share that keeps the slowdown within the limit.
    fn least_interference(
        &self,
        now: Millis,
        workers: Vec<&Worker>,
        waiting: &WaitingTask,
    ) -> Option<(Name, u32)> {
        let scored = workers
            .into_iter()
            .map(|w| (self.expected_interference(now, w, waiting.kind), w));
        let ((present, added), worker) =
            scored.min_by(|(a, _), (b, _)| (a.0 + a.1).total_cmp(&(b.0 + b.1)))?;
        if waiting.urgent {
            return Some((worker.name.clone(), PER_MILLE));
        }
        let limit = self.slowdown_limit() - 1.0;
        let total = |share: u32| present + added * f64::from(share) / f64::from(PER_MILLE);
        let share = START_SHARES
            .into_iter()
            .find(|share| total(*share) <= limit);
        let share = share.or(waiting.starved.then_some(LOWEST_SHARE))?;
        Some((worker.name.clone(), share))
    }

    /// Returns the slowdown above 1 of a service on a worker now, and what a further run of
    /// `kind` would add at its full share. Of the services in use, the one with the largest
    /// sum counts.
    fn expected_interference(&self, now: Millis, worker: &Worker, kind: &str) -> (f64, f64) {
        let busy = worker.is_busy();
        let mut worst = (0.0, 0.0);
        let in_use = |at: &Millis| now < at + IN_USE;
        for (service, _) in self.last_requests.iter().filter(|(_, at)| in_use(at)) {
            let present: f64 = worker
                .runs
                .values()
                .map(|r| {
                    let share = f64::from(r.share) / f64::from(PER_MILLE);
                    self.interference.upper_estimate(service, &r.kind, busy) * share
                })
                .sum();
            let added = self.interference.upper_estimate(service, kind, busy);
            if present + added > worst.0 + worst.1 {
                worst = (present, added);
            }
        }
        worst
    }

    /// Returns the slowdown of services above which tasks are throttled.
    pub fn slowdown_limit(&self) -> f64 {
        2.5 - 1.5 * self.policy.tail_weight
    }

    /// Returns the declared size with its cores raised to the measured use of tasks of the
    /// kind: at most 4 times the declared cores, and at most those of the largest worker.
    fn corrected_size(&self, kind: &str, size: Size) -> Size {
        let factor = self
            .usage_factors
            .get(kind)
            .copied()
            .unwrap_or(1.0)
            .clamp(1.0, 4.0);
        let cores = (f64::from(size.cores) * factor) as u32;
        let largest = self.workers.values().map(|w| w.shape.cores).max();
        Size {
            cores: cores.min(largest.unwrap_or(size.cores)).max(size.cores),
            ..size
        }
    }
}

/// Returns true when `size` fits on a worker once `run` has ended.
fn fits_without(worker: &Worker, run: &Run, size: Size) -> bool {
    let mut remaining = worker.clone();
    remaining.remove_run(run.id);
    remaining.has_free(size)
}
