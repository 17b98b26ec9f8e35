//! Stand-ins of the users' store, workers and clients, and the scenarios of the scripts in this
//! folder. They follow the users' PROTOCOL.md; comments name the section that a behavior is from.
//! Standard library only; `build.sh` compiles it with rustc.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- limits of the pages

/// Largest row: `platform.row_bytes` of the settings.
const ROW_BYTES: usize = 65_536;
/// Most entries of a transaction, and its size.
const MAX_ENTRIES: usize = 100;
const MAX_TX_BYTES: usize = 1_000_000;
/// Time of a transaction: `platform.tx_ms`.
const TX_MS: u64 = 5;
/// `heartbeatMs`.
const BEAT_MS: u64 = 1_100;
/// `bounds.maxHoldMs`.
const MAX_HOLD_MS: u64 = 6_000;
/// `bounds.save_s`.
const SAVE_MS: u64 = 1_000;
/// Time that a stop takes; `bounds.stop_ms` allows 900.
const STOP_MS: u64 = 100;
/// `bounds.contactMs` and the 4 s of the rule LOST: calm before a judged span.
const CALM_MS: u64 = 7_000;
/// Longest time of a script.
const LIMIT_S: u64 = 110;
/// `bounds.finish_s`.
const FINISH_MS: u64 = 14_000;
/// Boxes and workers of the site recoge-ya, with the thousandths of cores and the MB of a worker.
const BOXES: usize = 6;
const WORKERS: usize = 66;
const WORKER_CPU: u64 = 16_000;
const WORKER_MEM: u64 = 64_000;
/// Workers that crash at once: 0.27 of them. The largest share of `srv_crash` in the site file is
/// 0.14.
const CRASHED: usize = 18;
/// `node_cut` of workers: `for_s` of the site file.
const CUT_MS: u64 = 5_500;

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    fn get(&self, name: &str) -> &J {
        static NULL: J = J::Null;
        match self {
            J::Obj(fields) => fields.iter().find(|f| f.0 == name).map_or(&NULL, |f| &f.1),
            _ => &NULL,
        }
    }
    fn text(&self) -> &str {
        match self {
            J::Str(s) => s,
            _ => "",
        }
    }
    fn num(&self) -> Option<u64> {
        match self {
            J::Num(n) => Some(*n as u64),
            _ => None,
        }
    }
    fn list(&self) -> &[J] {
        match self {
            J::Arr(items) => items,
            _ => &[],
        }
    }
    fn write(&self, out: &mut String) {
        match self {
            J::Null => out.push_str("null"),
            J::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            J::Num(n) if n.fract() == 0.0 => out.push_str(&format!("{}", *n as i64)),
            J::Num(n) => out.push_str(&format!("{n}")),
            J::Str(s) => {
                out.push('"');
                for c in s.chars() {
                    match c {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
                        c => out.push(c),
                    }
                }
                out.push('"');
            }
            J::Arr(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            J::Obj(fields) => {
                out.push('{');
                for (i, (name, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    J::Str(name.clone()).write(out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

impl std::fmt::Display for J {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut out = String::new();
        self.write(&mut out);
        f.write_str(&out)
    }
}

fn s(text: impl Into<String>) -> J {
    J::Str(text.into())
}
fn n(number: u64) -> J {
    J::Num(number as f64)
}
fn obj(fields: Vec<(&str, J)>) -> J {
    J::Obj(fields.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

fn parse_json(bytes: &[u8]) -> Option<J> {
    let mut at = 0;
    let value = parse_value(bytes, &mut at)?;
    Some(value)
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<J> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(J::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_string(b, at)?;
                        skip(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(J::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(b, at)?),
                }
            }
        }
        b'"' => parse_string(b, at).map(J::Str),
        b't' => {
            *at += 4;
            Some(J::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(J::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(J::Null)
        }
        _ => {
            let from = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[from..*at]).ok()?;
            text.parse().ok().map(J::Num)
        }
    }
}

fn parse_string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let c = *b.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let e = *b.get(*at)?;
                *at += 1;
                match e {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend(c.to_string().as_bytes());
                    }
                    e => out.push(e),
                }
            }
            c => out.push(c),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const T: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let v = (u32::from(chunk[0]) << 16) | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8) | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(T[(v >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Returns the number of bytes that a Base64 text stands for.
fn decoded_len(text: &str) -> usize {
    let padding = text.bytes().rev().take_while(|b| *b == b'=').count();
    text.len() / 4 * 3 - padding
}

// ---------------------------------------------------------------- HTTP

struct Req {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

/// Reads a request; `None` when the connection has ended.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Req> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let method = parts.next()?.to_string();
    let target = parts.next()?.to_string();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|p| p.split_once('='));
    let query = query.map(|(k, v)| (k.to_string(), v.replace("%00", "\0"))).collect();
    Some(Req {
        method,
        path: path.to_string(),
        query,
        headers,
        body,
    })
}

fn reply_bytes(status: u16, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Makes a call of a client on a connection of its own.
fn call(addr: SocketAddr, method: &str, path: &str, host: &str, body: &str, limit: u64) -> Result<(u16, String), String> {
    let limit = Duration::from_millis(limit);
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, limit).map_err(|e| format!("no connection: {e}"))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        limit.as_millis(), body.len());
    stream.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".into());
        }
        stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend(&buffer[..count]),
            Err(e) => return Err(format!("no answer: {e}")),
        }
    }
    let text = String::from_utf8_lossy(&bytes).to_string();
    let status = text.split_whitespace().nth(1).and_then(|c| c.parse().ok()).ok_or("broken connection")?;
    let body = text.split_once("\r\n\r\n").map_or("", |p| p.1).to_string();
    Ok((status, body))
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the seconds since the start.
struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
    fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }
}

// ---------------------------------------------------------------- store

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
    /// Refused transactions with too large a row, and the largest row seen by table.
    oversized: u64,
    largest: HashMap<String, usize>,
    /// Transactions done and refused for their condition.
    done: u64,
    conflicts: u64,
}

struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Transactions of a part are executed in turn (store section).
    part: Mutex<()>,
    record: Arc<Record>,
    start: Instant,
}

impl Store {
    fn put(&self, table: &str, key: &str, value: Option<&J>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|v| base64(v.to_string().as_bytes()));
        rows.rows.insert((table.into(), String::new(), key.into()), (value, version));
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn row(key: &Key, row: Option<&(Option<String>, u64)>) -> J {
        let mut fields = vec![("table", s(&key.0)), ("part", s(&key.1)), ("key", s(&key.2))];
        match row {
            Some((Some(value), version)) => {
                fields.push(("value", s(value)));
                fields.push(("ver", n(*version)));
            }
            Some((None, version)) => {
                fields.push(("gone", J::Bool(true)));
                fields.push(("ver", n(*version)));
            }
            None => fields.push(("ver", n(0))),
        }
        obj(fields)
    }

