//! Tests of events that are handled within one millisecond.

use super::world::{World, job, step};
use crate::sched::incarnation::Incarnation;
use crate::sched::job::TaskKey;
use crate::sched::message::{
    Action, ActiveRun, EndedRun, Event, OrderAck, Poll, Reply, Report, RunOutcome, Start,
};

/// Key of the only task.
const KEY: TaskKey = TaskKey {
    job: 0,
    round: 0,
    step: 0,
    index: 0,
};

/// An owner that has just sent a start and handles all further events in the same millisecond.
struct Instant {
    world: World,
    start: Start,
    /// The poll that has no answer yet.
    poll: Poll,
    /// Name of the kind of each order that was sent since, except for polls.
    orders: Vec<&'static str>,
}

impl Instant {
    fn new() -> Self {
        let mut world = World::new(1);
        world.submit("j", job(vec![step(1, 1_000)]));
        while world.last_starts.is_empty() {
            world.run(1);
        }
        let (start, poll) = (&world.last_starts["w0"].1, &world.last_polls["w0"]);
        let (start, poll) = (start.clone(), poll.clone());
        Self {
            world,
            start,
            poll,
            orders: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        for action in self.world.owner.handle_event(event, self.world.clock()) {
            match action {
                Action::Poll(poll) => self.poll = poll,
                Action::Start(_) => self.orders.push("start"),
                Action::Stop(_) => self.orders.push("stop"),
                _ => {}
            }
        }
    }

    /// Has the worker answer the open poll with a report of these runs and completions.
    fn report(&mut self, running: Vec<ActiveRun>, ended: Vec<EndedRun>) {
        let report = Report {
            unreadable: 0,
            clock: self.world.now,
            boot: Some(1),
            running,
            ended,
        };
        self.handle(Event::Polled(self.poll.clone(), Reply::Ok(report)));
    }

    fn incarnation(&self) -> Incarnation {
        self.start.incarnation.clone()
    }

    fn ack(&self) -> Reply<OrderAck> {
        Reply::Ok(OrderAck {
            clock: self.world.now,
            boot: None,
        })
    }
}

/// The run ends between the report and the stop, and the next report lists its end.
#[test]
fn a_report_from_before_a_stop_does_not_release_a_run_that_was_done() {
    let mut instant = Instant::new();
    let (run, incarnation) = (instant.start.run, instant.incarnation());
    instant.world.owner.stop_task(KEY);
    instant.handle(Event::Tick);
    instant.handle(Event::Stopped(KEY, run, incarnation, instant.ack()));
    instant.report(Vec::new(), Vec::new());
    assert!(instant.world.owner.placed_on.contains_key(&KEY));
    let done = EndedRun {
        number: 1,
        task: instant.start.task.as_str().into(),
        run,
        outcome: RunOutcome::Done,
        checkpoint: "".into(),
    };
    instant.report(Vec::new(), vec![done]);
    assert_eq!(instant.orders, ["stop"]);
    assert!(instant.world.owner.jobs[&KEY.job].all_done());
}

#[test]
fn a_report_from_before_the_answer_to_a_start_stops_no_run() {
    let mut instant = Instant::new();
    let (run, incarnation) = (instant.start.run, instant.incarnation());
    instant.report(Vec::new(), Vec::new());
    instant.handle(Event::Started(KEY, run, incarnation, instant.ack()));
    instant.report(Vec::new(), Vec::new());
    assert!(instant.orders.is_empty(), "{:?}", instant.orders);
}

#[test]
fn the_answer_to_a_superseded_poll_does_not_verify_an_incarnation() {
    let mut instant = Instant::new();
    instant.report(Vec::new(), Vec::new());
    let superseded = instant.poll.clone();
    instant
        .world
        .owner
        .verify_incarnation(&"w0".into(), "entry");
    instant.handle(Event::Tick);
    instant.poll = superseded;
    instant.report(Vec::new(), Vec::new());
    assert!(instant.world.owner.workers["w0"].unverified);
}
