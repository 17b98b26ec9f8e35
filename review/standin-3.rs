//! Stand-ins of the platform's store, the workers and the clients for the cases 7 to 11, with the
//! scenarios of these cases. Uses the standard library only; `build-3.sh` builds it.
//!
//! Usage: standin-3 SCENARIO FOLDER. The boxes are separate processes of the release build
//! (`target/release/willowpoint serve --config FILE`). Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;

// Figures of the deployment, as in the settings that the users' pages show.
const HEARTBEAT_MS: u64 = 1_100;
const MAX_HOLD_MS: u64 = 6_000;
const STOP_MS: u64 = 200; // A stop takes at most 900 ms.
const GANG_MS: u64 = 3_000;
const TX_MS: u64 = 5;
const HOST: &str = "shop.example";
const SERVICE: &str = "stock";
/// Time after which the program ends whatever happens.
const WATCHDOG_S: u64 = 114;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_blanks(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }
    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
    fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(bytes, at);
                if bytes.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                let name = parse_text(bytes, at)?;
                skip_blanks(bytes, at);
                if bytes.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                fields.push((name, parse_value(bytes, at)?));
                skip_blanks(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_blanks(bytes, at);
                if bytes.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(parse_value(bytes, at)?);
                skip_blanks(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' if bytes[*at..].starts_with(b"true") => {
            *at += 4;
            Some(Json::Bool)
        }
        b'f' if bytes[*at..].starts_with(b"false") => {
            *at += 5;
            Some(Json::Bool)
        }
        b'n' if bytes[*at..].starts_with(b"null") => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let mut buffer = [0; 4];
                        let sign = char::from_u32(code)?;
                        text.extend(sign.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for sign in text.chars() {
        match sign {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            sign if (sign as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", sign as u32)),
            sign => quoted.push(sign),
        }
    }
    quoted.push('"');
    quoted
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(*chunk.get(n).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(SIGNS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

struct Reply {
    status: u16,
    body: String,
}

fn reply(status: u16, body: impl Into<String>) -> Option<Reply> {
    Some(Reply {
        status,
        body: body.into(),
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%' && at + 2 < bytes.len())
            .then(|| u8::from_str_radix(text.get(at + 1..at + 3)?, 16).ok())
            .flatten();
        match code {
            Some(code) => {
                plain.push(code);
                at += 3;
            }
            None => {
                plain.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
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
    let length = headers.get("content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_string(),
        query: query.map(|(k, v)| (unescape(k), unescape(v))).collect(),
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

/// A listening port with a thread for each connection.
struct Port {
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Port {
    fn open(
        address: Option<SocketAddr>,
        handle: impl Fn(Request) -> Option<Reply> + Send + Sync + 'static,
    ) -> (SocketAddr, Port) {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let listener = TcpListener::bind(address.unwrap_or(any)).unwrap_or_else(|error| {
            fail(&format!("a port can't be bound: {error}"));
        });
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let port = Port {
            stopped: Arc::default(),
            connections: Arc::default(),
        };
        let (stopped, connections) = (port.stopped.clone(), port.connections.clone());
        let handle = Arc::new(handle);
        spawn(move || {
            while !stopped.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(ms(2));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).ok();
                let kept = stream.try_clone().unwrap();
                connections.lock().unwrap().push(kept);
                let handle = handle.clone();
                spawn(move || serve_connection(stream, &*handle));
            }
        });
        (address, port)
    }

    /// Closes the port and all its connections, as the end of a process does.
    fn close(&self) {
        self.stopped.store(true, SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

fn serve_connection(stream: TcpStream, handle: &(dyn Fn(Request) -> Option<Reply> + Send + Sync)) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some(answer) = handle(request) else { break };
        let text = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            answer.status,
            answer.body.len(),
            answer.body
        );
        if writer.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    writer.shutdown(Shutdown::Both).ok();
}

/// Sends a request on a connection of its own; `None` without an answer in time.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&address, patience).ok()?;
    stream.set_nodelay(true).ok();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        patience.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (mut answer, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let left = until.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(ms(1)))).ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => answer.extend(&buffer[..count]),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n")?.1.to_string();
    Some((status, body))
}

// ---------------------------------------------------------------- Store

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Values in base64; `None` for a dropped row.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    version: u64,
}

#[derive(Default)]
struct Store {
    state: Mutex<Rows>,
    changed: Condvar,
}

fn row_json(key: &RowKey, row: Option<&(Option<String>, u64)>) -> String {
    let (table, part, name) = (quoted(&key.0), quoted(&key.1), quoted(&key.2));
    let rest = match row {
        Some((Some(value), ver)) => format!("\"value\":{},\"ver\":{ver}", quoted(value)),
        Some((None, ver)) => format!("\"gone\":true,\"ver\":{ver}"),
        None => "\"ver\":0".into(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{name},{rest}}}")
}

impl Store {
    fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_string(), String::new(), key.to_string());
        let value = Some(base64(value.as_bytes()));
        state.rows.insert(key, (value, version));
        self.changed.notify_all();
    }

    fn drop_row(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_string(), String::new(), key.to_string());
        state.rows.insert(key, (None, version));
        self.changed.notify_all();
    }

    fn handle(&self, request: Request, started: Instant) -> Option<Reply> {
        let now_ms = started.elapsed().as_millis();
        let parameter = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => {
                sleep(ms(TX_MS));
                self.transact(&request.body, now_ms)
            }
            ("GET", "/rows-get") => {
                let state = self.state.lock().unwrap();
                let (table, part) = (parameter("table"), parameter("part"));
                let (from, to) = (parameter("from"), parameter("targetVersion"));
                let limit = parameter("limit").parse().unwrap_or(500usize).min(500);
                let first = (table.clone(), part.clone(), from);
                let found = state.rows.range(first..);
                let found = found.take_while(|(k, _)| k.0 == table && k.1 == part);
                let found = found.filter(|(k, r)| r.0.is_some() && (to.is_empty() || k.2 < to));
                let found: Vec<_> = found.take(limit + 1).collect();
                let rows: Vec<String> = found
                    .iter()
                    .take(limit)
                    .map(|(k, r)| row_json(k, Some(*r)))
                    .collect();
                reply(
                    200,
                    format!(
                        "{{\"rows\":[{}],\"more\":{},\"ver\":{},\"now_ms\":{now_ms}}}",
                        rows.join(","),
                        found.len() > limit,
                        state.version
                    ),
                )
            }
            ("GET", "/rows-parts") => {
                let state = self.state.lock().unwrap();
                let (table, after) = (parameter("table"), parameter("after"));
                let rows = state.rows.iter().filter(|(_, row)| row.0.is_some());
                let parts: BTreeSet<_> = rows
                    .filter(|(k, _)| k.0 == table && k.1 > after)
                    .map(|(k, _)| quoted(&k.1))
                    .collect();
                let parts: Vec<_> = parts.into_iter().collect();
                reply(
                    200,
                    format!(
                        "{{\"parts\":[{}],\"more\":false,\"ver\":{},\"now_ms\":{now_ms}}}",
                        parts.join(","),
                        state.version
                    ),
                )
            }
            ("GET", "/rows-feed") => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + ms(wait.min(30_000));
                let table = parameter("table");
                let mut state = self.state.lock().unwrap();
                loop {
                    let changed = state.rows.iter();
                    let changed = changed.filter(|(k, r)| k.0 == table && r.1 > after);
                    let mut changed: Vec<_> = changed.collect();
                    changed.sort_by_key(|(_, row)| row.1);
                    let left = until.checked_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_none() {
                        let rows: Vec<_> =
                            changed.iter().map(|(k, r)| row_json(k, Some(*r))).collect();
                        let (ver, now) = (state.version, started.elapsed().as_millis());
                        let rows = rows.join(",");
                        let text = format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now}}}");
                        return reply(200, text);
                    }
                    drop(changed);
                    state = self.changed.wait_timeout(state, left.unwrap()).unwrap().0;
                }
            }
            _ => reply(404, "{}"),
        }
    }

    fn transact(&self, body: &str, now_ms: u128) -> Option<Reply> {
        let Some(call) = Json::parse(body) else {
            return reply(400, "{}");
        };
        let key = |entry: &Json| -> RowKey {
            let text = |name| entry.get(name).text().to_string();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.state.lock().unwrap();
        let conditions = call.get("expectedRevision").items();
        let holds = |condition: &Json| {
            let row = state.rows.get(&key(condition));
            let version = row.filter(|r| r.0.is_some()).map_or(0, |r| r.1);
            condition.get("ver").number() == Some(version)
        };
        if !conditions.iter().all(holds) {
            let rows: Vec<_> = conditions
                .iter()
                .map(|c| row_json(&key(c), state.rows.get(&key(c))))
                .collect();
            let (rows, ver) = (rows.join(","), state.version);
            let text = format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now_ms}}}");
            return reply(412, text);
        }
        if call
            .get("put")
            .items()
            .iter()
            .any(|p| p.get("table").text() == "servers")
        {
            return reply(403, "{}");
        }
        state.version += 1;
        let version = state.version;
        for entry in call.get("put").items() {
            let value = entry.get("value").text().to_string();
            state.rows.insert(key(entry), (Some(value), version));
        }
        for entry in call.get("remove").items() {
            state.rows.insert(key(entry), (None, version));
        }
        self.changed.notify_all();
        reply(200, format!("{{\"ver\":{version},\"now_ms\":{now_ms}}}"))
    }
}