    fn serve(&self, req: &Req) -> (u16, String) {
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&req.body),
            ("GET", "/rows-get") => self.get(&req.query),
            ("GET", "/rows-feed") => self.feed(&req.query),
            _ => (404, "{}".into()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let _turn = self.part.lock().unwrap();
        thread::sleep(Duration::from_millis(TX_MS));
        let Some(call) = parse_json(body) else {
            return (400, "{\"error\":\"no JSON\"}".into());
        };
        let key = |e: &J| -> Key { (e.get("table").text().into(), e.get("part").text().into(), e.get("key").text().into()) };
        let (expected, puts, removes) = (call.get("expectedRevision").list(), call.get("put").list(), call.get("remove").list());
        let mut rows = self.rows.lock().unwrap();
        for put in puts {
            let size = decoded_len(put.get("value").text());
            let largest = rows.largest.entry(key(put).0).or_default();
            *largest = size.max(*largest);
            // Row size limit (store section). A refused transaction has no effect.
            if size > ROW_BYTES {
                rows.oversized += 1;
                if rows.oversized <= 20 || rows.oversized % 50 == 0 {
                    self.record.line(&format!(
                        "store: refuses transaction, row {}/{} has {size} bytes, at most {ROW_BYTES} (refusal {})",
                        key(put).0,
                        key(put).2,
                        rows.oversized
                    ));
                }
                return (400, format!("{{\"error\":\"row of {size} bytes\"}}"));
            }
        }
        // Limits of a transaction (store section).
        if expected.len() + puts.len() + removes.len() > MAX_ENTRIES || body.len() > MAX_TX_BYTES {
            self.record.line("store: refuses transaction with too many entries or bytes");
            return (400, "{\"error\":\"too large\"}".into());
        }
        let live = |rows: &Rows, e: &J| {
            let row = rows.rows.get(&key(e));
            row.filter(|r| r.0.is_some()).map_or(0, |r| r.1)
        };
        if expected.iter().any(|e| Some(live(&rows, e)) != e.get("ver").num()) {
            rows.conflicts += 1;
            let found = expected.iter().map(|e| Self::row(&key(e), rows.rows.get(&key(e))));
            let answer = obj(vec![("rows", J::Arr(found.collect())), ("ver", n(rows.version)), ("now_ms", n(self.now_ms()))]);
            return (412, answer.to_string());
        }
        rows.version += 1;
        rows.done += 1;
        let version = rows.version;
        for put in puts {
            rows.rows.insert(key(put), (Some(put.get("value").text().into()), version));
        }
        for removed in removes {
            rows.rows.insert(key(removed), (None, version));
        }
        self.changed.notify_all();
        (200, obj(vec![("ver", n(version)), ("now_ms", n(self.now_ms()))]).to_string())
    }

