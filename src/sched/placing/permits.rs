//! Permits for queues whose steps may only run on workers that the service's advisor allows.
//! Permits are queried before a task is placed and sent with its start.

use std::collections::{BTreeMap, BTreeSet};

use crate::sched::job::{StepKey, TaskKey};
use crate::sched::message::{Action, Advice, AdviceRequest, Reply};
use crate::sched::owner::Owner;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Most workers in one query. Each lengthens the time to the answer, and the platform expects
/// queries about this many for a step.
const MAX_QUERY_WORKERS: usize = 30;
/// Most queries that are open at the same time. The advisor answers the queries of a box one after
/// another and rejects more than 32.
const MAX_OPEN_QUERIES: usize = 4;
/// Milliseconds until a query without an answer is repeated.
const RETRY_PAUSE: Millis = 300;
/// Milliseconds before a permit expires from which no task is placed by it: the placement has to
/// be stored and the start sent before then.
const EXPIRY_MARGIN: Millis = 250;

/// Permit to run the tasks of a step on one worker.
#[derive(Clone, Debug)]
struct Permit {
    /// Token that is sent with each start.
    token: Name,
    /// When the permit expires.
    expires: Millis,
}

/// Answers of the advisor about a step. Which workers may run a step never changes.
#[derive(Clone, Debug, Default)]
pub(in crate::sched) struct Permits {
    /// Workers that may run the step, with their latest permit.
    granted: BTreeMap<Name, Permit>,
    /// Workers that may not run the step.
    denied: BTreeSet<Name>,
    /// When the open query was sent; `None` when none is open.
    queried_at: Option<Millis>,
    /// When the next query may be sent.
    next_query: Millis,
}

impl Permits {
    /// Returns true when a worker has a permit by which a task may be placed now.
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
    /// Returns true when the queue of a task requires permits.
    fn needs_permit(&self, key: TaskKey) -> bool {
        self.jobs[&key.job].row.queue.advised
    }

    /// Returns true when a task needs no permit or some worker has one. Queries permits
    /// otherwise.
    pub(in crate::sched) fn ensure_permitted(&mut self, key: TaskKey) -> bool {
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

    /// Queries further permits for a task that fits on no worker with a permit.
    pub(in crate::sched) fn query_more_permits(&mut self, key: TaskKey) {
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

    /// Returns the workers to query: first those whose permits have expired, then unknown ones,
    /// each group by decreasing headroom.
    fn workers_to_query(&self, key: TaskKey) -> Vec<Name> {
        let known = &self.permits[&key.step_key()];
        let resources = self.jobs[&key.job].step(key).reserved();
        let now = self.now.steady;
        let open = |name: &Name| !known.denied.contains(name) && !known.allows(name, now);
        let workers = self.candidate_workers(key).into_iter().filter(open);
        let mut workers: Vec<Name> = workers.collect();
        workers.sort_by_key(|name| {
            let free = self.workers[name].headroom(resources);
            (!known.granted.contains_key(name), std::cmp::Reverse(free))
        });
        workers.truncate(MAX_QUERY_WORKERS);
        workers
    }

    /// Processes the reply of the advisor to a query about the workers `asked`.
    pub(in crate::sched) fn handle_advice(
        &mut self,
        step: StepKey,
        asked: Vec<Name>,
        reply: Reply<Advice>,
    ) {
        let now = self.now.steady;
        let name = self.step_name(step);
        // The entry is removed when the job ends.
        let Some(known) = self.permits.get_mut(&step) else {
            return;
        };
        let sent = known.queried_at.take().unwrap_or(now);
        let Reply::Ok(advice) = reply else {
            log::info!(target: "task", "step={name} event=advice-missing reply={reply:?}");
            known.next_query = now + RETRY_PAUSE;
            return;
        };
        let expires = sent + advice.valid_for;
        let good = advice.permits.len();
        log::info!(target: "task", "step={name} event=advice good={good} asked={} valid_ms={}", asked.len(), advice.valid_for);
        known.denied.extend(asked);
        for (worker, token) in advice.permits {
            known.denied.remove(&worker);
            known.granted.insert(worker, Permit { token, expires });
        }
        self.saturated = false;
    }

    /// Returns the name by which the advisor knows a step.
    fn step_name(&self, step: StepKey) -> String {
        let id = self.jobs.get(&step.job).map_or("", |job| &job.id);
        format!("{id}.{}.{}", step.round, step.step)
    }

    /// Returns the permit token for a start on a worker. It is empty when no permit is needed, and
    /// `None` when the permit has expired.
    pub(in crate::sched) fn permit_token(&self, key: TaskKey, worker: &str) -> Option<Name> {
        if !self.needs_permit(key) {
            return Some("".into());
        }
        let now = self.now.steady;
        let permit = self.permits.get(&key.step_key())?.granted.get(worker)?;
        (now < permit.expires).then(|| permit.token.clone())
    }

    /// Removes the permits of a worker, which are valid for one incarnation only.
    pub(in crate::sched) fn forget_permits(&mut self, worker: &str) {
        for known in self.permits.values_mut() {
            known.granted.remove(worker);
        }
    }

    /// Marks the permit of a worker as expired, after the worker rejected it.
    pub(in crate::sched) fn invalidate_permit(&mut self, key: TaskKey, worker: &str) {
        let known = self.permits.get_mut(&key.step_key());
        if let Some(permit) = known.and_then(|k| k.granted.get_mut(worker)) {
            permit.expires = 0;
        }
    }
}
