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

/// The outcome of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint's whole answer body.
    Answer(String),
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The connection was refused.
    Refused,
    /// The connection ended without an answer.
    Lost,
}

/// The exit code of a command and what it printed.
pub struct CommandOutput {
    pub code: i32,
    pub text: String,
}

/// Counts kept by a worker.
pub struct WorkerCounts {
    /// Tasks that the worker started while another run of the same task was active.
    pub duplicate_runs: u64,
    /// Work that the worker was given beyond its capacity.
    pub overloads: u64,
    /// Number of runs of each request, by request id.
    pub runs_by_id: HashMap<String, u32>,
}

struct Worker {
    rpc: SocketAddr,
    child: Child,
    alive: bool,
}

struct BoxProcess {
    web: SocketAddr,
    rpc: SocketAddr,
    admin: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// A running deployment. Its processes are killed when it is dropped.
pub struct Deployment {
    platform: SocketAddr,
    /// Address of the proxy between the first box and the platform.
    proxy: SocketAddr,
    /// True while the proxy holds back the platform's answers.
    answers_blocked: Arc<AtomicBool>,
    platform_process: Child,
    workers: Vec<Worker>,
    boxes: Vec<BoxProcess>,
    folder: PathBuf,
}

/// A request of which only the first half was sent.
pub struct PartialRequest {
    stream: TcpStream,
    rest: String,
}

/// Callers that send requests on a separate thread.
pub struct Callers {
    thread: JoinHandle<Vec<Outcome>>,
}

impl Callers {
    /// Waits for all requests and returns their outcomes.
    pub fn join(self) -> Vec<Outcome> {
        self.thread.join().expect("the callers' thread panicked")
    }
}

/// Runs an operator's command against the box at an address.
pub fn command_at(address: &str, arguments: &[&str]) -> CommandOutput {
    // Options go after the command's first word.
    let mut all = vec![arguments[0], "--at", address, "--json"];
    all.extend(&arguments[1..]);
    let output = Command::new(binary())
        .args(all)
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    CommandOutput {
        code: output.status.code().unwrap_or(-1),
        text: text + &errors,
    }
}

impl Deployment {
    /// Starts a platform, workers and boxes, and waits until the boxes are ready.
    pub fn start(boxes: usize, workers: usize) -> Self {
        let platform = free_address();
        let name = format!("willowpoint-{}-{}", std::process::id(), platform.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let line = format!("stand-in platform --rpc {platform}");
        let platform_process = spawn(&split_arguments(&line), &folder.join("platform.log"));
        let answers_blocked: Arc<AtomicBool> = Arc::default();
        let blocked = answers_blocked.clone();
        let mut deployment = Self {
            platform,
            proxy: proxy::start(platform, move |direction, _| {
                direction == Direction::ToClient && blocked.load(Ordering::Relaxed)
            }),
            answers_blocked,
            platform_process,
            workers: Vec::new(),
            boxes: Vec::new(),
            folder,
        };
        for index in 0..workers {
            deployment.start_worker(index);
        }
        for index in 0..boxes {
            deployment.start_box(index);
        }
        for index in 0..boxes {
            deployment.wait_until_ready(index);
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

    /// Starts a box, at its previous addresses if it ran before.
    pub fn start_box(&mut self, index: usize) {
        let previous = self.boxes.get(index).map(|b| (b.web, b.rpc, b.admin));
        let (web, rpc, admin) =
            previous.unwrap_or_else(|| (free_address(), free_address(), free_address()));
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
        let process = BoxProcess {
            web,
            rpc,
            admin,
            settings,
            child,
        };
        match index < self.boxes.len() {
            true => self.boxes[index] = process,
            false => self.boxes.push(process),
        }
    }

    /// Waits until a box reports that it is ready.
    pub fn wait_until_ready(&self, index: usize) {
        let node = &self.boxes[index];
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
            self.diagnostics(index)
        );
        assert!(node.settings.exists());
    }

    /// Returns the state and the logs of a box and of the processes that it depends on.
    fn diagnostics(&self, index: usize) -> String {
        let node = &self.boxes[index];
        let connect = |address: SocketAddr| TcpStream::connect(address).map(drop);
        let read = |path: PathBuf| std::fs::read_to_string(path);
        format!(
            "the box: {}; its log: {:?}; platform: {}, reached {:?}, by the proxy {:?}; \
             its log: {:?}",
            process_state(&node.child),
            read(node.settings.with_extension("log")),
            process_state(&self.platform_process),
            connect(self.platform),
            connect(self.proxy),
            read(self.folder.join("platform.log")),
        )
    }

    /// Creates a service and waits until every box knows it.
    pub fn create_service(&self) {
        self.run_command(&["service", "create", "stock", "--team", "pharmacy"]);
        for node in &self.boxes {
            wait_for("the service", || {
                let output = command_at(&node.rpc.to_string(), &["service", "list"]);
                output.text.contains("stock")
            });
        }
    }

    /// Runs an operator's command at the first box that can be reached.
    pub fn command(&self, arguments: &[&str]) -> CommandOutput {
        let mut last = None;
        for node in &self.boxes {
            let output = command_at(&node.rpc.to_string(), arguments);
            if output.code != 3 {
                return output;
            }
            last = Some(output);
        }
        last.expect("the deployment has boxes")
    }

    /// Runs an operator's command that must succeed and returns what it printed.
    pub fn run_command(&self, arguments: &[&str]) -> String {
        let output = self.command(arguments);
        assert_eq!(output.code, 0, "{arguments:?}: {}", output.text);
        output.text
    }

    /// Submits a job of `tasks` tasks, each with `cores` thousandths of a core and `work`
    /// milliseconds of work.
    pub fn submit_job(&self, id: &str, tasks: u32, cores: u32, work: u64) {
        let (tasks, cores, work) = (tasks.to_string(), cores.to_string(), work.to_string());
        let mut words = vec!["job", "submit", id, "--team", "ledger", "--kind", "settle"];
        words.extend(["--tasks", &tasks, "--cores", &cores, "--work-ms", &work]);
        self.run_command(&words);
    }

    /// Returns how often live workers counted duplicate runs of a task and work beyond their
    /// capacity.
    pub fn rule_violations(&self) -> (u64, u64) {
        let counts = self.worker_counts();
        let duplicate_runs = counts.iter().map(|c| c.duplicate_runs).sum();
        let overloads = counts.iter().map(|c| c.overloads).sum();
        (duplicate_runs, overloads)
    }

    /// Waits until a job is in a state and returns the job as `job show` prints it.
    pub fn wait_for_job(&self, id: &str, state: &str) -> serde_json::Value {
        let mut found = serde_json::Value::Null;
        wait_for(&format!("job {id} to be {state}"), || {
            let output = self.command(&["job", "show", id]);
            let list = serde_json::from_str::<Vec<serde_json::Value>>(&output.text);
            let job = list.ok().and_then(|mut l| l.pop());
            found = job.unwrap_or(serde_json::Value::Null);
            found["state"] == state
        });
        found
    }

    /// Sends a request to a box and returns its outcome.
    pub fn request(&self, index: usize, id: &str, repeatable: bool) -> Outcome {
        send(self.boxes[index].web, id, repeatable)
    }

    /// Spawns callers that send requests through all boxes in turn and try the next box when one
    /// refuses the connection, as a load balancer does.
    pub fn spawn_callers(&self, count: usize) -> Callers {
        let boxes: Vec<SocketAddr> = self.boxes.iter().map(|b| b.web).collect();
        let thread = std::thread::spawn(move || {
            let send_one = |number: usize| {
                let id = format!("caller{number}");
                let address = |attempt: usize| boxes[(number + attempt) % boxes.len()];
                let mut outcomes =
                    (0..boxes.len()).map(|attempt| send(address(attempt), &id, true));
                std::thread::sleep(POLL_INTERVAL);
                outcomes
                    .find(|o| *o != Outcome::Refused)
                    .unwrap_or(Outcome::Refused)
            };
            (0..count).map(send_one).collect()
        });
        Callers { thread }
    }

    /// Kills a box.
    pub fn kill(&mut self, index: usize) {
        let child = &mut self.boxes[index].child;
        child.kill().expect("the box can be killed");
        child.wait().expect("the box has ended");
    }

    /// Kills a worker.
    pub fn kill_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.child.kill().expect("the worker can be killed");
        worker.child.wait().expect("the worker has ended");
        worker.alive = false;
    }

    fn signal(&self, index: usize, signal: libc::c_int) {
        let id = self.boxes[index].child.id() as libc::pid_t;
        // SAFETY: the child was started here and has not been waited for.
        assert_eq!(unsafe { libc::kill(id, signal) }, 0);
    }

    /// Pauses a box by SIGSTOP.
    pub fn freeze(&self, index: usize) {
        self.signal(index, libc::SIGSTOP);
    }

    /// Resumes a frozen box.
    pub fn unfreeze(&self, index: usize) {
        self.signal(index, libc::SIGCONT);
    }

    /// Performs a planned stop of a box and returns its exit code.
    pub fn stop(&mut self, index: usize) -> Option<i32> {
        self.begin_stop(index);
        self.wait_for_exit(index)
    }

    /// Begins a planned stop of a box by SIGTERM.
    pub fn begin_stop(&self, index: usize) {
        self.signal(index, libc::SIGTERM);
    }

    /// Waits until a box accepts no connections from callers any more.
    pub fn wait_for_closed_listener(&self, index: usize) {
        let web = self.boxes[index].web;
        wait_for("closed listeners", || TcpStream::connect(web).is_err());
    }

    /// Sends the first half of a request to a box.
    pub fn begin_request(&self, index: usize) -> PartialRequest {
        let text = request_text("half", true);
        let (first, rest) = text.split_at(text.len() / 2);
        let mut stream =
            TcpStream::connect(self.boxes[index].web).expect("the box accepts connections");
        stream
            .write_all(first.as_bytes())
            .expect("the first half can be sent");
        let rest = rest.to_string();
        PartialRequest { stream, rest }
    }

    /// Waits until a box exits and returns its exit code.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let mut code = None;
        let child = &mut self.boxes[index].child;
        wait_for("the planned stop", || {
            let status = child.try_wait().expect("the status of the box is known");
            code = status.and_then(|s| s.code());
            status.is_some()
        });
        code
    }

