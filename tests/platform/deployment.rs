//! Runs boxes as processes of `willowpoint serve`, with stand-ins for the platform's store and
//! workers in this process.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use willowpoint::program::block_on;
use willowpoint::utils::drain::Drain;
use willowpoint::utils::listen;
use willowpoint::web::server::{Limits, serve};
use willowpoint::web::{Reply, Request};

use super::link::Link;
use super::proxy;
use super::record::Record;
use super::store::Store;
use super::support::{
    complete_request, eventually, free_address, send_request, spawn, split_arguments, wait_for,
};
use super::worker::Worker;

/// Host of the configured queue.
pub const HOST: &str = "shop.example";
/// Path of the configured queue.
pub const PATH: &str = "/holds/";
/// Service that runs the queue's tasks.
const SERVICE: &str = "stock";
/// Time between two checks for runs that are due to end.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of log lines of each box that a failure prints.
const PRINTED_LINES: usize = 40;
/// Limits of the servers of the stand-ins.
const LIMITS: Limits = Limits {
    head: 16 << 10,
    body: 1 << 20,
    connections: 1_000,
    memory: 1 << 30,
    idle: 600_000,
    request: 600_000,
    stall: 600_000,
    answer: 600_000,
};

/// A queue of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct QueueSettings {
    /// Beginning of the paths of its jobs.
    pub path: &'static str,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

/// What a deployment is configured with.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Queues of the configuration.
    pub queues: &'static [QueueSettings],
    /// Number of racks that the workers are on, in turn.
    pub racks: usize,
    /// Further lines of the section about the box in the settings file of each box.
    pub machine: &'static str,
    /// Further text of the settings file of each box.
    pub settings: &'static str,
}

/// One queue, one rack, and the default settings.
const DEFAULT_PROFILE: Profile = Profile {
    queues: &[QueueSettings {
        path: PATH,
        priority: 0,
    }],
    racks: 1,
    machine: "",
    settings: "",
};

/// A box running as a process.
struct BoxProcess {
    web: SocketAddr,
    admin: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// A running deployment. Its processes are killed when it is dropped.
pub struct Deployment {
    pub store: Store,
    record: Arc<Mutex<Record>>,
    /// Stand-ins for the workers, ordered by number.
    pub workers: Vec<Worker>,
    /// Links between the boxes and the workers.
    pub links: Vec<Link>,
    boxes: Vec<BoxProcess>,
    folder: PathBuf,
    profile: Profile,
    /// Proxies between the boxes and the store, one per box.
    proxies: Vec<SocketAddr>,
    /// Boxes whose connections to the store are blocked.
    disconnected: Arc<Mutex<BTreeSet<usize>>>,
    /// Connections to the store that were opened before this time are blocked for good.
    silenced_at: Arc<Mutex<Option<Instant>>>,
    /// True when the output of the boxes is kept after this value is dropped.
    keeps_output: bool,
    /// Dropped with this value.
    alive: Arc<()>,
}

/// Serves calls on a new thread until the test process ends; returns the address.
fn serve_on_thread<F>(handle: impl Fn(Request) -> F + Clone + Send + 'static) -> SocketAddr
where
    F: Future<Output = Reply> + 'static,
{
    let address = free_address();
    std::thread::spawn(move || {
        block_on(async {
            let listener = listen::bind(address).expect("a port can be bound");
            serve(listener, LIMITS, Drain::never(), handle).await;
        })
    });
    address
}

impl Deployment {
    /// Starts boxes and workers, whose runs last for `duration`, and waits until all boxes are
    /// ready.
    pub fn start(boxes: usize, workers: usize, duration: Duration) -> Self {
        Self::start_with(boxes, workers, duration, DEFAULT_PROFILE)
    }

    /// Starts boxes and workers as `start` does, with this configuration.
    pub fn start_with(boxes: usize, workers: usize, duration: Duration, profile: Profile) -> Self {
        let store = Store::default();
        let record: Arc<Mutex<Record>> = Arc::default();
        let served = store.clone();
        let store_address = serve_on_thread(move |request| served.clone().handle(request));
        let folder = std::env::temp_dir().join(format!(
            "willowpoint-p-{}-{}",
            std::process::id(),
            store_address.port()
        ));
        std::fs::create_dir_all(&folder).expect("the folder for output can be created");
        let silenced_at: Arc<Mutex<Option<Instant>>> = Arc::default();
        let shared_silenced_at = silenced_at.clone();
        let mut deployment = Self {
            store,
            record,
            workers: Vec::new(),
            links: Vec::new(),
            boxes: Vec::new(),
            folder,
            profile,
            proxies: Vec::new(),
            disconnected: Arc::default(),
            silenced_at,
            keeps_output: false,
            alive: Arc::default(),
        };
        for number in 0..boxes {
            let (silenced_at, disconnected) =
                (shared_silenced_at.clone(), deployment.disconnected.clone());
            let proxy = proxy::start(store_address, move |_, opened| {
                let silenced = *silenced_at.lock().expect("the lock is not poisoned");
                let disconnected = disconnected
                    .lock()
                    .expect("the lock is not poisoned")
                    .contains(&number);
                disconnected || silenced.is_some_and(|at| opened < at)
            });
            deployment.proxies.push(proxy);
        }
        deployment.configure_queues(1);
        for number in 0..workers {
            deployment.add_worker(&format!("i-{number}"), duration);
        }
        deployment.end_runs_in_time();
        for number in 0..boxes {
            let process = deployment.start_box(number);
            deployment.boxes.push(process);
        }
        for number in 0..boxes {
            deployment.wait_ready(number);
        }
        deployment
    }

    /// Writes a version of the configuration with these paths to the store.
    pub fn configure(&self, version: u64, paths: &[&str]) {
        self.write_routes(version, paths.iter().map(|path| (*path, 0)));
    }

    /// Writes a version of the configuration with the queues of the profile to the store.
    pub fn configure_queues(&self, version: u64) {
        let queues = self.profile.queues.iter();
        self.write_routes(version, queues.map(|q| (q.path, q.priority)));
    }

    fn write_routes<'a>(&self, version: u64, queues: impl Iterator<Item = (&'a str, u32)>) {
        let route = |(path, priority): (&str, u32)| {
            json!({ "name": format!("r{path}"), "host": HOST, "pathPrefix": path,
                "targetLatencyMs": 1000, "priority": priority, "service": SERVICE,
                "maxAttempts": 3, "stretch": 2.0 })
        };
        let routes: Vec<Value> = queues.map(route).collect();
        let config = json!({ "version": version, "routes": routes });
        self.store.put("op", "config", &config);
    }

