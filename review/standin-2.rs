//! Stand-ins for the scripts of the second review: the platform's store, workers and clients, as
//! the users' pages describe them, and the scripts themselves. Only the standard library is used.
//!
//! `standin CASE RECORD` starts the boxes of a small deployment, plays the case, and exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the
//! disruption out; `KEEP=1` keeps the folder with the logs of the boxes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    fn parse(text: &str) -> Option<J> {
        let b = text.as_bytes();
        let mut at = 0;
        let v = value(b, &mut at)?;
        blanks(b, &mut at);
        (at == b.len()).then_some(v)
    }
    fn get(&self, name: &str) -> &J {
        match self {
            J::Obj(fields) => fields
                .iter()
                .find(|f| f.0 == name)
                .map_or(&J::Null, |f| &f.1),
            _ => &J::Null,
        }
    }
    fn str(&self) -> &str {
        match self {
            J::Str(s) => s,
            _ => "",
        }
    }
    fn num(&self) -> u64 {
        match self {
            J::Num(n) => *n as u64,
            _ => 0,
        }
    }
    fn arr(&self) -> &[J] {
        match self {
            J::Arr(a) => a,
            _ => &[],
        }
    }
}

fn blanks(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<J> {
    blanks(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                blanks(b, at);
                if b.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(J::Obj(fields));
                }
                let J::Str(name) = value(b, at)? else {
                    return None;
                };
                blanks(b, at);
                if b.get(*at)? != &b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, value(b, at)?));
                blanks(b, at);
                if b.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                blanks(b, at);
                if b.get(*at)? == &b']' {
                    *at += 1;
                    return Some(J::Arr(list));
                }
                list.push(value(b, at)?);
                blanks(b, at);
                if b.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'"' => return Some(J::Str(String::from_utf8(out).ok()?)),
                    b'\\' => {
                        let e = *b.get(*at)?;
                        *at += 1;
                        let c = match e {
                            b'n' => '\n',
                            b't' => '\t',
                            b'r' => '\r',
                            b'b' => '\u{8}',
                            b'f' => '\u{c}',
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?')
                            }
                            other => other as char,
                        };
                        out.extend(c.to_string().as_bytes());
                    }
                    c => out.push(c),
                }
            }
        }
        b't' if b[*at..].starts_with(b"true") => {
            *at += 4;
            Some(J::Bool(true))
        }
        b'f' if b[*at..].starts_with(b"false") => {
            *at += 5;
            Some(J::Bool(false))
        }
        b'n' if b[*at..].starts_with(b"null") => {
            *at += 4;
            Some(J::Null)
        }
        _ => {
            let from = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            std::str::from_utf8(&b[from..*at])
                .ok()?
                .parse()
                .ok()
                .map(J::Num)
        }
    }
}

/// Returns a JSON text literal.
fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn base64(bytes: &[u8]) -> String {
    const A: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for c in bytes.chunks(3) {
        let n = (c[0] as u32) << 16
            | (*c.get(1).unwrap_or(&0) as u32) << 8
            | *c.get(2).unwrap_or(&0) as u32;
        for i in 0..4 {
            match i <= c.len() {
                true => out.push(A[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }
    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

type Answer = Option<(u16, String)>;

fn percent_decode(text: &str) -> Option<String> {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' {
            let hex = std::str::from_utf8(b.get(i + 1..i + 3)?).ok()?;
            out.push(u8::from_str_radix(hex, 16).ok()?);
            i += 3;
        } else {
            out.push(b[i]);
            i += 1;
        }
    }
    String::from_utf8(out).ok()
}

fn read_message(r: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>, String)> {
    let mut first = String::new();
    if r.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((k, v)) = line.split_once(':') {
            headers.insert(k.trim().to_ascii_lowercase(), v.trim().to_string());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    r.read_exact(&mut body).ok()?;
    Some((
        first.trim_end().to_string(),
        headers,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

/// Serves requests on a listener, each connection in a thread of its own.
fn serve(listener: TcpListener, handle: Arc<dyn Fn(Request) -> Answer + Send + Sync>) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            let work = move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some((first, headers, body)) = read_message(&mut reader) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or("").to_string();
                    let target = words.next().unwrap_or("");
                    let (path, query) = target.split_once('?').unwrap_or((target, ""));
                    let pairs = query.split('&').filter_map(|p| p.split_once('='));
                    let mut decoded = HashMap::new();
                    let mut sound = true;
                    for (k, v) in pairs {
                        match percent_decode(v) {
                            Some(v) => drop(decoded.insert(k.to_string(), v)),
                            None => sound = false,
                        }
                    }
                    let request = Request {
                        method,
                        path: path.into(),
                        query: decoded,
                        headers,
                        body,
                    };
                    let answer = if sound {
                        handle(request)
                    } else {
                        Some((400, "{}".into()))
                    };
                    let Some((status, body)) = answer else {
                        thread::sleep(Duration::from_secs(8));
                        return;
                    };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if out
                        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
                        .is_err()
                    {
                        return;
                    }
                }
            };
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(work);
        }
    });
}

/// Makes one call on a connection of its own; `None` without a whole answer.
fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: u64,
) -> Option<(u16, String)> {
    let limit = Duration::from_millis(limit);
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}

/// Returns a listener on a free port of the loopback address.
fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Returns free ports for processes that bind them by themselves. They lie below those that the
/// system gives to outgoing connections.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut ports = Vec::new();
    while ports.len() < count {
        let next = u64::from(std::process::id()) * 41 + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + (next % 12_000) as u16));
        if TcpListener::bind(address).is_ok() {
            ports.push(address);
        }
    }
    ports
}

// ---------------------------------------------------------------- store

const ROW_BYTES: usize = 65_536;
const TX_BYTES: usize = 1_000_000;
const TX_ENTRIES: usize = 100;
const TX_MS: u64 = 5;
const READ_MS: u64 = 4;

#[derive(Default)]
struct StoreState {
    /// Base64 value and version by table, part and key; no value for a dropped row.
    rows: BTreeMap<(String, String, String), (Option<String>, u64)>,
    ver: u64,
    /// Transactions that were refused because they break a limit of the pages.
    over_limit: u64,
    down: bool,
}

#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    part: Arc<Mutex<()>>,
    address: SocketAddr,
    record: Record,
}

impl Store {
    fn start(record: Record) -> Self {
        let listener = listen();
        let store = Self {
            state: Arc::new((Mutex::new(StoreState::default()), Condvar::new())),
            part: Arc::default(),
            address: listener.local_addr().unwrap(),
            record,
        };
        let served = store.clone();
        serve(listener, Arc::new(move |r| served.handle(r)));
        store
    }

