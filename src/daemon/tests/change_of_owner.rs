//! Tests of the end of a term in this process: nothing that is queued for it is handled any more.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use monoio::time::sleep;

use super::{lock_terms, owner, owner_row, shared_state, shared_with_messages};
use crate::daemon::follower::is_vacant;
use crate::daemon::message::Message;
use crate::daemon::peers::{self, handle_ping};
use crate::daemon::shared::{Loading, Shared};
use crate::daemon::takeover::notify_predecessor;
use crate::daemon::{owner_task, shared};
use crate::program::block_on;
use crate::proto::PingRequest;
use crate::rpc::bridge::Bridge;
use crate::sched::job::JobState;
use crate::sched::journal::OwnerRow;
use crate::sched::message::{Answer, CommitOutcome, DirectoryEntry, Event, JobRequest};
use crate::sched::spec::Resources;
use crate::sched::worker::Listing;

/// Epoch of the owner in this process.
const EPOCH: u64 = 7;
/// Time for a connection on this machine to arrive.
const CONNECT_TIME: Duration = Duration::from_millis(100);

/// Returns the state of a box in which the owner of `EPOCH` has begun.
async fn serving_box() -> Rc<Shared> {
    let (shared, messages) = shared_with_messages();
    let shared = Rc::new(shared);
    shared.set_loading(Some(Loading {
        epoch: EPOCH,
        pages: 0,
    }));
    let owner = owner(shared::now().steady);
    shared.send_to_owner(Message::Begin(Box::new(owner), EPOCH, 0));
    monoio::spawn(owner_task::run(shared.clone(), messages));
    while shared.local_epoch().is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    shared
}

/// Sends the owner's task a query of a job; the receiver gets the answer, if there is one.
fn send_query(shared: &Shared, id: &str) -> oneshot::Receiver<Answer> {
    let (reply, answer) = oneshot::channel();
    shared.send_to_owner(Message::Request(JobRequest::Show(id.into()), reply));
    answer
}

/// Returns a listener in place of a worker.
fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    listener.set_nonblocking(true).expect("non-blocking");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Notifies the owner of a change of the directory: a worker that it polls at once.
fn send_listing(shared: &Shared, id: &str, address: SocketAddr) {
    let listing = Listing {
        id: id.into(),
        boot: Some(1),
        service: "s".into(),
        address,
        hall: "h".into(),
        labels: Vec::new(),
        rack: "r".into(),
        capacity: Resources::default(),
        leaving: false,
        min_stay: 0,
    };
    let change = vec![(id.into(), DirectoryEntry::Listed(listing))];
    shared.send_to_owner(Message::Event(EPOCH, Event::DirectoryChanged(change)));
}

#[test]
fn an_owner_that_has_answered_that_it_ended_sends_no_order_of_queued_events() {
    let _terms = lock_terms();
    block_on(async {
        let shared = serving_box().await;
        let ((first, first_address), (second, second_address)) = (listener(), listener());
        send_listing(&shared, "w1", first_address);
        sleep(CONNECT_TIME).await;
        first.accept().expect("the owner polls a new worker");

        send_listing(&shared, "w2", second_address);
        let ping = PingRequest {
            epoch: EPOCH + 1,
            ..PingRequest::default()
        };
        assert!(!handle_ping(&shared, &ping).owner);
        // No owner answers, and the messages before the query have been handled.
        assert!(send_query(&shared, "j").await.is_err());
        sleep(CONNECT_TIME).await;
        assert!(
            second.accept().is_err(),
            "a worker was polled after the answer that the term has ended"
        );
    })
    .expect("runtime");
}

#[test]
fn a_deposed_owner_answers_no_queued_request() {
    let _terms = lock_terms();
    block_on(async {
        let shared = serving_box().await;
        let before = send_query(&shared, "j");
        // The first event has sent the first commit.
        let conflict = Event::CommitEnded(1, CommitOutcome::Conflict(None));
        shared.send_to_owner(Message::Event(EPOCH, conflict));
        let after = send_query(&shared, "j");
        assert_eq!(before.await, Ok(Answer::State(JobState::Queued)));
        assert_eq!(
            after.await.ok(),
            None,
            "a deposed owner answered from its outdated state"
        );
    })
    .expect("runtime");
}

/// Guards against a replacement machine that takes the row of a running owner for its own.
#[test]
fn only_the_row_of_a_box_at_the_same_address_is_its_own() {
    let shared = shared_state();
    let (name, address) = (shared.settings.name.clone(), shared.settings.rpc);
    let earlier = OwnerRow {
        name,
        address,
        ..owner_row(EPOCH)
    };
    assert!(is_vacant(&shared, &earlier), "the process was restarted");
    let elsewhere = OwnerRow {
        address: ([127, 0, 0, 9], 9).into(),
        ..earlier
    };
    assert!(
        !is_vacant(&shared, &elsewhere),
        "another machine of the same name may serve"
    );
}

/// Returns true when a new owner that notifies the predecessor `name` takes the answer of the box
/// at its address as proof that the predecessor has ended.
async fn proves_end(name: &str) -> bool {
    let (shared, mut messages) = shared_with_messages();
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    let answering = Rc::new(shared_state());
    monoio::spawn(peers::serve(listener, Bridge::start(answering)));
    let before = OwnerRow {
        name: name.into(),
        address,
        ..owner_row(EPOCH)
    };
    let notice = PingRequest {
        epoch: EPOCH + 1,
        ..PingRequest::default()
    };
    notify_predecessor(Rc::new(shared), before, notice, true).await;
    matches!(messages.try_recv(), Ok(Message::PredecessorEnded(epoch)) if epoch == EPOCH + 1)
}

/// Guards against a shortened wait for leases that the predecessor, elsewhere by now, extends.
#[test]
fn the_answer_of_another_box_at_its_address_does_not_prove_the_predecessors_end() {
    block_on(async {
        assert!(proves_end("b").await, "the predecessor answers itself");
        assert!(!proves_end("a").await, "another box answers");
    })
    .expect("runtime");
}
