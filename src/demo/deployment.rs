//! A deployment inside one process: each part on a thread of its own.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use eyre::WrapErr;

use crate::cell::Shape;
use crate::entry::{self, StopFlag};
use crate::options::{self, Settings};
use crate::program::block_on;
use crate::proto;
use crate::proto::operator_client::OperatorClient;
use crate::rpc::client::Channel;
use crate::standin::platform::{self, Platform, Rates};
use crate::standin::worker;
use crate::utils::clock;

/// Rates of the platform, as the users have them.
const TABLE_RATES: Rates = Rates {
    writes: 300,
    reads: 2_000,
};

/// Milliseconds of one call to a box.
const CALL_TIMEOUT: u64 = 5_000;
/// Pause between two looks at a box.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// First port that is tried, and how many ports are.
const PORTS: (u16, u16) = (23_000, 4_000);

/// Workers of one rack.
const WORKERS_PER_RACK: usize = 8;

/// Sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Entry boxes.
    pub boxes: usize,
    /// Workers.
    pub workers: usize,
    /// Microseconds that a request takes alone.
    pub service: u64,
    /// Halls over which workers and boxes are spread.
    pub halls: usize,
}

struct RunningBox {
    settings: Settings,
    switch: StopFlag,
    thread: JoinHandle<()>,
}

/// A running deployment.
pub struct Deployment {
    platform: SocketAddr,
    table: Platform,
    endpoints: Vec<SocketAddr>,
    halls: usize,
    boxes: Vec<RunningBox>,
    generation: usize,
}

impl Deployment {
    /// Starts a platform, workers and entry boxes on free ports.
    pub fn start(site: DeploymentSize) -> eyre::Result<Self> {
        let platform = free_address()?;
        let service = Platform::new(TABLE_RATES);
        let mut endpoints = Vec::new();
        for index in 0..site.workers {
            let endpoint = start_worker(&service, index, site)?;
            endpoints.push(endpoint);
        }
        let table = service.clone();
        spawn_thread("platform", move || {
            block_on(platform::serve(service, platform))?
        })?;
        let mut deployment = Self {
            platform,
            table,
            endpoints,
            halls: site.halls,
            boxes: Vec::new(),
            generation: 0,
        };
        for index in 0..site.boxes {
            let member = deployment.start_box(index)?;
            deployment.boxes.push(member);
        }
        Ok(deployment)
    }

    fn start_box(&mut self, index: usize) -> eyre::Result<RunningBox> {
        self.generation += 1;
        let settings = box_settings(index, self.halls, self.generation, self.platform)?;
        let switch = StopFlag::default();
        let (own, off) = (settings.clone(), switch.clone());
        let thread = spawn_thread("entry", move || block_on(entry::run(own, off))?)?;
        Ok(RunningBox {
            settings,
            switch,
            thread,
        })
    }

    /// Returns the rows that the platform's table has read and written.
    pub fn table_rows(&self) -> (u64, u64) {
        let counts = self.table.counts();
        (counts.reads, counts.writes)
    }