// ---------------------------------------------------------------- Jobs and what happened

/// What a task of a step does.
#[derive(Clone, Debug, Default)]
struct StepDef {
    count: u64,
    cpu: u64,
    mem: u64,
    ms: u64,
    gang: bool,
    lasting: bool,
    /// Its tasks can never be done: each run ends failed.
    hopeless: bool,
    after: Vec<u64>,
}

#[derive(Clone, Debug)]
enum Event {
    Start {
        at: u64,
        task: String,
        run: u64,
        worker: String,
    },
    End {
        task: String,
        how: String,
    },
}

struct Gang {
    present: BTreeSet<String>,
    works_since: Option<Instant>,
    over: Option<&'static str>,
}

struct World {
    started: Instant,
    record: Mutex<File>,
    events: Mutex<Vec<Event>>,
    store: Store,
    jobs: Mutex<HashMap<String, Vec<StepDef>>>,
    gangs: Mutex<HashMap<String, Gang>>,
    lives: Mutex<Vec<Arc<Life>>>,
    pids: Mutex<Vec<i32>>,
    next_id: AtomicU64,
}

impl World {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
    fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.now(), text.as_ref());
        self.record.lock().unwrap().write_all(line.as_bytes()).ok();
    }
    fn step(&self, task: &str) -> Option<StepDef> {
        let mut parts = task.split('.');
        let job = parts.next()?;
        let step: usize = parts.nth(1)?.parse().ok()?;
        self.jobs.lock().unwrap().get(job)?.get(step).cloned()
    }
    fn events_of(&self, job: &str) -> Vec<Event> {
        let is_of = |event: &&Event| match event {
            Event::Start { task, .. } | Event::End { task, .. } => task.starts_with(job),
        };
        self.events
            .lock()
            .unwrap()
            .iter()
            .filter(is_of)
            .cloned()
            .collect()
    }
    fn starts_of(&self, job: &str) -> Vec<(u64, String, u64, String)> {
        let events = self.events_of(job).into_iter();
        events
            .filter_map(|event| match event {
                Event::Start {
                    at,
                    task,
                    run,
                    worker,
                } => Some((at, task, run, worker)),
                Event::End { .. } => None,
            })
            .collect()
    }
    fn ends_of(&self, job: &str, how: &str) -> usize {
        let events = self.events_of(job);
        let is_so = |event: &&Event| matches!(event, Event::End { how: h, .. } if h == how);
        events.iter().filter(is_so).count()
    }
}