    fn add_worker(&mut self, id: &str, duration: Duration) {
        let worker = Worker::new(id, duration, self.record.clone(), self.store.clone());
        let served = worker.clone();
        let address = serve_on_thread(move |request| served.clone().handle(request));
        let link = Link::default();
        let address = link.start(address);
        self.links.push(link);
        let rack = format!("r{}", self.workers.len() % self.profile.racks + 1);
        let listing = json!({ "service": SERVICE, "address": address, "zone": "h1",
            "state": "ready", "labels": ["a", rack],
            "capacity": { "cpu": 4000, "memMb": 8000, "gpu": 0 } });
        worker.register(listing);
        self.workers.push(worker);
    }

    /// Sets what the workers draw for each call.
    pub fn seed_workers(&self, seed: u64) {
        for (worker, number) in self.workers.iter().zip(1..) {
            worker.set_seed(seed ^ number);
        }
    }

    /// Ends the runs of all workers when they are due, on a thread that ends with this value.
    fn end_runs_in_time(&self) {
        let (workers, alive) = (self.workers.clone(), Arc::downgrade(&self.alive));
        std::thread::spawn(move || {
            while alive.strong_count() > 0 {
                workers.iter().for_each(Worker::end_due_runs);
                std::thread::sleep(RUN_CHECK_INTERVAL);
            }
        });
    }

