//! Tests of what a call's failure proves.

use std::cell::Cell;
use std::rc::Rc;

use futures::channel::oneshot;
use futures::future::join;
use monoio::net::TcpListener;

use super::client::{CallError, Channel};
use super::server;
use crate::metrics::{self, ProtocolLabel};
use crate::program::block_on;
use crate::proto::{self, peer_client::PeerClient};
use crate::utils::drain::Drain;

const LIMIT: u64 = 30_000;

async fn hint(channel: &Channel) -> Result<proto::HintReply, CallError> {
    let request = proto::HintRequest::default();
    let call = |c| async move { PeerClient::new(c).hint(request).await };
    channel.call(LIMIT, call).await
}

/// Returns true when the server ran a call; false when it proves that it did not.
fn answered(result: &Result<proto::HintReply, CallError>) -> bool {
    match result {
        Err(CallError::Refused(tonic::Code::Unimplemented, _)) => true,
        Err(CallError::NotSent(_)) => false,
        other => panic!("neither answered nor proved: {other:?}"),
    }
}

#[test]
fn a_server_that_ends_answers_what_has_come_and_disowns_the_rest() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let channel = Channel::new(listener.local_addr().unwrap());
        let (trigger, drain) = Drain::new();
        let calls = Rc::new(Cell::new(0));
        let late = Cell::new(0);
        let (come, came) = oneshot::channel::<()>();
        let (go, may_go) = oneshot::channel::<()>();
        let gates = Rc::new(Cell::new(Some((come, may_go))));
        let served = calls.clone();
        monoio::spawn(server::serve(listener, drain, move |_| {
            let (gates, calls) = (gates.clone(), served.clone());
            async move {
                calls.set(calls.get() + 1);
                if let Some((come, may_go)) = gates.take() {
                    come.send(()).unwrap();
                    may_go.await.unwrap();
                }
                server::unimplemented()
            }
        }));
        let rest = async {
            came.await.unwrap();
            let (ended, ()) = join(trigger.finish(LIMIT), async {
                // The server still takes what comes before its second GOAWAY.
                while answered(&hint(&channel).await) {
                    late.set(late.get() + 1);
                }
                go.send(()).unwrap();
            })
            .await;
            assert!(ended);
        };
        let (first, ()) = join(hint(&channel), rest).await;
        assert!(answered(&first), "{first:?}");
        assert_eq!(calls.get(), 1 + late.get());
    };
    block_on(run).unwrap();
}

/// Accepts connections on a thread and answers nothing; returns the address.
fn silent() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    address
}

#[test]
fn a_call_without_an_answer_on_an_open_connection_is_counted() {
    let channel = Channel::new(silent());
    let metrics = metrics::get();
    let count = || {
        metrics
            .unanswered_calls
            .get_or_create(&ProtocolLabel { by: "grpc" })
            .get()
    };
    let before = count();
    let request = proto::HintRequest::default();
    let call = |c| async move { PeerClient::new(c).hint(request).await };
    let result = block_on(channel.call(100, call)).unwrap();
    assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
    assert!(count() > before);
}
