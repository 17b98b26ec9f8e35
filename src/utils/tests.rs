//! Tests of clocks, sockets and other helpers.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};

use super::clock;
use super::drain::Drain;
use super::listen;
use super::peak::RecentPeak;
use super::suspension::SuspensionDetector;
use crate::program::block_on;

#[test]
fn a_suspension_is_reported_once_and_a_frozen_process_is_not() {
    let mut suspension = SuspensionDetector::from_clocks(1_000, 900);
    assert_eq!(suspension.update(1_200, 1_100), None);
    // The process is frozen for 5 s: both clocks go on.
    assert_eq!(suspension.update(6_200, 6_100), None);
    // The machine is suspended for 3 s.
    assert_eq!(suspension.update(9_300, 6_200), Some(3_000));
    assert_eq!(suspension.update(9_400, 6_300), None);
    // A small difference, as the two clocks are not read at the same moment.
    assert_eq!(suspension.update(9_520, 6_401), None);
    assert_eq!(suspension.update(19_520, 6_401), Some(10_019));
}

#[test]
fn now_is_the_clock_that_includes_suspensions() {
    let read = || {
        let mut spec = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `spec` is valid for writing.
        unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut spec) };
        spec.tv_sec as u64 * 1_000 + spec.tv_nsec as u64 / 1_000_000
    };
    let (before, now, after) = (read(), clock::now(), read());
    assert!((before..=after).contains(&now), "{before} {now} {after}");
}

#[test]
fn bind_waits_for_an_address_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let holder = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(200));
        drop(listener);
    });
    let bound = block_on(async { listen::bind(address).map(drop) });
    holder.join().expect("the holder ends");
    assert!(bound.is_ok_and(|b| b.is_ok()));
}

#[test]
fn bind_fails_for_an_address_that_stays_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let bound = block_on(async { listen::bind(address).map(drop) });
    let text = format!("{:#}", bound.expect("a runtime").expect_err("in use"));
    assert!(text.contains("cannot listen on 127.0.0.1"), "{text}");
}

#[test]
fn a_peak_is_recent_for_5_to_10_s() {
    let mut peak = RecentPeak::default();
    peak.record(700, 9_000);
    for now in (9_100..=14_000).step_by(100) {
        peak.record(1, now);
        assert_eq!(peak.recent(), 700, "at {now}");
    }
    peak.record(1, 19_100);
    assert_eq!(peak.recent(), 1);
    assert_eq!(peak.highest(), 700);
}

#[test]
fn a_peak_before_a_long_pause_is_not_recent() {
    let mut peak = RecentPeak::default();
    peak.record(700, 9_000);
    peak.record(3, 60_000);
    assert_eq!(peak.recent(), 3);
}

/// Number of listeners that are closed one after the other. Together with `CALLERS`, it is large
/// enough to show resets if a listener is closed while it still accepts connections.
const LISTENERS: usize = 300;
/// Number of callers that keep connecting to each listener.
const CALLERS: usize = 4;
/// Time for which a listener accepts connections before it is closed.
const OPEN_TIME: Duration = Duration::from_millis(5);
/// Longest wait for an answer, in seconds.
const ANSWER_TIMEOUT: u64 = 60;

/// Connects repeatedly until a connection is refused. Returns the number of connections that were
/// established but not answered.
fn start_caller(address: SocketAddr) -> JoinHandle<usize> {
    std::thread::spawn(move || {
        let mut unanswered = 0;
        loop {
            match TcpStream::connect(address) {
                Ok(stream) => unanswered += usize::from(!is_answered(stream)),
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => return unanswered,
                // Reset before it was established: nothing was sent, as with a refusal.
                Err(e) => assert_eq!(e.kind(), ErrorKind::ConnectionReset),
            }
        }
    })
}

fn is_answered(mut stream: TcpStream) -> bool {
    let limit = Some(Duration::from_secs(ANSWER_TIMEOUT));
    stream.set_read_timeout(limit).expect("a limit");
    let mut answer = [0];
    stream.write_all(b"?").is_ok() && stream.read_exact(&mut answer).is_ok()
}

async fn answer(mut stream: monoio::net::TcpStream, _drain: Drain) {
    let (read, byte) = stream.read(vec![0; 1]).await;
    if read.is_ok_and(|count| count == 1) {
        let _ = stream.write_all(byte).await;
    }
}

/// Returns an address of its own for each listener, so that a caller that connects after the
/// listener was closed is refused.
fn listener_address(number: usize) -> SocketAddr {
    let test_run = 64 + (std::process::id() % 64) as u8;
    let host = [
        127,
        test_run,
        (number / 250) as u8,
        (number % 250 + 1) as u8,
    ];
    SocketAddr::from((host, 0))
}

/// Opens a listener, starts callers, and closes the listener after a while. Returns the callers.
async fn open_and_close(number: usize) -> Vec<JoinHandle<usize>> {
    let listener = listen::bind(listener_address(number)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let (trigger, drain) = Drain::new();
    monoio::spawn(async move {
        let serve = |stream| drop(monoio::spawn(answer(stream, drain.clone())));
        listen::accept_all(listener, &drain, serve).await;
    });
    let callers = (0..CALLERS).map(|_| start_caller(address)).collect();
    monoio::time::sleep(OPEN_TIME).await;
    assert!(
        trigger.finish(ANSWER_TIMEOUT * 1_000).await,
        "the shutdown completes"
    );
    callers
}

#[test]
fn closing_a_listener_resets_no_connection() {
    let test = async {
        let mut callers = Vec::new();
        for number in 0..LISTENERS {
            callers.extend(open_and_close(number).await);
        }
        callers
    };
    let callers = block_on(test).expect("a runtime");
    let unanswered = callers
        .into_iter()
        .map(|c| c.join().expect("a caller ends"));
    assert_eq!(
        unanswered.sum::<usize>(),
        0,
        "connections were not answered"
    );
}
