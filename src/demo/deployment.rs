//! Runs a deployment inside one process, with each part on a thread of its own.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::WrapErr;

use crate::cell::Shape;
use crate::entry::{self, StopFlag};
use crate::options::{self, EntrySettings};
use crate::program::block_on;
use crate::proto;
use crate::proto::operator_client::OperatorClient;
use crate::rpc::client::Channel;
use crate::standin::platform::{self, Platform, Rates};
use crate::standin::worker;
use crate::utils::clock;

/// Rate limits of the table, as on the production platform.
const TABLE_RATES: Rates = Rates {
    writes: 300,
    reads: 2_000,
};

/// Longest duration of a call to a box, in milliseconds.
const CALL_TIMEOUT: u64 = 5_000;
/// Interval at which a box's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// First port that is tried, and the number of ports.
const PORTS: (u16, u16) = (23_000, 4_000);

/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 8;

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Number of entry boxes.
    pub boxes: usize,
    /// Number of workers.
    pub workers: usize,
    /// Time that a request takes without interference, in microseconds.
    pub service_time: u64,
    /// Number of halls over which workers and boxes are spread.
    pub halls: usize,
}

/// An entry box that runs on a thread.
struct RunningBox {
    settings: EntrySettings,
    stop_flag: StopFlag,
    thread: JoinHandle<()>,
}

/// A running deployment.
pub struct Deployment {
    /// Address of the platform's RPC service.
    platform_address: SocketAddr,
    platform: Platform,
    endpoints: Vec<SocketAddr>,
    halls: usize,
    boxes: Vec<RunningBox>,
    /// Number of boxes started so far, which makes their names unique.
    generation: usize,
}

impl Deployment {
    /// Starts a platform, workers and entry boxes on free ports.
    pub fn start(size: DeploymentSize) -> eyre::Result<Self> {
        let platform_address = free_address()?;
        let served_platform = Platform::new(TABLE_RATES);
        let mut endpoints = Vec::new();
        for index in 0..size.workers {
            let endpoint = start_worker(&served_platform, index, size)?;
            endpoints.push(endpoint);
        }
        let platform = served_platform.clone();
        spawn_thread("platform", move || {
            block_on(platform::serve(served_platform, platform_address))?
        })?;
        let mut deployment = Self {
            platform_address,
            platform,
            endpoints,
            halls: size.halls,
            boxes: Vec::new(),
            generation: 0,
        };
        for index in 0..size.boxes {
            let running_box = deployment.start_box(index)?;
            deployment.boxes.push(running_box);
        }
        Ok(deployment)
    }

    fn start_box(&mut self, index: usize) -> eyre::Result<RunningBox> {
        self.generation += 1;
        let settings = box_settings(index, self.halls, self.generation, self.platform_address)?;
        let stop_flag = StopFlag::default();
        let (thread_settings, thread_flag) = (settings.clone(), stop_flag.clone());
        let thread = spawn_thread("entry", move || {
            block_on(entry::run(thread_settings, thread_flag))?
        })?;
        Ok(RunningBox {
            settings,
            stop_flag,
            thread,
        })
    }

    /// Returns the numbers of rows that the platform's table has read and written.
    pub fn table_rows(&self) -> (u64, u64) {
        let counts = self.platform.counts();
        (counts.reads, counts.writes)
    }

