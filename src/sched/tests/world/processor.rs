//! Simulates the thread of the owner's box: each decision takes time, and what arrives meanwhile
//! waits.
//!
//! The owner's task handles messages in time slices. Between two of them the other tasks of the thread send
//! the calls that the owner has asked for, receive what has arrived and answer pings.

use std::collections::BTreeSet;

use super::World;
use super::calls::Call;
use crate::sched::backlog::{Backlog, Class, TIME_SLICE};
use crate::sched::job::StepKey;
use crate::sched::message::{Event, JobRequest, Ticket};
use crate::utils::clock::Millis;

/// Microseconds that work takes with a whole processor.
pub struct Costs {
    /// Handling an event.
    pub event: u64,
    /// Examining a worker in a placement pass.
    pub worker: u64,
    /// Considering a waiting step in a placement pass.
    pub step: u64,
    /// Making or answering a call, or receiving a message.
    pub call: u64,
    /// Loading a job when the owner begins.
    pub load: u64,
}

/// What a processor was used for, and how often.
#[derive(Default)]
pub struct Usage {
    /// Microseconds of events with a placement pass.
    pub passes: u64,
    /// Number of commits that were answered.
    pub commits: u64,
}

/// An event that waits, and when it arrived.
type Waiting = (Millis, Event);

/// The thread of the owner's box.
pub struct Processor {
    /// Share of a processor that the box has, from 0 to 1.
    share: f64,
    costs: Costs,
    pub usage: Usage,
    /// Time in microseconds at which the thread is free for the next work.
    free_at: u64,
    /// Time in microseconds at which the present time slice ends at the latest.
    slice_end: u64,
    /// When the owner next has work without a message.
    next_tick: Millis,
    /// Messages and replies that have reached the box and were not received.
    arrived: Vec<Waiting>,
    /// Pings that have reached the box, by number of the pinging box.
    pub(super) pings: Vec<usize>,
    /// Messages that wait for the owner's task.
    backlog: Backlog<Waiting>,
    /// Calls to make.
    outgoing: Vec<Call>,
    /// Requests whose callers no longer wait.
    gone: BTreeSet<Ticket>,
    /// When the store last confirmed the owner, as of the end of the last time slice.
    pub(super) confirmed: Millis,
}

impl Processor {
    /// Returns a thread with this share of a processor.
    pub fn new(share: f64, costs: Costs) -> Self {
        Self {
            share,
            costs,
            usage: Usage::default(),
            free_at: 0,
            slice_end: 0,
            next_tick: 0,
            arrived: Vec::new(),
            pings: Vec::new(),
            backlog: Backlog::default(),
            outgoing: Vec::new(),
            gone: BTreeSet::new(),
            confirmed: 0,
        }
    }

    /// Spends the time that work takes which takes `micros` with a whole processor, and returns it.
    fn spend(&mut self, micros: u64) -> u64 {
        let took = (micros as f64 / self.share) as u64;
        self.free_at += took;
        took
    }

    /// Begins to load `jobs` jobs on another box, and returns when they are loaded.
    pub(super) fn begin_load(&mut self, jobs: usize, now: Millis) -> Millis {
        self.clear();
        self.free_at = now * 1_000;
        self.spend(self.costs.load * jobs as u64);
        self.confirmed = now;
        self.free_at.div_ceil(1_000)
    }

    /// Drops all that waits for the owner or comes from it.
    pub(super) fn clear(&mut self) {
        self.arrived.clear();
        self.backlog = Backlog::default();
        self.outgoing.clear();
        self.pings.clear();
        self.slice_end = 0;
        self.next_tick = 0;
    }

    /// Receives an event of the owner.
    pub(super) fn receive(&mut self, event: Event, now: Millis) {
        self.arrived.push((now, event));
    }

    /// Adds an event that arrived at `at` to those that wait for the owner's task.
    fn push(&mut self, at: Millis, event: Event) {
        self.backlog.push(Class::of(&event), (at, event));
    }

    /// Returns true when the time slice of the owner's task is over.
    fn slice_is_over(&self) -> bool {
        self.backlog.is_empty() || self.free_at >= self.slice_end
    }
}

impl World {
    /// Sends a job request to the owner, and returns the ticket of its answer in `answers`.
    pub fn post(&mut self, request: JobRequest) -> Ticket {
        self.last_ticket += 1;
        self.notify(Event::Request(self.last_ticket, request));
        self.last_ticket
    }

    /// Records that the caller of a request waits no longer.
    pub fn leave(&mut self, ticket: Ticket) {
        if let Some(processor) = &mut self.processor {
            processor.gone.insert(ticket);
        }
    }

    /// Has the following boxes and the owner's thread do what they begin in this millisecond.
    pub(super) fn run_thread(&mut self) {
        self.run_successors();
        if self.owner.is_released() && !self.successors.is_vacant() {
            self.kill_owner();
        }
        if self.successors.is_vacant() {
            return;
        }
        let Some(mut processor) = self.processor.take() else {
            return;
        };
        let end = (self.now + 1) * 1_000;
        processor.free_at = processor.free_at.max(self.now * 1_000);
        while processor.free_at < end && self.work(&mut processor) {}
        self.processor = Some(processor);
    }

    /// Does the next piece of work; returns false if there is none.
    fn work(&mut self, processor: &mut Processor) -> bool {
        if processor.slice_is_over() {
            self.run_other_tasks(processor);
            if processor.backlog.is_empty() && self.now >= processor.next_tick {
                processor.push(self.now, Event::Tick);
            }
            processor.slice_end = processor.free_at + TIME_SLICE * 1_000;
        }
        let Some((at, event)) = processor.backlog.pop() else {
            return false;
        };
        self.owner.record_lag(self.now - at);
        self.decide_in_time(processor, event);
        if processor.slice_is_over() {
            processor.confirmed = self.owner.last_confirmed();
        }
        true
    }

    /// Runs the tasks beside the owner's: they make calls, answer pings and receive messages.
    fn run_other_tasks(&mut self, processor: &mut Processor) {
        let costs = processor.costs.call;
        for call in std::mem::take(&mut processor.outgoing) {
            processor.spend(costs);
            self.send(call);
        }
        for pinging in std::mem::take(&mut processor.pings) {
            processor.spend(costs);
            self.answer_ping(pinging, processor.confirmed);
        }
        for (at, event) in std::mem::take(&mut processor.arrived) {
            processor.spend(costs);
            processor.push(at, event);
        }
    }

    /// Has the owner handle an event, and spends the time that this takes.
    fn decide_in_time(&mut self, processor: &mut Processor, event: Event) {
        if let Event::Request(ticket, _) = &event
            && processor.gone.remove(ticket)
        {
            return;
        }
        let (examined, pass) = (self.owner.workers_examined, self.owner.next_pass);
        processor.usage.commits += u64::from(matches!(event, Event::CommitEnded(..)));
        let calls = self.decide(event);
        let costs = &processor.costs;
        let mut micros = costs.event + costs.call * calls.len() as u64;
        let passed = self.owner.next_pass != pass;
        if passed {
            micros += (self.owner.workers_examined - examined) * costs.worker;
            let waiting = self.owner.ready.keys().map(|key| key.step_key());
            let waiting: BTreeSet<StepKey> = waiting.collect();
            micros += waiting.len() as u64 * costs.step;
        }
        processor.outgoing.extend(calls);
        let took = processor.spend(micros);
        processor.usage.passes += if passed { took } else { 0 };
        self.owner.record_decision_time(took);
        processor.next_tick = self.now + self.owner.due_in(self.clock());
    }
}