    fn start_box(&self, number: usize) -> BoxProcess {
        let (web, admin, rpc) = (free_address(), free_address(), free_address());
        let settings = self.folder.join(format!("e{number}.toml"));
        let text = format!(
            "[box]\nname = \"e{number}\"\nhall = \"h1\"\nweb = \"{web}\"\nadmin = \"{admin}\"\n\
             rpc = \"{rpc}\"\n{}[platform]\nstore = \"{}\"\n{}",
            self.profile.machine, self.proxies[number], self.profile.settings
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let line = format!("serve --config {}", settings.display());
        let child = spawn(&split_arguments(&line), &settings.with_extension("log"));
        BoxProcess {
            web,
            admin,
            settings,
            child,
        }
    }

    fn wait_ready(&self, number: usize) {
        let ready = || self.is_ready(number);
        assert!(
            eventually(ready),
            "box {number} is not ready; its output:\n{}",
            self.output(number)
        );
    }

    /// Returns true when a box reports that it is ready.
    pub fn is_ready(&self, number: usize) -> bool {
        let request = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let answer = send_request(self.boxes[number].admin, request);
        answer.is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
    }

    /// Waits until all boxes follow an owner that serves. Boxes are ready some time before they
    /// know an owner.
    pub fn wait_served(&self) {
        let served = |n: usize| {
            let unserved = self.metric(n, "owner_unserved_ms");
            self.metric(n, "followed_epoch") > Some(0) && unserved == Some(0)
        };
        wait_for("an owner that serves all boxes", || {
            (0..self.boxes.len()).all(served)
        });
    }

    /// Returns the value of a metric without labels; `None` when the box does not answer or the
    /// metric is missing.
    pub fn metric(&self, number: usize, name: &str) -> Option<u64> {
        let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let text = send_request(self.boxes[number].admin, request).ok()?;
        let row = format!("willowpoint_{name} ");
        let value = text.lines().find_map(|l| l.strip_prefix(&row));
        value?.trim().parse().ok()
    }

    /// Blocks all open connections to the store for good; new ones work.
    pub fn silence_connections(&self) {
        let now = Some(Instant::now());
        *self.silenced_at.lock().expect("the lock is not poisoned") = now;
    }

    /// Blocks the connections of exactly these boxes to the store.
    pub fn disconnect_store(&self, boxes: &[usize]) {
        let boxes = boxes.iter().copied().collect();
        *self.disconnected.lock().expect("the lock is not poisoned") = boxes;
    }

    /// Returns the output of a box so far.
    pub fn output(&self, number: usize) -> String {
        let path = self.boxes[number].settings.with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the record of what the workers ran.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("the lock is not poisoned")
    }

    /// Sends a request to a box; returns the status and the text of the answer. The status is 0
    /// when there is no answer.
    pub fn send(&self, number: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n\
             x-deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let Ok(text) = send_request(self.boxes[number].web, &(head + body)) else {
            return (0, String::new());
        };
        let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
        (status.unwrap_or(0), text)
    }

    /// Submits a job of two steps with `tasks` tasks each.
    pub fn submit(&self, number: usize, id: &str, tasks: u32) -> (u16, String) {
        let step = json!({ "count": tasks, "cpu": 1000, "memMb": 100, "estimateMs": 300 });
        let mut second = step.clone();
        second["after"] = json!([0]);
        let job = json!({ "spec": "text", "steps": [step, second] });
        self.send(number, "POST", &format!("{PATH}{id}"), &job.to_string())
    }

    /// Submits a job through each box in turn until it is accepted, as callers do.
    pub fn submit_until_accepted(&self, id: &str, tasks: u32) {
        let mut attempt = 0;
        wait_for("acceptance of the job", || {
            attempt += 1;
            let number = attempt % self.boxes.len();
            self.submit(number, id, tasks).0 == 200
        });
    }

    /// Returns the state of a job as reported by a box; empty when the box reports none.
    pub fn state(&self, number: usize, id: &str) -> String {
        let (status, text) = self.send(number, "GET", &format!("{PATH}{id}"), "");
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        let shown: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        match status {
            200 => shown["state"].as_str().unwrap_or_default().into(),
            _ => String::new(),
        }
    }

    /// Waits until any box reports a job as completed.
    pub fn wait_completed(&self, id: &str) {
        self.wait_state(id, "completed");
    }

    /// Waits until any box reports a job in a state.
    pub fn wait_state(&self, id: &str, state: &str) {
        let reached = || (0..self.boxes.len()).any(|n| self.state(n, id) == state);
        let output = |n: usize| format!("box {n}:\n{}", self.output(n));
        let outputs = || (0..self.boxes.len()).map(output).collect::<String>();
        assert!(
            eventually(reached),
            "job {id} is not {state};\n{}",
            outputs()
        );
    }

    /// Returns the owner: the box whose log has the highest epoch. Waits for an owner, since log
    /// lines are written with a delay and boxes are ready before there is an owner.
    pub fn owner(&self) -> usize {
        let mut latest = None;
        wait_for("an owner", || {
            let epochs = (0..self.boxes.len()).map(|n| self.last_epoch(n).map(|e| (e, n)));
            latest = epochs.flatten().max();
            latest.is_some()
        });
        latest.expect("an owner").1
    }

    /// Returns the highest epoch for which a box has become the owner.
    fn last_epoch(&self, number: usize) -> Option<u64> {
        let text = self.output(number);
        let begun = text.lines().filter(|l| l.contains("event=owner-begins"));
        let epochs = begun.filter_map(|l| l.split("epoch=").nth(1)?.split(' ').next());
        epochs.filter_map(|e| e.parse().ok()).max()
    }

    /// Returns the number of jobs that a box loaded when it last became the owner.
    pub fn loaded_jobs(&self, number: usize) -> usize {
        let text = self.output(number);
        let line = text.lines().rfind(|l| l.contains("event=owner-begins"));
        let jobs = line.and_then(|l| l.split(" jobs=").nth(1)?.split(' ').next());
        jobs.and_then(|j| j.parse().ok())
            .expect("the log contains the number of loaded jobs")
    }

    /// Returns the addresses of the boxes for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.boxes.iter().map(|process| process.web).collect()
    }

