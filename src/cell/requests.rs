//! Requests to services: selects their workers, queues them, or refuses them.

use std::collections::BTreeMap;

use super::state::Cell;
use super::worker::{ActiveRequest, Worker};
use super::{Action, Reason, Selection, Size};
use crate::constants::PER_MILLE;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Weight of a new measurement in the moving average of a service's latency.
const SERVICE_LATENCY_WEIGHT: f64 = 0.05;
/// Latency in microseconds assumed for a service that was never measured.
const DEFAULT_LATENCY: f64 = 5_000.0;
/// Shortest and longest time in milliseconds after which a refused caller may retry.
const RETRY_AFTER_RANGE: (Millis, Millis) = (20, 5_000);

/// Class of a request; requests of the first class are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Latency-critical.
    Critical,
    /// Without a need for low latency.
    Batch,
}

/// A request to a service, as a cell admits and queues it.
#[derive(Clone, Debug)]
pub struct CellRequest {
    /// Number of the request on this box.
    pub ticket: u64,
    /// Requested service.
    pub service: Name,
    /// Class of the request.
    pub class: Class,
    /// Declared size of the request.
    pub size: Size,
    /// When the answer becomes useless, on this box's clock.
    pub deadline: Millis,
}

/// Position of a waiting request: class, deadline, ticket.
type QueueKey = (Class, Millis, u64);

/// Waiting requests, ordered by class and deadline.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<QueueKey, CellRequest>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    fn push(&mut self, request: CellRequest) {
        let key = (request.class, request.deadline, request.ticket);
        self.waiting.insert(key, request);
    }

    fn pop(&mut self) -> Option<CellRequest> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    /// Removes the last request if it is a batch request.
    fn shed_batch(&mut self) -> Option<CellRequest> {
        let entry = self.waiting.last_entry()?;
        (entry.key().0 == Class::Batch).then(|| entry.remove())
    }

    /// Returns the number of requests of `class` or a more urgent class.
    fn count_ahead(&self, class: Class) -> usize {
        let end = (class, Millis::MAX, u64::MAX);
        self.waiting.range(..=end).count()
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<CellRequest> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// Removes and returns the requests for which `late` returns true.
    fn take_expired(&mut self, late: impl Fn(&CellRequest) -> bool) -> Vec<CellRequest> {
        let keys: Vec<QueueKey> = self
            .waiting
            .iter()
            .filter(|(_, request)| late(request))
            .map(|(key, _)| *key)
            .collect();
        keys.iter()
            .filter_map(|key| self.waiting.remove(key))
            .collect()
    }
}

/// How the send of a request to a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The whole answer was received.
    Answered,
    /// Nothing was sent, or the worker refused the request before running it.
    NotRun,
    /// Nothing was sent because the box's lease had lapsed.
    LeaseLapsed,
    /// The request may have run; the worker does not start it after `until`.
    Unknown {
        /// Time on this box's clock.
        until: Millis,
    },
}

impl Cell {
    /// Sends, queues or refuses a new request.
    pub fn admit(&mut self, now: Millis, micros: u64, request: CellRequest) -> Vec<Action> {
        let mut actions = Vec::new();
        self.record_use(now, &request.service);
        if self.leaving {
            let after = RETRY_AFTER_RANGE.0;
            actions.push(refuse(&request, Reason::Stopping, after));
            return actions;
        }
        let expected = self.expected_latency(&request.service);
        if now + expected > request.deadline {
            actions.push(refuse(
                &request,
                Reason::Deadline,
                self.expected_wait(now, request.class, &request.service),
            ));
            return actions;
        }
        let must_wait = self.queue.count_ahead(request.class) > 0;
        if !must_wait && let Some(action) = self.dispatch(now, micros, &request) {
            actions.push(action);
            return actions;
        }
        self.enqueue(now, request, &mut actions);
        actions
    }

    /// Records when a service was last requested.
    fn record_use(&mut self, now: Millis, service: &Name) {
        match self.last_requests.get_mut(service) {
            Some(at) => *at = now,
            None => drop(self.last_requests.insert(service.clone(), now)),
        }
    }

