//! The cost of the path: direct to the endpoint, through one box, through two.
//!
//! `cargo bench --bench path` runs a small deployment in this process and
//! compares the three in one run. Workers answer without delay.

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

/// Requests of one measurement.
const REQUESTS: usize = 20_000;
/// Callers that each send one request after the other.
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
    let owner = settled(deployment).await?;
    let lone = deployment.start_unlisted_worker(0)?;
    monoio::time::sleep(Duration::from_millis(500)).await;
    let ways = [
        ("direct to the endpoint", lone),
        ("through the owner", boxes[owner]),
        ("through another box and the owner", boxes[1 - owner]),
    ];
    println!(
        "{:36} {:>9} {:>9} {:>12} {:>15}",
        "way", "p50 us", "p99 us", "requests/s", "entry cpu us"
    );
    let mut base = 0;
    for (name, address) in ways {
        // One caller for the latency, many for the throughput.
        run(address, 1, REQUESTS / 10).await;
        let mut times = run(address, 1, REQUESTS / 4).await;
        times.sort_unstable();
        let (p50, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
        let cpu = entry_cpu();
        let start = clock::micros();
        run(address, CALLERS, REQUESTS).await;
        let span = (clock::micros() - start) as f64 / 1e6;
        let rate = REQUESTS as f64 / span;
        let each = (entry_cpu() - cpu) * 1e6 / REQUESTS as f64;
        if base == 0 {
            base = p50;
        }
        println!("{name:36} {p50:>9} {p99:>9} {rate:>12.0} {each:>15.1}");
        println!(
            "{:36} {:>9.2} times the direct way",
            "",
            p50 as f64 / base as f64
        );
    }
    Ok(())
}

/// Returns the owner of the workers once it has not changed for some seconds.
async fn settled(deployment: &Deployment) -> eyre::Result<usize> {
    let mut owner = deployment.wait_owner().await?;
    loop {
        monoio::time::sleep(Duration::from_secs(6)).await;
        let now = deployment.wait_owner().await?;
        if now == owner {
            return Ok(owner);
        }
        owner = now;
    }
}

async fn run(address: SocketAddr, callers: usize, requests: usize) -> Vec<u64> {
    let pool = Pool::new(1 << 20);
    let one = |pool: Pool| async move {
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
        .map(|_| monoio::spawn(one(pool.clone())))
        .collect();
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await);
    }
    let lost = requests - all.len();
    if lost > 0 {
        println!("{lost} of {requests} were not answered");
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
        body: "small".into(),
    }
}

/// Returns the processor seconds of the threads of entry boxes.
fn entry_cpu() -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    tasks.flatten().filter_map(|t| thread_cpu(&t.path())).sum()
}

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