    /// Returns the address of a box for readiness checks and metrics.
    pub fn admin_address(&self, number: usize) -> SocketAddr {
        self.boxes[number].admin
    }

    /// Returns the record of what the workers ran, for use by other threads.
    pub fn shared_record(&self) -> Arc<Mutex<Record>> {
        self.record.clone()
    }

    /// Keeps the output of the boxes after this value is dropped; returns the files.
    pub fn keep_output(&mut self) -> Vec<PathBuf> {
        self.keeps_output = true;
        let settings = self.boxes.iter().map(|process| &process.settings);
        settings.map(|s| s.with_extension("log")).collect()
    }

    /// Prints the last log lines of all boxes and the folder of the complete logs. A failure that
    /// does not recur can be diagnosed from these only.
    fn print_output(&self) {
        println!(
            "the output of the boxes is kept in {}",
            self.folder.display()
        );
        for number in 0..self.boxes.len() {
            let text = self.output(number);
            let lines: Vec<&str> = text.lines().collect();
            let last = lines[lines.len().saturating_sub(PRINTED_LINES)..].join("\n");
            println!("box {number}, last of {} lines:\n{last}", lines.len());
        }
    }

    /// Kills a box and waits for its end.
    pub fn kill(&mut self, number: usize) {
        let child = &mut self.boxes[number].child;
        child.kill().expect("the box can be killed");
        child.wait().expect("the box has ended");
    }

    /// Kills all boxes at the same time, as a loss of power does.
    pub fn kill_all(&mut self) {
        for process in &mut self.boxes {
            process.child.kill().expect("the box can be killed");
        }
        for process in &mut self.boxes {
            process.child.wait().expect("the box has ended");
        }
    }

    /// Restarts a box that has ended, with the same settings.
    pub fn restart(&mut self, number: usize) {
        let process = &mut self.boxes[number];
        let line = format!("serve --config {}", process.settings.display());
        process.child = spawn(
            &split_arguments(&line),
            &process.settings.with_extension("log"),
        );
    }

    /// Sends a signal to a box.
    pub fn signal(&self, number: usize, signal: libc::c_int) {
        let id = self.boxes[number].child.id() as libc::pid_t;
        // SAFETY: the child was started here and has not been waited for, so its id is valid.
        assert_eq!(unsafe { libc::kill(id, signal) }, 0);
    }

    /// Returns the id of a box's process.
    pub fn process_id(&self, number: usize) -> u32 {
        self.boxes[number].child.id()
    }

    /// Returns true while a box's process has not ended.
    pub fn is_running(&mut self, number: usize) -> bool {
        let status = self.boxes[number].child.try_wait();
        status.expect("the status of the box is known").is_none()
    }

    /// Limits the file descriptors of a box from now on.
    pub fn limit_descriptors(&self, number: usize, count: usize) {
        let limit = libc::rlimit {
            rlim_cur: count as libc::rlim_t,
            rlim_max: count as libc::rlim_t,
        };
        let id = self.process_id(number) as libc::pid_t;
        let old = std::ptr::null_mut();
        // SAFETY: the child was started here and has not been waited for, and `limit` is readable.
        let result = unsafe { libc::prlimit(id, libc::RLIMIT_NOFILE, &raw const limit, old) };
        assert_eq!(result, 0, "{}", std::io::Error::last_os_error());
    }

    /// Waits for the end of a box and returns its exit code.
    pub fn wait_end(&mut self, number: usize) -> Option<i32> {
        let child = &mut self.boxes[number].child;
        let mut code = None;
        wait_for("the end of a box", || {
            let status = child.try_wait().expect("the status of the box is known");
            code = status.and_then(|s| s.code());
            status.is_some()
        });
        code
    }

    /// Opens a connection to a box, for a later request.
    pub fn connect(&self, number: usize) -> std::net::TcpStream {
        std::net::TcpStream::connect(self.boxes[number].web).expect("the box accepts connections")
    }
}

/// Requests the state of a job on an open connection and returns the answer.
pub fn show_job_on(stream: std::net::TcpStream, id: &str) -> String {
    let request = format!("GET {PATH}{id} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n\r\n");
    complete_request(stream, &request).unwrap_or_default()
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.boxes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::thread::panicking() {
            self.print_output();
            return;
        }
        if self.keeps_output {
            return;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
