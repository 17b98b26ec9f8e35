//! Processor time of one exchange with a worker, at the caller's side.
//!
//! `cargo bench --bench orders` makes exchanges with stand-in workers that give
//! the same answer to each, 64 at a time, and prints the processor time of the
//! calling thread.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use willowpoint::platform::worker::Workers;
use willowpoint::sched::incarnation::Incarnation;
use willowpoint::sched::message::{Poll, Reply};

const ROUNDS: usize = 20_000;
const AT_ONCE: usize = 64;
/// Runs in each report.
const RUNS: usize = 8;

fn answer() -> Vec<u8> {
    let run = |i: usize| format!("[\"00000bb87a21d94b.0.1.{i}\",2,\"00000bb87a21d94b\",41,4000.0]");
    let running: Vec<String> = (0..RUNS).map(run).collect();
    let body = format!(
        "{{\"clockMs\":482113,\"running\":[{}],\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}}",
        running.join(",")
    );
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
    format!("{head} {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Answers each request of one connection; requests come one at a time.
fn serve(listener: TcpListener) {
    let answer = answer();
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else {
            return;
        };
        let answer = answer.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 4_096];
            while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        });
    }
}

fn thread_seconds() -> f64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is writable for the length of the call.
    unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

async fn exchange(workers: &Workers, address: SocketAddr, count: usize) -> usize {
    let mut whole = 0;
    for seen in 0..count {
        let hold = Poll {
            incarnation: Incarnation {
                id: "i-0a5d8fc929".into(),
                boot: None,
                clock: 0,
            },
            sent: 0,
            address,
            lease: Some(486_000),
            epoch: 7,
            acknowledged: seen as u64,
            wait: 0,
        };
        whole += usize::from(matches!(workers.poll(&hold).await, Reply::Ok(_)));
    }
    whole
}

fn main() -> eyre::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || serve(listener));
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    let (whole, took) = runtime.block_on(async move {
        let workers = Workers::new(AT_ONCE);
        exchange(&workers, address, 100).await;
        let start = thread_seconds();
        let each = ROUNDS / AT_ONCE;
        let calls = (0..AT_ONCE).map(|_| exchange(&workers, address, each));
        let whole: usize = futures::future::join_all(calls).await.into_iter().sum();
        (whole, thread_seconds() - start)
    });
    println!(
        "{whole} exchanges, {RUNS} runs each: {:.1} us of processor time each",
        took * 1e6 / whole as f64
    );
    Ok(())
}
