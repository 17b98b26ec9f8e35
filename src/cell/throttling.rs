//! Relief: which runs are throttled or evicted where services are hurt.

use super::runs::{CallOutcome, Run, RunId, RunPhase};
use super::state::Cell;
use super::worker::Worker;
use super::{Action, Size};
use crate::constants::WHOLE;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Lowest share to which a run is throttled, in thousandths.
pub(super) const LOWEST: u32 = 250;
/// Milliseconds between two steps of throttling on one worker.
const STEP: Millis = 1_000;
/// Milliseconds at the lowest share before a run is evicted.
const PERSIST: Millis = 3_000;
/// Milliseconds between two evictions on one worker, unless for urgent work.
const COOL: Millis = 5_000;

impl Cell {
    /// Throttles or evicts where services are hurt, and lets go where not.
    pub fn adjust_throttles(&mut self, now: Millis) -> Vec<Action> {
        if !self.policy.throttling {
            return Vec::new();
        }
        let bearable = self.slowdown_limit();
        let mut steps = Vec::new();
        for worker in self.workers.values() {
            if !worker.responsive || now < worker.last_throttle + STEP {
                continue;
            }
            let slow = self.slowdowns.get(&worker.name).copied().unwrap_or(1.0);
            if slow > bearable {
                steps.extend(self.slow_down(now, worker));
            } else if slow < 1.0 + (bearable - 1.0) * 0.6 {
                steps.extend(speed_up(worker));
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

    /// Returns the next step against the run that hurts most: half its share,
    /// or its eviction when that did not help for a while.
    fn slow_down(&self, now: Millis, worker: &Worker) -> Option<(Name, RunId, Option<u32>)> {
        let busy = worker.is_busy();
        let services: Vec<&Name> = worker.requests.values().map(|a| &a.service).collect();
        let interference = |r: &Run| -> f64 {
            let known = services
                .iter()
                .map(|s| self.interference.upper_estimate(s, &r.kind, busy));
            known.fold(0.0, f64::max) * f64::from(r.share)
        };
        let worst = worker
            .running_runs()
            .max_by(|a, b| interference(a).total_cmp(&interference(b)))?;
        if worst.share > LOWEST {
            let share = (worst.share / 2).max(LOWEST);
            return Some((worker.name.clone(), worst.id, Some(share)));
        }
        let waited = now >= worst.phase_since + PERSIST && now >= worker.last_eviction + COOL;
        waited.then(|| (worker.name.clone(), worst.id, None))
    }

    /// Makes room for a waiting critical request that no worker can hold.
    pub fn free_resources(&mut self, now: Millis, size: Size) -> Vec<Action> {
        let stuck = |w: &&Worker| w.accepts_work(now) && w.free_slots() > 0 && !w.has_free(size);
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
            .filter(stuck)
            .filter(|w| now >= w.last_throttle + STEP)
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
        let action = match share > LOWEST && self.policy.throttling {
            true => self.throttle(now, &name, id, (share / 2).max(LOWEST)),
            false => self.evict(now, &name, id),
        };
        action.into_iter().collect()
    }

    fn throttle(&mut self, now: Millis, name: &Name, id: RunId, share: u32) -> Option<Action> {
        let worker = self.workers.get_mut(name)?;
        let rpc = worker.rpc;
        let run = worker.runs.get(&id).filter(|r| !r.throttle_pending)?;
        let (old, held) = (run.share, run.allocated().cores);
        let wanted = run.size.with_core_share(share).cores;
        if share > old && wanted > worker.free_cores() + held {
            return None;
        }
        worker.last_throttle = now;
        // More is counted at once, less only when the worker has confirmed it.
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

    /// Takes in how a throttle ended.
    pub fn finish_throttle(
        &mut self,
        now: Millis,
        micros: u64,
        name: &Name,
        id: RunId,
        share: u32,
        called: CallOutcome,
    ) -> Vec<Action> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        worker.update_run(id, |r| {
            r.throttle_pending = false;
            match called {
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

    pub(super) fn evict(&mut self, now: Millis, name: &Name, id: RunId) -> Option<Action> {
        let action = self.stop(name, id, true)?;
        let worker = self.workers.get_mut(name)?;
        worker.last_eviction = now;
        worker.last_throttle = now;
        self.evictions += 1;
        Some(action)
    }

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

/// Returns the next step towards a run's full share on a calm worker.
fn speed_up(worker: &Worker) -> Option<(Name, RunId, Option<u32>)> {
    let run = worker.running_runs().find(|r| r.share < WHOLE)?;
    let share = (run.share * 2).min(WHOLE);
    Some((worker.name.clone(), run.id, Some(share)))
}
