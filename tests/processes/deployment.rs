//! A deployment of separate processes on free ports.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use super::diagnostics::{Observations, process_state};
use super::proxy::{self, Direction};
use super::support::{
    POLL_INTERVAL, binary, complete_request, eventually, free_address, send_request, spawn,
    split_arguments, wait_for,
};
use willowpoint::claim;
use willowpoint::program::block_on;
use willowpoint::proto;
use willowpoint::proto::platform_faults_client::PlatformFaultsClient;
use willowpoint::proto::table_client::TableClient;
use willowpoint::proto::worker_faults_client::WorkerFaultsClient;
use willowpoint::rpc::client::Channel;

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The endpoint's whole answer.
    Answer(String),
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The connection was refused.
    Refused,
    /// The connection ended without an answer.
    Lost,
}

/// What a command printed, and its exit code.
pub struct Printed {
    pub code: i32,
    pub text: String,
}

/// A worker's own record.
pub struct Counts {
    pub doubled: u64,
    pub overloads: u64,
    pub ids: HashMap<String, u32>,
}

struct Worker {
    rpc: SocketAddr,
    child: Child,
    alive: bool,
}

struct Node {
    web: SocketAddr,
    rpc: SocketAddr,
    admin: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// Running processes, ended with this value.
pub struct Deployment {
    platform: SocketAddr,
    /// Between the first box and the platform.
    proxy: SocketAddr,
    /// True while the proxy passes no answers on.
    deaf: Arc<AtomicBool>,
    process: Child,
    workers: Vec<Worker>,
    nodes: Vec<Node>,
    folder: PathBuf,
}

/// A request of which only a part is sent.
pub struct Half {
    stream: TcpStream,
    rest: String,
}

/// Callers that send requests on a thread of their own.
pub struct Callers {
    thread: JoinHandle<Vec<Told>>,
}

impl Callers {
    pub fn join(self) -> Vec<Told> {
        self.thread.join().expect("callers end")
    }
}

pub fn command_at(address: &str, arguments: &[&str]) -> Printed {
    // The address comes after the command's first word.
    let mut all = vec![arguments[0], "--at", address, "--json"];
    all.extend(&arguments[1..]);
    let output = Command::new(binary())
        .args(all)
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    Printed {
        code: output.status.code().unwrap_or(-1),
        text: text + &errors,
    }
}

impl Deployment {
    pub fn start(boxes: usize, workers: usize) -> Self {
        let platform = free_address();
        let name = format!("willowpoint-{}-{}", std::process::id(), platform.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let line = format!("stand-in platform --rpc {platform}");
        let process = spawn(&split_arguments(&line), &folder.join("platform.log"));
        let deaf: Arc<AtomicBool> = Arc::default();
        let held = deaf.clone();
        let mut deployment = Self {
            platform,
            proxy: proxy::start(platform, move |way, _| {
                way == Direction::ToClient && held.load(Ordering::Relaxed)
            }),
            deaf,
            process,
            workers: Vec::new(),
            nodes: Vec::new(),
            folder,
        };
        for index in 0..workers {
            deployment.start_worker(index);
        }
        for index in 0..boxes {
            deployment.start_box(index);
        }
        for index in 0..boxes {
            deployment.wait_ready(index);
        }
        deployment
    }

    fn start_worker(&mut self, index: usize) {
        let (http, rpc) = (free_address(), free_address());
        let line = format!(
            "stand-in worker --name w{index} --hall h{} --rack r0 --http {http} --rpc {rpc} \
             --platform {} --service 2000",
            index % 2,
            self.platform
        );
        let output = self.folder.join(format!("w{index}.log"));
        let child = spawn(&split_arguments(&line), &output);
        let alive = true;
        self.workers.push(Worker { rpc, child, alive });
    }

    /// Starts a box, at the addresses of the one before it if there was one.
    pub fn start_box(&mut self, index: usize) {
        let known = self.nodes.get(index).map(|n| (n.web, n.rpc, n.admin));
        let (web, rpc, admin) =
            known.unwrap_or_else(|| (free_address(), free_address(), free_address()));
        let settings = self.folder.join(format!("e{index}.toml"));
        let platform = match index {
            0 => self.proxy,
            _ => self.platform,
        };
        let text = format!(
            "[box]\nname = \"e{index}\"\nhall = \"h{}\"\nweb = \"{web}\"\nrpc = \"{rpc}\"\n\
             admin = \"{admin}\"\n[platform]\nrpc = \"{platform}\"\npatience = \"500ms\"\n\
             [lease]\nlength = \"2s\"\nmargin = \"500ms\"\npromise = \"1500ms\"\n\
             [pace]\nheartbeat = \"300ms\"\npoll = \"300ms\"\nsync = \"300ms\"\ntask = \"2s\"\n\
             stop = \"20s\"\n[log]\nlevel = \"debug\"\n",
            index % 2,
        );
        std::fs::write(&settings, text).expect("settings are written");
        let line = format!("entry --config {}", settings.display());
        let child = spawn(&split_arguments(&line), &settings.with_extension("log"));
        let node = Node {
            web,
            rpc,
            admin,
            settings,
            child,
        };
        match index < self.nodes.len() {
            true => self.nodes[index] = node,
            false => self.nodes.push(node),
        }
    }

    pub fn wait_ready(&self, index: usize) {
        let node = &self.nodes[index];
        let mut observations = Observations::new();
        let ready = eventually(|| {
            let answer = observations.observe(|| {
                send_request(
                    node.admin,
                    "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
                )
            });
            answer.is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
        });
        assert!(
            ready,
            "timed out waiting for: readiness of e{index}; {observations}; {}",
            self.sight(index)
        );
        assert!(node.settings.exists());
    }

    /// Tells what a box and what it depends on are doing, and what they wrote.
    fn sight(&self, index: usize) -> String {
        let node = &self.nodes[index];
        let reached = |address: SocketAddr| TcpStream::connect(address).map(drop);
        let text = |path: PathBuf| std::fs::read_to_string(path);
        format!(
            "the box: {}; its log: {:?}; platform: {}, reached {:?}, by the proxy {:?}; \
             its log: {:?}",
            process_state(&node.child),
            text(node.settings.with_extension("log")),
            process_state(&self.process),
            reached(self.platform),
            reached(self.proxy),
            text(self.folder.join("platform.log")),
        )
    }

    pub fn create_service(&self) {
        self.operate(&["service", "create", "stock", "--team", "pharmacy"]);
        // In force at every box.
        for node in &self.nodes {
            wait_for("the service", || {
                let shown = command_at(&node.rpc.to_string(), &["service", "list"]);
                shown.text.contains("stock")
            });
        }
    }

    /// Runs an operator's command at the first box that is reached.
    pub fn command(&self, arguments: &[&str]) -> Printed {
        let mut last = None;
        for node in &self.nodes {
            let printed = command_at(&node.rpc.to_string(), arguments);
            if printed.code != 3 {
                return printed;
            }
            last = Some(printed);
        }
        last.expect("a box")
    }

    pub fn operate(&self, arguments: &[&str]) -> String {
        let printed = self.command(arguments);
        assert_eq!(printed.code, 0, "{arguments:?}: {}", printed.text);
        printed.text
    }

    /// Submits a job of `tasks` tasks of `cores` thousandths and `work` milliseconds.
    pub fn submit(&self, id: &str, tasks: u32, cores: u32, work: u64) {
        let (tasks, cores, work) = (tasks.to_string(), cores.to_string(), work.to_string());
        let mut words = vec!["job", "submit", id, "--team", "ledger", "--kind", "settle"];
        words.extend(["--tasks", &tasks, "--cores", &cores, "--work-ms", &work]);
        self.operate(&words);
    }

    /// Returns how often the living workers ran a task beside itself, and were
    /// given more than their room, by their own records.
    pub fn broken(&self) -> (u64, u64) {
        let counts = self.worker_counts();
        let doubled = counts.iter().map(|c| c.doubled).sum();
        let overloads = counts.iter().map(|c| c.overloads).sum();
        (doubled, overloads)
    }

    /// Waits until a job is in a state and returns what is shown of it.
    pub fn wait_job(&self, id: &str, state: &str) -> serde_json::Value {
        let mut shown = serde_json::Value::Null;
        wait_for(&format!("job {id} to be {state}"), || {
            let printed = self.command(&["job", "show", id]);
            let list = serde_json::from_str::<Vec<serde_json::Value>>(&printed.text);
            let job = list.ok().and_then(|mut l| l.pop());
            shown = job.unwrap_or(serde_json::Value::Null);
            shown["state"] == state
        });
        shown
    }

    pub fn request(&self, index: usize, id: &str, repeatable: bool) -> Told {
        request(self.nodes[index].web, id, repeatable)
    }

    /// Lets callers send requests through all boxes in turn, trying the next
    /// box when one refuses the connection, as a balancer does.
    pub fn callers(&self, count: usize) -> Callers {
        let boxes: Vec<SocketAddr> = self.nodes.iter().map(|n| n.web).collect();
        let thread = std::thread::spawn(move || {
            let one = |number: usize| {
                let id = format!("caller{number}");
                let at = |turn: usize| boxes[(number + turn) % boxes.len()];
                let mut told = (0..boxes.len()).map(|turn| request(at(turn), &id, true));
                std::thread::sleep(POLL_INTERVAL);
                told.find(|t| *t != Told::Refused).unwrap_or(Told::Refused)
            };
            (0..count).map(one).collect()
        });
        Callers { thread }
    }

    pub fn kill(&mut self, index: usize) {
        let child = &mut self.nodes[index].child;
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    pub fn kill_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.child.kill().expect("killed");
        worker.child.wait().expect("ended");
        worker.alive = false;
    }

    fn signal(&self, index: usize, signal: libc::c_int) {
        let id = self.nodes[index].child.id() as libc::pid_t;
        // SAFETY: the child was started here and has not been waited for.
        assert_eq!(unsafe { libc::kill(id, signal) }, 0);
    }

    pub fn freeze(&self, index: usize) {
        self.signal(index, libc::SIGSTOP);
    }

    pub fn thaw(&self, index: usize) {
        self.signal(index, libc::SIGCONT);
    }

    /// Stops a box as planned and returns its exit code.
    pub fn stop(&mut self, index: usize) -> Option<i32> {
        self.terminate(index);
        self.wait_end(index)
    }

    /// Begins a planned stop.
    pub fn terminate(&self, index: usize) {
        self.signal(index, libc::SIGTERM);
    }

    /// Waits until callers can't connect to a box any more.
    pub fn wait_closed(&self, index: usize) {
        let web = self.nodes[index].web;
        wait_for("closed listeners", || TcpStream::connect(web).is_err());
    }

    /// Sends the first part of a request to a box.
    pub fn half_request(&self, index: usize) -> Half {
        let text = message("half", true);
        let (first, rest) = text.split_at(text.len() / 2);
        let mut stream = TcpStream::connect(self.nodes[index].web).expect("connected");
        stream.write_all(first.as_bytes()).expect("sent");
        let rest = rest.to_string();
        Half { stream, rest }
    }

    /// Waits for the end of a box and returns its exit code.
    pub fn wait_end(&mut self, index: usize) -> Option<i32> {
        let mut code = None;
        let child = &mut self.nodes[index].child;
        wait_for("the planned stop", || {
            let status = child.try_wait().expect("status");
            code = status.and_then(|s| s.code());
            status.is_some()
        });
        code
    }

    /// Waits until the other boxes own all workers that answer.
    pub fn wait_cells_without(&self, index: usize) {
        let other = (index + 1) % self.nodes.len();
        let address = self.nodes[other].rpc.to_string();
        let wanted = self.workers.len();
        wait_for("the successors", || {
            let shown = command_at(&address, &["worker", "list"]);
            let value: serde_json::Value = serde_json::from_str(&shown.text).unwrap_or_default();
            let workers = value["workers"].as_array().cloned().unwrap_or_default();
            let open = workers.iter().filter(|w| w["state"] == "open");
            open.count() == wanted
        });
    }

    /// Holds up all answers of the platform to the first box, or lets them go on.
    pub fn cut_answers(&self, cut: bool) {
        self.deaf.store(cut, Ordering::Relaxed);
    }

    pub fn platform_down(&self, millis: u64) {
        let platform = self.platform;
        let fault = proto::PlatformFault {
            down_ms: millis,
            ..Default::default()
        };
        let call = async move {
            let channel = Channel::new(platform);
            let set = |c| async move { PlatformFaultsClient::new(c).set(fault).await };
            channel.call(5_000, set).await
        };
        block_on(call)
            .expect("a runtime")
            .expect("the fault is set");
    }

    /// Returns the epochs of all cells by the platform's table.
    pub fn cell_epochs(&self) -> Vec<(String, u64)> {
        let platform = self.platform;
        let call = async move {
            let request = proto::ScanRequest {
                prefix: claim::PREFIX.into(),
                limit: 1_000,
                ..Default::default()
            };
            let scan = |c| async move { TableClient::new(c).scan(request).await };
            Channel::new(platform).call(5_000, scan).await
        };
        let reply = block_on(call)
            .expect("a runtime")
            .expect("the table answers");
        let epoch = |row: proto::Row| {
            let value: claim::CellRow = serde_json::from_slice(&row.value).expect("a cell's row");
            (row.key, value.epoch)
        };
        reply.rows.into_iter().map(epoch).collect()
    }

    /// Returns the own records of the workers that are alive.
    pub fn worker_counts(&self) -> Vec<Counts> {
        let alive = self.workers.iter().filter(|w| w.alive);
        alive.map(|w| counts(w.rpc)).collect()
    }
}

fn counts(rpc: SocketAddr) -> Counts {
    let call = async move {
        let request = proto::WorkerCountRequest {};
        let count = |c| async move { WorkerFaultsClient::new(c).count(request).await };
        Channel::new(rpc).call(5_000, count).await
    };
    let reply = block_on(call)
        .expect("a runtime")
        .expect("the worker answers");
    Counts {
        doubled: reply.doubled,
        overloads: reply.overloads,
        ids: reply.ids.into_iter().map(|i| (i.id, i.count)).collect(),
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let nodes = self.nodes.iter_mut().map(|n| &mut n.child);
        let workers = self.workers.iter_mut().map(|w| &mut w.child);
        for child in nodes.chain(workers).chain([&mut self.process]) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Half {
    /// Sends the rest and returns what the caller is told.
    pub fn finish(self) -> Told {
        told(complete_request(self.stream, &self.rest))
    }
}

fn request(address: SocketAddr, id: &str, repeatable: bool) -> Told {
    let began = Instant::now();
    let result = send_request(address, &message(id, repeatable));
    let seen = format!("{result:?}");
    let told = told(result);
    if matches!(told, Told::Lost | Told::Unknown) {
        // Shown with a test that fails.
        println!("{id} at {address} after {:?}: {seen}", began.elapsed());
    }
    told
}

fn message(id: &str, repeatable: bool) -> String {
    let issued = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock");
    let body = format!("body of {id}");
    format!(
        "POST /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\nwillowpoint-service: stock\r\n\
         willowpoint-id: {id}\r\nwillowpoint-repeatable: {}\r\nwillowpoint-issued-ms: {}\r\n\
         willowpoint-deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n{body}",
        if repeatable { "yes" } else { "no" },
        issued.as_millis(),
        body.len()
    )
}

fn told(result: std::io::Result<String>) -> Told {
    let text = match result {
        Ok(text) if !text.is_empty() => text,
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => return Told::Refused,
        _ => return Told::Lost,
    };
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    match () {
        () if head.contains("willowpoint-verdict: answer") => Told::Answer(body.into()),
        () if head.contains("willowpoint-verdict: not-run") => Told::NotRun,
        () => Told::Unknown,
    }
}
