//! Stand-in for the platform's store: rows in tables, conditional transactions, change feeds, and
//! simulated faults.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};
use monoio::time::sleep;
use serde_json::{Value, json};
use willowpoint::web::{Reply, Request};

/// How long a call without an answer is kept open; its client has given up by then.
const HOLD_TIME: Duration = Duration::from_secs(5);
/// Largest value of a row in bytes.
const MAX_ROW: usize = 65_536;
/// Largest transaction in bytes.
const MAX_TRANSACTION: usize = 1 << 20;
/// Time between two checks for a change that a feed waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Serves all calls.
    #[default]
    Serving,
    /// Neither executes nor answers calls.
    Silent,
    /// Refuses all calls.
    Rejecting,
    /// Executes all calls, but does not answer transactions.
    DroppingReplies,
}

/// A row, or what is left of a deleted row.
#[derive(Clone, Debug)]
struct Row {
    /// Base64 text; `None` for a deleted row.
    value: Option<String>,
    version: u64,
}

/// Contents of the store and its simulated faults.
#[derive(Default)]
struct StoreState {
    /// Rows by table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    version: u64,
    /// Feeds cannot deliver changes up to this version any more.
    forgotten_version: u64,
    behavior: Behavior,
    /// Delay of each answer.
    delay: Duration,
    /// Key of the rows whose writes are refused.
    unwritable_key: Option<String>,
    /// Table whose reads are refused.
    unreadable_table: Option<String>,
    /// Number of pages read from each table.
    page_reads: HashMap<String, usize>,
    /// Number of transactions that were asked for.
    transactions: usize,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
}

