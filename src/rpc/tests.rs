//! Tests of gRPC calls to draining and to silent servers.

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

/// Time limit of calls and drains, in ms.
const LIMIT: u64 = 30_000;

async fn hint(channel: &Channel) -> Result<proto::HintReply, CallError> {
    let request = proto::HintRequest::default();
    let call = |c| async move { PeerClient::new(c).hint(request).await };
    channel.call(LIMIT, call).await
}

/// Returns true if the server ran a call, and false if the result proves that it did not.
fn was_run(result: &Result<proto::HintReply, CallError>) -> bool {
    match result {
        Err(CallError::Refused(tonic::Code::Unimplemented, _)) => true,
        Err(CallError::NotSent(_)) => false,
        other => panic!("the result does not prove whether the call ran: {other:?}"),
    }
}

#[test]
fn a_draining_server_answers_received_calls_and_proves_that_later_ones_did_not_run() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let channel = Channel::new(listener.local_addr().unwrap());
        let (trigger, drain) = Drain::new();
        let calls = Rc::new(Cell::new(0));
        let late_calls = Cell::new(0);
        let (arrival_sender, arrived) = oneshot::channel::<()>();
        let (release, released) = oneshot::channel::<()>();
        let gates = Rc::new(Cell::new(Some((arrival_sender, released))));
        let counted = calls.clone();
        monoio::spawn(server::serve(listener, drain, move |_| {
            let (gates, calls) = (gates.clone(), counted.clone());
            async move {
                calls.set(calls.get() + 1);
                if let Some((arrival_sender, released)) = gates.take() {
                    arrival_sender.send(()).unwrap();
                    released.await.unwrap();
                }
                server::unimplemented()
            }
        }));
        let drain_server = async {
            arrived.await.unwrap();
            let (ended, ()) = join(trigger.finish(LIMIT), async {
                // The server still accepts calls until it sends its second GOAWAY.
                while was_run(&hint(&channel).await) {
                    late_calls.set(late_calls.get() + 1);
                }
                release.send(()).unwrap();
            })
            .await;
            assert!(ended);
        };
        let (first, ()) = join(hint(&channel), drain_server).await;
        assert!(was_run(&first), "{first:?}");
        assert_eq!(calls.get(), 1 + late_calls.get());
    };
    block_on(test).unwrap();
}

/// Accepts connections on a thread and never answers; returns the address.
fn silent_server() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    address
}

#[test]
fn an_unanswered_call_on_an_open_connection_is_counted() {
    let channel = Channel::new(silent_server());
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