// ---------------------------------------------------------------- Workers

struct Run {
    run: u64,
    started: Instant,
    /// When it ends by itself, and how.
    due: Option<(Instant, &'static str)>,
    gang: Option<String>,
    stop_at: Option<Instant>,
}

#[derive(Default)]
struct LifeState {
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    finished: VecDeque<(u64, String, u64, String)>,
    last_number: u64,
    /// Highest run that was stopped or has ended, by task.
    ended: HashMap<String, u64>,
}

/// One life of a worker.
struct Life {
    id: String,
    born: Instant,
    clock_at_birth: u64,
    room: (u64, u64),
    state: Mutex<LifeState>,
    changed: Condvar,
    dead: AtomicBool,
    /// True while it fails all that it starts.
    grey: AtomicBool,
    /// Calls get no answer and aren't carried out.
    cut: AtomicBool,
}

impl Life {
    fn lock(&self) -> MutexGuard<'_, LifeState> {
        self.state.lock().unwrap()
    }
    fn alive(&self) -> bool {
        !self.dead.load(SeqCst)
    }
    fn clock(&self) -> u64 {
        self.clock_at_birth + self.born.elapsed().as_millis() as u64
    }

    fn end(&self, world: &World, state: &mut LifeState, task: &str, how: &str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_number += 1;
        let number = state.last_number;
        state
            .finished
            .push_back((number, task.to_string(), run.run, how.to_string()));
        let ended = state.ended.entry(task.to_string()).or_default();
        *ended = (*ended).max(run.run);
        let worked = run.started.elapsed().as_millis();
        let (id, number) = (&self.id, run.run);
        world.note(format!(
            "worker {id}: task {task} run {number} ended {how} after {worked} ms"
        ));
        world.events.lock().unwrap().push(Event::End {
            task: task.to_string(),
            how: how.to_string(),
        });
        if let Some(gang) = &run.gang
            && how != "done"
            && let Some(gang) = world.gangs.lock().unwrap().get_mut(gang)
        {
            gang.over.get_or_insert("broken");
        }
        self.changed.notify_all();
    }

    /// Extends the lease; everything is killed once it is over.
    fn extend(&self, state: &mut LifeState, call: &Json) {
        if let Some(deadline) = call.get("deadlineMs").number() {
            let longest = self.clock() + MAX_HOLD_MS;
            state.lease = state.lease.max(deadline.min(longest));
        }
    }

