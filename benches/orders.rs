//! Measures the processor time that the polling side spends on one poll of a worker.
//!
//! `cargo bench --bench orders` polls a stand-in worker that gives the same answer to each poll, 64
//! polls at a time, and prints the processor time of the polling thread.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use willowpoint::platform::worker::Workers;
use willowpoint::sched::incarnation::Incarnation;
use willowpoint::sched::message::{Poll, Reply};
use willowpoint::sched::sequence::Sequence;

/// Number of measured polls.
const POLLS: usize = 20_000;
/// Polls in progress at a time.
const CONCURRENT_POLLS: usize = 64;
/// Number of runs in each report.
const RUNS: usize = 8;

/// Returns the HTTP response to a poll.
fn poll_response() -> Vec<u8> {
    let run = |i: usize| format!("[\"00000bb87a21d94b.0.1.{i}\",2,\"00000bb87a21d94b\",41,4000.0]");
    let running: Vec<String> = (0..RUNS).map(run).collect();
    let body = format!(
        "{{\"clockMs\":482113,\"running\":[{}],\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}}",
        running.join(",")
    );
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
    format!("{head} {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Answers each request; a connection carries one request at a time.
fn serve(listener: TcpListener) {
    let response = poll_response();
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else {
            return;
        };
        let response = response.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 4_096];
            while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                if stream.write_all(&response).is_err() {
                    return;
                }
            }
        });
    }
}

/// Returns the processor time of the current thread in seconds.
fn thread_cpu_seconds() -> f64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is writable for the length of the call.
    unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Polls the worker at an address `count` times; returns how many polls were answered.
async fn poll_repeatedly(workers: &Workers, address: SocketAddr, count: usize) -> usize {
    let mut answered = 0;
    for acknowledged in 0..count {
        let poll = Poll {
            incarnation: Incarnation {
                id: "i-0a5d8fc929".into(),
                boot: None,
                clock: 0,
            },
            sequence: Sequence::default(),
            sent: 0,
            address,
            lease: Some(486_000),
            fence: 7,
            acknowledged: acknowledged as u64,
            wait: 0,
        };
        answered += usize::from(matches!(workers.poll(&poll).await, Reply::Ok(_)));
    }
    answered
}

fn main() -> eyre::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || serve(listener));
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    let (answered, cpu_seconds) = runtime.block_on(async move {
        let workers = Workers::new(CONCURRENT_POLLS);
        poll_repeatedly(&workers, address, 100).await;
        let start = thread_cpu_seconds();
        let each = POLLS / CONCURRENT_POLLS;
        let calls = (0..CONCURRENT_POLLS).map(|_| poll_repeatedly(&workers, address, each));
        let answered: usize = futures::future::join_all(calls).await.into_iter().sum();
        (answered, thread_cpu_seconds() - start)
    });
    println!(
        "{answered} polls, {RUNS} runs each: {:.1} us of processor time each",
        cpu_seconds * 1e6 / answered as f64
    );
    Ok(())
}