    /// Writes a row as the operator, a worker or another writer does.
    fn put(&self, table: &str, key: &str, value: &str) {
        let mut s = self.state.0.lock().unwrap();
        s.ver += 1;
        let ver = s.ver;
        s.rows.insert(
            (table.into(), "".into(), key.into()),
            (Some(base64(value.as_bytes())), ver),
        );
        self.state.1.notify_all();
    }

    fn handle(&self, r: Request) -> Answer {
        if self.state.0.lock().unwrap().down {
            return Some((503, "{}".into()));
        }
        match (r.method.as_str(), r.path.as_str()) {
            ("POST", "/rows-tx") => Some(self.transact(&r.body)),
            ("GET", "/rows-get") => {
                thread::sleep(Duration::from_millis(READ_MS));
                Some(self.read(&r.query))
            }
            ("GET", "/rows-feed") => Some(self.feed(&r.query)),
            _ => Some((404, "{}".into())),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let _turn = self.part.lock().unwrap();
        thread::sleep(Duration::from_millis(TX_MS));
        let Some(tx) = J::parse(body) else {
            return (400, "{}".into());
        };
        let key = |e: &J| {
            let text = |n: &str| e.get(n).str().to_string();
            (text("table"), text("part"), text("key"))
        };
        let lists = ["expectedRevision", "put", "remove"].map(|n| tx.get(n).arr());
        let entries: usize = lists.iter().map(|l| l.len()).sum();
        // Base64 has four characters for three bytes.
        let bytes = |e: &J| {
            let text = e.get("value").str();
            text.len() / 4 * 3 - text.bytes().rev().take_while(|c| *c == b'=').count()
        };
        let largest = lists[1].iter().map(|e| (bytes(e), key(e))).max();
        let mut s = self.state.0.lock().unwrap();
        if entries > TX_ENTRIES
            || body.len() > TX_BYTES
            || largest.as_ref().is_some_and(|l| l.0 > ROW_BYTES)
        {
            s.over_limit += 1;
            if s.over_limit <= 5 || s.over_limit % 50 == 0 {
                let (size, row) = largest.unwrap_or_default();
                self.record.say(format!("store: 400 to a transaction of {entries} entries, {} bytes; its largest value, {}/{}, has {size} bytes of {ROW_BYTES} (refusal {})", body.len(), row.0, row.2, s.over_limit));
            }
            return (400, "{\"error\":\"over the limits\"}".into());
        }
        for e in lists[0] {
            let now = s
                .rows
                .get(&key(e))
                .filter(|r| r.0.is_some())
                .map_or(0, |r| r.1);
            if now != e.get("ver").num() {
                let rows: Vec<String> = lists[0].iter().map(|e| row_json(&s, &key(e))).collect();
                return (
                    412,
                    format!(
                        "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                        rows.join(","),
                        s.ver,
                        self.record.ms()
                    ),
                );
            }
        }
        s.ver += 1;
        let ver = s.ver;
        for e in lists[1] {
            s.rows
                .insert(key(e), (Some(e.get("value").str().into()), ver));
        }
        for e in lists[2] {
            s.rows.insert(key(e), (None, ver));
        }
        self.state.1.notify_all();
        (
            200,
            format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.record.ms()),
        )
    }

    fn read(&self, q: &HashMap<String, String>) -> (u16, String) {
        let text = |n: &str| q.get(n).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(500usize).min(500);
        let s = self.state.0.lock().unwrap();
        let (table, part) = (text("table"), text("part"));
        let from = (table.clone(), part.clone(), text("from"));
        let rows = s
            .rows
            .range(from..)
            .take_while(|(k, _)| k.0 == table && k.1 == part);
        let keys: Vec<_> = rows
            .filter(|(_, r)| r.0.is_some())
            .map(|(k, _)| k)
            .take(limit + 1)
            .collect();
        let page: Vec<String> = keys.iter().take(limit).map(|k| row_json(&s, k)).collect();
        (
            200,
            format!(
                "{{\"rows\":[{}],\"more\":{},\"ver\":{},\"now_ms\":{}}}",
                page.join(","),
                keys.len() > limit,
                s.ver,
                self.record.ms()
            ),
        )
    }

    fn feed(&self, q: &HashMap<String, String>) -> (u16, String) {
        let number = |n: &str| q.get(n).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let (after, wait) = (number("after"), number("waitMs").min(30_000));
        let table = q.get("table").cloned().unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait);
        let mut s = self.state.0.lock().unwrap();
        loop {
            let mut changed: Vec<_> = s
                .rows
                .iter()
                .filter(|(k, r)| k.0 == table && r.1 > after)
                .collect();
            let now = Instant::now();
            if !changed.is_empty() || now >= end {
                changed.sort_by_key(|(_, r)| r.1);
                let rows: Vec<String> = changed.iter().map(|(k, _)| row_json(&s, k)).collect();
                return (
                    200,
                    format!(
                        "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                        rows.join(","),
                        s.ver,
                        self.record.ms()
                    ),
                );
            }
            s = self.state.1.wait_timeout(s, end - now).unwrap().0;
        }
    }
}

fn row_json(s: &StoreState, key: &(String, String, String)) -> String {
    let head = format!(
        "\"table\":{},\"part\":{},\"key\":{}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2)
    );
    match s.rows.get(key) {
        Some((Some(value), ver)) => format!("{{{head},\"value\":{},\"ver\":{ver}}}", quote(value)),
        Some((None, ver)) => format!("{{{head},\"gone\":true,\"ver\":{ver}}}"),
        None => format!("{{{head},\"ver\":0}}"),
    }
}

// ---------------------------------------------------------------- workers

/// Milliseconds from the start of a task that lasts until it is at work.
const READY_MS: u64 = 300;
/// Tail of an idle server in milliseconds, and the share of its time that a server is busy.
const IDLE_TAIL_MS: f64 = 10.0;
const OWN_LOAD: f64 = 0.45;

/// Returns how much what fills presses on what serves, by their images: each image that fills
/// presses on half of those that serve.
fn presses(serves: &str, fills: &str) -> f64 {
    let number = |image: &str| image.bytes().last().unwrap_or(0);
    if number(serves) % 2 == number(fills) % 2 {
        3.0
    } else {
        0.1
    }
}

/// What the harness knows of a task's step: milliseconds of work, cores and memory.
#[derive(Clone, Debug, Default)]
struct StepInfo {
    count: usize,
    ms: u64,
    cpu: u64,
    mem: u64,
    after: Vec<usize>,
    saves: bool,
    lasts: bool,
    /// Every run fails by the job's own fault.
    fails: bool,
    apart: usize,
    /// What the tasks run, the tail that they must stay under, and whether they fill.
    image: String,
    target_ms: u64,
    fills: bool,
    /// How many tasks may be away; no statement if none.
    may_miss: Option<usize>,
}

