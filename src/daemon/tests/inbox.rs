//! Tests of the order in which the owner's task handles messages, and of what it tells the owner.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use monoio::time::sleep;

use super::{lock_terms, owner, shared_with_messages};
use crate::daemon::inbox::Inbox;
use crate::daemon::message::{Message, Sent};
use crate::daemon::owner_task;
use crate::daemon::shared::{self, Loading};
use crate::metrics;
use crate::program::block_on;
use crate::sched::message::{CommitOutcome, Event, JobRequest};

/// Epoch of the messages.
const EPOCH: u64 = 7;

/// Returns the kinds of the waiting messages in the order in which they are handled.
fn kinds(inbox: &mut Inbox) -> Vec<&'static str> {
    let kind = |Sent { message, .. }| match message {
        Message::Event(_, event) => event.kind(),
        Message::Request(..) => "request",
        Message::Superseded(_) => "superseded",
        _ => "other",
    };
    std::iter::from_fn(|| inbox.next()).map(kind).collect()
}

/// Behind hundreds of replies, the outcome of a commit came so late that other boxes took the owner for
/// gone; and with all requests first, no report of a worker was handled for seconds.
#[test]
fn what_decides_about_ownership_comes_first_and_then_requests_and_replies_alternately() {
    let (shared, mut inbox) = shared_with_messages();
    let (reply, _answer) = oneshot::channel();
    let show = JobRequest::Show("j".into());
    shared.send_to_owner(Message::Event(EPOCH, Event::Tick));
    shared.send_to_owner(Message::Event(EPOCH, Event::Directory(Vec::new())));
    shared.send_to_owner(Message::Request(EPOCH, show.clone(), None, reply));
    let (reply, _later) = oneshot::channel();
    shared.send_to_owner(Message::Request(EPOCH, show, None, reply));
    let outcome = CommitOutcome::NotDone;
    shared.send_to_owner(Message::Event(EPOCH, Event::CommitEnded(3, outcome)));
    shared.send_to_owner(Message::Superseded(EPOCH + 1));
    assert_eq!(
        kinds(&mut inbox),
        [
            "written",
            "superseded",
            "request",
            "tick",
            "request",
            "directory"
        ]
    );
    assert!(inbox.is_empty());
}

/// An owner that is behind served requests whose callers had long gone.
#[test]
fn a_request_whose_caller_has_gone_is_not_carried_out() {
    let _terms = lock_terms();
    block_on(async {
        let (shared, inbox) = shared_with_messages();
        let shared = Rc::new(shared);
        shared.set_loading(Some(Loading {
            epoch: EPOCH,
            pages: 0,
        }));
        let owner = owner(shared::now().steady);
        shared.send_to_owner(Message::Begin(Box::new(owner), EPOCH, 0));
        let (reply, gone) = oneshot::channel();
        drop(gone);
        let cancel = JobRequest::Cancel("j".into());
        shared.send_to_owner(Message::Request(EPOCH, cancel, None, reply));
        let (reply, answer) = oneshot::channel();
        let show = JobRequest::Show("j".into());
        shared.send_to_owner(Message::Request(EPOCH, show, None, reply));
        monoio::spawn(owner_task::run(shared.clone(), inbox));
        assert!(answer.await.is_ok(), "an owner answers");
        sleep(Duration::from_millis(20)).await;
        let waiting = metrics::get().waiting_tasks.get();
        assert_eq!(waiting, 1, "the task of the job was cancelled");
    })
    .expect("runtime");
}

/// Without the measured time, sweeps and placement passes follow each other on a slow box.
#[test]
fn the_owner_learns_how_long_its_decisions_took() {
    let mut owner = owner(shared::now().steady);
    let clock = Cell::new(0);
    // Each reading is 50 ms after the one before.
    let micros = || clock.replace(clock.get() + 50_000);
    let (_, spent) = owner_task::decide(&mut owner, Event::Tick, micros);
    assert_eq!(spent, 50_000);
    let wait = owner.due_in(shared::now());
    assert!(wait > 200, "the next sweep is due in {wait} ms");
}
