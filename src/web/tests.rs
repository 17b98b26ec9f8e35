//! Tests of the body length of HTTP messages and of the pool of connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use http::HeaderMap;

use super::client::Pool;
use super::{Request, WebError, content_length};
use crate::metrics::{self, ProtocolLabel};

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in lines {
        map.append(*name, value.parse().unwrap());
    }
    map
}

#[test]
fn ambiguous_lengths_are_refused() {
    let two_lengths = headers(&[("content-length", "3"), ("content-length", "4")]);
    assert!(content_length(&two_lengths).is_err());
    let length_and_encoding = headers(&[("content-length", "3"), ("transfer-encoding", "chunked")]);
    assert!(content_length(&length_and_encoding).is_err());
    assert!(content_length(&headers(&[("content-length", "+3")])).is_err());
    assert_eq!(
        content_length(&headers(&[("content-length", "3")])).unwrap(),
        Some(3)
    );
    assert_eq!(content_length(&headers(&[])).unwrap(), None);
}

/// Milliseconds within which an expected reply arrives even on a busy machine.
const REPLY_TIMEOUT: u64 = 60_000;

/// Starts a server whose connections answer `replies` requests each, then stay open without
/// answering.
fn silent_server(replies: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_first(stream, replies));
        }
    });
    address
}

/// Answers the first `replies` requests of a connection and only reads the others.
fn answer_first(mut stream: std::net::TcpStream, replies: usize) {
    let mut buffer = [0; 1_024];
    let mut received = 0;
    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
        if received < replies {
            let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(reply).unwrap();
        }
        received += 1;
    }
}

/// Returns the number of calls that timed out on an open connection.
fn unanswered_calls(by: &'static str) -> u64 {
    metrics::get()
        .unanswered_calls
        .get_or_create(&ProtocolLabel { by })
        .get()
}

#[test]
fn connections_opened_before_a_silent_one_timed_out_are_not_reused() {
    let address = silent_server(1);
    let request = || Request {
        method: http::Method::GET,
        uri: "/".parse().unwrap(),
        headers: headers(&[("host", "x")]),
        body: bytes::Bytes::new(),
        charge: None,
    };
    let pool = Pool::new(1 << 10);
    let count = || unanswered_calls("http");
    let before = count();
    let call = async |limit| pool.call(address, request(), limit, || true).await;
    crate::program::block_on(async {
        let (first, second) = futures::join!(call(REPLY_TIMEOUT), call(REPLY_TIMEOUT));
        assert!(first.is_ok() && second.is_ok(), "both connections are idle");
        assert!(matches!(call(100).await, Err(WebError::Lost(_))));
        assert!(count() > before, "the unanswered call is counted");
        assert!(
            call(REPLY_TIMEOUT).await.is_ok(),
            "a new connection is opened"
        );
    })
    .unwrap();
}

/// Starts a server that answers every request until the test ends.
fn answering_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else {
                return;
            };
            std::thread::spawn(move || {
                let mut buffer = [0; 1_024];
                let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                    if stream.write_all(reply).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn idle_connections_above_the_limit_are_closed_except_one_per_address() {
    let (first, second) = (answering_server(), answering_server());
    let request = || Request {
        method: http::Method::GET,
        uri: "/".parse().unwrap(),
        headers: headers(&[("host", "x")]),
        body: bytes::Bytes::new(),
        charge: None,
    };
    let pool = Pool::new(1 << 10).with_max_idle(3);
    let call = async |address| pool.call(address, request(), REPLY_TIMEOUT, || true).await;
    crate::program::block_on(async {
        let calls = futures::future::join_all((0..8).map(|_| call(first)));
        assert!(calls.await.iter().all(Result::is_ok));
        assert_eq!(pool.idle_count(), 3);
        let calls = futures::future::join_all((0..8).map(|_| call(second)));
        assert!(calls.await.iter().all(Result::is_ok));
        assert_eq!(
            pool.idle_count(),
            4,
            "one connection to the second address is kept"
        );
        assert!(call(first).await.is_ok() && call(second).await.is_ok());
        assert_eq!(
            pool.idle_count(),
            3,
            "connections above the limit are closed after their next use"
        );
        pool.close_idle(first);
        assert_eq!(pool.idle_count(), 1);
    })
    .unwrap();
}

#[test]
fn a_refused_connection_is_told_apart_from_other_failures_to_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let request = Request {
        method: http::Method::GET,
        uri: "/".parse().unwrap(),
        headers: headers(&[("host", "x")]),
        body: bytes::Bytes::new(),
        charge: None,
    };
    let pool = Pool::new(1 << 10);
    crate::program::block_on(async {
        let result = pool.call(address, request, REPLY_TIMEOUT, || true).await;
        assert!(
            matches!(result, Err(WebError::NotListening)),
            "{:?}",
            result.err()
        );
    })
    .unwrap();
}

/// Blocks the thread of all tasks, as a box that is stopped for a while does.
async fn stop_box(after: u64, millis: u64) {
    monoio::time::sleep(Duration::from_millis(after)).await;
    std::thread::sleep(Duration::from_millis(millis));
}

/// Starts a server that sends its reply in two parts, the second one some milliseconds later.
fn slow_server(millis: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buffer = [0; 1_024];
            let _ = stream.read(&mut buffer);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nok");
            std::thread::sleep(Duration::from_millis(millis));
            let _ = stream.write_all(b"ok");
        }
    });
    address
}

/// The timeout of the call ends while the box is stopped, before it has read the reply.
#[test]
fn a_reply_that_arrived_while_the_box_was_stopped_is_not_lost() {
    let request = || Request {
        method: http::Method::GET,
        uri: "/".parse().unwrap(),
        headers: headers(&[("host", "x")]),
        body: bytes::Bytes::new(),
        charge: None,
    };
    for stopped_after in [0, 5, 20, 50] {
        let pool = Pool::new(1 << 10);
        let address = slow_server(30);
        crate::program::block_on(async {
            let call =
                monoio::spawn(async move { pool.call(address, request(), 100, || true).await });
            stop_box(stopped_after, 300).await;
            let reply = call.await;
            assert!(reply.is_ok(), "{stopped_after} ms: {:?}", reply.err());
        })
        .unwrap();
    }
}
