//! Compares three paths of a request: direct to the endpoint, through one box, through two boxes.
//!
//! `cargo bench --bench path` runs a small deployment in this process. The endpoints answer without
//! delay.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method, Uri};
use willowpoint::constants;
use willowpoint::demo::deployment::{Deployment, DeploymentSize};
use willowpoint::logs::{self, LogSettings};
use willowpoint::program::block_on;
use willowpoint::utils::clock;
use willowpoint::web::Request;
use willowpoint::web::client::Pool;

/// Number of requests in a throughput measurement.
const REQUESTS: usize = 20_000;
/// Number of concurrent callers, each of which sends one request at a time.
const CALLERS: usize = 16;

fn main() -> eyre::Result<()> {
    let quiet = LogSettings {
        level: log::LevelFilter::Error,
        ..LogSettings::default()
    };
    logs::init(&quiet, "bench")?;
    let deployment = Deployment::start(DeploymentSize {
        boxes: 2,
        workers: 8,
        service_time: 0,
        halls: 1,
    })?;
    block_on(measure(&deployment))??;
    deployment.stop();
    Ok(())
}

async fn measure(deployment: &Deployment) -> eyre::Result<()> {
    deployment.wait_ready(30_000).await?;
    deployment.create_service().await?;
    let boxes = deployment.caller_addresses();
    let owner = stable_owner(deployment).await?;
    let endpoint = deployment.start_unlisted_worker(0)?;
    monoio::time::sleep(Duration::from_millis(500)).await;
    let paths = [
        ("direct to the endpoint", endpoint),
        ("through the owner", boxes[owner]),
        ("through another box and the owner", boxes[1 - owner]),
    ];
    println!(
        "{:36} {:>9} {:>9} {:>12} {:>15}",
        "path", "p50 us", "p99 us", "requests/s", "box cpu us"
    );
    let mut direct_p50 = 0;
    for (name, address) in paths {
        // One caller measures the latency, several the throughput.
        send_requests(address, 1, REQUESTS / 10).await;
        let mut times = send_requests(address, 1, REQUESTS / 4).await;
        times.sort_unstable();
        let (p50, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
        let cpu_before = box_cpu();
        let start = clock::micros();
        send_requests(address, CALLERS, REQUESTS).await;
        let seconds = (clock::micros() - start) as f64 / 1e6;
        let rate = REQUESTS as f64 / seconds;
        let cpu_each = (box_cpu() - cpu_before) * 1e6 / REQUESTS as f64;
        if direct_p50 == 0 {
            direct_p50 = p50;
        }
        println!("{name:36} {p50:>9} {p99:>9} {rate:>12.0} {cpu_each:>15.1}");
        println!(
            "{:36} {:>9.2} times the direct path",
            "",
            p50 as f64 / direct_p50 as f64
        );
    }
    Ok(())
}

/// Returns the owner of the workers once it has stayed the same for 6 s.
async fn stable_owner(deployment: &Deployment) -> eyre::Result<usize> {
    let mut owner = deployment.wait_owner().await?;
    loop {
        monoio::time::sleep(Duration::from_secs(6)).await;
        let current = deployment.wait_owner().await?;
        if current == owner {
            return Ok(owner);
        }
        owner = current;
    }
}

/// Sends requests from concurrent callers; returns the latencies of successful ones in us.
async fn send_requests(address: SocketAddr, callers: usize, requests: usize) -> Vec<u64> {
    let pool = Pool::new(1 << 20);
    let call_in_turn = |pool: Pool| async move {
        let mut times = Vec::new();
        for _ in 0..requests / callers {
            let start = clock::micros();
            let result = pool.call(address, request(), 5_000, || true).await;
            match result {
                Ok(r) if r.status.is_success() => times.push(clock::micros() - start),
                Ok(r) => println!("{}: {:?}", r.status, r.body),
                Err(e) => println!("{e}"),
            }
        }
        times
    };
    let tasks: Vec<_> = (0..callers)
        .map(|_| monoio::spawn(call_in_turn(pool.clone())))
        .collect();
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await);
    }
    let failed = requests - all.len();
    if failed > 0 {
        println!("{failed} of {requests} were not answered");
    }
    monoio::time::sleep(Duration::from_millis(50)).await;
    all
}

fn request() -> Request {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("x"));
    headers.insert(constants::SERVICE, HeaderValue::from_static("stock"));
    headers.insert(constants::DEADLINE, HeaderValue::from_static("5000"));
    Request {
        method: Method::GET,
        uri: Uri::from_static("/x"),
        headers,
        charge: None,
        body: "small".into(),
    }
}

/// Returns the processor time of all boxes' threads in seconds.
fn box_cpu() -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    tasks.flatten().filter_map(|t| thread_cpu(&t.path())).sum()
}

/// Returns the processor time of a thread in seconds, or nothing for other threads than those of
/// boxes.
fn thread_cpu(path: &std::path::Path) -> Option<f64> {
    let name = std::fs::read_to_string(path.join("comm")).ok()?;
    if name.trim() != "entry" {
        return None;
    }
    // The first field of schedstat is the time on a processor in nanoseconds.
    let text = std::fs::read_to_string(path.join("schedstat")).ok()?;
    let nanos: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanos / 1e9)
}
