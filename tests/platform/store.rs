//! A stand-in of the platform's store: rows in tables, transactions under
//! conditions, feeds, and its troubles.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::{Method, StatusCode};
use monoio::time::sleep;
use serde_json::{Value, json};
use willowpoint::web::{Reply, Request};

/// How long a call that gets no answer is held; callers have gone by then.
const HELD: Duration = Duration::from_secs(5);
/// Pause between two looks for a change that a feed waits for.
const LOOK: Duration = Duration::from_millis(5);

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// It serves them.
    #[default]
    Well,
    /// It answers none and does nothing.
    Silent,
    /// It turns all away and does nothing.
    Busy,
    /// It does what it is told and answers no transaction.
    Mute,
}

#[derive(Clone, Debug)]
struct Stored {
    /// Base64; none for a dropped row.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String, String), Stored>,
    version: u64,
    /// Changes up to this version are forgotten.
    forgotten: u64,
    mood: Mood,
    /// Time added to each answer.
    delay: Duration,
    /// Table of which no page is given.
    unread: Option<String>,
    /// Pages given of each table.
    reads: HashMap<String, usize>,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panicked")
    }

    /// Changes what it does with calls from now on.
    pub fn set(&self, mood: Mood) {
        self.state().mood = mood;
    }

    /// Gives no page of a table from now on; of any with none.
    pub fn refuse_reads(&self, table: Option<&str>) {
        self.state().unread = table.map(String::from);
    }

    /// Adds a time to each answer from now on.
    pub fn slow(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Forgets its history: feeds from before have to read anew.
    pub fn forget(&self) {
        let mut state = self.state();
        state.version += 1;
        state.forgotten = state.version;
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        use base64::Engine;
        let text = base64::engine::general_purpose::STANDARD.encode(value.to_string());
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let place = (table.to_string(), String::new(), key.to_string());
        let value = Some(text);
        state.rows.insert(place, Stored { value, version });
    }

    /// Writes so many small rows as the boxes do, into a part of a table.
    pub fn fill(&self, table: &str, part: &str, count: usize) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        for number in 0..count {
            let place = (table.into(), part.into(), format!("z{number:05}"));
            let value = Some("e30=".into());
            state.rows.insert(place, Stored { value, version });
        }
    }

    /// Returns how many pages of a table were given.
    pub fn reads(&self, table: &str) -> usize {
        self.state().reads.get(table).copied().unwrap_or(0)
    }

    /// Removes a row as a worker does.
    pub fn drop_row(&self, table: &str, key: &str) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let place = (table.to_string(), String::new(), key.to_string());
        let value = None;
        state.rows.insert(place, Stored { value, version });
    }

    /// Serves one call.
    pub async fn handle(self, request: Request) -> Reply {
        let (mood, delay) = {
            let state = self.state();
            (state.mood, state.delay)
        };
        sleep(delay).await;
        match mood {
            Mood::Silent => {
                sleep(HELD).await;
                Reply::text(StatusCode::GATEWAY_TIMEOUT, "")
            }
            Mood::Busy => Reply::text(StatusCode::SERVICE_UNAVAILABLE, ""),
            Mood::Well | Mood::Mute => self.serve(request, mood).await,
        }
    }

    async fn serve(self, request: Request, mood: Mood) -> Reply {
        let query = query(request.uri.query().unwrap_or(""));
        match (&request.method, request.uri.path()) {
            (&Method::POST, "/rows-tx") => {
                let reply = self.transact(&request.body);
                if mood == Mood::Mute {
                    sleep(HELD).await;
                }
                reply
            }
            (&Method::GET, "/rows-get") => self.get(&query),
            (&Method::GET, "/rows-feed") => self.feed(&query).await,
            _ => Reply::text(StatusCode::NOT_FOUND, ""),
        }
    }

    fn transact(&self, body: &[u8]) -> Reply {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return Reply::text(StatusCode::BAD_REQUEST, "no JSON");
        };
        let mut state = self.state();
        let conditions = list(&call, "expectedRevision");
        let version = |state: &State, entry: &Value| {
            let row = state.rows.get(&place(entry)).filter(|r| r.value.is_some());
            row.map_or(0, |r| r.version)
        };
        let failed = conditions
            .iter()
            .any(|c| Some(version(&state, c)) != c["ver"].as_u64());
        if failed {
            let rows: Vec<Value> = conditions
                .iter()
                .map(|c| shown(&state, &place(c)))
                .collect();
            let answer = json!({ "rows": rows, "ver": state.version });
            return Reply::text(StatusCode::PRECONDITION_FAILED, answer.to_string());
        }
        state.version += 1;
        let version = state.version;
        for entry in list(&call, "put") {
            let value = entry["value"].as_str().map(str::to_string);
            state.rows.insert(place(&entry), Stored { value, version });
        }
        for entry in list(&call, "remove") {
            let value = None;
            state.rows.insert(place(&entry), Stored { value, version });
        }
        let answer = json!({ "ver": version, "now_ms": 1 });
        Reply::text(StatusCode::OK, answer.to_string())
    }

    fn get(&self, query: &HashMap<String, String>) -> Reply {
        let mut state = self.state();
        let wanted = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (wanted("table"), wanted("part"), wanted("from"));
        if state.unread.as_ref() == Some(&table) {
            return Reply::text(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        *state.reads.entry(table.clone()).or_default() += 1;
        let limit = wanted("limit").parse().unwrap_or(500);
        let here = |p: &&(String, String, String)| p.0 == table && p.1 == part && p.2 >= from;
        let places = state.rows.iter().filter(|(_, r)| r.value.is_some());
        let places: Vec<_> = places.map(|(p, _)| p).filter(here).collect();
        let more = places.len() > limit;
        let rows: Vec<Value> = places
            .iter()
            .take(limit)
            .map(|p| shown(&state, p))
            .collect();
        let answer = json!({ "rows": rows, "more": more, "ver": state.version });
        Reply::text(StatusCode::OK, answer.to_string())
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Reply {
        let number = |name: &str| query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let (after, wait): (u64, u64) = (number("after"), number("waitMs"));
        let table = query.get("table").cloned().unwrap_or_default();
        let end = std::time::Instant::now() + Duration::from_millis(wait);
        loop {
            if let Some(reply) = self.changes(&table, after, std::time::Instant::now() >= end) {
                return reply;
            }
            sleep(LOOK).await;
        }
    }

    /// Returns the answer of a feed once there are changes, or none may be waited for.
    fn changes(&self, table: &str, after: u64, last: bool) -> Option<Reply> {
        let state = self.state();
        if after < state.forgotten {
            return Some(Reply::text(StatusCode::GONE, ""));
        }
        let changed = state
            .rows
            .iter()
            .filter(|(p, r)| p.0 == table && r.version > after);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, r)| r.version);
        if changed.is_empty() && !last {
            return None;
        }
        let rows: Vec<Value> = changed.iter().map(|(p, _)| shown(&state, p)).collect();
        let answer = json!({ "rows": rows, "ver": state.version });
        Some(Reply::text(StatusCode::OK, answer.to_string()))
    }
}

fn list(call: &Value, name: &str) -> Vec<Value> {
    call[name].as_array().cloned().unwrap_or_default()
}

fn place(entry: &Value) -> (String, String, String) {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_string();
    (text("table"), text("part"), text("key"))
}

fn shown(state: &State, place: &(String, String, String)) -> Value {
    let (table, part, key) = place;
    let row = json!({ "table": table, "part": part, "key": key });
    let with = |more: Value| {
        let mut row = row.clone();
        let fields = more.as_object().cloned().unwrap_or_default();
        row.as_object_mut().expect("an object").extend(fields);
        row
    };
    match state.rows.get(place) {
        Some(Stored {
            value: Some(value),
            version,
        }) => with(json!({ "value": value, "ver": version })),
        Some(Stored { version, .. }) => with(json!({ "gone": true, "ver": version })),
        None => with(json!({ "ver": 0 })),
    }
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_string(), value.replace("%00", "\0")))
        .collect()
}