/// A run that a worker has begun.
#[derive(Clone, Debug)]
struct Run {
    task: String,
    run: u64,
    worker: String,
    began: u64,
    ended: Option<(u64, &'static str)>,
}

#[derive(Default)]
struct World {
    /// Steps of each job by its id.
    jobs: HashMap<String, Vec<StepInfo>>,
    runs: Vec<Run>,
    /// Ends that were taken note of: task and run.
    noted: BTreeSet<(String, u64)>,
    /// Rules that were broken.
    broken: Vec<String>,
    /// Orders that reached a worker or were held up, and starts among them that stay unanswered.
    orders: u64,
    unanswered: u64,
    /// Jobs whose cancelling was sent.
    cancelled: BTreeSet<String>,
}

/// Returns the step that a task belongs to: ID.K.STEP.
fn group(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |p| p.0)
}

struct Active {
    run: u64,
    index: usize,
    left_ms: f64,
    worked_ms: f64,
    saved: String,
    began: u64,
    resumed: bool,
    /// Share of full speed in percent, since when, and the work done before that.
    pace: u64,
    since: u64,
    before: f64,
}

struct Life {
    id: String,
    born: u64,
    started: Instant,
    fence: u64,
    deadline: u64,
    active: BTreeMap<String, Active>,
    closed: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    up: bool,
}

#[derive(Clone)]
struct Worker {
    number: usize,
    /// While true, starts are left unanswered and are carried out once it is false again.
    late: Arc<AtomicBool>,
    held: Arc<Mutex<Vec<Request>>>,
    address: SocketAddr,
    life: Arc<(Mutex<Life>, Condvar)>,
    world: Arc<Mutex<World>>,
    store: Store,
    record: Record,
    rules: Rules,
    hang: Arc<AtomicBool>,
}

/// Figures of the deployment.
#[derive(Clone, Copy)]
struct Rules {
    capacity: (u64, u64),
    max_hold: u64,
    save_ms: u64,
    restore_ms: u64,
    heartbeat: u64,
    guards: bool,
    /// Workers tell when they started, and come back under the id that they had.
    born: bool,
}

const SERVICE: &str = "packing";

impl Worker {
    fn start(
        number: usize,
        rules: Rules,
        store: &Store,
        world: &Arc<Mutex<World>>,
        record: &Record,
    ) -> Self {
        let listener = listen();
        let worker = Self {
            number,
            late: Arc::default(),
            held: Arc::default(),
            address: listener.local_addr().unwrap(),
            life: Arc::new((
                Mutex::new(Life::new(format!("worker-{:03}", 101 + number))),
                Condvar::new(),
            )),
            world: world.clone(),
            store: store.clone(),
            record: record.clone(),
            rules,
            hang: Arc::default(),
        };
        worker.register();
        let served = worker.clone();
        serve(listener, Arc::new(move |r| served.handle(r)));
        worker
    }

    fn id(&self) -> String {
        self.life.0.lock().unwrap().id.clone()
    }

    fn label(&self) -> String {
        format!("rack-{}", self.number / 8)
    }

    fn register(&self) {
        let id = self.id();
        let (cpu, mem) = self.rules.capacity;
        let seq = self.record.ms();
        let value = format!(
            "{{{}\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"hall-1\",\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{seq},\"capacity\":{{\"cpu\":{cpu},\"memMb\":{mem},\"gpu\":0}},\"labels\":[\"plain\",\"{}\"]}}",
            self.born(),
            self.address,
            self.label()
        );
        self.store.put("servers", &id, &value);
    }

    fn tick(&self) {
        let mut l = self.life.0.lock().unwrap();
        if l.up {
            self.end_due(&mut l);
        }
    }

    fn end(&self, l: &mut Life, task: &str, how: &'static str) {
        let Some(a) = l.active.remove(task) else {
            return;
        };
        let n = l.next_end;
        l.next_end += 1;
        l.closed.insert(task.into(), a.run);
        l.ends.push((n, task.into(), a.run, how, a.saved.clone()));
        let mut world = self.world.lock().unwrap();
        world.runs[a.index].ended = Some((self.record.ms(), how));
        drop(world);
        self.life.1.notify_all();
    }

    /// Lets the runs work until now, and ends those that are done or whose lease is over.
    fn end_due(&self, l: &mut Life) {
        let clock = l.clock();
        let now = self.record.ms();
        let lapsed = clock > l.deadline;
        let tasks: Vec<String> = l.active.keys().cloned().collect();
        for task in tasks {
            if lapsed {
                self.end(l, &task, "lapsed");
                continue;
            }
            let Some(a) = l.active.get_mut(&task) else {
                continue;
            };
            let mut since = a.before + (now - a.since) as f64 * a.pace as f64 / 100.0;
            if a.resumed {
                since = (since - self.rules.restore_ms as f64).max(0.0);
            }
            let (_, _, saves, _) = self.step_of(&task);
            if saves && since >= self.rules.save_ms as f64 {
                let total = a.worked_ms
                    + (since / self.rules.save_ms as f64).floor() * self.rules.save_ms as f64;
                a.saved = format!("{:08x}{}", total as u64, &task[8..16]);
            }
            if since >= a.left_ms {
                let how = if self.info(&task).fails {
                    "failed"
                } else {
                    "done"
                };
                self.end(l, &task, how);
            }
        }
    }