    /// Waits until the box after `index` lists all workers as open, so that the cells of box
    /// `index` have new owners.
    pub fn wait_for_successors(&self, index: usize) {
        let other = (index + 1) % self.boxes.len();
        let address = self.boxes[other].rpc.to_string();
        let expected = self.workers.len();
        let mut listed = String::new();
        let succeeded = eventually(|| {
            let output = command_at(&address, &["worker", "list"]);
            let value: serde_json::Value = serde_json::from_str(&output.text).unwrap_or_default();
            let workers = value["workers"].as_array().cloned().unwrap_or_default();
            let open = workers.iter().filter(|w| w["state"] == "open").count();
            listed = output.text;
            open == expected
        });
        assert!(
            succeeded,
            "timed out waiting for: the successors; workers: {listed}; {}",
            self.diagnostics(other)
        );
    }

    /// Waits until the log of a box has a line that contains a text, and returns the line.
    pub fn wait_for_log(&self, index: usize, text: &str) -> String {
        let log = self.boxes[index].settings.with_extension("log");
        let mut found = None;
        eventually(|| {
            let content = std::fs::read_to_string(&log).unwrap_or_default();
            let line = content.lines().find(|line| line.contains(text));
            found = line.map(str::to_string);
            found.is_some()
        });
        found.unwrap_or_else(|| {
            panic!(
                "timed out waiting for: {text:?} in the log of e{index}; {}",
                self.diagnostics(index)
            )
        })
    }

