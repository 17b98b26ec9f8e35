//! Requests: which worker runs one, which wait and which are refused.

use std::collections::BTreeMap;

use super::state::Cell;
use super::worker::{ActiveRequest, Worker};
use super::{Action, Reason, Selection, Size};
use crate::constants::WHOLE;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Weight of a new measurement in a moving average.
const SMOOTH: f64 = 0.05;
/// Microseconds assumed of a service that was never measured.
const GUESS: f64 = 5_000.0;
/// Shortest and longest time after which a refused caller is told to come back.
const COME_BACK: (Millis, Millis) = (20, 5_000);

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Somebody waits for it.
    Critical,
    /// It gives way.
    Batch,
}

/// A request as the owner of a cell sees it.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Number of the request on this box.
    pub ticket: u64,
    /// Service that is asked for.
    pub service: Name,
    /// How urgent it is.
    pub class: Class,
    /// Size that it needs.
    pub size: Size,
    /// When its answer is worthless, on the own clock.
    pub deadline: Millis,
}

/// Order of waiting requests: class, deadline, ticket.
type QueueKey = (Class, Millis, u64);

/// Waiting requests, the most urgent first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<QueueKey, PendingRequest>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    fn push(&mut self, ask: PendingRequest) {
        let rank = (ask.class, ask.deadline, ask.ticket);
        self.waiting.insert(rank, ask);
    }

    fn pop(&mut self) -> Option<PendingRequest> {
        self.waiting.pop_first().map(|(_, ask)| ask)
    }

    /// Takes the last batch request out, to make place for a critical one.
    fn shed_batch(&mut self) -> Option<PendingRequest> {
        let entry = self.waiting.last_entry()?;
        (entry.key().0 == Class::Batch).then(|| entry.remove())
    }

    fn count_ahead(&self, class: Class) -> usize {
        let end = (class, Millis::MAX, u64::MAX);
        self.waiting.range(..=end).count()
    }

    /// Takes all requests out.
    pub fn drain(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    fn take_expired(&mut self, late: impl Fn(&PendingRequest) -> bool) -> Vec<PendingRequest> {
        let ranks: Vec<QueueKey> = self
            .waiting
            .iter()
            .filter(|(_, ask)| late(ask))
            .map(|(rank, _)| *rank)
            .collect();
        ranks
            .iter()
            .filter_map(|rank| self.waiting.remove(rank))
            .collect()
    }
}

/// How a send to a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The whole answer came.
    Answered,
    /// No byte left, or the worker refused it before running it.
    NotRun,
    /// No byte left, as the lease had lapsed.
    LeaseLapsed,
    /// It may have run; the worker would not start it after `until`.
    Unknown {
        /// On the own clock.
        until: Millis,
    },
}

impl Cell {
    /// Takes in a request; it is sent, queued or refused.
    pub fn admit(&mut self, now: Millis, micros: u64, ask: PendingRequest) -> Vec<Action> {
        let mut actions = Vec::new();
        self.record_use(now, &ask.service);
        if self.leaving {
            let after = COME_BACK.0;
            actions.push(refuse(&ask, Reason::Stopping, after));
            return actions;
        }
        let expected = self.expected_latency(&ask.service);
        if now + expected > ask.deadline {
            actions.push(refuse(
                &ask,
                Reason::Deadline,
                self.expected_wait(now, ask.class, &ask.service),
            ));
            return actions;
        }
        let behind = self.queue.count_ahead(ask.class) > 0;
        if !behind && let Some(action) = self.dispatch(now, micros, &ask) {
            actions.push(action);
            return actions;
        }
        self.enqueue(now, ask, &mut actions);
        actions
    }

    fn record_use(&mut self, now: Millis, service: &Name) {
        match self.last_requests.get_mut(service) {
            Some(at) => *at = now,
            None => drop(self.last_requests.insert(service.clone(), now)),
        }
    }

    fn enqueue(&mut self, now: Millis, ask: PendingRequest, actions: &mut Vec<Action>) {
        let wait = self.expected_wait(now, ask.class, &ask.service);
        let expected = self.expected_latency(&ask.service);
        let open = self.workers.values().any(|w| w.accepts_work(now));
        if !open || now + wait + expected > ask.deadline {
            let reason = if open {
                Reason::Deadline
            } else {
                Reason::NoRoom
            };
            actions.push(refuse(&ask, reason, wait));
            return;
        }
        if self.queue.len() >= self.policy.queue_limit {
            let shed = match ask.class {
                Class::Critical => self.queue.shed_batch(),
                Class::Batch => None,
            };
            match shed {
                Some(victim) => actions.push(refuse(&victim, Reason::Shed, wait)),
                None => return actions.push(refuse(&ask, Reason::NoRoom, wait)),
            }
        }
        let class = ask.class;
        let size = ask.size;
        self.queue.push(ask);
        if class == Class::Critical {
            actions.extend(self.free_resources(now, size));
        }
    }

    /// Sends a request to the best worker with room, if there is one.
    fn dispatch(&mut self, now: Millis, micros: u64, ask: &PendingRequest) -> Option<Action> {
        let name = self.select_worker(now, ask)?;
        let worker = self.workers.get_mut(&name)?;
        if !worker.check_not_leaving() {
            return None;
        }
        let active = ActiveRequest {
            service: ask.service.clone(),
            size: ask.size,
            sent_us: micros,
            start_deadline: None,
        };
        worker.add_request(ask.ticket, active);
        self.tickets.insert(ask.ticket, name.clone());
        Some(Action::Send {
            ticket: ask.ticket,
            worker: name,
            http: worker.http,
        })
    }