    /// Ends what is due.
    fn tick(&self, world: &World) {
        let mut state = self.lock();
        let now = Instant::now();
        if self.clock() >= state.lease {
            for task in state.running.keys().cloned().collect::<Vec<_>>() {
                self.end(world, &mut state, &task, "lapsed");
            }
        }
        let mut ends = Vec::new();
        for (task, run) in &state.running {
            let over = run.gang.as_ref().and_then(|name| {
                let mut gangs = world.gangs.lock().unwrap();
                let gang = gangs.get_mut(name)?;
                let count = world.step(task).map_or(1, |s| s.count) as usize;
                if gang.works_since.is_none() && gang.present.len() >= count {
                    gang.works_since = Some(now);
                }
                let work = world.step(task).map_or(0, |s| s.ms);
                if gang
                    .works_since
                    .is_some_and(|since| now >= since + ms(work))
                {
                    gang.over.get_or_insert("done");
                }
                if gang.over.is_none()
                    && gang.works_since.is_none()
                    && now >= run.started + ms(GANG_MS)
                {
                    return Some("alone");
                }
                gang.over
            });
            if run.stop_at.is_some_and(|at| now >= at) {
                ends.push((task.clone(), "stopped"));
            } else if let Some((_, how)) = run.due.filter(|(at, _)| now >= *at) {
                ends.push((task.clone(), how));
            } else if let Some(how) = over {
                ends.push((task.clone(), how));
            }
        }
        for (task, how) in ends {
            self.end(world, &mut state, &task, how);
        }
    }