    fn get(&self, query: &HashMap<String, String>) -> (u16, String) {
        thread::sleep(Duration::from_millis(2));
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (field("table"), field("part"), field("from"));
        let limit = field("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let in_table = rows.rows.iter().filter(|(k, r)| k.0 == table && k.1 == part && k.2 >= from && r.0.is_some());
        let mut found: Vec<_> = in_table.take(limit + 1).collect();
        let mut more = found.len() > limit;
        found.truncate(limit);
        // Limits of a page (store section).
        let mut bytes = 0;
        let fit = found.iter().take_while(|(_, r)| {
            bytes += r.0.as_ref().map_or(0, String::len);
            bytes <= MAX_TX_BYTES
        });
        let fit = fit.count().max(1).min(found.len());
        more |= fit < found.len();
        let found = found[..fit].iter().map(|(k, r)| Self::row(k, Some(r)));
        let answer = obj(vec![
            ("rows", J::Arr(found.collect())),
            ("more", J::Bool(more)),
            ("ver", n(rows.version)),
            ("now_ms", n(self.now_ms())),
        ]);
        (200, answer.to_string())
    }

    fn feed(&self, query: &HashMap<String, String>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let (after, wait) = (number("after"), number("waitMs").min(30_000));
        let table = query.get("table").cloned().unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut changed: Vec<_> = rows.rows.iter().filter(|(k, r)| k.0 == table && r.1 > after).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, r)| r.1);
                let found = changed.iter().map(|(k, r)| Self::row(k, Some(r)));
                let answer = obj(vec![("rows", J::Arr(found.collect())), ("ver", n(rows.version)), ("now_ms", n(self.now_ms()))]);
                return (200, answer.to_string());
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn serve_store(store: Arc<Store>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let store = store.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut out = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some(req) = read_request(&mut reader) {
                    let (status, body) = store.serve(&req);
                    if out.write_all(&reply_bytes(status, &body)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

// ---------------------------------------------------------------- jobs and tasks

/// What the tasks of a step do.
#[derive(Clone, Debug)]
struct StepDef {
    count: u32,
    cpu: u64,
    mem: u64,
    work_ms: u64,
    after: Vec<usize>,
    persistent: bool,
    saves: bool,
    /// Most tasks of the step on one worker; 0 for no limit.
    apart: u32,
    /// True when each run fails by the task's own fault, after its work.
    hopeless: bool,
}

#[derive(Clone, Debug)]
struct JobDef {
    id: String,
    prefix: &'static str,
    steps: Vec<StepDef>,
}

impl JobDef {
    fn body(&self) -> String {
        let step = |d: &StepDef| {
            let mut fields = vec![
                ("count", n(u64::from(d.count))),
                ("cpu", n(d.cpu)),
                ("memMb", n(d.mem)),
                ("estimateMs", n(d.work_ms)),
            ];
            if !d.after.is_empty() {
                fields.push(("after", J::Arr(d.after.iter().map(|a| n(*a as u64)).collect())));
            }
            if d.apart > 0 {
                fields.push(("antiAffinity", n(u64::from(d.apart))));
            }
            for (name, set) in [("persistent", d.persistent), ("savesProgress", d.saves)] {
                if set {
                    fields.push((name, J::Bool(true)));
                }
            }
            obj(fields)
        };
        obj(vec![
            ("spec", s(format!("job {}", self.id))),
            ("steps", J::Arr(self.steps.iter().map(step).collect())),
        ])
        .to_string()
    }
}

/// The history of a task as the workers saw it.
#[derive(Clone, Debug, Default)]
struct TaskSeen {
    running: u32,
    starts: u32,
    last_end: Option<Instant>,
    done: bool,
    failed_ends: u32,
    last_run: u32,
    last_worker: String,
}

/// A job as its client knows it.
struct JobSeen {
    def: JobDef,
    accepted: Option<Instant>,
    completed: Option<Instant>,
    tasks: BTreeMap<(usize, u32), TaskSeen>,
}

type Jobs = Arc<Mutex<BTreeMap<String, JobSeen>>>;

fn task_parts(task: &str) -> Option<(String, usize, u32)> {
    let parts: Vec<&str> = task.split('.').collect();
    let [id, _, step, index] = parts[..] else {
        return None;
    };
    Some((id.to_string(), step.parse().ok()?, index.parse().ok()?))
}

// ---------------------------------------------------------------- workers

struct Run {
    run: u32,
    started: Instant,
    def: StepDef,
    saved: String,
    stop_at: Option<Instant>,
}

struct WorkerState {
    id: String,
    /// Beginning of the present incarnation; its clock counts from there.
    born: Instant,
    up: bool,
    /// True while no packet passes between the worker and the boxes; it runs on.
    cut: bool,
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u32, &'static str, String)>,
    ends: u64,
    last_run: HashMap<String, u32>,
    seq: u64,
    next_beat: Instant,
    /// When the entry of the earlier incarnation goes.
    old_entry: Option<(String, Instant)>,
    connections: Vec<TcpStream>,
}

struct Worker {
    state: Mutex<WorkerState>,
    changed: Condvar,
    address: SocketAddr,
    listening: AtomicBool,
    zone: String,
    rack: String,
    cpu: u64,
    mem: u64,
    jobs: Jobs,
    record: Arc<Record>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id: ten characters, as long as those of the protocol.
fn worker_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let mixed = (number.wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995) & 0xffff_ffff;
    format!("i-{mixed:08x}")
}

impl Worker {
    fn new(number: usize, cpu: u64, mem: u64, jobs: Jobs, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let worker = Arc::new(Self {
            state: Mutex::new(WorkerState {
                id: worker_id(),
                born: Instant::now(),
                up: true,
                cut: false,
                fence: 0,
                deadline: 0,
                running: BTreeMap::new(),
                finished: Vec::new(),
                ends: 0,
                last_run: HashMap::new(),
                seq: 0,
                next_beat: Instant::now(),
                old_entry: None,
                connections: Vec::new(),
            }),
            changed: Condvar::new(),
            address,
            listening: AtomicBool::new(true),
            zone: format!("hall-{}", number % 4),
            rack: format!("r{}-{}", number % 4, number / 32),
            cpu,
            mem,
            jobs,
            record,
        });
        worker.clone().accept(listener);
        worker
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap()
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while self.listening.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            self.lock().connections.push(copy);
                        }
                        let worker = self.clone();
                        thread::spawn(move || worker.serve_connection(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_request(&mut reader) {
            // Behind a cut the order does not arrive, and is lost when its sender gives up.
            if self.is_cut() {
                return self.hang(&mut reader);
            }
            let Some((status, body)) = self.serve(&req) else { return };
            if self.is_cut() {
                return self.hang(&mut reader);
            }
            if out.write_all(&reply_bytes(status, &body)).is_err() {
                return;
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.lock().cut
    }

    /// Says nothing until the other side gives the connection up.
    fn hang(&self, reader: &mut BufReader<TcpStream>) {
        let mut sink = [0; 1024];
        while reader.read(&mut sink).is_ok_and(|count| count > 0) {}
    }

    fn clock(state: &WorkerState) -> u64 {
        100_000 + state.born.elapsed().as_millis() as u64
    }

    fn serve(&self, req: &Req) -> Option<(u16, String)> {
        let mut state = self.lock();
        if !state.up {
            return None;
        }
        if req.path == "/health" {
            return Some((200, "{}".into()));
        }
        // An order for another incarnation is misdirected (tasks section).
        if req.headers.get("x-expect-instance").is_some_and(|id| *id != state.id) {
            return Some((421, String::new()));
        }
        let body = parse_json(&req.body)?;
        let fence = body.get("fence").num().unwrap_or(0);
        let clock = |state: &WorkerState| ("clockMs", n(Self::clock(state)));
        let order = req.path.clone();
        let refuse = |state: &WorkerState, reason: &str| {
            if order != "/hold" {
                self.record.line(&format!(
                    "worker {}: refuses {order} of {} fence {fence}: {reason}",
                    state.id,
                    body.get("task").text()
                ));
            }
            Some((409, obj(vec![clock(state), ("reason", s(reason))]).to_string()))
        };
        // Fencing (tasks section).
        if fence < state.fence {
            return refuse(&state, "fence");
        }
        state.fence = fence;
        let task = body.get("task").text().to_string();
        let run = body.get("run").num().unwrap_or(0) as u32;
        match req.path.as_str() {
            "/run-start" => {
                let asked = body.get("deadlineMs").num().unwrap_or(0);
                if asked <= Self::clock(&state) {
                    return refuse(&state, "late");
                }
                // One lease for all runs of the worker, also extended by a refused start (tasks
                // section).
                self.extend(&mut state, asked);
                if state.running.get(&task).is_some_and(|r| r.run == run) {
                    return Some((200, obj(vec![clock(&state)]).to_string()));
                }
                if state.last_run.get(&task).is_some_and(|last| *last >= run) || state.running.contains_key(&task) {
                    return refuse(&state, "old");
                }
                let (id, step, index) = task_parts(&task)?;
                let mut jobs = self.jobs.lock().unwrap();
                let def = jobs.get(&id).and_then(|j| j.def.steps.get(step)).cloned();
                let Some(def) = def else {
                    self.record.say(&format!("UNASKED worker {} was told to start {task}", state.id));
                    return Some((400, "{}".into()));
                };
                let used: (u64, u64) = state.running.values().fold((0, 0), |sum, r| (sum.0 + r.def.cpu, sum.1 + r.def.mem));
                if used.0 + def.cpu > self.cpu || used.1 + def.mem > self.mem {
                    return refuse(&state, "room");
                }
                let saved = body.get("lastCheckpoint").text().to_string();
                self.record.line(&format!("worker {}: starts {task} run {run} fence {fence}", state.id));
                if let Some(seen) = jobs.get_mut(&id).and_then(|j| j.tasks.get_mut(&(step, index))) {
                    seen.running += 1;
                    seen.starts += 1;
                    seen.last_run = run;
                    seen.last_worker = state.id.clone();
                }
                drop(jobs);
                state.running.insert(
                    task,
                    Run {
                        run,
                        started: Instant::now(),
                        def,
                        saved,
                        stop_at: None,
                    },
                );
                Some((200, obj(vec![clock(&state)]).to_string()))
            }
            "/run-stop" => {
                self.record.line(&format!("worker {}: stop of {task} run {run} fence {fence}", state.id));
                let last = state.last_run.entry(task.clone()).or_default();
                *last = run.max(*last);
                if let Some(active) = state.running.get_mut(&task).filter(|r| r.run == run) {
                    active.stop_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
                }
                Some((200, obj(vec![clock(&state)]).to_string()))
            }
            "/pace" => Some((200, obj(vec![clock(&state)]).to_string())),
            "/hold" => {
                if let Some(asked) = body.get("deadlineMs").num() {
                    self.extend(&mut state, asked);
                }
                // Acknowledged completions are dropped (tasks section).
                let seen = body.get("lastSeen").num().unwrap_or(0);
                state.finished.retain(|end| end.0 > seen);
                let wait = body.get("waitMs").num().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                let incarnation = state.id.clone();
                while state.finished.is_empty() && state.up && state.id == incarnation {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                if !state.up || state.id != incarnation {
                    return None;
                }
                let running = state.running.iter().map(|(task, r)| {
                    let share = r.started.elapsed().as_millis() as u64 * 100 / r.def.work_ms.max(1);
                    let percent = if r.def.persistent { 100 } else { share.min(99) };
                    J::Arr(vec![s(task), n(u64::from(r.run)), s(&r.saved), n(percent), n(r.def.cpu)])
                });
                let running = J::Arr(running.collect());
                let ends = state.finished.iter().take(500);
                let ends = ends.map(|e| J::Arr(vec![n(e.0), s(&e.1), n(u64::from(e.2)), s(e.3), s(&e.4)]));
                let ends = J::Arr(ends.collect());
                Some((200, obj(vec![clock(&state), ("running", running), ("finished", ends)]).to_string()))
            }
            _ => Some((404, String::new())),
        }
    }

    fn extend(&self, state: &mut WorkerState, asked: u64) {
        // Upper limit of a lease (tasks section).
        let end = asked.min(Self::clock(state) + MAX_HOLD_MS);
        state.deadline = state.deadline.max(end);
    }

    /// Ends runs that are done, stopped or lapsed, renews saved texts, and beats.
    fn tick(&self, store: &Store) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.old_entry.as_ref().is_some_and(|(_, at)| now >= *at) {
            let (id, _) = state.old_entry.take().unwrap();
            store.put("servers", &id, None);
        }
        if !state.up {
            return;
        }
        let lapsed = Self::clock(&state) > state.deadline;
        let mut ended = Vec::new();
        for (task, run) in &mut state.running {
            let age = run.started.elapsed().as_millis() as u64;
            if run.def.saves && age >= SAVE_MS {
                let hash = task.bytes().fold(0u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b)));
                run.saved = format!("{:08x}{hash:08x}", age / SAVE_MS * SAVE_MS);
            }
            if lapsed {
                ended.push((task.clone(), "lapsed"));
            } else if run.stop_at.is_some_and(|at| now >= at) {
                ended.push((task.clone(), "stopped"));
            } else if !run.def.persistent && age >= run.def.work_ms {
                ended.push((task.clone(), if run.def.hopeless { "failed" } else { "done" }));
            }
        }
        for (task, how) in ended {
            self.end_run(&mut state, &task, how);
        }
        if now >= state.next_beat {
            state.next_beat = now + Duration::from_millis(BEAT_MS);
            state.seq += 1;
            let capacity = obj(vec![("cpu", n(self.cpu)), ("memMb", n(self.mem)), ("gpu", n(0))]);
            let labels = J::Arr(vec![s("a"), s(&self.rack)]);
            let entry = obj(vec![
                ("service", s(SERVICE)),
                ("address", s(self.address.to_string())),
                ("zone", s(&self.zone)),
                ("version", s("v1")),
                ("slots", n(8)),
                ("state", s("ready")),
                ("coldRemainingMs", n(0)),
                ("capacity", capacity),
                ("labels", labels),
                ("seq", n(state.seq)),
            ]);
            let id = state.id.clone();
            drop(state);
            store.put("servers", &id, Some(&entry));
        }
    }

    fn end_run(&self, state: &mut WorkerState, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.ends += 1;
        let last = state.last_run.entry(task.to_string()).or_default();
        *last = run.run.max(*last);
        state.finished.push((state.ends, task.to_string(), run.run, how, run.saved));
        self.record
            .line(&format!("worker {}: end {} of {task} run {}: {how}", state.id, state.ends, run.run));
        self.seen_end(task, how);
        self.changed.notify_all();
    }

    fn seen_end(&self, task: &str, how: &str) {
        let Some((id, step, index)) = task_parts(task) else { return };
        let mut jobs = self.jobs.lock().unwrap();
        if let Some(seen) = jobs.get_mut(&id).and_then(|j| j.tasks.get_mut(&(step, index))) {
            seen.running = seen.running.saturating_sub(1);
            seen.last_end = Some(Instant::now());
            seen.done |= how == "done";
            seen.failed_ends += u32::from(how == "failed");
        }
    }

    /// The worker's process crashes: its runs are gone, and its connections are closed.
    fn crash(&self) {
        self.listening.store(false, Ordering::Relaxed);
        let mut state = self.lock();
        state.up = false;
        self.record.line(&format!("worker {}: crashes with {} runs", state.id, state.running.len()));
        let tasks: Vec<String> = state.running.keys().cloned().collect();
        for task in &tasks {
            self.seen_end(task, "gone");
        }
        state.running.clear();
        state.finished.clear();
        state.last_run.clear();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The directory entry expires (discovery section).
        let gone = Instant::now() + Duration::from_millis(3 * BEAT_MS);
        state.old_entry = Some((state.id.clone(), gone));
        self.changed.notify_all();
    }

    /// Starts the next incarnation after a crash: a new id and no state (tasks section).
    fn restart(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
        };
        {
            let mut state = self.lock();
            state.id = worker_id();
            state.born = Instant::now();
            state.up = true;
            state.fence = 0;
            state.deadline = 0;
            state.ends = 0;
            state.seq = 0;
            state.next_beat = Instant::now();
            self.record.line(&format!("worker {}: restarted at {}", state.id, self.address));
        }
        self.listening.store(true, Ordering::Relaxed);
        self.clone().accept(listener);
    }

    fn set_cut(&self, cut: bool) {
        let mut state = self.lock();
        state.cut = cut;
        self.record.say(&format!(
            "worker {}: {}",
            state.id,
            if cut { "is cut off from the boxes and runs on" } else { "is reached again" }
        ));
        if !cut {
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }
}

// ---------------------------------------------------------------- deployment

const SERVICE: &str = "ledger";
const HOST: &str = "jobs.review.test";

/// Boxes, workers, the store, and the jobs of the clients.
struct Deployment {
    store: Arc<Store>,
    workers: Vec<Arc<Worker>>,
    jobs: Jobs,
    record: Arc<Record>,
    /// Addresses for callers and for readiness of each box.
    boxes: Vec<(SocketAddr, SocketAddr)>,
    folder: std::path::PathBuf,
    /// End of the last disruption.
    disturbed: Mutex<Instant>,
    breaks: Mutex<BTreeMap<String, String>>,
    /// True once the rule was broken.
    is_broken: Arc<AtomicBool>,
}

/// The processes that were started.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and returns those that had ended by themselves.
fn end_processes() -> Vec<String> {
    let mut early = Vec::new();
    let mut processes = PROCESSES.lock().unwrap_or_else(|e| e.into_inner());
    for (number, child) in processes.iter_mut().enumerate() {
        if let Ok(Some(status)) = child.try_wait() {
            early.push(format!("box {number} had ended by itself: {status}"));
        }
        let _ = child.kill();
        let _ = child.wait();
    }
    processes.clear();
    early
}

/// Ends all processes after `LIMIT_S`, so that a script never runs for longer than it may.
fn limit_time(breaks: Arc<AtomicBool>) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(LIMIT_S));
        println!("time limit of {LIMIT_S} s reached");
        end_processes();
        std::process::exit(if breaks.load(Ordering::Relaxed) { 1 } else { 2 });
    });
}

/// Ends all processes and exits: the case could not run.
fn give_up(record: &Record, why: &str) -> ! {
    record.say(&format!("{why}: the case could not run"));
    end_processes();
    std::process::exit(2)
}

/// Fills the project's template for the settings as DEPLOY.md says.
fn fill(template: &str, values: &HashMap<&str, String>) -> String {
    let mut out = template.to_string();
    while let Some(at) = out.find("{{#") {
        let end = out[at..].find("}}").unwrap() + at;
        let name = out[at + 3..end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let stop = out.find(&close).unwrap();
        let inner = out[end + 2..stop].to_string();
        let inner = if values.contains_key(name.as_str()) { inner } else { String::new() };
        out = format!("{}{inner}{}", &out[..at], &out[stop + close.len()..]);
    }
    for (name, value) in values {
        out = out.replace(&format!("{{{{{name}}}}}"), value);
    }
    out
}

impl Deployment {
    fn start(folder: &str, boxes: usize, workers: usize, cpu: u64, mem: u64) -> Self {
        let start = Instant::now();
        let file = File::create(format!("{folder}/record.txt")).unwrap();
        let record = Arc::new(Record { file: Mutex::new(file), start });
        let jobs: Jobs = Arc::default();
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            part: Mutex::new(()),
            record: record.clone(),
            start,
        });
        let store_address = serve_store(store.clone());
        let workers: Vec<_> = (0..workers).map(|i| Worker::new(i, cpu, mem, jobs.clone(), record.clone())).collect();
        let route = |name: &str, prefix: &str, priority: u64, attempts: u64, latency: u64| {
            obj(vec![
                ("name", s(name)),
                ("host", s(HOST)),
                ("pathPrefix", s(prefix)),
                ("type", s("unsafe")),
                ("timeoutMs", n(3_000)),
                ("targetLatencyMs", n(latency)),
                ("priority", n(priority)),
                ("service", s(SERVICE)),
                ("maxAttempts", n(attempts)),
                ("stretch", J::Num(2.0)),
            ])
        };
        let service = obj(vec![
            ("name", s(SERVICE)),
            ("healthPath", s("/health")),
            ("maxConnections", n(64)),
            ("protocol", s("h1")),
            ("tls", J::Bool(false)),
            ("enforcesCapacity", J::Bool(true)),
            ("spare", J::Bool(false)),
        ]);
        let limits = obj(vec![
            ("maxHeaderBytes", n(16_384)),
            ("maxBodyBytes", n(262_144)),
            ("headerTimeoutMs", n(3_000)),
            ("idleTimeoutMs", n(15_000)),
        ]);
        let routes = J::Arr(vec![
            route("r-recon", RECON, 0, 2, 250),
            route("r-run", RUN, 2, 3, 1_000),
            route("r-watch", WATCH, 0, 4, 2_500),
        ]);
        let config = obj(vec![
            ("version", n(7)),
            ("routes", routes),
            ("services", J::Arr(vec![service])),
            ("limits", limits),
        ]);
        store.put("op", "config", Some(&config));
        let temp = std::env::temp_dir().join(format!("wp-review-{}", std::process::id()));
        std::fs::create_dir_all(&temp).unwrap();
        let template = std::fs::read_to_string("deploy/settings.toml").unwrap();
        let mut deployment = Self {
            store,
            workers,
            jobs,
            record,
            boxes: Vec::new(),
            folder: temp,
            disturbed: Mutex::new(start),
            breaks: Mutex::default(),
            is_broken: Arc::default(),
        };
        limit_time(deployment.is_broken.clone());
        deployment.run_workers();
        let subnet = 1 + std::process::id() % 250;
        for number in 0..boxes {
            let ip = format!("127.{}.{subnet}.{}", 70 + number, number + 10);
            let ports: Vec<u16> = (0..3)
                .map(|_| TcpListener::bind(format!("{ip}:0")).unwrap().local_addr().unwrap().port())
                .collect();
            let values: HashMap<&str, String> = [
                ("node", format!("front-hall-{}-{number}", number % 3)),
                ("zone", format!("hall-{}", number % 3)),
                ("ip", ip.clone()),
                ("limits.cpuShare", "0.25".into()),
                ("limits.maxFds", "4100".into()),
                ("listen.front", format!("{ip}:{}", ports[0])),
                ("listen.ready", format!("{ip}:{}", ports[1])),
                ("internalPorts.0", ports[2].to_string()),
                ("platform.address", store_address.to_string()),
                ("bounds.drainMs", "2000".into()),
                ("bounds.graceS", "6".into()),
                ("bounds.maxHoldMs", MAX_HOLD_MS.to_string()),
                ("bounds.harm_ms", "4000".into()),
                ("bounds.far_x", "2".into()),
                ("bounds.status_s", "120".into()),
            ]
            .into_iter()
            .collect();
            let path = deployment.folder.join(format!("settings-{number}.conf"));
            std::fs::write(&path, fill(&template, &values)).unwrap();
            let output = File::create(deployment.folder.join(format!("box-{number}.log"))).unwrap();
            // The command of deploy/system.toml, with the path of this box's settings.
            let child = Command::new("target/release/willowpoint")
                .arg("serve")
                .arg("--config")
                .arg(&path)
                .env_clear()
                .env("PATH", std::env::var("PATH").unwrap_or_default())
                .env("WILLOWPOINT_NODE_FILE", &path)
                .stdin(Stdio::null())
                .stdout(output.try_clone().unwrap())
                .stderr(output)
                .spawn()
                .expect("the program starts");
            let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
            PROCESSES.lock().unwrap().push(child);
            deployment.boxes.push((address(ports[0]), address(ports[1])));
        }
        deployment.wait_ready();
        deployment
    }

