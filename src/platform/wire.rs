//! The platform's messages as they are on the wire, and a function to make a call.

use std::marker::PhantomData;
use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::sched::spec::TASK_LIMIT;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::web::client::Pool;
use crate::web::{Reply, Request, WebError};

/// Header that names the worker incarnation that an order is meant for.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Header that says how many milliseconds a caller waits for its answer.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// A job as a caller submits it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Job {
    #[serde(default)]
    pub spec: Name,
    #[serde(deserialize_with = "bounded_list")]
    pub steps: Vec<Step>,
    #[serde(default)]
    pub max_runs: u32,
    #[serde(default)]
    pub initial_delay_ms: Millis,
    #[serde(default)]
    pub interval_ms: Millis,
}

/// A step of a job; fields that are 0, false or empty may be omitted.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Step {
    pub count: u32,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    pub estimate_ms: Millis,
    #[serde(deserialize_with = "bounded_list")]
    pub after: Vec<usize>,
    pub saves_progress: bool,
    pub gang: bool,
    pub same_rack: bool,
    pub requires: Name,
    /// Name of a rack, not of a step.
    pub affinity: Name,
    /// Number of tasks, not a label.
    pub anti_affinity: u32,
    pub speculative: bool,
    pub persistent: bool,
    pub image: Name,
    #[serde(rename = "target_ms")]
    pub target_ms: Millis,
    pub fills: bool,
    #[serde(rename = "may_miss")]
    pub may_miss: Option<u32>,
}

/// Decodes a list of at most `TASK_LIMIT` entries, as each step has a task. A longer one is not
/// read to its end: it may take many times as much memory as its text.
fn bounded_list<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    struct Entries<T>(PhantomData<T>);

    impl<'de, T: Deserialize<'de>> Visitor<'de> for Entries<T> {
        type Value = Vec<T>;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            write!(f, "a list of at most {TASK_LIMIT} entries")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<T>, A::Error> {
            let mut entries = Vec::new();
            while let Some(entry) = list.next_element()? {
                if entries.len() as u64 == TASK_LIMIT {
                    return Err(Error::invalid_length(entries.len() + 1, &self));
                }
                entries.push(entry);
            }
            Ok(entries)
        }
    }

    deserializer.deserialize_seq(Entries(PhantomData))
}

/// An order to start a run.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RunStart<'a> {
    pub task: &'a str,
    pub run: u32,
    pub spec: &'a str,
    /// End of the lease on all runs of the worker, not a deadline of the task.
    pub deadline_ms: Millis,
    pub fence: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    pub last_checkpoint: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    pub ticket: &'a str,
}

/// An order to stop a run.
#[derive(Serialize)]
pub struct RunStop<'a> {
    pub task: &'a str,
    pub run: u32,
    pub fence: u64,
}

/// A change of the speed of a run.
#[derive(Serialize)]
pub struct Throttle<'a> {
    pub task: &'a str,
    pub run: u32,
    pub percent: u32,
    pub fence: u64,
}

/// A poll: extends the worker's lease and asks for its report.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PollRequest {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
    pub fence: u64,
    /// Number of the last completion that the worker may forget.
    pub last_seen: u64,
    #[serde(skip_serializing_if = "is_zero")]
    pub wait_ms: Millis,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// An active run: task, run, checkpoint, percent of work done (not of speed), and processor
/// share in use or tail latency of a serving task.
pub type RunRow = (Name, u32, Name, u32, f64);
/// A completion: its number, task, run, how the run ended, checkpoint.
pub type EndRow = (u64, Name, u32, Name, Name);

/// A worker's answer to an order.
#[derive(Debug, Default, Deserialize)]
#[serde(
    rename_all = "camelCase",
    default,
    bound(deserialize = "R: Deserialize<'de> + Default, E: Deserialize<'de> + Default")
)]
pub struct OrderReply<R = RunRow, E = EndRow> {
    /// Time on the worker's steady clock, in milliseconds.
    pub clock_ms: Millis,
    /// When the worker started, in milliseconds since the Unix epoch.
    pub born: Option<Millis>,
    pub reason: Name,
    /// Active runs.
    pub running: Vec<R>,
    /// Completions that are not acknowledged yet.
    pub finished: Vec<E>,
    /// Number of rows that don't decode and are in neither list.
    #[serde(skip)]
    pub unreadable: usize,
}

