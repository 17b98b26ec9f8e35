//! Tests of the end of a term in this process: nothing that is queued for it is handled any more.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::channel::oneshot;
use http::{Method, StatusCode};
use monoio::time::sleep;
use serde_json::json;

use super::{
    lock_terms, owner, owner_row, queue, shared_state, shared_with_messages, shared_with_store,
};
use crate::daemon::commits::commit_as_owner;
use crate::daemon::follower::is_vacant;
use crate::daemon::message::{Message, Sent};
use crate::daemon::peers::{self, handle_ping, handle_request};
use crate::daemon::shared::{Loading, Shared};
use crate::daemon::takeover::notify_predecessor;
use crate::daemon::{owner_task, shared};
use crate::program::block_on;
use crate::proto::{AskRequest, PingRequest};
use crate::rpc::bridge::Bridge;
use crate::sched::job::JobState;
use crate::sched::journal::OwnerRow;
use crate::sched::message::{Answer, CommitOutcome, DirectoryEntry, Event, JobRequest};
use crate::sched::spec::{JobSpec, Resources, StepSpec};
use crate::sched::worker::Listing;
use crate::table::encode;
use crate::utils::drain::Drain;
use crate::web::server::{Limits, serve};
use crate::web::{Reply, Request};

/// Epoch of the owner in this process.
const EPOCH: u64 = 7;
/// Time for a connection on this machine to arrive.
const CONNECT_TIME: Duration = Duration::from_millis(100);

/// Returns the state of a box in which the owner of `EPOCH` has begun.
async fn serving_box() -> Rc<Shared> {
    let (shared, messages) = shared_with_messages();
    let shared = Rc::new(shared);
    monoio::spawn(owner_task::run(shared.clone(), messages));
    begin(&shared, EPOCH).await;
    shared
}