    /// Blocks or unblocks all answers of the platform to the first box.
    pub fn block_answers(&self, blocked: bool) {
        self.answers_blocked.store(blocked, Ordering::Relaxed);
    }

    /// Makes the platform unavailable for some milliseconds.
    pub fn suspend_platform(&self, millis: u64) {
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
            .expect("the runtime starts")
            .expect("the fault is set");
    }

    /// Returns the keys of all cells with their epochs, from the platform's table.
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
            .expect("the runtime starts")
            .expect("the table answers");
        let epoch = |row: proto::Row| {
            let value: claim::CellRow = serde_json::from_slice(&row.value).expect("a cell's row");
            (row.key, value.epoch)
        };
        reply.rows.into_iter().map(epoch).collect()
    }

    /// Returns the counts of the live workers.
    pub fn worker_counts(&self) -> Vec<WorkerCounts> {
        let alive = self.workers.iter().filter(|w| w.alive);
        alive.map(|w| read_counts(w.rpc)).collect()
    }
}

fn read_counts(rpc: SocketAddr) -> WorkerCounts {
    let call = async move {
        let request = proto::WorkerCountRequest {};
        let count = |c| async move { WorkerFaultsClient::new(c).count(request).await };
        Channel::new(rpc).call(5_000, count).await
    };
    let reply = block_on(call)
        .expect("the runtime starts")
        .expect("the worker answers");
    WorkerCounts {
        duplicate_runs: reply.doubled,
        overloads: reply.overloads,
        runs_by_id: reply.ids.into_iter().map(|i| (i.id, i.count)).collect(),
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let boxes = self.boxes.iter_mut().map(|b| &mut b.child);
        let workers = self.workers.iter_mut().map(|w| &mut w.child);
        for child in boxes.chain(workers).chain([&mut self.platform_process]) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl PartialRequest {
    /// Sends the rest of the request and returns its outcome.
    pub fn finish(self) -> Outcome {
        parse_outcome(complete_request(self.stream, &self.rest))
    }
}

fn send(address: SocketAddr, id: &str, repeatable: bool) -> Outcome {
    let started = Instant::now();
    let result = send_request(address, &request_text(id, repeatable));
    let received = format!("{result:?}");
    let outcome = parse_outcome(result);
    if matches!(outcome, Outcome::Lost | Outcome::Unknown) {
        // The test harness shows the output of failed tests only.
        println!(
            "{id} at {address} after {:?}: {received}",
            started.elapsed()
        );
    }
    outcome
}

/// Returns the text of an HTTP request.
fn request_text(id: &str, repeatable: bool) -> String {
    let issued = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is after 1970");
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

/// Derives the outcome of a request from the received answer.
fn parse_outcome(result: std::io::Result<String>) -> Outcome {
    let text = match result {
        Ok(text) if !text.is_empty() => text,
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => return Outcome::Refused,
        _ => return Outcome::Lost,
    };
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    match () {
        () if head.contains("willowpoint-verdict: answer") => Outcome::Answer(body.into()),
        () if head.contains("willowpoint-verdict: not-run") => Outcome::NotRun,
        () => Outcome::Unknown,
    }
}