    fn info(&self, task: &str) -> StepInfo {
        let mut parts = task.split('.');
        let id = parts.next().unwrap_or("");
        let step: usize = parts.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let world = self.world.lock().unwrap();
        world
            .jobs
            .get(id)
            .and_then(|j| j.get(step))
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the tail of a task that serves: that of an idle server, longer by its own load and
    /// by what fills beside it.
    fn tail(&self, l: &Life, served: &StepInfo) -> u64 {
        let beside: f64 = l
            .active
            .iter()
            .map(|(task, a)| {
                let other = self.info(task);
                match other.fills {
                    true => {
                        presses(&served.image, &other.image) * (other.cpu * a.pace) as f64
                            / 100.0
                            / self.rules.capacity.0 as f64
                    }
                    false => 0.0,
                }
            })
            .sum();
        let busy = (OWN_LOAD + beside).min(0.97);
        (IDLE_TAIL_MS / (1.0 - busy)).round() as u64
    }

    /// Returns milliseconds of work, cores and memory, and whether the task saves and lasts.
    fn step_of(&self, task: &str) -> (u64, (u64, u64), bool, bool) {
        let mut parts = task.split('.');
        let id = parts.next().unwrap_or("");
        let step: usize = parts.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let world = self.world.lock().unwrap();
        let info = world
            .jobs
            .get(id)
            .and_then(|j| j.get(step))
            .cloned()
            .unwrap_or_default();
        let ms = if info.lasts { u64::MAX / 4 } else { info.ms };
        (
            ms,
            (if info.fills { 0 } else { info.cpu }, info.mem),
            info.saves,
            info.lasts,
        )
    }

    fn handle(&self, r: Request) -> Answer {
        self.world.lock().unwrap().orders += 1;
        if r.path == "/run-start"
            && self.late.load(Ordering::Relaxed)
            && self.life.0.lock().unwrap().up
        {
            let task = J::parse(&r.body)
                .map(|b| format!("{} run {}", b.get("task").str(), b.get("run").num()));
            self.record.say(format!(
                "worker {}: the start of {} stays unanswered",
                self.id(),
                task.unwrap_or_default()
            ));
            self.world.lock().unwrap().unanswered += 1;
            self.held.lock().unwrap().push(r);
            return None;
        }
        let (status, body) = self.carry_out(r)?;
        let born = self.born();
        match body.strip_prefix('{') {
            Some(rest) if rest.starts_with("\"clockMs\"") => {
                Some((status, format!("{{{born}{rest}")))
            }
            _ => Some((status, body)),
        }
    }

    /// Returns the field that tells when the worker started, if workers tell that here.
    fn born(&self) -> String {
        match self.rules.born {
            true => format!("\"born\":{},", self.life.0.lock().unwrap().born),
            false => String::new(),
        }
    }

    /// Ends the worker without a word; the next life starts under the same id `down` ms later, and
    /// carries out what was left unanswered.
    fn restart(&self, down: u64) {
        {
            let mut l = self.life.0.lock().unwrap();
            self.end_due(&mut l);
            l.up = false;
            let now = self.record.ms();
            let mut world = self.world.lock().unwrap();
            for a in l.active.values() {
                world.runs[a.index].ended = Some((now, "crashed"));
            }
            drop(world);
            l.active.clear();
            self.record.say(format!("worker {} crashes", l.id));
        }
        self.late.store(false, Ordering::Relaxed);
        let me = self.clone();
        thread::spawn(move || {
            pause(down);
            let id = me.id();
            *me.life.0.lock().unwrap() = Life::new(id.clone());
            me.record.say(format!("worker {id} is back under its id"));
            for r in me.held.lock().unwrap().drain(..) {
                let answer = me.carry_out(r);
                me.record
                    .say(format!("worker {id} carries out a held start: {answer:?}"));
            }
            me.register();
        });
    }

    fn carry_out(&self, r: Request) -> Answer {
        if self.hang.load(Ordering::Relaxed) || !self.life.0.lock().unwrap().up {
            return None;
        }
        let body = J::parse(&r.body).unwrap_or(J::Null);
        let mut l = self.life.0.lock().unwrap();
        if !l.up {
            return None;
        }
        if r.headers
            .get("x-expect-instance")
            .is_some_and(|i| *i != l.id)
        {
            return Some((421, "{}".into()));
        }
        self.end_due(&mut l);
        let fence = body.get("fence").num();
        if fence < l.fence {
            return Some((
                409,
                format!("{{\"clockMs\":{},\"reason\":\"fence\"}}", l.clock()),
            ));
        }
        l.fence = fence;
        let extend = |l: &mut Life| {
            let wanted = body
                .get("deadlineMs")
                .num()
                .min(l.clock() + self.rules.max_hold);
            l.deadline = l.deadline.max(wanted);
        };
        let (task, run) = (body.get("task").str().to_string(), body.get("run").num());
        let refuse = |l: &Life, reason: &str| {
            self.record.say(format!(
                "worker {}: start of {task} run {run} refused: {reason}",
                l.id
            ));
            Some((
                409,
                format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", l.clock()),
            ))
        };
        match r.path.as_str() {
            "/run-start" => {
                if l.active.get(&task).is_some_and(|a| a.run == run) {
                    extend(&mut l);
                    return Some((200, format!("{{\"clockMs\":{}}}", l.clock())));
                }
                if l.closed.get(&task).is_some_and(|c| run <= *c) || l.active.contains_key(&task) {
                    extend(&mut l);
                    return refuse(&l, "old");
                }
                if body.get("deadlineMs").num() <= l.clock() {
                    return refuse(&l, "late");
                }
                let (ms, need, _, _) = self.step_of(&task);
                let (mut cpu, mut mem) = need;
                for other in l.active.keys() {
                    let (_, used, _, _) = self.step_of(other);
                    cpu += used.0;
                    mem += used.1;
                }
                extend(&mut l);
                if self.rules.guards && (cpu > self.rules.capacity.0 || mem > self.rules.capacity.1)
                {
                    return refuse(&l, "room");
                }
                let saved = body.get("lastCheckpoint").str().to_string();
                let worked = saved
                    .get(..8)
                    .and_then(|h| u64::from_str_radix(h, 16).ok())
                    .unwrap_or(0);
                let began = self.record.ms();
                let mut world = self.world.lock().unwrap();
                if let Some(other) = world
                    .runs
                    .iter()
                    .find(|o| o.task == task && o.ended.is_none())
                    .cloned()
                {
                    let text = format!(
                        "TWICE: start of {task} run {run} on {} at {began} while run {} is at work on {} since {}",
                        l.id, other.run, other.worker, other.began
                    );
                    self.record.say(&text);
                    world.broken.push(text);
                }
                let index = world.runs.len();
                world.runs.push(Run {
                    task: task.clone(),
                    run,
                    worker: l.id.clone(),
                    began,
                    ended: None,
                });
                drop(world);
                let (left_ms, resumed) = ((ms.saturating_sub(worked)) as f64, worked > 0);
                l.active.insert(
                    task,
                    Active {
                        run,
                        index,
                        left_ms,
                        worked_ms: worked as f64,
                        saved,
                        began,
                        resumed,
                        pace: 100,
                        since: began,
                        before: 0.0,
                    },
                );
                Some((200, format!("{{\"clockMs\":{}}}", l.clock())))
            }
            "/run-stop" => {
                if l.active.get(&task).is_some_and(|a| a.run <= run) {
                    let at_work = l
                        .active
                        .get(&task)
                        .is_some_and(|a| self.record.ms() >= a.began + READY_MS);
                    if at_work {
                        self.world.lock().unwrap().check_stop(&task, &self.record);
                    }
                    self.end(&mut l, &task, "stopped");
                }
                let closed = l.closed.entry(task).or_insert(0);
                *closed = run.max(*closed);
                Some((200, format!("{{\"clockMs\":{}}}", l.clock())))
            }
            "/pace" => {
                let now = self.record.ms();
                if let Some(a) = l.active.get_mut(&task).filter(|a| a.run == run) {
                    a.before += (now - a.since) as f64 * a.pace as f64 / 100.0;
                    (a.since, a.pace) = (now, body.get("percent").num().min(100));
                }
                Some((200, format!("{{\"clockMs\":{}}}", l.clock())))
            }
            "/hold" => {
                extend(&mut l);
                let seen = body.get("lastSeen").num();
                let noted: Vec<(String, u64)> = l
                    .ends
                    .iter()
                    .filter(|e| e.0 <= seen)
                    .map(|e| (e.1.clone(), e.2))
                    .collect();
                self.world.lock().unwrap().noted.extend(noted);
                l.ends.retain(|e| e.0 > seen);
                let until =
                    Instant::now() + Duration::from_millis(body.get("waitMs").num().min(2_000));
                let id = l.id.clone();
                while l.ends.is_empty() && Instant::now() < until && l.id == id && l.up {
                    l = self
                        .life
                        .1
                        .wait_timeout(l, Duration::from_millis(20))
                        .unwrap()
                        .0;
                }
                if l.id != id || !l.up {
                    drop(l);
                    return None;
                }
                self.end_due(&mut l);
                let now = self.record.ms();
                let running: Vec<String> = l
                    .active
                    .iter()
                    .map(|(task, a)| {
                        let done = ((now - a.began) as f64 / a.left_ms.max(1.0) * 100.0) as u64;
                        let info = self.info(task);
                        let ready = now >= a.began + READY_MS;
                        let percent = if info.lasts {
                            if ready { 100 } else { 50 }
                        } else {
                            done.min(99)
                        };
                        let gauge = match info.target_ms {
                            0 => info.cpu * a.pace / 100,
                            _ if ready => self.tail(&l, &info),
                            _ => 0,
                        };
                        format!("[\"{task}\",{},\"{}\",{percent},{gauge}]", a.run, a.saved)
                    })
                    .collect();
                let ends: Vec<String> = l
                    .ends
                    .iter()
                    .take(500)
                    .map(|e| format!("[{},\"{}\",{},\"{}\",\"{}\"]", e.0, e.1, e.2, e.3, e.4))
                    .collect();
                Some((
                    200,
                    format!(
                        "{{\"clockMs\":{},\"running\":[{}],\"finished\":[{}]}}",
                        l.clock(),
                        running.join(","),
                        ends.join(",")
                    ),
                ))
            }
            _ => Some((404, "{}".into())),
        }
    }
}

impl Life {
    fn new(id: String) -> Self {
        Self {
            id,
            born: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            deadline: 0,
            active: BTreeMap::new(),
            closed: HashMap::new(),
            ends: Vec::new(),
            next_end: 1,
            up: true,
        }
    }
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Milliseconds after which a task that isn't at work counts as away, whatever the cause.
const NOTICE_MS: u64 = 4_500;

impl World {
    /// Checks the stop of a task that lasts: how many others of its step are away.
    fn check_stop(&mut self, task: &str, record: &Record) {
        let id = task.split('.').next().unwrap_or("").to_string();
        let step: usize = task
            .split('.')
            .nth(2)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let Some(info) = self.jobs.get(&id).map(|j| j[step].clone()) else {
            return;
        };
        let Some(most) = info.may_miss.filter(|_| !self.cancelled.contains(&id)) else {
            return;
        };
        let now = record.ms();
        let mut away = Vec::new();
        for n in 0..info.count {
            let other = format!("{}.{n}", group(task));
            if other == task {
                continue;
            }
            let runs: Vec<&Run> = self.runs.iter().filter(|r| r.task == other).collect();
            let Some(last) = runs.last() else { continue };
            let at_work = last.ended.is_none() && now >= last.began + READY_MS;
            let ended = if last.ended.is_some() {
                Some(*last)
            } else {
                runs.iter().rev().nth(1).copied()
            };
            let Some((at, how)) = ended.and_then(|r| r.ended) else {
                continue;
            };
            if !at_work && (how == "stopped" || now >= at + NOTICE_MS) {
                away.push(format!("{other} ({how} at {at})"));
            }
        }
        if away.len() >= most.max(1) || most == 0 {
            let text = format!(
                "AVAIL: stop of {task} at {now}, may_miss {most}, while away: {}",
                away.join(", ")
            );
            record.say(&text);
            self.broken.push(text);
        }
    }
}

/// Lets the runs of all workers end in time, and writes their entries each heartbeat.
fn drive(workers: &[Worker]) {
    let workers = workers.to_vec();
    thread::spawn(move || {
        let mut beat = Instant::now();
        loop {
            for w in &workers {
                w.tick();
            }
            if beat.elapsed() > Duration::from_millis(workers[0].rules.heartbeat) {
                beat = Instant::now();
                for w in workers.iter().filter(|w| w.life.0.lock().unwrap().up) {
                    w.register();
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    });
}

// ---------------------------------------------------------------- boxes

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

struct BoxProcess {
    web: SocketAddr,
    admin: SocketAddr,
    child: Child,
}

impl BoxProcess {
    fn start(number: usize, folder: &Path, store: SocketAddr) -> Self {
        let p = free_ports(4);
        let text = format!(
            "[box]\nname = \"box-{number}\"\nhall = \"hall-1\"\ncores = 0.25\ndescriptors = 4100\nweb = \"{}\"\nadmin = \"{}\"\nrpc = \"{}\"\nmetrics = \"{}\"\n\n[platform]\nstore = \"{store}\"\ndrain = \"2000ms\"\ngrace = \"6s\"\nlongest-lease = \"6000ms\"\nheartbeat = \"1100ms\"\nlongest-over = \"4000ms\"\nfar-factor = 2\n\n[jobs]\nremember = \"120s\"\n\n[mechanisms]\nadmission = true\nshares = true\nlearning = true\ncopies = false\nspreading = true\nsnapshot = true\n\n[log]\nformat = \"text\"\nlevel = \"info\"\n",
            p[0], p[1], p[2], p[3]
        );
        let settings = folder.join(format!("box-{number}.conf"));
        std::fs::write(&settings, text).unwrap();
        let log = folder.join(format!("box-{number}.log"));
        let child = Self::spawn(&settings, &log);
        Self {
            web: p[0],
            admin: p[1],
            child,
        }
    }

    fn spawn(settings: &Path, log: &Path) -> Child {
        use std::os::unix::process::CommandExt;
        let end_with_parent = || {
            // SAFETY: `prctl` is safe to call between fork and exec; 1 is PR_SET_PDEATHSIG, 9 SIGKILL.
            unsafe { prctl(1, 9) };
            Ok(())
        };
        let out = File::options().create(true).append(true).open(log).unwrap();
        let error = out.try_clone().unwrap();
        let mut command = Command::new("target/release/willowpoint");
        command.args(["serve", "--config"]).arg(settings);
        command.stdin(Stdio::null()).stdout(out).stderr(error);
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe { command.pre_exec(end_with_parent) };
        command.spawn().unwrap_or_else(|e| {
            println!("the program of the deploy file doesn't start: {e}");
            std::process::exit(2)
        })
    }

    fn ready(&self) -> bool {
        call(self.admin, "GET", "/ready", "x", "", 500).is_some_and(|a| a.0 == 200)
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------- deployment

const HOST: &str = "jobs.test";
const PATH: &str = "/pack/";

struct Deployment {
    record: Record,
    store: Store,
    world: Arc<Mutex<World>>,
    workers: Vec<Worker>,
    boxes: Vec<BoxProcess>,
    folder: PathBuf,
    next_box: AtomicU64,
}

impl Deployment {
    fn start(
        record: Record,
        boxes: usize,
        workers: usize,
        rules: Rules,
        before: impl FnOnce(&Store),
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("wp-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = Store::start(record.clone());
        store.put("op", "config", &format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"pack\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PATH}\",\"type\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\"stretch\":2.0}}],\"services\":[{{\"name\":\"{SERVICE}\",\"enforcesCapacity\":{}}}],\"limits\":{{}}}}",
            rules.guards
        ));
        before(&store);
        let world: Arc<Mutex<World>> = Arc::default();
        let workers: Vec<Worker> = (0..workers)
            .map(|n| Worker::start(n, rules, &store, &world, &record))
            .collect();
        drive(&workers);
        let boxes: Vec<BoxProcess> = (0..boxes)
            .map(|n| BoxProcess::start(n, &folder, store.address))
            .collect();
        let mut d = Self {
            record,
            store,
            world,
            workers,
            boxes,
            folder,
            next_box: AtomicU64::new(0),
        };
        let until = Instant::now() + Duration::from_secs(15);
        while !d.boxes.iter().all(BoxProcess::ready) {
            if Instant::now() > until {
                d.finish(2, "couldn't run: not all boxes became ready within 15 s");
            }
            for n in 0..d.boxes.len() {
                // Another process may have taken one of its ports meanwhile.
                if matches!(d.boxes[n].child.try_wait(), Ok(Some(_))) {
                    d.boxes[n] = BoxProcess::start(n, &d.folder, d.store.address);
                }
            }
            pause(50);
        }
        d.record.say("all boxes are ready");
        d
    }

    fn front(&self) -> SocketAddr {
        let n = self.next_box.fetch_add(1, Ordering::Relaxed) as usize;
        self.boxes[n % self.boxes.len()].web
    }

    /// Hands a job in, with up to four retries at other boxes after silence, 502, 504, 429 or 503.
    fn submit(&self, id: &str, spec: &str, steps: &[StepInfo], extra: &str) -> bool {
        self.world
            .lock()
            .unwrap()
            .jobs
            .insert(id.into(), steps.to_vec());
        let texts: Vec<String> = steps
            .iter()
            .map(|s| {
                let mut t = format!(
                    "{{\"count\":{},\"cpu\":{},\"memMb\":{},\"estimateMs\":{}",
                    s.count, s.cpu, s.mem, s.ms
                );
                if !s.after.is_empty() {
                    t += &format!(",\"after\":{:?}", s.after);
                }
                for (set, name) in [(s.saves, "savesProgress"), (s.lasts, "persistent")] {
                    if set {
                        t += &format!(",\"{name}\":true");
                    }
                }
                if s.apart > 0 {
                    t += &format!(",\"antiAffinity\":{}", s.apart);
                }
                if !s.image.is_empty() {
                    t += &format!(",\"image\":\"{}\"", s.image);
                }
                if s.target_ms > 0 {
                    t += &format!(",\"target_ms\":{}", s.target_ms);
                }
                if s.fills {
                    t += ",\"fills\":true";
                }
                if let Some(n) = s.may_miss {
                    t += &format!(",\"may_miss\":{n}");
                }
                t + "}"
            })
            .collect();
        let body = format!(
            "{{\"spec\":{},\"steps\":[{}]{extra}}}",
            quote(spec),
            texts.join(",")
        );
        for attempt in 0..5 {
            let answer = call(
                self.front(),
                "POST",
                &format!("{PATH}{id}"),
                HOST,
                &body,
                3_000,
            );
            let status = answer.as_ref().map_or(0, |a| a.0);
            self.record.say(format!(
                "POST {id} ({} tasks) attempt {}: {}",
                steps.iter().map(|s| s.count).sum::<usize>(),
                attempt + 1,
                if status == 0 {
                    "no answer".into()
                } else {
                    status.to_string()
                }
            ));
            match status {
                200..=299 => return true,
                0 | 502 | 504 | 429 | 503 => thread::sleep(Duration::from_millis(300)),
                _ => return false,
            }
        }
        false
    }

    /// Asks for a job's state; the status where there is none, `None` without an answer.
    fn state(&self, id: &str) -> Option<String> {
        let (status, body) = call(self.front(), "GET", &format!("{PATH}{id}"), HOST, "", 3_000)?;
        let body = J::parse(&body).unwrap_or(J::Null);
        Some(match status {
            200 => body.get("state").str().to_string(),
            other => other.to_string(),
        })
    }

    fn cancel(&self, id: &str) -> u16 {
        self.world.lock().unwrap().cancelled.insert(id.into());
        let answer = call(
            self.front(),
            "DELETE",
            &format!("{PATH}{id}"),
            HOST,
            "",
            3_000,
        );
        let status = answer.map_or(0, |a| a.0);
        self.record.say(format!("DELETE {id}: {status}"));
        status
    }

    /// Ends all processes, writes the runs to the record and exits.
    fn finish(self, code: i32, verdict: &str) -> ! {
        {
            let world = self.world.lock().unwrap();
            self.record.say("all runs, by their start:");
            for r in &world.runs {
                let end = r
                    .ended
                    .map_or("at work".into(), |e| format!("{} at {}", e.1, e.0));
                let text = format!(
                    "{} run {} on {} from {}: {end}",
                    r.task, r.run, r.worker, r.began
                );
                self.record.say(text);
            }
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            for r in &world.runs {
                *counts
                    .entry(r.ended.map_or("at work", |e| e.1))
                    .or_default() += 1;
            }
            self.record
                .say(format!("{} runs in all: {counts:?}", world.runs.len()));
        }
        self.record.say(format!("verdict: {verdict}"));
        println!("{verdict}");
        let folder = self.folder.clone();
        if std::env::var("KEEP").is_err() {
            drop(self);
            let _ = std::fs::remove_dir_all(folder);
        } else {
            println!("{}", folder.display());
            drop(self);
        }
        std::process::exit(code);
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- cases

const RULES: Rules = Rules {
    capacity: (16_000, 64_000),
    max_hold: 6_000,
    save_ms: 1_000,
    restore_ms: 250,
    heartbeat: 1_100,
    guards: true,
    born: false,
};

fn job_id(n: u64) -> String {
    format!("{:016x}", 0x0a0b_0c0d_0e0f_0000u64 + n)
}

/// Returns when each job's longest span began in which nothing of it ran although the turn of one
/// of its steps had come, its length, and the processors in use by all runs that touch that span.
fn longest_idle(d: &Deployment, id: &str, accepted: u64) -> (u64, u64, u64) {
    let world = d.world.lock().unwrap();
    let steps = &world.jobs[id];
    let now = d.record.ms();
    let mut worst = (accepted, 0);
    let mut turn = accepted;
    for (step, info) in steps.iter().enumerate() {
        let prefix = format!("{id}.0.{step}.");
        let runs = || world.runs.iter().filter(|r| r.task.starts_with(&prefix));
        let first = runs().map(|r| r.began).min().unwrap_or(now);
        let idle = first.saturating_sub(turn);
        if idle > worst.1 {
            worst = (turn, idle);
        }
        let done: BTreeSet<&str> = runs()
            .filter(|r| r.ended.is_some_and(|e| e.1 == "done"))
            .map(|r| r.task.as_str())
            .collect();
        if done.len() < info.count {
            break;
        }
        turn = runs()
            .filter_map(|r| r.ended)
            .map(|e| e.0)
            .max()
            .unwrap_or(now);
    }
    let (from, to) = (worst.0, worst.0 + worst.1);
    let cpu = |r: &Run| {
        world.jobs[&r.task[..16]][r.task.split('.').nth(2).unwrap().parse::<usize>().unwrap()].cpu
    };
    let touching = world
        .runs
        .iter()
        .filter(|r| r.began < to && r.ended.is_none_or(|e| e.0 > from));
    (worst.0, worst.1, touching.map(cpu).sum())
}

/// Writes one line for each job: its runs by step, with the first start and the last end.
fn record_jobs(d: &Deployment, jobs: &[(String, u64)]) {
    for (id, accepted) in jobs {
        let world = d.world.lock().unwrap();
        let steps = world.jobs[id].len();
        let mut text = format!("job {id}, accepted at {accepted}:");
        for step in 0..steps {
            let prefix = format!("{id}.0.{step}.");
            let runs: Vec<&Run> = world
                .runs
                .iter()
                .filter(|r| r.task.starts_with(&prefix))
                .collect();
            let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
            for r in &runs {
                *ends.entry(r.ended.map_or("at work", |e| e.1)).or_default() += 1;
            }
            let first = runs.iter().map(|r| r.began).min();
            let last = runs.iter().filter_map(|r| r.ended).map(|e| e.0).max();
            text += &format!(
                " step {step}: {} runs {ends:?}, first start {first:?}, last end {last:?};",
                runs.len()
            );
        }
        drop(world);
        d.record.say(text);
    }
}

/// Hands in two small jobs a second for `span` ms, waits for `finish` ms, and returns the jobs that
/// stood still.
fn small_jobs(d: &Deployment, span: u64, finish: u64) -> (usize, Vec<String>) {
    let mut small = Vec::new();
    let end = d.record.ms() + span;
    let mut n = 0;
    while d.record.ms() < end {
        n += 1;
        let id = job_id(1_000 + n);
        let part = StepInfo {
            count: 4,
            ms: 800,
            cpu: 500,
            mem: 256,
            ..Default::default()
        };
        let parts = [
            part.clone(),
            StepInfo {
                after: vec![0],
                ..part
            },
        ];
        if d.submit(&id, "small", &parts, "") {
            small.push((id, d.record.ms()));
        }
        pause(400);
    }
    pause(finish);
    let broken = idle_jobs(d, &small);
    (small.len(), broken)
}

/// Returns what to say of the jobs that had nothing running for over 3 s although the turn of a step
/// had come and under half of the processors were in use.
fn idle_jobs(d: &Deployment, jobs: &[(String, u64)]) -> Vec<String> {
    record_jobs(d, jobs);
    let mut broken = Vec::new();
    for (id, at) in jobs {
        let (from, idle, used) = longest_idle(d, id, *at);
        let capacity = RULES.capacity.0 * d.workers.len() as u64;
        if idle > 3_000 && used * 2 < capacity {
            broken.push(format!("job {id} had nothing running for {idle} ms from {from} on while the turn of a step had come, with at most {used} of {capacity} thousandths of cores in use"));
        }
    }
    for text in &broken {
        d.record.say(text);
    }
    broken
}

/// Jobs come that can never be done, beside sound ones.
fn hopeless_jobs(record: Record, trouble: bool) -> ! {
    let d = Deployment::start(record, 3, 66, RULES, |_| {});
    pause(1_000);
    // With TROUBLE=0 the same jobs can be done.
    let step = StepInfo {
        count: 32,
        ms: 150,
        cpu: 1_800,
        mem: 3_200,
        fails: trouble,
        ..Default::default()
    };
    let mut sound = Vec::new();
    for n in 0..6 {
        d.submit(&job_id(n), "hopeless", &vec![step.clone(); 3], "");
        for k in 0..6 {
            let id = job_id(3_000 + n * 100 + k);
            let part = StepInfo {
                count: 4,
                ms: 800,
                cpu: 500,
                mem: 256,
                ..Default::default()
            };
            if d.submit(&id, "sound", &[part], "") {
                sound.push((id, d.record.ms()));
            }
            pause(240);
        }
    }
    let (count, mut broken) = small_jobs(&d, 20_000, 14_000);
    broken.extend(idle_jobs(&d, &sound));
    match broken.len() {
        0 => d.finish(0, "held: no sound job stood still for 3 s"),
        n => d.finish(
            1,
            &format!(
                "broken: {n} of {} accepted sound jobs stood still for over 3 s; the first: {}",
                count + sound.len(),
                broken[0]
            ),
        ),
    }
}

/// Workers leave starts unanswered, restart under their ids, and carry the starts out then.
fn late_start(record: Record, trouble: bool) -> ! {
    let rules = Rules {
        born: true,
        ..RULES
    };
    let d = Deployment::start(record, 3, 10, rules, |_| {});
    pause(1_000);
    let mut jobs = Vec::new();
    for n in 0..100u64 {
        let id = job_id(1_000 + n);
        let part = StepInfo {
            count: 3,
            ms: 5_000,
            cpu: 800,
            mem: 256,
            ..Default::default()
        };
        let worker = &d.workers[(n / 20) as usize * 2];
        if trouble && n % 20 == 3 {
            let mut world = d.world.lock().unwrap();
            (world.orders, world.unanswered) = (0, 0);
            drop(world);
            worker.late.store(true, Ordering::Relaxed);
        }
        if trouble && n % 20 == 14 {
            let world = d.world.lock().unwrap();
            let (all, held) = (world.orders, world.unanswered);
            drop(world);
            d.record.say(format!(
                "in 5.5 s {held} of {all} orders stayed unanswered and are carried out late"
            ));
        }
        if d.submit(&id, "small", &[part], "") {
            jobs.push((id, d.record.ms()));
        }
        if trouble && n % 20 == 5 {
            worker.restart(5_400);
        }
        pause(500);
    }
    pause(14_000);
    record_jobs(&d, &jobs);
    let broken: Vec<String> = d
        .world
        .lock()
        .unwrap()
        .broken
        .iter()
        .filter(|b| b.starts_with("TWICE"))
        .cloned()
        .collect();
    match broken.len() {
        0 => d.finish(0, "held: no task ran twice at the same time"),
        n => d.finish(1, &format!("broken {n} times; the first: {}", broken[0])),
    }
}

/// Another writer keeps copies of entries in the directory, under keys with blanks.
fn foreign_entries(record: Record, trouble: bool) -> ! {
    let d = Deployment::start(record, 3, 66, RULES, |store| {
        for n in 0..66 {
            for day in ["2026-12-01", "2026-12-02"] {
                let key = match trouble {
                    true => format!("Copy {day} of rack {} no. {n}", n / 8),
                    false => format!("Copy-{day}-of-rack-{}-no.-{n}", n / 8),
                };
                store.put(
                    "servers",
                    &key,
                    "{\"state\":\"copy\",\"service\":\"inventory\"}",
                );
            }
        }
    });
    d.record.say(format!(
        "132 entries of another writer are in the table servers, keys like {:?}",
        if trouble {
            "Copy 2026-12-01 of rack 0 no. 0"
        } else {
            "Copy-2026-12-01-of-rack-0-no.-0"
        }
    ));
    pause(1_000);
    let mut jobs = Vec::new();
    for n in 0..20u64 {
        let id = job_id(1_000 + n);
        let part = StepInfo {
            count: 4,
            ms: 800,
            cpu: 500,
            mem: 256,
            ..Default::default()
        };
        if d.submit(&id, "small", &[part], "") {
            jobs.push((id, d.record.ms()));
        }
        pause(400);
    }
    // By `finish_s` after the end of the traffic, sound jobs have long ended.
    pause(14_000);
    record_jobs(&d, &jobs);
    let mut broken = Vec::new();
    for (id, at) in &jobs {
        let state = d.state(id).unwrap_or("no answer".into());
        d.record.say(format!("GET {id}: {state}"));
        let (from, idle, used) = longest_idle(&d, id, *at);
        if idle > 3_000 && used * 2 < RULES.capacity.0 * 66 {
            broken.push(format!("job {id} had nothing running for {idle} ms from {from} on, with at most {used} thousandths of cores in use; it is shown as {state}"));
        }
    }
    for text in &broken {
        d.record.say(text);
    }
    match broken.len() {
        0 => d.finish(0, "held: no job stood still for 3 s"),
        n => d.finish(
            1,
            &format!(
                "broken: {n} of {} accepted jobs stood still for over 3 s; the first: {}",
                jobs.len(),
                broken[0]
            ),
        ),
    }
}

/// Jobs that fill come at once beside jobs that last, of whose steps one task may be away.
fn filler_burst(record: Record, trouble: bool) -> ! {
    let d = Deployment::start(record, 3, 16, RULES, |_| {});
    pause(1_000);
    let images = ["serve-0", "serve-1", "serve-2", "serve-3"];
    let mut n = 0;
    let mut serve = |image: usize, apart: usize| {
        n += 1;
        let id = job_id(n);
        let step = StepInfo {
            count: 6,
            cpu: 3_200,
            mem: 6_400,
            lasts: true,
            image: images[image % 4].into(),
            target_ms: 50,
            may_miss: Some(1),
            apart,
            ..Default::default()
        };
        d.submit(&id, "serves", &[step], "");
        pause(150);
        id
    };
    // What serves fills the workers; the tasks of every other job run on different workers.
    let mut jobs: Vec<(String, usize)> = (0..13).map(|n| (serve(n, n % 2), n)).collect();
    pause(2_000);
    // Some jobs are cancelled, and others come in their place.
    for k in 0..6 {
        let (id, image) = jobs.remove(k);
        d.cancel(&id);
        pause(700);
        serve(image + 1, k % 2);
    }
    pause(5_000);
    let mut fills = Vec::new();
    if trouble {
        d.record.say("the jobs that fill come");
        // A burst of 4 s, and then the usual rate for 6 s.
        for n in 0..25u64 {
            let id = job_id(5_000 + n);
            let step = StepInfo {
                count: 16,
                ms: 2_000,
                cpu: 1_800,
                mem: 3_200,
                fills: true,
                image: format!("fill-{}", n % 2),
                ..Default::default()
            };
            if d.submit(&id, "fills", &[step], "") {
                fills.push((id, d.record.ms()));
            }
            pause(if n < 16 { 240 } else { 660 });
        }
    } else {
        pause(10_000);
    }
    pause(15_000);
    record_jobs(&d, &fills);
    let broken: Vec<String> = d
        .world
        .lock()
        .unwrap()
        .broken
        .iter()
        .filter(|b| b.starts_with("AVAIL"))
        .cloned()
        .collect();
    match broken.len() {
        0 => d.finish(0, "held: no step had more tasks away than it may miss"),
        n => d.finish(1, &format!("broken {n} times; the first: {}", broken[0])),
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        println!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::new(Path::new(path));
    record.say(format!("case {case} with TROUBLE={}", u8::from(trouble)));
    match case.as_str() {
        "hopeless-jobs" => hopeless_jobs(record, trouble),
        "late-start" => late_start(record, trouble),
        "foreign-entries" => foreign_entries(record, trouble),
        "filler-burst" => filler_burst(record, trouble),
        _ => std::process::exit(2),
    }
}
