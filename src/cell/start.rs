//! Starts: which waiting task is next, and on which worker.

use std::collections::BTreeSet;

use super::runs::{Run, RunPhase};
use super::shard::{JobShard, TaskState};
use super::state::Cell;
use super::throttling::LOWEST;
use super::worker::Worker;
use super::{Action, Selection, Size};
use crate::constants::WHOLE;
use crate::invariant::{self, Rule};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Starts of one tick, so that a tick stays short.
const STARTS: usize = 64;
/// Shares with which a run may start, in thousandths, the best first.
const SHARES: [u32; 3] = [WHOLE, WHOLE / 2, LOWEST];
/// Milliseconds after which a waiting task starts at the lowest share though
/// it hurts services, so that none waits for ever.
const STARVED: Millis = 10_000;
/// Milliseconds for which a service counts as in use after a request.
const IN_USE: Millis = 5_000;

/// A task that looks for a worker.
struct WaitingTask<'a> {
    kind: &'a str,
    size: Size,
    urgent: bool,
    /// True when it has waited so long that it may hurt.
    starved: bool,
    /// Worker on which its last run failed.
    shunned: Option<Name>,
}

impl Cell {
    /// Starts waiting tasks where there is room.
    pub fn start_tasks(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.leaving || !self.loaded {
            return actions;
        }
        let mut passed = BTreeSet::new();
        while actions.len() < STARTS {
            let Some(key) = self.next_shard(&passed) else {
                break;
            };
            match self.start_task(now, &key) {
                Some(action) => actions.push(action),
                None => {
                    actions.extend(self.preempt_for(now, &key));
                    passed.insert(key);
                }
            }
        }
        actions
    }