    /// Queues a request, or refuses it when it cannot be answered in time or the queue is
    /// full. In a full queue a critical request replaces the last batch request.
    fn enqueue(&mut self, now: Millis, request: CellRequest, actions: &mut Vec<Action>) {
        let wait = self.expected_wait(now, request.class, &request.service);
        let expected = self.expected_latency(&request.service);
        let open = self.workers.values().any(|w| w.accepts_work(now));
        if !open || now + wait + expected > request.deadline {
            let reason = if open {
                Reason::Deadline
            } else {
                Reason::NoRoom
            };
            actions.push(refuse(&request, reason, wait));
            return;
        }
        if self.queue.len() >= self.policy.queue_limit {
            let shed = match request.class {
                Class::Critical => self.queue.shed_batch(),
                Class::Batch => None,
            };
            match shed {
                Some(victim) => actions.push(refuse(&victim, Reason::Shed, wait)),
                None => return actions.push(refuse(&request, Reason::NoRoom, wait)),
            }
        }
        let class = request.class;
        let size = request.size;
        self.queue.push(request);
        if class == Class::Critical {
            actions.extend(self.free_resources(now, size));
        }
    }

    /// Sends a request to the best worker with free resources, if there is one.
    fn dispatch(&mut self, now: Millis, micros: u64, request: &CellRequest) -> Option<Action> {
        let name = self.select_worker(now, request)?;
        let worker = self.workers.get_mut(&name)?;
        if !worker.check_not_leaving() {
            return None;
        }
        let active = ActiveRequest {
            service: request.service.clone(),
            size: request.size,
            sent_us: micros,
            start_deadline: None,
        };
        worker.add_request(request.ticket, active);
        self.tickets.insert(request.ticket, name.clone());
        Some(Action::Send {
            ticket: request.ticket,
            worker: name,
            http: worker.http,
        })
    }

