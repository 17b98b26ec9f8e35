//! Queues whose steps may run on some workers only, which an advisor of the
//! service tells: permits are asked for before placing, and go with a start.

use std::collections::{BTreeMap, BTreeSet};

use super::job::{StepKey, TaskKey};
use super::message::{Action, Advice, AdviceRequest, Reply};
use super::owner::Owner;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Workers named in one question: each adds to the time of the answer, and
/// the platform reckons with as many a step.
const MAX_QUERY_WORKERS: usize = 30;
/// Questions without an answer at once: the advisor takes a box's questions one
/// after another and turns away more than 32.
const MAX_OPEN_QUERIES: usize = 4;
/// Milliseconds until a question that had no answer is asked again.
const RETRY_PAUSE: Millis = 300;
/// Milliseconds before its end from which nothing is placed by a permit any
/// more: the start has to be kept and sent before it ends.
const EXPIRY_MARGIN: Millis = 250;

/// A worker's permit for the tasks of a step.
#[derive(Clone, Debug)]
struct Permit {
    /// Goes with each start.
    token: Name,
    /// When it ends.
    expires: Millis,
}

/// What the advisor said about a step; which workers are good does not change.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits {
    granted: BTreeMap<Name, Permit>,
    denied: BTreeSet<Name>,
    /// When the question that has no answer yet was asked.
    queried_at: Option<Millis>,
    /// When the next question may be asked.
    next_query: Millis,
}

impl Permits {
    /// Returns true when a worker may run the step now.
    pub fn allows(&self, worker: &str, now: Millis) -> bool {
        self.granted
            .get(worker)
            .is_some_and(|p| now + EXPIRY_MARGIN < p.expires)
    }

    fn any_valid(&self, now: Millis) -> bool {
        self.granted
            .values()
            .any(|p| now + EXPIRY_MARGIN < p.expires)
    }
}

impl Owner {
    /// Returns true when a task's queue needs permits.
    fn needs_permit(&self, key: TaskKey) -> bool {
        self.jobs[&key.job].row.queue.advised
    }

    /// Returns true when a task may be placed: it needs no permit, or some
    /// worker has one. Asks for permits otherwise.
    pub(super) fn ensure_permitted(&mut self, key: TaskKey) -> bool {
        if !self.needs_permit(key) {
            return true;
        }
        let step = key.step_key();
        let now = self.now.steady;
        if self.permits.entry(step).or_default().any_valid(now) {
            return true;
        }
        self.query_permits(key);
        false
    }

    /// Asks for more permits of a step whose good workers are full.
    pub(super) fn query_more_permits(&mut self, key: TaskKey) {
        if self.needs_permit(key) {
            self.query_permits(key);
        }
    }

    fn query_permits(&mut self, key: TaskKey) {
        let (step, now) = (key.step_key(), self.now.steady);
        let open = self
            .permits
            .values()
            .filter(|p| p.queried_at.is_some())
            .count();
        let known = self.permits.entry(step).or_default();
        if open >= MAX_OPEN_QUERIES || known.queried_at.is_some() || now < known.next_query {
            return;
        }
        let workers = self.workers_to_query(key);
        if workers.is_empty() {
            return;
        }
        let name = self.step_name(step);
        log::info!(target: "task", "step={name} event=advice-asked workers={}", workers.len());
        if let Some(known) = self.permits.get_mut(&step) {
            known.queried_at = Some(now);
        }
        self.actions.push(Action::RequestAdvice(AdviceRequest {
            step,
            name,
            workers,
        }));
    }

    /// Returns the workers to ask about: good ones whose permits have ended,
    /// then unknown ones, those with most room first.
    fn workers_to_query(&self, key: TaskKey) -> Vec<Name> {
        let known = &self.permits[&key.step_key()];
        let resources = self.jobs[&key.job].step(key).reserved();
        let now = self.now.steady;
        let open = |name: &Name| !known.denied.contains(name) && !known.allows(name, now);
        let able = self.candidate_workers(key).into_iter().filter(open);
        let mut able: Vec<Name> = able.collect();
        able.sort_by_key(|name| {
            let free = self.workers[name].headroom(resources);
            (!known.granted.contains_key(name), std::cmp::Reverse(free))
        });
        able.truncate(MAX_QUERY_WORKERS);
        able
    }

    /// Takes in what the advisor said about the workers that it was asked about.
    pub(super) fn handle_advice(&mut self, step: StepKey, asked: Vec<Name>, reply: Reply<Advice>) {
        let now = self.now.steady;
        let name = self.step_name(step);
        // Without it, the job is over.
        let Some(known) = self.permits.get_mut(&step) else {
            return;
        };
        let sent = known.queried_at.take().unwrap_or(now);
        let Reply::Ok(advice) = reply else {
            log::info!(target: "task", "step={name} event=advice-missing reply={reply:?}");
            known.next_query = now + RETRY_PAUSE;
            return;
        };
        let end = sent + advice.valid_for;
        let good = advice.permits.len();
        log::info!(target: "task", "step={name} event=advice good={good} asked={} valid_ms={}", asked.len(), advice.valid_for);
        known.denied.extend(asked);
        for (worker, token) in advice.permits {
            known.denied.remove(&worker);
            known.granted.insert(
                worker,
                Permit {
                    token,
                    expires: end,
                },
            );
        }
        self.saturated = false;
    }

    /// Returns the name of a step as the advisor knows it.
    fn step_name(&self, step: StepKey) -> String {
        let id = self.jobs.get(&step.job).map_or("", |job| &job.id);
        format!("{id}.{}.{}", step.round, step.step)
    }

    /// Returns the permit for a start on a worker; empty where none is needed,
    /// none where it has ended.
    pub(super) fn permit_token(&self, key: TaskKey, worker: &str) -> Option<Name> {
        if !self.needs_permit(key) {
            return Some("".into());
        }
        let now = self.now.steady;
        let permit = self.permits.get(&key.step_key())?.granted.get(worker)?;
        (now < permit.expires).then(|| permit.token.clone())
    }

    /// Forgets what holds for one life of a worker.
    pub(super) fn forget_permits(&mut self, worker: &str) {
        for known in self.permits.values_mut() {
            known.granted.remove(worker);
        }
    }

    /// Takes in that a worker did not accept a permit.
    pub(super) fn invalidate_permit(&mut self, key: TaskKey, worker: &str) {
        let known = self.permits.get_mut(&key.step_key());
        if let Some(permit) = known.and_then(|k| k.granted.get_mut(worker)) {
            permit.expires = 0;
        }
    }
}