    /// Returns the job shard whose task is to start next: urgent ones first, then
    /// the team with the least of its quota in use, then the oldest.
    fn next_shard(&self, passed: &BTreeSet<Name>) -> Option<Name> {
        let ready = self
            .shards
            .iter()
            .filter(|(key, shard)| {
                !passed.contains(*key) && shard.states.contains(&TaskState::Waiting)
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

    fn within_quota(&self, shard: &JobShard) -> bool {
        let spec = &shard.row.spec;
        let Some(quota) = self.quotas.get(&spec.team) else {
            return true;
        };
        let used = self.team_cores.get(&spec.team).copied().unwrap_or(0);
        // The quota of the deployment, by this cell's share of its cores; one
        // task always may run, or a small cell could never serve a team.
        let part = (quota.cores as f64 * self.capacity_share) as u64;
        used == 0 || used + u64::from(spec.size.cores) <= part
    }

    fn team_weight(&self, team: &str) -> f64 {
        let quota = self.quotas.get(team);
        quota.map_or(1.0, |q| f64::from(q.weight.max(1)))
    }

    fn start_task(&mut self, now: Millis, key: &Name) -> Option<Action> {
        let shard = self.shards.get(key)?;
        let index = shard.states.iter().position(|l| *l == TaskState::Waiting)?;
        let spec = shard.row.spec.clone();
        let size = self.corrected_size(&spec.kind, spec.size);
        let shunned = shard.failed_on.get(&index).cloned();
        let saved = shard.row.tasks[index].saved;
        let task = shard.row.tasks[index].index;
        let wanted = WaitingTask {
            kind: &spec.kind,
            size,
            urgent: spec.urgent,
            starved: now >= shard.last_start + STARVED,
            shunned,
        };
        let (name, share) = self.select_task_worker(now, wanted)?;
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
            format!("start on {name}")
        });
        let rpc = worker.rpc;
        *self.team_cores.entry(spec.team.clone()).or_default() += u64::from(size.cores);
        if let Some(shard) = self.shards.get_mut(key) {
            shard.last_start = now;
            let before = std::mem::replace(&mut shard.states[index], TaskState::Running(id));
            invariant::check(before == TaskState::Waiting, Rule::Resume, || {
                format!("{key} {task}")
            });
        }
        Some(Action::Start {
            worker: name,
            rpc,
            run,
            work: spec.work,
        })
    }

    /// Returns true when a run of a task is held anywhere in the cell.
    fn has_run(&self, job: &Name, task: u32) -> bool {
        let twin = |r: &Run| r.task == task && r.job == *job;
        let found = self.workers.values().any(|w| w.runs.values().any(twin));
        let detail = || format!("{job} {task} would start beside a run of it");
        !invariant::check(!found, Rule::Place, detail)
    }

    /// Makes room for urgent work: the run whose stop loses least yields.
    fn preempt_for(&mut self, now: Millis, key: &Name) -> Option<Action> {
        let shard = self.shards.get(key)?;
        let spec = &shard.row.spec;
        if !spec.urgent {
            return None;
        }
        let size = self.corrected_size(&spec.kind, spec.size);
        let yielding = self
            .workers
            .values()
            .any(|w| w.runs.values().any(|r| r.phase == RunPhase::Stopping));
        if yielding {
            return None;
        }
        let index = shard.states.iter().position(|l| *l == TaskState::Waiting)?;
        let shunned = shard.failed_on.get(&index);
        // Only where the urgent task could then run.
        let victims = self.workers.values().filter(|w| {
            w.accepts_work(now) && w.quarantined_until <= now && Some(&w.name) != shunned
        });
        let victims = victims.flat_map(|w| w.running_runs().map(move |r| (w, r)));
        let enough = |(w, r): &(&Worker, &Run)| !r.urgent && fits_without(w, r, size);
        let loss = |(_, r): &(&Worker, &Run)| (r.progress.saturating_sub(r.saved), r.id);
        let (worker, run) = victims.filter(enough).min_by_key(loss)?;
        let (worker, run) = (worker.name.clone(), run.id);
        self.evict(now, &worker, run)
    }

    /// Returns a worker for a task and the share with which it may start.
    fn select_task_worker(&mut self, now: Millis, wanted: WaitingTask) -> Option<(Name, u32)> {
        let reserve = if wanted.urgent {
            0.0
        } else {
            self.policy.reserve
        };
        let kept = |w: &Worker| (f64::from(w.shape.cores) * reserve) as u32;
        let size = wanted.size;
        let candidates: Vec<&Worker> = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now) && w.quarantined_until <= now)
            .filter(|w| Some(&w.name) != wanted.shunned.as_ref())
            .filter(|w| w.has_free(size) && w.free_cores() >= size.cores + kept(w))
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
            Selection::Learned => return self.least_interference(now, candidates, &wanted),
        };
        chosen.map(|w| (w.name.clone(), WHOLE))
    }

    /// Returns the worker on which a task would hurt least, and the largest
    /// share at which that is bearable.
    fn least_interference(
        &self,
        now: Millis,
        workers: Vec<&Worker>,
        wanted: &WaitingTask,
    ) -> Option<(Name, u32)> {
        let scored = workers
            .into_iter()
            .map(|w| (self.expected_interference(now, w, wanted.kind), w));
        let ((present, added), worker) =
            scored.min_by(|(a, _), (b, _)| (a.0 + a.1).total_cmp(&(b.0 + b.1)))?;
        if wanted.urgent {
            return Some((worker.name.clone(), WHOLE));
        }
        let bearable = self.slowdown_limit() - 1.0;
        let hurt = |share: u32| present + added * f64::from(share) / f64::from(WHOLE);
        let share = SHARES.into_iter().find(|share| hurt(*share) <= bearable);
        let share = share.or(wanted.starved.then_some(LOWEST))?;
        Some((worker.name.clone(), share))
    }

    /// Returns the slowdown above 1 that services see on a worker now, and
    /// what one more run of a kind would add at its whole share. Of several
    /// services the one that would be hurt most counts.
    fn expected_interference(&self, now: Millis, worker: &Worker, kind: &str) -> (f64, f64) {
        let busy = worker.is_busy();
        let mut worst = (0.0, 0.0);
        let in_use = |at: &Millis| now < at + IN_USE;
        for (service, _) in self.last_requests.iter().filter(|(_, at)| in_use(at)) {
            let present: f64 = worker
                .runs
                .values()
                .map(|r| {
                    let share = f64::from(r.share) / f64::from(WHOLE);
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

    /// Returns the slowdown of services at which batch has to yield.
    pub fn slowdown_limit(&self) -> f64 {
        2.5 - 1.5 * self.policy.tail_weight
    }

    /// Raises a declared size to what runs of the kind were seen to use.
    fn corrected_size(&self, kind: &str, size: Size) -> Size {
        let factor = self
            .usage_factors
            .get(kind)
            .copied()
            .unwrap_or(1.0)
            .clamp(1.0, 4.0);
        let cores = (f64::from(size.cores) * factor) as u32;
        let most = self.workers.values().map(|w| w.shape.cores).max();
        Size {
            cores: cores.min(most.unwrap_or(size.cores)).max(size.cores),
            ..size
        }
    }
}

fn fits_without(worker: &Worker, run: &Run, size: Size) -> bool {
    let mut rest = worker.clone();
    rest.remove_run(run.id);
    rest.has_free(size)
}