    fn handle(&self, world: &World, request: Request) -> Option<Reply> {
        if !self.alive() {
            return None;
        }
        if self.cut.load(SeqCst) {
            sleep(ms(30_000));
            return None;
        }
        if request.path == "/health" {
            return reply(200, "{}");
        }
        let expected = request.headers.get("x-expect-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return reply(421, format!("{{\"clockMs\":{}}}", self.clock()));
        }
        let Some(call) = Json::parse(&request.body) else {
            return reply(400, "{}");
        };
        let conflict = |reason: &str| {
            let clock = self.clock();
            reply(
                409,
                format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        let fence = call.get("fence").number().unwrap_or(0);
        let task = call.get("task").text().to_string();
        let run = call.get("run").number().unwrap_or(0);
        let mut state = self.lock();
        if fence < state.fence {
            return conflict("fence");
        }
        state.fence = fence;
        match request.path.as_str() {
            "/run-start" => {
                let Some(step) = world.step(&task) else {
                    return reply(400, "{}");
                };
                let deadline = call.get("deadlineMs").number().unwrap_or(0);
                if deadline <= self.clock() {
                    return conflict("late");
                }
                self.extend(&mut state, &call);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|known| known.run == run)
                {
                    return reply(200, format!("{{\"clockMs\":{}}}", self.clock()));
                }
                let known = state.running.get(&task).map_or(0, |known| known.run);
                if run <= known.max(state.ended.get(&task).copied().unwrap_or(0)) {
                    return conflict("old");
                }
                let sizes = state.running.keys().filter_map(|task| world.step(task));
                let used = sizes.fold((0, 0), |sum, s| (sum.0 + s.cpu, sum.1 + s.mem));
                if used.0 + step.cpu > self.room.0 || used.1 + step.mem > self.room.1 {
                    return conflict("room");
                }
                let now = Instant::now();
                let grey = self.grey.load(SeqCst);
                let due = match (grey, step.gang || step.lasting) {
                    (true, _) => Some((now + ms(20), "failed")),
                    (false, true) => None,
                    (false, false) if step.hopeless => Some((now + ms(step.ms), "failed")),
                    (false, false) => Some((now + ms(step.ms), "done")),
                };
                let gang = step.gang.then(|| {
                    let name = format!("{}#{run}", task.rsplit_once('.').unwrap().0);
                    let mut gangs = world.gangs.lock().unwrap();
                    let gang = gangs.entry(name.clone()).or_insert_with(|| Gang {
                        present: BTreeSet::new(),
                        works_since: None,
                        over: None,
                    });
                    gang.present.insert(task.clone());
                    name
                });
                let id = &self.id;
                world.note(format!(
                    "worker {id}: task {task} run {run} started (fence {fence})"
                ));
                world.events.lock().unwrap().push(Event::Start {
                    at: world.now(),
                    task: task.clone(),
                    run,
                    worker: id.clone(),
                });
                let started = Run {
                    run,
                    started: now,
                    due,
                    gang,
                    stop_at: None,
                };
                state.running.insert(task, started);
                self.changed.notify_all();
                reply(200, format!("{{\"clockMs\":{}}}", self.clock()))
            }
            "/run-stop" => {
                match state
                    .running
                    .get_mut(&task)
                    .filter(|known| known.run <= run)
                {
                    Some(known) => {
                        known.stop_at.get_or_insert(Instant::now() + ms(STOP_MS));
                        world.note(format!("worker {}: stop of task {task} run {run}", self.id));
                    }
                    None => {
                        let ended = state.ended.entry(task).or_default();
                        *ended = (*ended).max(run);
                    }
                }
                reply(200, format!("{{\"clockMs\":{}}}", self.clock()))
            }
            "/pace" => reply(200, format!("{{\"clockMs\":{}}}", self.clock())),
            "/hold" => {
                self.extend(&mut state, &call);
                let seen = call.get("lastSeen").number().unwrap_or(0);
                while state.finished.front().is_some_and(|end| end.0 <= seen) {
                    state.finished.pop_front();
                }
                let wait = call.get("waitMs").number().unwrap_or(0).min(2_000);
                let until = Instant::now() + ms(wait);
                while state.finished.is_empty() {
                    let Some(left) = until.checked_duration_since(Instant::now()) else {
                        break;
                    };
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                if !self.alive() {
                    return None;
                }
                let running: Vec<_> = state
                    .running
                    .iter()
                    .map(|(task, r)| format!("[{},{},\"\",100,0]", quoted(task), r.run))
                    .collect();
                let finished: Vec<_> = state
                    .finished
                    .iter()
                    .take(500)
                    .map(|(n, task, run, how)| {
                        format!("[{n},{},{run},\"{how}\",\"\"]", quoted(task))
                    })
                    .collect();
                reply(
                    200,
                    format!(
                        "{{\"clockMs\":{},\"running\":[{}],\"finished\":[{}]}}",
                        self.clock(),
                        running.join(","),
                        finished.join(",")
                    ),
                )
            }
            _ => reply(404, "{}"),
        }
    }
}

/// A place where one life of a worker follows another.
struct Machine {
    world: Arc<World>,
    address: SocketAddr,
    rack: String,
    life: Arc<Life>,
    port: Port,
}

impl Machine {
    fn start(world: &Arc<World>, number: usize, address: Option<SocketAddr>) -> Machine {
        let count = world.next_id.fetch_add(1, SeqCst);
        let life = Arc::new(Life {
            id: format!("i-{:08x}", 0x3c1f_0000 + count * 7919),
            born: Instant::now(),
            clock_at_birth: 100_000 + count * 1_000,
            room: (16_000, 64_000),
            state: Mutex::default(),
            changed: Condvar::new(),
            dead: AtomicBool::new(false),
            grey: AtomicBool::new(false),
            cut: AtomicBool::new(false),
        });
        let (served, in_world) = (life.clone(), world.clone());
        let (address, port) = Port::open(address, move |r| served.handle(&in_world, r));
        world.lives.lock().unwrap().push(life.clone());
        let rack = format!("r1-{}", number / 8 + 1);
        let machine = Machine {
            world: world.clone(),
            address,
            rack,
            life,
            port,
        };
        machine.list("ready");
        world.note(format!("worker {}: begins at {address}", machine.life.id));
        machine
    }

    fn list(&self, state: &str) {
        let (address, rack, clock) = (self.address, &self.rack, self.life.clock());
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"h1\",\
             \"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"capacity\":{{\"cpu\":16000,\"memMb\":64000,\"gpu\":0}},\
             \"labels\":[\"a\",\"{rack}\"],\"clockMs\":{clock},\"seq\":1}}"
        );
        self.world.store.put("servers", &self.life.id, &entry);
    }

    /// The worker crashes. Its entry is removed after three heartbeats of silence.
    fn crash(&self) {
        self.life.dead.store(true, SeqCst);
        let tasks: Vec<_> = self.life.lock().running.keys().cloned().collect();
        self.world.note(format!(
            "TROUBLE worker {} crashes with {tasks:?}",
            self.life.id
        ));
        for task in &tasks {
            let gang = self
                .life
                .lock()
                .running
                .get(task)
                .and_then(|r| r.gang.clone());
            if let Some(gang) = gang {
                let mut gangs = self.world.gangs.lock().unwrap();
                gangs.get_mut(&gang).unwrap().over.get_or_insert("broken");
            }
        }
        self.life.changed.notify_all();
        self.port.close();
        let (world, id) = (self.world.clone(), self.life.id.clone());
        spawn(move || {
            sleep(ms(3 * HEARTBEAT_MS));
            world.store.drop_row("servers", &id);
        });
    }

    /// A new life begins at the same address.
    fn begin_again(&mut self, number: usize) {
        sleep(ms(10));
        *self = Machine::start(&self.world.clone(), number, Some(self.address));
    }
}

// ---------------------------------------------------------------- Boxes

struct BoxProcess {
    web: SocketAddr,
    admin: SocketAddr,
    log: PathBuf,
}

/// Returns an address with a free port that this program has not given out before.
fn free_address() -> SocketAddr {
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port can be bound");
        let address = listener.local_addr().unwrap();
        if GIVEN.lock().unwrap().insert(address.port()) {
            return address;
        }
    }
}