impl Store {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Sets how calls are handled from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state().behavior = behavior;
    }

    /// Refuses reads of a table from now on; `None` allows all reads.
    pub fn refuse_reads(&self, table: Option<&str>) {
        self.state().unreadable_table = table.map(String::from);
    }

    /// Refuses transactions that put rows with a key from now on; `None` allows all keys.
    pub fn refuse_writes(&self, key: Option<&str>) {
        self.state().unwritable_key = key.map(String::from);
    }

    /// Sets the delay of each answer from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Forgets the history of changes, so that clients of feeds have to read the tables again.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.version += 1;
        state.forgotten_version = state.version;
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_in(table, "", key, value);
    }

    /// Writes a row of a part of a table, as boxes do.
    pub fn put_in(&self, table: &str, part: &str, key: &str, value: &Value) {
        let text = STANDARD.encode(value.to_string());
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let key = (table.to_string(), part.to_string(), key.to_string());
        let value = Some(text);
        state.rows.insert(key, Row { value, version });
    }

    /// Writes `count` small rows into a part of a table, as boxes do.
    pub fn fill_rows(&self, table: &str, part: &str, count: usize) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        for number in 0..count {
            let key = (table.into(), part.into(), format!("z{number:05}"));
            let value = Some("e30=".into());
            state.rows.insert(key, Row { value, version });
        }
    }

    /// Returns the number of pages that were read from a table.
    pub fn pages_read(&self, table: &str) -> usize {
        self.state().page_reads.get(table).copied().unwrap_or(0)
    }

    /// Returns the number of transactions that were asked for.
    pub fn transactions(&self) -> usize {
        self.state().transactions
    }

    /// Deletes a row as the operator or a worker does.
    pub fn delete_row(&self, table: &str, key: &str) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let key = (table.to_string(), String::new(), key.to_string());
        let value = None;
        state.rows.insert(key, Row { value, version });
    }

    /// Serves a call.
    pub async fn handle(self, request: Request) -> Reply {
        let (behavior, delay) = {
            let state = self.state();
            (state.behavior, state.delay)
        };
        sleep(delay).await;
        match behavior {
            Behavior::Silent => {
                sleep(HOLD_TIME).await;
                Reply::text(StatusCode::GATEWAY_TIMEOUT, "")
            }
            Behavior::Rejecting => Reply::text(StatusCode::SERVICE_UNAVAILABLE, ""),
            Behavior::Serving | Behavior::DroppingReplies => self.serve(request, behavior).await,
        }
    }

    async fn serve(self, request: Request, behavior: Behavior) -> Reply {
        let query = parse_query(request.uri.query().unwrap_or(""));
        match (&request.method, request.uri.path()) {
            (&Method::POST, "/rows-tx") => {
                let reply = self.transact(&request.body);
                if behavior == Behavior::DroppingReplies {
                    sleep(HOLD_TIME).await;
                }
                reply
            }
            (&Method::GET, "/rows-get") => self.get(&query),
            (&Method::GET, "/rows-feed") => self.feed(&query).await,
            _ => Reply::text(StatusCode::NOT_FOUND, ""),
        }
    }

    /// Executes a transaction if all its conditions on versions hold.
    fn transact(&self, body: &[u8]) -> Reply {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return Reply::text(StatusCode::BAD_REQUEST, "no JSON");
        };
        let mut state = self.state();
        state.transactions += 1;
        if body.len() > MAX_TRANSACTION
            || entries(&call, "put").iter().any(|p| is_refused(&state, p))
        {
            return Reply::text(StatusCode::BAD_REQUEST, "a row is too large");
        }
        let conditions = entries(&call, "expectedRevision");
        let version = |state: &StoreState, entry: &Value| {
            let row = state.rows.get(&key_of(entry)).filter(|r| r.value.is_some());
            row.map_or(0, |r| r.version)
        };
        let failed = conditions
            .iter()
            .any(|c| Some(version(&state, c)) != c["ver"].as_u64());
        if failed {
            let rows: Vec<Value> = conditions
                .iter()
                .map(|c| row_json(&state, &key_of(c)))
                .collect();
            let answer = json!({ "rows": rows, "ver": state.version });
            return Reply::text(StatusCode::PRECONDITION_FAILED, answer.to_string());
        }
        state.version += 1;
        let version = state.version;
        for entry in entries(&call, "put") {
            let value = entry["value"].as_str().map(str::to_string);
            state.rows.insert(key_of(&entry), Row { value, version });
        }
        for entry in entries(&call, "remove") {
            let value = None;
            state.rows.insert(key_of(&entry), Row { value, version });
        }
        let answer = json!({ "ver": version, "now_ms": 1 });
        Reply::text(StatusCode::OK, answer.to_string())
    }

    /// Returns a page of the rows of a part of a table.
    fn get(&self, query: &HashMap<String, String>) -> Reply {
        let mut state = self.state();
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (parameter("table"), parameter("part"), parameter("from"));
        if state.unreadable_table.as_ref() == Some(&table) {
            return Reply::text(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        *state.page_reads.entry(table.clone()).or_default() += 1;
        let limit = parameter("limit").parse().unwrap_or(500);
        let is_in_page = |k: &&(String, String, String)| k.0 == table && k.1 == part && k.2 >= from;
        let keys = state.rows.iter().filter(|(_, r)| r.value.is_some());
        let keys: Vec<_> = keys.map(|(k, _)| k).filter(is_in_page).collect();
        let more = keys.len() > limit;
        let rows: Vec<Value> = keys
            .iter()
            .take(limit)
            .map(|k| row_json(&state, k))
            .collect();
        let answer = json!({ "rows": rows, "more": more, "ver": state.version });
        Reply::text(StatusCode::OK, answer.to_string())
    }

    /// Waits for changes of a table after a version and returns them.
    async fn feed(&self, query: &HashMap<String, String>) -> Reply {
        let number = |name: &str| query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let (after, wait): (u64, u64) = (number("after"), number("waitMs"));
        let table = query.get("table").cloned().unwrap_or_default();
        let end = std::time::Instant::now() + Duration::from_millis(wait);
        loop {
            if let Some(reply) = self.changes(&table, after, std::time::Instant::now() >= end) {
                return reply;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the answer of a feed if there are changes or the wait has ended (`last`).
    fn changes(&self, table: &str, after: u64, last: bool) -> Option<Reply> {
        let state = self.state();
        if after < state.forgotten_version {
            return Some(Reply::text(StatusCode::GONE, ""));
        }
        let changed = state
            .rows
            .iter()
            .filter(|(k, r)| k.0 == table && r.version > after);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, r)| r.version);
        if changed.is_empty() && !last {
            return None;
        }
        let rows: Vec<Value> = changed.iter().map(|(k, _)| row_json(&state, k)).collect();
        let answer = json!({ "rows": rows, "ver": state.version });
        Some(Reply::text(StatusCode::OK, answer.to_string()))
    }
}

/// Returns the entries of a list in a call; none if the list is missing.
fn entries(call: &Value, name: &str) -> Vec<Value> {
    call[name].as_array().cloned().unwrap_or_default()
}

/// Returns true for a row that is too large, and for one whose writes are refused.
fn is_refused(state: &StoreState, put: &Value) -> bool {
    let value = put["value"].as_str().unwrap_or_default();
    let size = STANDARD.decode(value).map_or(0, |bytes| bytes.len());
    size > MAX_ROW || put["key"].as_str() == state.unwritable_key.as_deref()
}

/// Returns table, part and key of an entry.
fn key_of(entry: &Value) -> (String, String, String) {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_string();
    (text("table"), text("part"), text("key"))
}

/// Returns a row in the form in which calls answer it.
fn row_json(state: &StoreState, full_key: &(String, String, String)) -> Value {
    let (table, part, key) = full_key;
    let row = json!({ "table": table, "part": part, "key": key });
    let extended_by = |fields: Value| {
        let mut row = row.clone();
        let fields = fields.as_object().cloned().unwrap_or_default();
        row.as_object_mut()
            .expect("a row is a JSON object")
            .extend(fields);
        row
    };
    match state.rows.get(full_key) {
        Some(Row {
            value: Some(value),
            version,
        }) => extended_by(json!({ "value": value, "ver": version })),
        Some(Row { version, .. }) => extended_by(json!({ "gone": true, "ver": version })),
        None => extended_by(json!({ "ver": 0 })),
    }
}

/// Returns the parameters of a query string.
fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_string(), value.replace("%00", "\0")))
        .collect()
}