    /// Returns the addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.boxes.iter().map(|m| m.settings.web).collect()
    }

    /// Returns the address for operators of a box.
    pub fn rpc_address(&self, index: usize) -> SocketAddr {
        self.boxes[index].settings.rpc
    }

    /// Waits until every box answers and all cells have an owner.
    pub async fn wait_ready(&self, limit: u64) -> eyre::Result<()> {
        let end = clock::now() + limit;
        for member in &self.boxes {
            wait_until_ready(&member.settings, end).await?;
        }
        Ok(())
    }

    /// Starts a worker that is in no list, and returns its endpoint.
    pub fn start_unlisted_worker(&self, service: u64) -> eyre::Result<SocketAddr> {
        let (http, rpc) = (free_address()?, free_address()?);
        let options = worker_options(http, rpc, service);
        spawn_thread("worker", move || block_on(worker::serve(options))?)?;
        Ok(http)
    }

    /// Creates the service `stock` and waits until it is in force at every box.
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
        let version = reply.wrap_err("no service")?.version;
        let end = clock::now() + CALL_TIMEOUT;
        for member in &self.boxes {
            while status(&member.settings).await?.config < version {
                if clock::now() >= end {
                    return Err(eyre::eyre!("{} does not follow", member.settings.name));
                }
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the box that owns the cell of the first worker, once one does
    /// and all others know.
    pub async fn wait_owner(&self) -> eyre::Result<usize> {
        let end = clock::now() + CALL_TIMEOUT * 4;
        loop {
            for (index, member) in self.boxes.iter().enumerate() {
                let channel = Channel::new(member.settings.rpc);
                let request = proto::ListWorkersRequest { local: true };
                let call = |c| async move { OperatorClient::new(c).list_workers(request).await };
                let reply = channel.call(CALL_TIMEOUT, call).await?;
                let open = reply.workers.iter().filter(|w| w.state == "open").count();
                if open == self.endpoints.len() {
                    // Greetings tell the others.
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

    /// Starts a new box in the place of one that then stops as planned.
    pub async fn replace(&mut self, index: usize, limit: u64) -> eyre::Result<()> {
        let fresh = self.start_box(index)?;
        wait_until_ready(&fresh.settings, clock::now() + limit).await?;
        let old = std::mem::replace(&mut self.boxes[index], fresh);
        super::request_stop(&old.switch);
        // It ends by itself when what is in progress has ended.
        drop(old.thread);
        Ok(())
    }

    /// Stops all boxes as planned.
    pub fn stop(self) {
        for member in &self.boxes {
            super::request_stop(&member.switch);
        }
        for member in self.boxes {
            let _ = member.thread.join();
        }
    }
}

/// Asks a box for its status.
async fn status(settings: &Settings) -> eyre::Result<proto::StatusReply> {
    let channel = Channel::new(settings.rpc);
    let request = proto::StatusRequest {};
    let call = |c| async move { OperatorClient::new(c).status(request).await };
    Ok(channel.call(CALL_TIMEOUT, call).await?)
}

/// Waits until a box is ready, as the platform's balancer would.
async fn wait_until_ready(settings: &Settings, end: u64) -> eyre::Result<()> {
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
    site: DeploymentSize,
) -> eyre::Result<SocketAddr> {
    let (http, rpc) = (free_address()?, free_address()?);
    platform.register(proto::DirectoryEntry {
        name: format!("w{index}"),
        hall: format!("h{}", index % site.halls),
        rack: format!("r{}", index / WORKERS_PER_RACK),
        http: http.to_string(),
        rpc: rpc.to_string(),
        leaving: false,
    });
    let options = worker_options(http, rpc, site.service);
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

/// Starts a part on a thread; its error ends up in the log.
fn spawn_thread(
    name: &str,
    part: impl FnOnce() -> eyre::Result<()> + Send + 'static,
) -> eyre::Result<JoinHandle<()>> {
    let label = name.to_string();
    let thread = std::thread::Builder::new().name(label.clone());
    let handle = thread.spawn(move || {
        if let Err(e) = part() {
            log::error!(target: "demo", "{label} ended: {e:#}");
        }
    });
    handle.wrap_err_with(|| format!("no thread for {name}"))
}

/// Returns a free address on loopback, below the ports that outgoing
/// connections get.
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
    Err(eyre::eyre!("no free port on loopback"))
}

fn box_settings(
    index: usize,
    halls: usize,
    generation: usize,
    platform: SocketAddr,
) -> eyre::Result<Settings> {
    let text = format!(
        "[box]\nname = \"e{index}-{generation}\"\nhall = \"h{}\"\nweb = \"{}\"\nrpc = \"{}\"\n\
         admin = \"{}\"\n[platform]\nrpc = \"{platform}\"\n",
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