    fn select_worker(&mut self, now: Millis, ask: &PendingRequest) -> Option<Name> {
        let open = self.workers.values().filter(|w| w.accepts_work(now));
        let (total, sound) = open.fold((0, 0), |(total, sound), worker| {
            (total + 1, sound + usize::from(worker.ejected_until <= now))
        });
        // With half of the workers ejected, the fault is likely not theirs.
        let strict = sound * 2 > total;
        let candidates: Vec<&Worker> = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now) && w.free_slots() > 0 && w.has_free(ask.size))
            .filter(|w| !strict || w.ejected_until <= now)
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
                let cost = |w: &&Worker| self.cost(w, &ask.service);
                candidates
                    .into_iter()
                    .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            }
        };
        chosen.map(|w| w.name.clone())
    }

    /// Returns the expected answer time on a worker over that on an idle one.
    fn cost(&self, worker: &Worker, service: &str) -> f64 {
        let busy = worker.is_busy();
        let hurt: f64 = worker
            .running_runs()
            .map(|r| {
                self.interference.upper_estimate(service, &r.kind, busy) * f64::from(r.share)
                    / f64::from(WHOLE)
            })
            .sum();
        let mean = self.mean_latencies.get(service).copied().unwrap_or(GUESS);
        let measured = (worker.mean_latency / mean - 1.0).clamp(0.0, 4.0);
        let load = f64::from(worker.used_slots()) / f64::from(worker.shape.slots.max(1));
        1.0 + hurt.max(measured * 0.5) + load
    }

    /// Takes in how a send ended, and gives its slot to who waits.
    pub fn finish_send(
        &mut self,
        now: Millis,
        micros: u64,
        ticket: u64,
        sent: SendOutcome,
    ) -> Vec<Action> {
        let Some(name) = self.tickets.remove(&ticket) else {
            return Vec::new();
        };
        let Some(worker) = self.workers.get_mut(&name) else {
            return Vec::new();
        };
        match sent {
            SendOutcome::Answered => {
                if let Some(active) = worker.remove_request(ticket) {
                    let took = micros.saturating_sub(active.sent_us);
                    worker.record_answer(took);
                    let mean = self
                        .mean_latencies
                        .entry(active.service)
                        .or_insert(took as f64);
                    *mean += SMOOTH * (took as f64 - *mean);
                }
            }
            SendOutcome::NotRun => {
                worker.remove_request(ticket);
                strike(worker, now);
            }
            SendOutcome::LeaseLapsed => {
                worker.remove_request(ticket);
                return Vec::new();
            }
            SendOutcome::Unknown { until } => {
                // It may still hold its slot there: the next exchange tells.
                if let Some(active) = worker.requests.get_mut(&ticket) {
                    active.start_deadline = Some(until + self.margin);
                }
                strike(worker, now);
            }
        }
        self.send_queued(now, micros)
    }

    /// Sends what waits while there is room.
    pub fn send_queued(&mut self, now: Millis, micros: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(ask) = self.queue.pop() {
            if now >= ask.deadline {
                actions.push(refuse(&ask, Reason::Deadline, COME_BACK.0));
                continue;
            }
            match self.dispatch(now, micros, &ask) {
                Some(action) => actions.push(action),
                None => {
                    self.queue.push(ask);
                    break;
                }
            }
        }
        actions
    }

    /// Refuses at once what can't be answered in time any more.
    pub fn refuse_expired(&mut self, now: Millis) -> Vec<Action> {
        let means = &self.mean_latencies;
        let late = |ask: &PendingRequest| {
            let mean = means.get(&ask.service).copied().unwrap_or(0.0);
            now + (mean / 1_000.0) as Millis > ask.deadline
        };
        let expired = self.queue.take_expired(late);
        let told = |ask: &PendingRequest| {
            refuse(
                ask,
                Reason::Deadline,
                self.expected_wait(now, ask.class, &ask.service),
            )
        };
        expired.iter().map(told).collect()
    }

    /// Refuses all that waits, as the cell is given up.
    pub fn refuse_all(&mut self, reason: Reason) -> Vec<Action> {
        let waiting = self.queue.drain();
        waiting
            .iter()
            .map(|ask| refuse(ask, reason, COME_BACK.0))
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
        let mean = self.mean_latencies.get(service).copied().unwrap_or(GUESS);
        let ahead = self.queue.count_ahead(class) as f64 + 1.0;
        let wait = ahead * mean / f64::from(slots.max(1)) / 1_000.0;
        (wait as Millis).clamp(COME_BACK.0, COME_BACK.1)
    }
}

fn strike(worker: &mut Worker, now: Millis) {
    if worker.record_failure(now) {
        let until = worker.ejected_until - now;
        log::warn!(target: "cell", "{} ejected for {until} ms", worker.name);
    }
}

fn refuse(ask: &PendingRequest, reason: Reason, after: Millis) -> Action {
    Action::Refuse {
        ticket: ask.ticket,
        reason,
        retry_after: after.clamp(COME_BACK.0, COME_BACK.1),
    }
}
