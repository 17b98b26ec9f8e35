//! Tests of message lengths.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use http::HeaderMap;

use super::client::Pool;
use super::{Request, WebError, length};
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
    let twice = headers(&[("content-length", "3"), ("content-length", "4")]);
    assert!(length(&twice).is_err());
    let both = headers(&[("content-length", "3"), ("transfer-encoding", "chunked")]);
    assert!(length(&both).is_err());
    assert!(length(&headers(&[("content-length", "+3")])).is_err());
    assert_eq!(
        length(&headers(&[("content-length", "3")])).unwrap(),
        Some(3)
    );
    assert_eq!(length(&headers(&[])).unwrap(), None);
}

/// Milliseconds for an answer that comes, also on a busy machine.
const PATIENCE: u64 = 60_000;

/// Accepts connections on a thread; each answers `answers` requests, then falls
/// silent and stays open.
fn falls_silent(answers: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_some(stream, answers));
        }
    });
    address
}

fn serve_some(mut stream: std::net::TcpStream, answers: usize) {
    let mut buffer = [0; 1_024];
    let mut served = 0;
    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
        if served < answers {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(answer).unwrap();
        }
        served += 1;
    }
}

/// Returns how many calls have had no answer in time on an open connection.
fn unanswered(by: &'static str) -> u64 {
    metrics::get()
        .unanswered_calls
        .get_or_create(&ProtocolLabel { by })
        .get()
}

#[test]
fn connections_as_old_as_a_silent_one_are_not_used_again() {
    let address = falls_silent(1);
    let request = || Request {
        method: http::Method::GET,
        uri: "/".parse().unwrap(),
        headers: headers(&[("host", "x")]),
        body: bytes::Bytes::new(),
    };
    let pool = Pool::new(1 << 10);
    let count = || unanswered("http");
    let before = count();
    let call = async |limit| pool.call(address, request(), limit, || true).await;
    crate::program::block_on(async {
        let (one, two) = futures::join!(call(PATIENCE), call(PATIENCE));
        assert!(one.is_ok() && two.is_ok(), "two connections are kept");
        assert!(matches!(call(100).await, Err(WebError::Lost(_))));
        assert!(count() > before, "it is counted");
        assert!(call(PATIENCE).await.is_ok(), "a new connection is opened");
    })
    .unwrap();
}

/// Answers each request on each of its connections, until the test ends.
fn answers() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else {
                return;
            };
            std::thread::spawn(move || {
                let mut buffer = [0; 1_024];
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                    if stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn a_pool_keeps_no_more_idle_connections_than_it_may_but_one_to_each_address() {
    let (one, two) = (answers(), answers());
    let request = || Request {
        method: http::Method::GET,
        uri: "/".parse().unwrap(),
        headers: headers(&[("host", "x")]),
        body: bytes::Bytes::new(),
    };
    let pool = Pool::new(1 << 10).keeping(3);
    let call = async |address| pool.call(address, request(), PATIENCE, || true).await;
    crate::program::block_on(async {
        let calls = futures::future::join_all((0..8).map(|_| call(one)));
        assert!(calls.await.iter().all(Result::is_ok));
        assert_eq!(pool.idle(), 3);
        let calls = futures::future::join_all((0..8).map(|_| call(two)));
        assert!(calls.await.iter().all(Result::is_ok));
        assert_eq!(pool.idle(), 4, "one to the other address");
        assert!(call(one).await.is_ok() && call(two).await.is_ok());
        assert_eq!(pool.idle(), 3, "what is above goes with its next use");
        pool.clear(one);
        assert_eq!(pool.idle(), 1);
    })
    .unwrap();
}
