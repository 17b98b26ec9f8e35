//! Throttles and evicts runs that slow down services, and stops runs.

use super::runs::{CallOutcome, Run, RunId, RunPhase};
use super::state::Cell;
use super::worker::Worker;
use super::{Action, Size};
use crate::constants::PER_MILLE;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Lowest share of its cores to which a run is throttled, in thousandths.
pub(super) const LOWEST_SHARE: u32 = 250;
/// Milliseconds between two changes of shares on one worker.
const THROTTLE_INTERVAL: Millis = 1_000;
/// Milliseconds at the lowest share after which a run may be evicted.
const EVICTION_DELAY: Millis = 3_000;
/// Milliseconds between two evictions because of interference on one worker.
const EVICTION_INTERVAL: Millis = 5_000;

impl Cell {
    /// Throttles or evicts a run on each worker whose services are too slow, and raises a
    /// run's share where the slowdown is well below the limit.
    pub fn adjust_throttles(&mut self, now: Millis) -> Vec<Action> {
        if !self.policy.throttling {
            return Vec::new();
        }
        let limit = self.slowdown_limit();
        let mut steps = Vec::new();
        for worker in self.workers.values() {
            if !worker.responsive || now < worker.last_throttle + THROTTLE_INTERVAL {
                continue;
            }
            let slowdown = self.slowdowns.get(&worker.name).copied().unwrap_or(1.0);
            if slowdown > limit {
                steps.extend(self.lower_share(now, worker));
            } else if slowdown < 1.0 + (limit - 1.0) * 0.6 {
                steps.extend(raise_share(worker));
            }
        }
        let mut actions = Vec::new();
        for (name, run, share) in steps {
            let action = match share {
                Some(share) => self.throttle(now, &name, run, share),
                None => self.evict(now, &name, run),
            };
            actions.extend(action);
        }
        actions
    }

    /// Returns the next step against the run that causes the most interference: half its
    /// share, or `None` for an eviction when it has been at the lowest share for a while.
    fn lower_share(&self, now: Millis, worker: &Worker) -> Option<(Name, RunId, Option<u32>)> {
        let busy = worker.is_busy();
        let services: Vec<&Name> = worker.requests.values().map(|r| &r.service).collect();
        let interference = |r: &Run| -> f64 {
            let estimates = services
                .iter()
                .map(|s| self.interference.upper_estimate(s, &r.kind, busy));
            estimates.fold(0.0, f64::max) * f64::from(r.share)
        };
        let worst = worker
            .running_runs()
            .max_by(|a, b| interference(a).total_cmp(&interference(b)))?;
        if worst.share > LOWEST_SHARE {
            let share = (worst.share / 2).max(LOWEST_SHARE);
            return Some((worker.name.clone(), worst.id, Some(share)));
        }
        let evictable = now >= worst.phase_since + EVICTION_DELAY
            && now >= worker.last_eviction + EVICTION_INTERVAL;
        evictable.then(|| (worker.name.clone(), worst.id, None))
    }

    /// Throttles or evicts a run for a queued critical request that no worker has the
    /// resources for.
    pub fn free_resources(&mut self, now: Millis, size: Size) -> Vec<Action> {
        let lacks_resources =
            |w: &&Worker| w.accepts_work(now) && w.free_slots() > 0 && !w.has_free(size);
        let fits = self
            .workers
            .values()
            .any(|w| w.accepts_work(now) && w.free_slots() > 0 && w.has_free(size));
        if fits {
            return Vec::new();
        }
        let chosen = self
            .workers
            .values()
            .filter(lacks_resources)
            .filter(|w| now >= w.last_throttle + THROTTLE_INTERVAL)
            .max_by_key(|w| (w.free_cores(), w.free_slots()));
        let Some(worker) = chosen else {
            return Vec::new();
        };
        let largest = worker
            .running_runs()
            .max_by_key(|r| (r.allocated().cores, r.id));
        let Some(run) = largest else {
            return Vec::new();
        };
        let (name, id, share) = (worker.name.clone(), run.id, run.share);
        let action = match share > LOWEST_SHARE && self.policy.throttling {
            true => self.throttle(now, &name, id, (share / 2).max(LOWEST_SHARE)),
            false => self.evict(now, &name, id),
        };
        action.into_iter().collect()
    }

    /// Changes the share of a run, unless a change is pending or the worker lacks the cores
    /// for a larger share.
    fn throttle(&mut self, now: Millis, name: &Name, id: RunId, share: u32) -> Option<Action> {
        let worker = self.workers.get_mut(name)?;
        let rpc = worker.rpc;
        let run = worker.runs.get(&id).filter(|r| !r.throttle_pending)?;
        let (old, allocated) = (run.share, run.allocated().cores);
        let wanted = run.size.with_core_share(share).cores;
        if share > old && wanted > worker.free_cores() + allocated {
            return None;
        }
        worker.last_throttle = now;
        // A larger share is accounted for at once, a smaller one when the worker confirms it.
        worker.update_run(id, |r| {
            r.throttle_pending = true;
            r.share = r.share.max(share);
        });
        Some(Action::Throttle {
            worker: name.clone(),
            rpc,
            run: id,
            share,
        })
    }

    /// Handles the outcome of a throttle call.
    pub fn finish_throttle(
        &mut self,
        now: Millis,
        micros: u64,
        name: &Name,
        id: RunId,
        share: u32,
        outcome: CallOutcome,
    ) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        worker.update_run(id, |r| {
            r.throttle_pending = false;
            match outcome {
                CallOutcome::Done(_) => {
                    r.share = share;
                    r.phase_since = now;
                }
                CallOutcome::Lost => r.share_floor = r.share_floor.max(share),
                CallOutcome::Refused => {}
            }
        });
        self.send_queued(now, micros)
    }

    /// Stops a run and saves a checkpoint of its work.
    pub(super) fn evict(&mut self, now: Millis, name: &Name, id: RunId) -> Option<Action> {
        let action = self.stop(name, id, true)?;
        let worker = self.workers.get_mut(name)?;
        worker.last_eviction = now;
        worker.last_throttle = now;
        self.evictions += 1;
        Some(action)
    }

    /// Stops a run, with a checkpoint of its work if `checkpoint`.
    pub(super) fn stop(&mut self, name: &Name, id: RunId, checkpoint: bool) -> Option<Action> {
        let worker = self.workers.get_mut(name)?;
        let rpc = worker.rpc;
        worker.update_run(id, |r| r.phase = RunPhase::Stopping)?;
        Some(Action::Stop {
            worker: name.clone(),
            rpc,
            run: id,
            checkpoint,
        })
    }
}

/// Returns the next step for a throttled run on a worker: twice its share.
fn raise_share(worker: &Worker) -> Option<(Name, RunId, Option<u32>)> {
    let run = worker.running_runs().find(|r| r.share < PER_MILLE)?;
    let share = (run.share * 2).min(PER_MILLE);
    Some((worker.name.clone(), run.id, Some(share)))
}