/// Begins the term of an epoch.
async fn begin(shared: &Shared, epoch: u64) {
    shared.set_loading(Some(Loading { epoch, pages: 0 }));
    let owner = owner(shared::now().steady);
    shared.send_to_owner(Message::Begin(Box::new(owner), epoch, 0));
    while shared.local_epoch() != Some(epoch) {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Sends the owner's task a query of a job; the receiver gets the answer, if there is one.
fn send_query(shared: &Shared, id: &str) -> oneshot::Receiver<Answer> {
    let (reply, answer) = oneshot::channel();
    let epoch = shared.local_epoch().unwrap_or(EPOCH);
    shared.send_to_owner(Message::Request(
        epoch,
        JobRequest::Show(id.into()),
        None,
        reply,
    ));
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
        // The first event has sent the first commit, whose outcome is handled before requests.
        assert_eq!(before.await, Ok(Answer::State(JobState::Queued)));
        let conflict = Event::CommitEnded(1, CommitOutcome::Conflict(None));
        shared.send_to_owner(Message::Event(EPOCH, conflict));
        let after = send_query(&shared, "j");
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
    matches!(messages.next(), Some(Sent { message: Message::PredecessorEnded(epoch), .. }) if epoch == EPOCH + 1)
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

#[test]
fn events_of_an_earlier_term_do_not_reach_the_next_one_of_the_same_process() {
    let _terms = lock_terms();
    block_on(async {
        let shared = serving_box().await;
        let (listener, address) = listener();
        let ping = PingRequest {
            epoch: EPOCH + 1,
            ..PingRequest::default()
        };
        handle_ping(&shared, &ping);
        begin(&shared, EPOCH + 2).await;
        send_listing(&shared, "w1", address);
        assert!(send_query(&shared, "j").await.is_ok(), "an owner answers");
        sleep(CONNECT_TIME).await;
        assert!(listener.accept().is_err(), "the later term polled a worker");
    })
    .expect("runtime");
}

#[test]
fn an_owner_whose_load_a_later_one_has_ended_never_begins() {
    block_on(async {
        let (shared, messages) = shared_with_messages();
        let shared = Rc::new(shared);
        monoio::spawn(owner_task::run(shared.clone(), messages));
        shared.set_loading(Some(Loading {
            epoch: EPOCH,
            pages: 3,
        }));
        let owner = owner(shared::now().steady);
        shared.send_to_owner(Message::Begin(Box::new(owner), EPOCH, 0));
        let ping = PingRequest {
            epoch: EPOCH + 1,
            ..PingRequest::default()
        };
        let reply = handle_ping(&shared, &ping);
        assert_eq!((reply.owner, reply.loading), (false, 0));
        assert!(send_query(&shared, "j").await.is_err(), "an owner answers");
        assert_eq!(shared.local_epoch(), None);
    })
    .expect("runtime");
}

/// Serves as a store that never answers a commit, and in which `row` is the owner's row.
async fn serve_store(row: OwnerRow) -> SocketAddr {
    let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = listener.local_addr().expect("address");
    let value = STANDARD.encode(encode(&row));
    let rows = json!({ "rows": [{ "key": "owner", "value": value, "ver": 9 }], "ver": 9 });
    let limits = Limits {
        head: 16 << 10,
        body: 1 << 20,
        connections: 10,
        memory: 1 << 30,
        idle: 10_000,
        request: 10_000,
        stall: 10_000,
        answer: 10_000,
    };
    let handle = move |request: Request| {
        let rows = rows.to_string();
        async move {
            if request.method == Method::POST {
                sleep(Duration::from_secs(60)).await;
            }
            Reply::text(StatusCode::OK, rows)
        }
    };
    monoio::spawn(serve(listener, limits, Drain::never(), handle));
    address
}

/// Returns the outcome of commit 3 of the owner of `EPOCH`, which gets no answer, where the store
/// holds a row of this process with these numbers.
async fn outcome_without_answer(epoch: u64, seq: u64) -> CommitOutcome {
    let own = shared_state();
    let row = OwnerRow {
        name: own.settings.name.clone(),
        incarnation: own.incarnation,
        address: own.settings.rpc,
        seq,
        ..owner_row(epoch)
    };
    let (shared, _) = shared_with_store(serve_store(row).await);
    commit_as_owner(&shared, EPOCH, 3, 8, &[], 20).await
}

/// Guards against a commit that counts as done because a later term of the process has made more
/// commits.
#[test]
fn a_commit_without_an_answer_is_found_in_the_row_of_its_own_term_only() {
    block_on(async {
        let in_doubt = CommitOutcome::Unknown;
        assert_eq!(outcome_without_answer(EPOCH, 2).await, in_doubt);
        assert_eq!(
            outcome_without_answer(EPOCH, 3).await,
            CommitOutcome::Done(9)
        );
        assert_eq!(outcome_without_answer(EPOCH + 1, 5).await, in_doubt);
    })
    .expect("runtime");
}

/// Guards against a request that an owner other than the one asked takes in: whether its refusal is
/// true depends on which owners may have the request.
#[test]
fn a_forwarded_request_is_answered_by_the_owner_of_its_epoch_only() {
    let _terms = lock_terms();
    block_on(async {
        let shared = serving_box().await;
        let ask = |epoch| AskRequest {
            ask: encode(&JobRequest::Show("j".into())),
            left: 1_000,
            epoch,
        };
        let answered = async |epoch| {
            let reply = handle_request(shared.clone(), ask(epoch)).await;
            !reply.expect("reply").answer.is_empty()
        };
        assert!(answered(EPOCH).await);
        assert!(!answered(EPOCH - 1).await && !answered(EPOCH + 1).await);
        assert!(
            answered(0).await,
            "boxes of the previous release name no epoch"
        );
    })
    .expect("runtime");
}

/// The owner's box holds what all boxes forward. A refusal is true, as the owner has not seen the
/// job.
#[test]
fn a_forwarded_job_without_room_is_refused() {
    let _terms = lock_terms();
    block_on(async {
        let shared = serving_box().await;
        let step = StepSpec {
            count: 1,
            ..StepSpec::default()
        };
        let spec = JobSpec {
            steps: vec![step; 500],
            ..JobSpec::default()
        };
        let job = JobRequest::Submit {
            id: "j".into(),
            spec: spec.into(),
            queue: queue(),
        };
        let ask = || AskRequest {
            ask: encode(&job),
            left: 1_000,
            epoch: EPOCH,
        };
        let pool = shared.settings.limits.memory * 3 / 8;
        let held = shared.callers.charge_forwarded(pool).expect("room");
        let reply = handle_request(shared.clone(), ask()).await.expect("reply");
        let answer: Answer = serde_json::from_slice(&reply.answer).expect("an answer");
        assert!(matches!(answer, Answer::Refused(_)), "{answer:?}");
        let small = AskRequest {
            ask: encode(&JobRequest::Show("j".into())),
            ..ask()
        };
        let reply = handle_request(shared.clone(), small).await.expect("reply");
        assert!(!reply.answer.is_empty(), "a small request is answered");
        drop(held);
        assert!(shared.callers.charge_forwarded(pool).is_ok());
    })
    .expect("runtime");
}