impl BoxProcess {
    fn start(world: &World, folder: &Path, number: usize, store: SocketAddr) -> BoxProcess {
        let (web, admin, rpc) = (free_address(), free_address(), free_address());
        let metrics = free_address();
        let settings = folder.join(format!("box-{number}.conf"));
        let text = format!(
            "[box]\nname = \"e{number}\"\nhall = \"h1\"\ncores = 0.25\n\
             descriptors = 4100\nmemory = 260\nweb = \"{web}\"\nadmin = \"{admin}\"\n\
             rpc = \"{rpc}\"\nmetrics = \"{metrics}\"\n\n[platform]\nstore = \"{store}\"\n\
             drain = \"2000ms\"\nrow-bytes = 65536\ngrace = \"6s\"\nlongest-lease = \"6000ms\"\n\
             heartbeat = \"1100ms\"\nlongest-over = \"4000ms\"\nfar-factor = 2\n\n[jobs]\n\
             remember = \"120s\"\n\n[mechanisms]\nadmission = true\nshares = true\n\
             learning = true\ncopies = false\nspreading = true\nsnapshot = true\n\n[log]\n\
             format = \"text\"\nlevel = \"info\"\n"
        );
        std::fs::write(&settings, text).unwrap();
        let log = folder.join(format!("box-{number}.log"));
        let output = File::create(&log).unwrap();
        let child = Command::new("target/release/willowpoint")
            .args(["serve", "--config"])
            .arg(&settings)
            .env("WILLOWPOINT_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap_or_else(|error| fail(&format!("a box doesn't start: {error}")));
        world.pids.lock().unwrap().push(child.id() as i32);
        world.note(format!("box {number}: process {} at {web}", child.id()));
        BoxProcess { web, admin, log }
    }
    fn is_ready(&self) -> bool {
        call(self.admin, "GET", "/ready", "", ms(1_000)).is_some_and(|(status, _)| status == 200)
    }
}

// ---------------------------------------------------------------- Scenarios

struct Deployment {
    world: Arc<World>,
    folder: PathBuf,
    trouble: bool,
    boxes: Vec<BoxProcess>,
    machines: Vec<Machine>,
    store: SocketAddr,
    _store_port: Port,
    next_box: AtomicU64,
}

/// A queue: path, priority, attempts.
type QueueDef = (&'static str, u64, u64);

static WORLD: Mutex<Option<Arc<World>>> = Mutex::new(None);

/// Ends all processes that were started, and this one.
fn finish(code: i32) -> ! {
    if let Some(world) = WORLD.lock().unwrap().as_ref() {
        for pid in world.pids.lock().unwrap().iter() {
            unsafe {
                kill(*pid, SIGCONT);
                kill(*pid, SIGKILL);
            }
        }
        world.note(format!("exit {code}"));
    }
    std::process::exit(code)
}

fn fail(text: &str) -> ! {
    eprintln!("can't run: {text}");
    if let Some(world) = WORLD.lock().unwrap().as_ref() {
        world.note(format!("can't run: {text}"));
    }
    finish(2)
}

impl Deployment {
    fn start(folder: &Path, boxes: usize, workers: usize, queues: &[QueueDef]) -> Deployment {
        let record = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let world = Arc::new(World {
            started: Instant::now(),
            record: Mutex::new(record),
            events: Mutex::default(),
            store: Store::default(),
            jobs: Mutex::default(),
            gangs: Mutex::default(),
            lives: Mutex::default(),
            pids: Mutex::default(),
            next_id: AtomicU64::new(1),
        });
        *WORLD.lock().unwrap() = Some(world.clone());
        spawn(|| {
            sleep(Duration::from_secs(WATCHDOG_S));
            fail("it took too long");
        });
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        world.note(format!("trouble: {trouble}"));
        let temporary =
            std::env::temp_dir().join(format!("willowpoint-review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder can be made");
        let served = world.clone();
        let (store, port) = Port::open(None, move |r| served.store.handle(r, served.started));
        let mut deployment = Deployment {
            world: world.clone(),
            folder: temporary,
            trouble,
            boxes: Vec::new(),
            machines: Vec::new(),
            store,
            _store_port: port,
            next_box: AtomicU64::new(1),
        };
        deployment.configure(7, queues);
        for number in 0..workers {
            deployment
                .machines
                .push(Machine::start(&world, number, None));
        }
        let ticking = world.clone();
        spawn(move || {
            loop {
                let lives: Vec<_> = ticking.lives.lock().unwrap().clone();
                for life in lives.iter().filter(|life| life.alive()) {
                    life.tick(&ticking);
                }
                sleep(ms(5));
            }
        });
        for _ in 0..boxes {
            deployment.add_box();
        }
        let until = Instant::now() + ms(10_000);
        while !deployment.boxes.iter().all(BoxProcess::is_ready) {
            if Instant::now() > until {
                fail("the boxes don't become ready");
            }
            sleep(ms(100));
        }
        // Boxes are ready some time before they know an owner: wait until a queue is answered.
        let path = queues[0].0;
        let answered = |b: &BoxProcess| {
            call(b.web, "GET", path, "", ms(1_000)).is_some_and(|(status, _)| status == 200)
        };
        while !deployment.boxes.iter().all(answered) {
            if Instant::now() > until {
                fail("the boxes don't answer");
            }
            sleep(ms(100));
        }
        deployment.wait(3_000);
        world.note("all boxes answer");
        deployment
    }

    fn configure(&self, version: u64, queues: &[QueueDef]) {
        let routes: Vec<_> = queues
            .iter()
            .enumerate()
            .map(|(n, (path, priority, attempts))| {
                format!(
                    "{{\"name\":\"q{n}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{path}\",\
                     \"type\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":2500,\
                     \"priority\":{priority},\"service\":\"{SERVICE}\",\
                     \"maxAttempts\":{attempts},\"stretch\":2.2}}"
                )
            })
            .collect();
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"enforcesCapacity\":true,\"spare\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            routes.join(",")
        );
        self.world.store.put("op", "config", &config);
    }

    fn add_box(&mut self) {
        let number = self.next_box.fetch_add(1, SeqCst) as usize;
        let process = BoxProcess::start(&self.world, &self.folder, number, self.store);
        self.boxes.push(process);
    }

    fn wait(&self, time: u64) {
        sleep(ms(time));
    }

    /// Sends a client's call to a box and records it.
    fn send(
        &self,
        number: usize,
        method: &str,
        path: &str,
        body: &str,
        patience: u64,
    ) -> Option<(u16, String)> {
        let sent = self.world.now();
        let answer = call(self.boxes[number].web, method, path, body, ms(patience));
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".into(),
        };
        self.world.note(format!(
            "client: {method} {path} {body} to box {} (sent at {sent}) -> {shown}",
            number + 1
        ));
        answer
    }

    /// Makes a job known to the workers, and returns its body.
    fn job(&self, id: &str, steps: &[StepDef], extra: &str) -> String {
        self.world
            .jobs
            .lock()
            .unwrap()
            .insert(id.to_string(), steps.to_vec());
        let texts: Vec<_> = steps
            .iter()
            .map(|step| {
                let mut text = format!(
                    "{{\"count\":{},\"cpu\":{},\"memMb\":{},\"estimateMs\":{}",
                    step.count,
                    step.cpu,
                    step.mem,
                    step.ms.max(1)
                );
                if step.gang {
                    text.push_str(",\"gang\":true");
                }
                if step.lasting {
                    text.push_str(",\"persistent\":true");
                }
                if !step.after.is_empty() {
                    text.push_str(&format!(",\"after\":{:?}", step.after));
                }
                text + "}"
            })
            .collect();
        format!(
            "{{\"spec\":\"spec of {id}\",\"steps\":[{}]{extra}}}",
            texts.join(",")
        )
    }

    /// Submits a job, also again after silence, as clients do; ends the case if it isn't accepted.
    fn submit(&self, prefix: &str, id: &str, steps: &[StepDef], extra: &str) {
        let body = self.job(id, steps, extra);
        for attempt in 0..20 {
            let number = attempt % self.boxes.len();
            let answer = self.send(number, "POST", &format!("{prefix}{id}"), &body, 3_000);
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            self.wait(300);
        }
        fail("a job isn't accepted");
    }

    fn state(&self, number: usize, prefix: &str, id: &str) -> String {
        let answer = self.send(number, "GET", &format!("{prefix}{id}"), "", 2_000);
        match answer {
            Some((200, body)) => {
                let shown = Json::parse(&body);
                shown.map_or(String::new(), |shown| shown.get("state").text().to_string())
            }
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }

    fn verdict(&self, broken: Option<String>) -> ! {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for b in &self.boxes {
                let name = b.log.file_name().unwrap();
                std::fs::copy(&b.log, Path::new(&folder).join(name)).ok();
            }
        }
        std::fs::remove_dir_all(&self.folder).ok();
        match broken {
            Some(text) => {
                self.world.note(format!("BROKEN: {text}"));
                println!("broken: {text}");
                finish(1)
            }
            None => {
                self.world.note("HELD");
                println!("held");
                finish(0)
            }
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = &arguments[..] else {
        eprintln!("usage: standin-3 SCENARIO FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(folder);
    match scenario.as_str() {
        "flaky" => flaky(folder),
        "gang" => gang(folder),
        "poison" => poison(folder),
        _ => {
            eprintln!("no such scenario");
            std::process::exit(2);
        }
    }
}

/// One machine crashes again and again; the job that finds room only there must go on.
fn flaky(folder: &Path) -> ! {
    const PREFIX: &str = "/orders/";
    let mut d = Deployment::start(folder, 2, 8, &[(PREFIX, 0, 2)]);
    let lasting = StepDef {
        count: 1,
        cpu: 12_000,
        mem: 8_000,
        lasting: true,
        ..StepDef::default()
    };
    let ids: Vec<_> = (0..8).map(|n| format!("1a2b3c4d5e6f708{n}")).collect();
    for id in &ids {
        d.submit(PREFIX, id, std::slice::from_ref(&lasting), "");
    }
    d.wait(5_000);
    for _ in 0..6 {
        if d.trouble {
            d.machines[3].crash();
        }
        d.wait(4_500);
        if d.trouble {
            d.machines[3].begin_again(3);
        }
        d.wait(4_500);
    }
    d.wait(8_000);
    let mut broken = None;
    for id in &ids {
        let failed = d.world.ends_of(id, "failed");
        let state = d.state(0, PREFIX, id);
        if state == "failed" {
            broken = Some(format!(
                "the lasting job {id} is shown as failed; {failed} of its runs ended failed"
            ));
        }
    }
    d.verdict(broken)
}

/// A worker fails all that it starts; a gang with two members there has failed once.
fn gang(folder: &Path) -> ! {
    const PREFIX: &str = "/orders/";
    let d = Deployment::start(folder, 2, 10, &[(PREFIX, 0, 2)]);
    let step = StepDef {
        count: 30,
        cpu: 4_000,
        mem: 4_000,
        ms: 2_000,
        gang: true,
        ..StepDef::default()
    };
    if d.trouble {
        d.machines[4].life.grey.store(true, SeqCst);
        d.world.note(format!(
            "TROUBLE worker {} fails all that it starts",
            d.machines[4].life.id
        ));
    }
    let id = "1a2b3c4d5e6f7080";
    d.submit(PREFIX, id, &[step], "");
    d.wait(5_500);
    d.machines[4].life.grey.store(false, SeqCst);
    d.world.note("the worker is sound again");
    d.wait(10_000);
    let runs: BTreeSet<_> = d.world.starts_of(id).into_iter().map(|s| s.2).collect();
    let state = d.state(0, PREFIX, id);
    let failed = d.world.ends_of(id, "failed");
    let broken = (state == "failed" && runs.len() < 2).then(|| {
        format!("the gang's job is shown as failed after {} run of the gang (maxAttempts 2; {failed} members ended failed in it)", runs.len())
    });
    d.verdict(broken)
}

/// One job can never be done; sound jobs must start meanwhile and afterwards.
fn poison(folder: &Path) -> ! {
    const PREFIX: &str = "/orders/";
    const FREE_MS: u64 = 3_000;
    const CALM_MS: u64 = 4_000;
    let d = Deployment::start(folder, 2, 4, &[(PREFIX, 0, 3)]);
    let sound = StepDef {
        count: 1,
        cpu: 1_000,
        mem: 1_000,
        ms: 400,
        ..StepDef::default()
    };
    let hopeless = StepDef {
        count: 36,
        cpu: 1_600,
        mem: 3_200,
        ms: 400,
        hopeless: true,
        ..StepDef::default()
    };
    let bad = "1a2b3c4d5e6f7080";
    let mut sent = Vec::new();
    for number in 0..100 {
        if number == 20 && d.trouble {
            d.world.note("TROUBLE a job that can never be done");
            d.submit(PREFIX, bad, std::slice::from_ref(&hopeless), "");
        }
        let id = format!("2b3c4d5e6f70{number:04x}");
        let body = d.job(&id, std::slice::from_ref(&sound), "");
        let answer = d.send(number % 2, "POST", &format!("{PREFIX}{id}"), &body, 3_000);
        if answer.is_some_and(|(status, _)| status == 200) {
            sent.push((id, d.world.now()));
        }
        d.wait(250);
    }
    d.wait(18_000);
    let state = if d.trouble {
        d.state(0, PREFIX, bad)
    } else {
        String::new()
    };
    let runs: Vec<u64> = d.world.starts_of(bad).iter().map(|start| start.0).collect();
    let near = |from: u64, to: u64| {
        runs.iter()
            .any(|at| *at < to && at + hopeless.ms + 100 > from)
    };
    let mut broken = None;
    let mut waits = 0;
    for (id, accepted) in &sent {
        let begun = d
            .world
            .starts_of(id)
            .first()
            .map_or(d.world.now(), |start| start.0);
        // No run of the other job in the 3 s and the 4 s before them.
        let ends = runs.iter().map(|at| at + hopeless.ms + 100 + CALM_MS);
        let mut moments = ends.chain([*accepted]).filter(|at| at >= accepted);
        let calm =
            |at: &u64| begun >= at + FREE_MS && !near(at.saturating_sub(CALM_MS), at + FREE_MS);
        if let Some(since) = moments.find(calm) {
            waits += 1;
            broken.get_or_insert(format!(
                "job {id} was accepted at {accepted} and had nothing running until {begun}; from {since} on this was calm"
            ));
        }
    }
    d.world.note(format!(
        "{waits} sound jobs had nothing running for 3 s in calm; the other job: {state}, {} runs",
        runs.len()
    ));
    d.world.note(format!("{} sound jobs accepted", sent.len()));
    d.verdict(broken)
}