    fn run_workers(&self) {
        let (store, workers) = (self.store.clone(), self.workers.clone());
        thread::spawn(move || loop {
            for worker in &workers {
                worker.tick(&store);
            }
            thread::sleep(Duration::from_millis(10));
        });
    }

    fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        for (_, ready) in &self.boxes {
            loop {
                if call(*ready, "GET", "/ready", HOST, "", 1_000).is_ok_and(|r| r.0 == 200) {
                    break;
                }
                if Instant::now() > end {
                    give_up(&self.record, "a box is not ready");
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // Traffic starts 10 s after the machines do; the boxes find their owner and the workers.
        thread::sleep(Duration::from_secs(4));
        self.record
            .say(&format!("{} boxes are ready, {} workers", self.boxes.len(), self.workers.len()));
    }

    /// Submits a job, at up to `tries` boxes in turn while the outcome is in doubt (jobs section).
    fn submit(&self, def: JobDef, at: usize, tries: usize) -> bool {
        let id = def.id.clone();
        let mut tasks = BTreeMap::new();
        for (step, d) in def.steps.iter().enumerate() {
            for index in 0..d.count {
                tasks.insert((step, index), TaskSeen::default());
            }
        }
        let (path, body) = (format!("{}{id}", def.prefix), def.body());
        let seen = JobSeen {
            def,
            accepted: None,
            completed: None,
            tasks,
        };
        self.jobs.lock().unwrap().insert(id.clone(), seen);
        for attempt in 0..tries {
            let number = (at + attempt) % self.boxes.len();
            let answer = call(self.boxes[number].0, "POST", &path, HOST, &body, 3_000);
            let text = match &answer {
                Ok((status, _)) => status.to_string(),
                Err(e) => e.clone(),
            };
            self.record.line(&format!("client: POST {path} ({} bytes) at box {number}: {text}", body.len()));
            match answer {
                Ok((status, _)) if status / 100 == 2 => {
                    if let Some(job) = self.jobs.lock().unwrap().get_mut(&id) {
                        job.accepted = Some(Instant::now());
                    }
                    return true;
                }
                Ok((502 | 504, _)) | Err(_) => {}
                Ok(_) => return false,
            }
        }
        false
    }

    /// Asks a box for the state of a job.
    fn state(&self, id: &str, at: usize) -> Option<String> {
        let prefix = self.jobs.lock().unwrap().get(id)?.def.prefix;
        let number = at % self.boxes.len();
        let answer = call(self.boxes[number].0, "GET", &format!("{prefix}{id}"), HOST, "", 3_000);
        let text = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(e) => e.clone(),
        };
        self.record.line(&format!("client: GET {prefix}{id} at box {number}: {}", text.trim_end()));
        match answer {
            Ok((200, body)) => Some(parse_json(body.as_bytes())?.get("state").text().to_string()),
            Ok((410, _)) => Some("410".into()),
            _ => None,
        }
    }

    fn disturb(&self) {
        *self.disturbed.lock().unwrap() = Instant::now();
    }

    fn calm_for(&self) -> u64 {
        self.disturbed.lock().unwrap().elapsed().as_millis() as u64
    }

    fn broken(&self, subject: &str, text: String) {
        self.is_broken.store(true, Ordering::Relaxed);
        let mut breaks = self.breaks.lock().unwrap();
        if breaks.insert(subject.to_string(), text.clone()).is_none() && breaks.len() <= 12 {
            self.record.say(&format!("BROKEN {text}"));
        }
    }

    /// Returns the thousandths of cores of the workers that are up, and those in use.
    fn capacity(&self) -> (u64, u64) {
        let up = self.workers.iter().map(|w| {
            let state = w.lock();
            let used: u64 = state.running.values().map(|r| r.def.cpu).sum();
            if state.up && !state.cut {
                (w.cpu, used)
            } else {
                (0, 0)
            }
        });
        up.fold((0, 0), |sum, w| (sum.0 + w.0, sum.1 + w.1))
    }

    /// Judges the rule LOST at this moment, once all has been calm for long enough.
    ///
    /// A job has nothing running for 3 s while a task's turn has come, there is capacity for it
    /// twice over, and under half of the service's capacity is in use. For each task that lasts,
    /// from 6 s after its last run, whether others of its job run or not.
    fn judge_lost(&self) {
        if self.calm_for() < CALM_MS {
            return;
        }
        let (capacity, used) = self.capacity();
        let now = Instant::now();
        let idle = |since: Instant| now.saturating_duration_since(since).as_millis() as u64;
        let mut found = Vec::new();
        for (id, job) in self.jobs.lock().unwrap().iter() {
            let (Some(accepted), None) = (job.accepted, job.completed) else { continue };
            let mut last = accepted;
            let mut runs = 0;
            let mut turn = None;
            for ((step, index), task) in &job.tasks {
                let def = &job.def.steps[*step];
                runs += task.running;
                last = last.max(task.last_end.unwrap_or(accepted));
                let ready = def.after.iter().all(|a| job.tasks.iter().filter(|((s, _), _)| s == a).all(|(_, t)| t.done));
                if ready && !task.done && task.running == 0 {
                    turn = Some((*step, *index, def.cpu));
                    let since = task.last_end.unwrap_or(accepted);
                    if def.persistent && def.apart == 0 && idle(since) >= 9_000 && capacity - used >= 2 * def.cpu {
                        found.push((format!("{id}.{step}.{index}"), format!("LOST: {id}.0.{step}.{index} is to last and has not run for {} ms, run {} was the last, calm for {} ms, {used} of {capacity} in use", idle(since), task.last_run, self.calm_for())));
                    }
                }
            }
            let Some((step, index, cpu)) = turn else { continue };
            if runs == 0 && idle(last) >= 3_000 && capacity - used >= 2 * cpu && used * 2 < capacity {
                found.push((id.clone(), format!("LOST: job {id}, accepted, has nothing running for {} ms, the turn of {id}.0.{step}.{index} has come, calm for {} ms, {used} of {capacity} in use", idle(last), self.calm_for())));
            }
        }
        for (subject, text) in found {
            self.broken(&subject, text);
        }
    }

    /// Waits, and judges meanwhile.
    fn watch(&self, ms: u64) {
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(100));
            self.judge_lost();
        }
    }

    /// Asks for each accepted job that ends until it is shown as completed, for `finish_s`.
    fn ask_for_all(&self) {
        let end = Instant::now() + Duration::from_millis(FINISH_MS);
        let open: Vec<String> = {
            let jobs = self.jobs.lock().unwrap();
            let ends = jobs
                .iter()
                .filter(|(_, j)| j.accepted.is_some() && j.completed.is_none() && j.def.steps.iter().all(|d| !d.persistent));
            ends.map(|(id, _)| id.clone()).collect()
        };
        let judging = AtomicBool::new(true);
        thread::scope(|scope| {
            scope.spawn(|| {
                while judging.load(Ordering::Relaxed) {
                    self.judge_lost();
                    thread::sleep(Duration::from_millis(100));
                }
            });
            let asked: Vec<_> = open
                .iter()
                .enumerate()
                .map(|(at, id)| scope.spawn(move || self.ask_until(id, at, end)))
                .collect();
            for (id, asked) in open.iter().zip(asked) {
                match asked.join().unwrap() {
                    None => self.broken(&format!("{id} asked"), format!("LOST: accepted job {id} gets no answer within {FINISH_MS} ms")),
                    Some(state) if state == "completed" => {}
                    Some(state) if state == "410" => self.broken(&format!("{id} asked"), format!("LOST: 410 for the accepted job {id}")),
                    Some(state) => self.record.say(&format!("accepted job {id} is shown as {state} at the end")),
                }
            }
            judging.store(false, Ordering::Relaxed);
        });
    }

    /// Asks for a job until it is shown as completed. Returns the last state that was answered.
    fn ask_until(&self, id: &str, mut at: usize, end: Instant) -> Option<String> {
        let mut last = None;
        while Instant::now() < end {
            at += 1;
            last = self.state(id, at).or(last);
            if last.as_deref() == Some("completed") {
                if let Some(job) = self.jobs.lock().unwrap().get_mut(id) {
                    job.completed = Some(Instant::now());
                }
                break;
            }
            thread::sleep(Duration::from_millis(700));
        }
        last
    }

    /// Ends the processes that were started, and exits: 1 if the rule was broken.
    fn finish(&self) -> ! {
        {
            let rows = self.store.rows.lock().unwrap();
            self.record.say(&format!(
                "store: {} transactions done, {} refused for their condition, {} refused for too large a row; largest rows {:?}",
                rows.done, rows.conflicts, rows.oversized, rows.largest
            ));
        }
        {
            let jobs = self.jobs.lock().unwrap();
            let accepted = jobs.values().filter(|j| j.accepted.is_some()).count();
            let completed = jobs.values().filter(|j| j.completed.is_some()).count();
            self.record
                .say(&format!("jobs: {} submitted, {accepted} accepted, {completed} shown as completed", jobs.len()));
        }
        for text in end_processes() {
            self.record.say(&text);
        }
        if std::env::var("KEEP").is_ok() {
            println!("logs of the boxes: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        let breaks = self.breaks.lock().unwrap().len();
        self.record.say(&format!(
            "{}",
            if breaks > 0 {
                format!("the rule was broken: {breaks}")
            } else {
                "the rule held".into()
            }
        ));
        std::process::exit(i32::from(breaks > 0));
    }
}

// ---------------------------------------------------------------- scenarios

const RECON: &str = "/small/";
const RUN: &str = "/batch/";
const WATCH: &str = "/standing/";

fn job_id(number: u64) -> String {
    format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn step(count: u32, cpu: u64, work_ms: u64) -> StepDef {
    StepDef {
        count,
        cpu,
        mem: 100,
        work_ms,
        after: Vec::new(),
        persistent: false,
        saves: false,
        apart: 0,
        hopeless: false,
    }
}

/// A job of two steps of three tasks, like most of a small deployment.
fn small_job(number: u64) -> JobDef {
    let second = StepDef {
        after: vec![0],
        ..step(3, 1_000, 400)
    };
    JobDef {
        id: job_id(number),
        prefix: RECON,
        steps: vec![step(3, 1_000, 400), second],
    }
}

/// Submits a small job every `gap` ms until `stop`.
fn small_traffic(d: &Arc<Deployment>, gap: u64, stop: &Arc<AtomicBool>) {
    let (d, stop) = (d.clone(), stop.clone());
    thread::spawn(move || {
        for number in 1.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let client = d.clone();
            thread::spawn(move || client.submit(small_job(number), number as usize, 2));
            thread::sleep(Duration::from_millis(gap));
        }
    });
}

fn wait_until(limit: u64, check: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(limit);
    while Instant::now() < end {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn running_tasks(d: &Deployment, id: &str) -> usize {
    d.jobs.lock().unwrap()[id].tasks.values().filter(|t| t.running > 0).count()
}

/// A standing job of many tasks that save their progress, beside small jobs. The trouble: workers
/// crash three times, a quarter of them each time, and come back.
fn large_row(folder: &str, trouble: bool) -> ! {
    let d = Arc::new(Deployment::start(folder, BOXES, WORKERS, WORKER_CPU, WORKER_MEM));
    let stop = Arc::new(AtomicBool::new(false));
    small_traffic(&d, 250, &stop);
    let count: u32 = 1_160;
    let lasting = StepDef {
        persistent: true,
        saves: true,
        ..step(count, 300, 500)
    };
    let large = JobDef {
        id: job_id(0),
        prefix: WATCH,
        steps: vec![lasting],
    };
    let id = large.id.clone();
    thread::sleep(Duration::from_secs(2));
    if !d.submit(large, 0, 4) {
        give_up(&d.record, "the standing job was not accepted");
    }
    d.record.say(&format!("a standing job of {count} tasks is accepted"));
    let all = wait_until(15_000, || running_tasks(&d, &id) == count as usize);
    d.record.say(&format!("{} of its tasks run", running_tasks(&d, &id)));
    if !all {
        give_up(&d.record, "its tasks did not start");
    }
    d.watch(2_500);
    for turn in 0..3 {
        let hit: Vec<_> = d.workers.iter().skip(turn * CRASHED).take(CRASHED).cloned().collect();
        if trouble {
            d.record.say(&format!("trouble: {} of {} workers crash", hit.len(), d.workers.len()));
            hit.iter().for_each(|w| w.crash());
            d.disturb();
        }
        d.watch(1_500);
        if trouble {
            hit.iter().for_each(|w| w.restart());
            d.disturb();
            d.record.say("trouble: they are back");
        }
        d.watch(5_000);
    }
    d.record.say(&format!("{} of {count} tasks of the standing job run", running_tasks(&d, &id)));
    d.watch(25_000);
    stop.store(true, Ordering::Relaxed);
    d.record.say(&format!(
        "{} of {count} tasks of the standing job run; the traffic ends",
        running_tasks(&d, &id)
    ));
    d.watch(1_000);
    d.ask_for_all();
    let state = (0..BOXES).find_map(|at| d.state(&id, at));
    d.record.say(&format!("the standing job is shown as {state:?}"));
    d.finish()
}

/// A standing job of one task. The trouble: each time the task starts, its worker is cut off from
/// the boxes for a while and runs on, four times in all.
fn cut_off(folder: &str, trouble: bool) -> ! {
    let d = Deployment::start(folder, BOXES, WORKERS, WORKER_CPU, WORKER_MEM);
    let lasting = StepDef {
        persistent: true,
        ..step(1, 1_000, 500)
    };
    let job = JobDef {
        id: job_id(0),
        prefix: WATCH,
        steps: vec![lasting],
    };
    let id = job.id.clone();
    if !d.submit(job, 0, 4) {
        give_up(&d.record, "the job was not accepted");
    }
    d.record.say(&format!("standing job {id} of one task is accepted, maxAttempts 4"));
    for turn in 0..4u32 {
        let started = wait_until(12_000, || {
            let jobs = d.jobs.lock().unwrap();
            let task = &jobs[&id].tasks[&(0, 0)];
            task.starts > turn && task.running > 0
        });
        if !started {
            // The job may have been given up already.
            break;
        }
        if !trouble {
            thread::sleep(Duration::from_millis(CUT_MS));
            continue;
        }
        let name = d.jobs.lock().unwrap()[&id].tasks[&(0, 0)].last_worker.clone();
        let Some(worker) = d.workers.iter().find(|w| w.lock().id == name).cloned() else {
            break;
        };
        worker.set_cut(true);
        d.disturb();
        // `node_cut` of workers, 5.5 s. It ends sooner than the next one begins.
        let record = d.record.clone();
        let cut = thread::spawn(move || {
            thread::sleep(Duration::from_millis(CUT_MS));
            worker.set_cut(false);
            record.line("the cut is over");
        });
        // The next start, elsewhere, follows once the lease has ended.
        wait_until(8_000, || d.jobs.lock().unwrap()[&id].tasks[&(0, 0)].starts > turn + 1);
        if turn == 3 {
            let _ = cut.join();
        }
        d.disturb();
    }
    d.record.say("all workers are reached");
    thread::sleep(Duration::from_millis(CALM_MS));
    let (starts, failed, running) = {
        let jobs = d.jobs.lock().unwrap();
        let task = &jobs[&id].tasks[&(0, 0)];
        (task.starts, task.failed_ends, task.running)
    };
    let mut state = None;
    for at in 0..12 {
        state = d.state(&id, at);
        if state.is_some() {
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    d.record.say(&format!("the task was started {starts} times, {failed} of its runs ended `failed`, no worker crashed, nobody cancelled; {running} runs now; the job is shown as {state:?}"));
    match state.as_deref() {
        // Only failed runs are attempts (rule LOST).
        Some(shown @ ("failed" | "cancelled")) if failed < 4 => d.broken(
            &id,
            format!("LOST: job {id} is shown as {shown} without cause: {failed} runs ended `failed`, maxAttempts is 4"),
        ),
        Some("410") => d.broken(&id, format!("LOST: 410 for the accepted job {id}")),
        None => d.broken(&id, format!("LOST: no answer for the accepted job {id}")),
        _ if running == 0 => d.broken(&id, format!("LOST: the task of {id} is to last and does not run")),
        _ => {}
    }
    d.finish()
}

/// Not a case of its own, see REPORT.md. Small jobs, ten a second. The trouble: within six seconds a
/// tenth of the messages of a class are jobs that can never be done: each task fails by its own
/// fault.
fn hopeless(folder: &str, trouble: bool) -> ! {
    let d = Arc::new(Deployment::start(folder, 3, 24, WORKER_CPU, WORKER_MEM));
    let stop = Arc::new(AtomicBool::new(false));
    small_traffic(&d, 100, &stop);
    d.watch(6_000);
    if trouble {
        d.record
            .say("trouble: six jobs come that can never be done, one of ten messages in six seconds");
        for number in 0..6 {
            let client = d.clone();
            thread::spawn(move || {
                let bad = StepDef {
                    hopeless: true,
                    ..step(36, 1_600, 1_000)
                };
                let job = JobDef {
                    id: job_id(100_000 + number),
                    prefix: RECON,
                    steps: vec![bad],
                };
                client.submit(job, number as usize, 2)
            });
        }
    }
    for _ in 0..6 {
        if trouble {
            d.disturb();
        }
        d.watch(1_000);
    }
    d.watch(30_000);
    stop.store(true, Ordering::Relaxed);
    d.watch(1_000);
    d.ask_for_all();
    d.finish()
}

/// Not a case of its own, see REPORT.md. A standing job of many tasks, of which a limited number may
/// be on one worker, fills that limit on all workers. The trouble: a quarter of the workers are lost
/// for good.
fn apart(folder: &str, trouble: bool) -> ! {
    let d = Arc::new(Deployment::start(folder, BOXES, WORKERS, WORKER_CPU, WORKER_MEM));
    let stop = Arc::new(AtomicBool::new(false));
    small_traffic(&d, 250, &stop);
    d.watch(2_000);
    let count: u32 = 1_900;
    let most = count.div_ceil(WORKERS as u32);
    let lasting = StepDef {
        persistent: true,
        apart: most,
        ..step(count, 300, 500)
    };
    let job = JobDef {
        id: job_id(0),
        prefix: WATCH,
        steps: vec![lasting],
    };
    let id = job.id.clone();
    if !d.submit(job, 0, 4) {
        give_up(&d.record, "the standing job was not accepted");
    }
    let all = wait_until(15_000, || running_tasks(&d, &id) == count as usize);
    d.record
        .say(&format!("{} of its {count} tasks run, at most {most} on a worker", running_tasks(&d, &id)));
    if !all {
        give_up(&d.record, "its tasks did not start");
    }
    d.watch(3_000);
    if trouble {
        d.record.say(&format!("trouble: {CRASHED} of {WORKERS} workers are lost for good"));
        d.workers.iter().take(CRASHED).for_each(|w| w.crash());
        d.disturb();
    }
    d.watch(35_000);
    stop.store(true, Ordering::Relaxed);
    d.record.say(&format!(
        "{} of {count} tasks of the standing job run; the traffic ends",
        running_tasks(&d, &id)
    ));
    d.watch(1_000);
    d.ask_for_all();
    d.finish()
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (name, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    if !std::path::Path::new("target/release/willowpoint").exists() {
        eprintln!("target/release/willowpoint is not built");
        std::process::exit(2);
    }
    std::panic::set_hook(Box::new(|info| {
        eprintln!("the stand-in failed: {info}");
        end_processes();
        std::process::exit(2);
    }));
    match name.as_str() {
        "large-row" => large_row(&folder, trouble),
        "cut-off" => cut_off(&folder, trouble),
        "hopeless" => hopeless(&folder, trouble),
        "apart" => apart(&folder, trouble),
        _ => {
            eprintln!("unknown scenario `{name}`");
            std::process::exit(2);
        }
    }
}