/// A worker's entry in the directory.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WorkerEntry {
    pub service: Name,
    pub address: SocketAddr,
    pub zone: Name,
    pub state: Name,
    /// Least time in milliseconds until a draining worker ends, not until its tasks do.
    #[serde(default)]
    pub remaining_ms: Millis,
    pub capacity: Capacity,
    #[serde(default)]
    pub labels: Vec<Name>,
    /// When the worker started, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub born: Option<Millis>,
}

/// All resources of a worker.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Capacity {
    pub cpu: u64,
    pub mem_mb: u64,
    #[serde(default)]
    pub gpu: u64,
}

/// A query to the advisor: which of these workers may run a step.
#[derive(Serialize)]
pub struct AdviceRequest<'a> {
    pub step: &'a str,
    pub workers: &'a [Name],
}

/// The advisor's answer.
#[derive(Debug, Deserialize)]
pub struct AdviceReply {
    /// Ids of workers that may run the step, each with the ticket for a start there.
    #[serde(default)]
    pub good: Vec<(Name, Name)>,
    /// Milliseconds for which the tickets are valid, counted from the query.
    pub valid_ms: Millis,
}

/// The operator's configuration.
#[derive(Debug, Deserialize)]
pub struct Config {
    pub version: u64,
    #[serde(default)]
    pub routes: Vec<Route>,
    #[serde(default)]
    pub services: Vec<Service>,
}

/// A service whose workers may run tasks.
#[derive(Debug, Deserialize)]
pub struct Service {
    pub name: Name,
}

/// A queue, and the host and path of the requests that belong to it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    pub name: Name,
    pub host: Name,
    pub path_prefix: Name,
    /// Milliseconds that a job may take beyond its stretched ideal run time; not about requests.
    #[serde(default)]
    pub target_latency_ms: Millis,
    #[serde(default)]
    pub priority: u32,
    pub service: Name,
    #[serde(default)]
    pub max_attempts: u32,
    #[serde(default)]
    pub stretch: f64,
    /// Timings of the advisor; present if the advisor has to be asked about each step.
    #[serde(default)]
    pub advice: Option<serde::de::IgnoredAny>,
}

/// A row of the store.
#[derive(Debug, Deserialize)]
pub struct Row {
    pub key: Name,
    /// Value in Base64.
    #[serde(default)]
    pub value: String,
    #[serde(default)]
    pub ver: u64,
    /// True when the row was deleted.
    #[serde(default)]
    pub gone: bool,
}

/// The store's reply to every call about rows.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Rows {
    pub rows: Vec<Row>,
    pub more: bool,
    /// Newest version in the store.
    pub ver: u64,
}

/// A row in a transaction: a condition, a write or a removal.
#[derive(Serialize)]
pub struct RowRef<'a> {
    pub table: &'a str,
    pub part: &'a str,
    pub key: &'a str,
    /// Version that the row must have, 0 if it must not exist; only in conditions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ver: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// A transaction: takes effect only if all conditions are met.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Transaction<'a> {
    /// Conditions on rows, not a version of the transaction.
    pub expected_revision: Vec<RowRef<'a>>,
    pub put: Vec<RowRef<'a>>,
    pub remove: Vec<RowRef<'a>>,
}

/// Makes a call and returns its whole reply, or an error after `limit` milliseconds; with
/// `incarnation`, only that incarnation of a worker takes the order.
pub async fn call(
    pool: &Pool,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Bytes>,
    incarnation: Option<&str>,
    limit: Millis,
) -> Result<Reply, WebError> {
    let uri: Uri = path
        .parse()
        .map_err(|e| WebError::NotSent(format!("path {path}: {e}")))?;
    let mut headers = HeaderMap::new();
    headers.insert(HOST, header_value(&address.to_string())?);
    if body.is_some() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(incarnation) = incarnation {
        headers.insert(EXPECT_INSTANCE, header_value(incarnation)?);
    }
    let request = Request {
        method,
        uri,
        headers,
        body: body.unwrap_or_default(),
        charge: None,
    };
    pool.call(address, request, limit, || true).await
}

fn header_value(text: &str) -> Result<HeaderValue, WebError> {
    HeaderValue::from_str(text).map_err(|e| WebError::NotSent(e.to_string()))
}