    /// Returns the worker for a request, by the policy's selection.
    fn select_worker(&mut self, now: Millis, request: &CellRequest) -> Option<Name> {
        let open = self.workers.values().filter(|w| w.accepts_work(now));
        let (total, healthy) = open.fold((0, 0), |(total, healthy), worker| {
            (
                total + 1,
                healthy + usize::from(worker.ejected_until <= now),
            )
        });
        // When at least half of the workers are ejected, the cause is probably not the workers,
        // so ejections are ignored.
        let skip_ejected = healthy * 2 > total;
        let candidates: Vec<&Worker> = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now) && w.free_slots() > 0 && w.has_free(request.size))
            .filter(|w| !skip_ejected || w.ejected_until <= now)
            .collect();
        let count = candidates.len() as u64;
        let chosen = match self.policy.request_selection {
            Selection::First => candidates.first().copied(),
            Selection::LeastLoaded => candidates.into_iter().min_by_key(|w| w.used_slots()),
            Selection::Random => {
                let index = self.random.below(count) as usize;
                candidates.get(index).copied()
            }
            Selection::RoundRobin => {
                self.next_turn += 1;
                let index = self.next_turn.checked_rem(count).unwrap_or(0) as usize;
                candidates.get(index).copied()
            }
            Selection::Learned => {
                let cost = |w: &&Worker| self.cost(w, &request.service);
                candidates
                    .into_iter()
                    .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            }
        };
        chosen.map(|w| w.name.clone())
    }

    /// Returns the expected answer time on a worker divided by that on an idle worker.
    fn cost(&self, worker: &Worker, service: &str) -> f64 {
        let busy = worker.is_busy();
        let expected: f64 = worker
            .running_runs()
            .map(|r| {
                self.interference.upper_estimate(service, &r.kind, busy) * f64::from(r.share)
                    / f64::from(PER_MILLE)
            })
            .sum();
        let mean = self
            .mean_latencies
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_LATENCY);
        let measured = (worker.mean_latency / mean - 1.0).clamp(0.0, 4.0);
        let load = f64::from(worker.used_slots()) / f64::from(worker.shape.slots.max(1));
        1.0 + expected.max(measured * 0.5) + load
    }

    /// Handles the outcome of a send, and sends queued requests to the freed slot.
    pub fn finish_send(
        &mut self,
        now: Millis,
        micros: u64,
        ticket: u64,
        outcome: SendOutcome,
    ) -> Vec<Action> {
        let Some(name) = self.tickets.remove(&ticket) else {
            return Vec::new();
        };
        let Some(worker) = self.workers.get_mut(&name) else {
            return Vec::new();
        };
        match outcome {
            SendOutcome::Answered => {
                if let Some(request) = worker.remove_request(ticket) {
                    let took = micros.saturating_sub(request.sent_us);
                    worker.record_answered_request(took);
                    let mean = self
                        .mean_latencies
                        .entry(request.service)
                        .or_insert(took as f64);
                    *mean += SERVICE_LATENCY_WEIGHT * (took as f64 - *mean);
                }
            }
            SendOutcome::NotRun => {
                worker.remove_request(ticket);
                handle_failed_request(worker, now);
            }
            SendOutcome::LeaseLapsed => {
                worker.remove_request(ticket);
                return Vec::new();
            }
            SendOutcome::Unknown { until } => {
                // The request may still use its slot; a later poll shows whether it does.
                if let Some(request) = worker.requests.get_mut(&ticket) {
                    request.start_deadline = Some(until + self.margin);
                }
                handle_failed_request(worker, now);
            }
        }
        self.send_queued(now, micros)
    }

    /// Sends queued requests in order while a worker has free resources for the next one.
    pub fn send_queued(&mut self, now: Millis, micros: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(request) = self.queue.pop() {
            if now >= request.deadline {
                actions.push(refuse(&request, Reason::Deadline, RETRY_AFTER_RANGE.0));
                continue;
            }
            match self.dispatch(now, micros, &request) {
                Some(action) => actions.push(action),
                None => {
                    self.queue.push(request);
                    break;
                }
            }
        }
        actions
    }

    /// Refuses queued requests that can no longer be answered in time.
    pub fn refuse_expired(&mut self, now: Millis) -> Vec<Action> {
        let means = &self.mean_latencies;
        let late = |request: &CellRequest| {
            let mean = means.get(&request.service).copied().unwrap_or(0.0);
            now + (mean / 1_000.0) as Millis > request.deadline
        };
        let expired = self.queue.take_expired(late);
        let refusal = |request: &CellRequest| {
            refuse(
                request,
                Reason::Deadline,
                self.expected_wait(now, request.class, &request.service),
            )
        };
        expired.iter().map(refusal).collect()
    }

    /// Refuses all queued requests for the same reason.
    pub fn refuse_all(&mut self, reason: Reason) -> Vec<Action> {
        let waiting = self.queue.drain();
        waiting
            .iter()
            .map(|request| refuse(request, reason, RETRY_AFTER_RANGE.0))
            .collect()
    }

    /// Returns the mean answer time of a service in whole milliseconds.
    pub fn expected_latency(&self, service: &str) -> Millis {
        let mean = self.mean_latencies.get(service).copied().unwrap_or(0.0);
        (mean / 1_000.0) as Millis
    }

    /// Returns the expected wait of a new request in milliseconds.
    pub fn expected_wait(&self, now: Millis, class: Class, service: &str) -> Millis {
        let slots: u32 = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now))
            .map(|w| w.shape.slots)
            .sum();
        let mean = self
            .mean_latencies
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_LATENCY);
        let ahead = self.queue.count_ahead(class) as f64 + 1.0;
        let wait = ahead * mean / f64::from(slots.max(1)) / 1_000.0;
        (wait as Millis).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}

/// Records a failed request and logs the ejection that it may cause.
fn handle_failed_request(worker: &mut Worker, now: Millis) {
    if worker.record_failed_request(now) {
        let duration = worker.ejected_until - now;
        log::warn!(target: "cell", "worker {} is ejected for {duration} ms after repeated failures", worker.name);
    }
}

fn refuse(request: &CellRequest, reason: Reason, after: Millis) -> Action {
    Action::Refuse {
        ticket: request.ticket,
        reason,
        retry_after: after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
    }
}