    /// Returns the addresses of all boxes for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.boxes.iter().map(|b| b.settings.web).collect()
    }

    /// Returns the address of a box for operators.
    pub fn rpc_address(&self, index: usize) -> SocketAddr {
        self.boxes[index].settings.rpc
    }

    /// Waits for at most `limit` milliseconds until every box is ready.
    pub async fn wait_ready(&self, limit: u64) -> eyre::Result<()> {
        let end = clock::now() + limit;
        for running_box in &self.boxes {
            wait_until_ready(&running_box.settings, end).await?;
        }
        Ok(())
    }

    /// Starts a worker that is not in the platform's directory, and returns its endpoint.
    pub fn start_unlisted_worker(&self, service_time: u64) -> eyre::Result<SocketAddr> {
        let (http, rpc) = (free_address()?, free_address()?);
        let options = worker_options(http, rpc, service_time);
        spawn_thread("worker", move || block_on(worker::serve(options))?)?;
        Ok(http)
    }

    /// Creates the service `stock`, and waits until every box knows it.
    pub async fn create_service(&self) -> eyre::Result<()> {
        let change = proto::EntryChange {
            key: "service/stock".into(),
            value: r#"{"team":"pharmacy","cores":500}"#.into(),
            remove: false,
            expect: Some(0),
        };
        let request = proto::ChangeRequest {
            id: "stock".into(),
            author: "demo".into(),
            changes: vec![change],
        };
        let channel = Channel::new(self.boxes[0].settings.rpc);
        let call = |c| async move { OperatorClient::new(c).change(request).await };
        let reply = channel.call(CALL_TIMEOUT, call).await;
        let version = reply.wrap_err("cannot create the service")?.version;
        let end = clock::now() + CALL_TIMEOUT;
        for running_box in &self.boxes {
            while status(&running_box.settings).await?.config < version {
                if clock::now() >= end {
                    return Err(eyre::eyre!(
                        "{} did not apply the configuration in time",
                        running_box.settings.name
                    ));
                }
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until one box owns all workers and the other boxes know it. Returns its index.
    pub async fn wait_owner(&self) -> eyre::Result<usize> {
        let end = clock::now() + CALL_TIMEOUT * 4;
        loop {
            for (index, running_box) in self.boxes.iter().enumerate() {
                let channel = Channel::new(running_box.settings.rpc);
                let request = proto::ListWorkersRequest { local: true };
                let call = |c| async move { OperatorClient::new(c).list_workers(request).await };
                let reply = channel.call(CALL_TIMEOUT, call).await?;
                let open = reply.workers.iter().filter(|w| w.state == "open").count();
                if open == self.endpoints.len() {
                    // The other boxes learn the owner from heartbeats.
                    monoio::time::sleep(Duration::from_secs(3)).await;
                    return Ok(index);
                }
            }
            if clock::now() >= end {
                return Err(eyre::eyre!("no box owns all workers"));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts a new box, waits until it is ready, and then begins a planned stop of an old one.
    pub async fn replace(&mut self, index: usize, limit: u64) -> eyre::Result<()> {
        let new_box = self.start_box(index)?;
        wait_until_ready(&new_box.settings, clock::now() + limit).await?;
        let old_box = std::mem::replace(&mut self.boxes[index], new_box);
        super::request_stop(&old_box.stop_flag);
        // The thread ends by itself once the requests in progress have ended.
        drop(old_box.thread);
        Ok(())
    }

    /// Begins a planned stop of all boxes, and waits for its end.
    pub fn stop(self) {
        for running_box in &self.boxes {
            super::request_stop(&running_box.stop_flag);
        }
        for running_box in self.boxes {
            let _ = running_box.thread.join();
        }
    }
}

/// Returns the status of a box.
async fn status(settings: &EntrySettings) -> eyre::Result<proto::StatusReply> {
    let channel = Channel::new(settings.rpc);
    let request = proto::StatusRequest {};
    let call = |c| async move { OperatorClient::new(c).status(request).await };
    Ok(channel.call(CALL_TIMEOUT, call).await?)
}

/// Waits until a box is ready, as the platform's load balancer does; fails at the time `end`.
async fn wait_until_ready(settings: &EntrySettings, end: u64) -> eyre::Result<()> {
    loop {
        if status(settings).await.is_ok_and(|s| s.ready) {
            return Ok(());
        }
        if clock::now() >= end {
            return Err(eyre::eyre!("{} is not ready", settings.name));
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Starts a worker and returns the address of its endpoint.
fn start_worker(
    platform: &Platform,
    index: usize,
    size: DeploymentSize,
) -> eyre::Result<SocketAddr> {
    let (http, rpc) = (free_address()?, free_address()?);
    platform.register(proto::DirectoryEntry {
        name: format!("w{index}"),
        hall: format!("h{}", index % size.halls),
        rack: format!("r{}", index / WORKERS_PER_RACK),
        http: http.to_string(),
        rpc: rpc.to_string(),
        leaving: false,
    });
    let options = worker_options(http, rpc, size.service_time);
    spawn_thread("worker", move || block_on(worker::serve(options))?)?;
    Ok(http)
}

fn worker_options(http: SocketAddr, rpc: SocketAddr, service_time: u64) -> worker::Options {
    worker::Options {
        http,
        rpc,
        shape: Shape {
            slots: 8,
            connections: 64,
            cores: 16_000,
            memory: 60_000,
            accelerators: 0,
        },
        service_time,
        fencing: true,
    }
}

/// Runs a part of the deployment on a new thread. An error of the part is logged.
fn spawn_thread(
    name: &str,
    part: impl FnOnce() -> eyre::Result<()> + Send + 'static,
) -> eyre::Result<JoinHandle<()>> {
    let label = name.to_string();
    let thread = std::thread::Builder::new().name(label.clone());
    let handle = thread.spawn(move || {
        if let Err(e) = part() {
            log::error!(target: "demo", "{label} failed: {e:#}");
        }
    });
    handle.wrap_err_with(|| format!("cannot start the thread of {name}"))
}

/// Returns a free address on loopback, below the range of ports of outgoing connections.
fn free_address() -> eyre::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = PORTS.0 + (std::process::id() % u32::from(PORTS.1)) as u16;
    for _ in 0..PORTS.1 {
        let port = start + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS.1;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(eyre::eyre!("no free port on 127.0.0.1"))
}

/// Returns the settings of a new box on free ports.
fn box_settings(
    index: usize,
    halls: usize,
    generation: usize,
    platform_address: SocketAddr,
) -> eyre::Result<EntrySettings> {
    let text = format!(
        "[box]\nname = \"e{index}-{generation}\"\nhall = \"h{}\"\nweb = \"{}\"\nrpc = \"{}\"\n\
         admin = \"{}\"\n[platform]\nrpc = \"{platform_address}\"\n",
        index % halls,
        free_address()?,
        free_address()?,
        free_address()?
    );
    options::entry::parse("demo", &text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(|f| f.to_string()).collect();
        eyre::eyre!(lines.join("\n"))
    })
}
