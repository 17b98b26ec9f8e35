//! Stand-in for the platform: table, object store and directory of workers over gRPC.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tonic::{Request, Response, Status};

use super::table::Table;
use crate::proto::{
    self, directory_server, object_store_server, platform_faults_server, table_server,
};
use crate::rpc;
use crate::table::{Change, Expect, Op};
use crate::utils::clock::{self, Millis};
use crate::utils::drain::Drain;

/// Most rows in a page of a scan.
const MAX_PAGE_ROWS: usize = 500;

/// Rate limits of the platform in rows per second; 0 is no limit.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Limit of rows written.
    pub writes: u64,
    /// Limit of rows read.
    pub reads: u64,
}

#[derive(Default)]
struct State {
    table: Table,
    objects: BTreeMap<String, bytes::Bytes>,
    entries: BTreeMap<String, proto::DirectoryEntry>,
    /// Earlier directories, each with the time when it was replaced, to simulate a lag.
    past_entries: VecDeque<(Millis, BTreeMap<String, proto::DirectoryEntry>)>,
    down_until: Millis,
    delay: Millis,
    replies_to_lose: u32,
    directory_lag: Millis,
    refused_calls: u64,
    lost_replies: u64,
    writes: TokenBucket,
    reads: TokenBucket,
}

/// A token bucket that holds the tokens of one second.
#[derive(Default)]
struct TokenBucket {
    rate: u64,
    tokens: f64,
    updated_at: Millis,
}

impl TokenBucket {
    /// Takes `count` tokens, and returns the milliseconds to wait until the bucket has earned them.
    fn take(&mut self, now: Millis, count: u64) -> Millis {
        if self.rate == 0 {
            return 0;
        }
        let rate = self.rate as f64;
        let filled = now.saturating_sub(self.updated_at) as f64 * rate / 1_000.0;
        self.tokens = (self.tokens + filled).min(rate) - count as f64;
        self.updated_at = now;
        if self.tokens >= 0.0 {
            return 0;
        }
        (-self.tokens * 1_000.0 / rate) as Millis
    }
}

/// The platform; clones share its state.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Returns a platform with an empty table, object store and directory.
    pub fn new(rates: Rates) -> Self {
        let mut state = State::default();
        state.writes.rate = rates.writes;
        state.reads.rate = rates.reads;
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces a worker's entry in the directory.
    pub fn register(&self, entry: proto::DirectoryEntry) {
        let mut state = self.state();
        let now = clock::now();
        let before = state.entries.clone();
        state.past_entries.push_back((now, before));
        let lag = state.directory_lag;
        while state.past_entries.len() > 1 && state.past_entries[0].0 + lag + 60_000 < now {
            state.past_entries.pop_front();
        }
        state.entries.insert(entry.name.clone(), entry);
    }

    /// Returns the numbers of rows read and written, conflicts, refused calls and lost replies.
    pub fn counts(&self) -> proto::CountReply {
        let state = self.state();
        proto::CountReply {
            reads: state.table.reads,
            writes: state.table.writes,
            conflicts: state.table.conflicts,
            refused: state.refused_calls,
            lost: state.lost_replies,
        }
    }

    /// Sets the faults to simulate; a `down_ms` of 0 does not end an outage in progress.
    pub fn set_faults(&self, fault: &proto::PlatformFault) {
        let mut state = self.state();
        if fault.down_ms > 0 {
            state.down_until = clock::now() + fault.down_ms;
        }
        state.delay = fault.slow_ms;
        state.replies_to_lose = fault.lose_answers;
        state.directory_lag = fault.lag_ms;
    }

    fn visible_entries(&self) -> Vec<proto::DirectoryEntry> {
        let state = self.state();
        let at = clock::now().saturating_sub(state.directory_lag);
        let old = state
            .past_entries
            .iter()
            .find(|(replaced, _)| *replaced > at);
        let list = old.map_or(&state.entries, |(_, list)| list);
        list.values().cloned().collect()
    }

    /// Returns the delay of a call of so many rows, or an error while the platform is down.
    fn admit(&self, reads: u64, writes: u64) -> Result<Delay, Status> {
        let mut state = self.state();
        let now = clock::now();
        if now < state.down_until {
            state.refused_calls += 1;
            return Err(Status::unavailable(
                "the platform is down by a simulated fault",
            ));
        }
        let queued = state
            .reads
            .take(now, reads)
            .max(state.writes.take(now, writes));
        Ok(Delay(state.delay + queued))
    }
}

/// Delay of a call in milliseconds.
struct Delay(Millis);

impl Delay {
    /// Sleeps in a task of its own, because futures of generated services must be `Send` and the
    /// runtime's timers are not.
    async fn wait(self) {
        if self.0 == 0 {
            return;
        }
        let (done, waiting) = futures::channel::oneshot::channel();
        let span = std::time::Duration::from_millis(self.0);
        monoio::spawn(async move {
            monoio::time::sleep(span).await;
            let _ = done.send(());
        });
        let _ = waiting.await;
    }
}

#[tonic::async_trait]
impl table_server::Table for Platform {
    async fn read(
        &self,
        request: Request<proto::ReadRequest>,
    ) -> Result<Response<proto::RowsReply>, Status> {
        let keys: Vec<_> = request
            .into_inner()
            .keys
            .iter()
            .map(|k| k.as_str().into())
            .collect();
        self.admit(keys.len() as u64, 0)?.wait().await;
        let rows = self.state().table.read(&keys);
        let rows = rows.into_iter().map(row_to_proto).collect();
        Ok(Response::new(proto::RowsReply { rows, more: false }))
    }

    async fn scan(
        &self,
        request: Request<proto::ScanRequest>,
    ) -> Result<Response<proto::RowsReply>, Status> {
        let request = request.into_inner();
        self.admit(1, 0)?.wait().await;
        let limit = (request.limit as usize).clamp(1, MAX_PAGE_ROWS);
        let (rows, more) = self
            .state()
            .table
            .scan(&request.prefix, &request.after, limit);
        let rows = rows.into_iter().map(row_to_proto).collect();
        Ok(Response::new(proto::RowsReply { rows, more }))
    }

    async fn commit(
        &self,
        request: Request<proto::CommitRequest>,
    ) -> Result<Response<proto::CommitReply>, Status> {
        let ops: Vec<Op> = request
            .into_inner()
            .ops
            .into_iter()
            .map(op_from_proto)
            .collect();
        let writes = ops.iter().filter(|o| o.change != Change::Keep).count();
        self.admit(0, writes as u64)?.wait().await;
        let result = {
            let mut state = self.state();
            let result = state.table.commit(&ops);
            if state.replies_to_lose > 0 {
                state.replies_to_lose -= 1;
                state.lost_replies += 1;
                return Err(Status::deadline_exceeded(
                    "the reply to the commit is lost by a simulated fault",
                ));
            }
            result
        };
        Ok(Response::new(proto::CommitReply {
            committed: result.is_ok(),
            conflict: result.err().map(|k| k.to_string()).unwrap_or_default(),
        }))
    }
}

#[tonic::async_trait]
impl object_store_server::ObjectStore for Platform {
    async fn put(
        &self,
        request: Request<proto::PutRequest>,
    ) -> Result<Response<proto::PutReply>, Status> {
        self.admit(0, 1)?.wait().await;
        let request = request.into_inner();
        self.state().objects.insert(request.key, request.value);
        Ok(Response::new(proto::PutReply {}))
    }

    async fn get(
        &self,
        request: Request<proto::GetRequest>,
    ) -> Result<Response<proto::GetReply>, Status> {
        self.admit(1, 0)?.wait().await;
        let value = self.state().objects.get(&request.into_inner().key).cloned();
        Ok(Response::new(proto::GetReply {
            found: value.is_some(),
            value: value.unwrap_or_default(),
        }))
    }
}

#[tonic::async_trait]
impl directory_server::Directory for Platform {
    async fn list(
        &self,
        _: Request<proto::DirectoryRequest>,
    ) -> Result<Response<proto::DirectoryReply>, Status> {
        self.admit(1, 0)?.wait().await;
        let entries = self.visible_entries();
        Ok(Response::new(proto::DirectoryReply { entries }))
    }
}

#[tonic::async_trait]
impl platform_faults_server::PlatformFaults for Platform {
    async fn set(
        &self,
        request: Request<proto::PlatformFault>,
    ) -> Result<Response<proto::PlatformFaultReply>, Status> {
        self.set_faults(&request.into_inner());
        Ok(Response::new(proto::PlatformFaultReply {}))
    }

    async fn count(
        &self,
        _: Request<proto::CountRequest>,
    ) -> Result<Response<proto::CountReply>, Status> {
        Ok(Response::new(self.counts()))
    }

    async fn register(
        &self,
        request: Request<proto::DirectoryEntry>,
    ) -> Result<Response<proto::PlatformFaultReply>, Status> {
        Platform::register(self, request.into_inner());
        Ok(Response::new(proto::PlatformFaultReply {}))
    }
}

fn row_to_proto(row: crate::table::Row) -> proto::Row {
    proto::Row {
        key: row.key.to_string(),
        version: row.version,
        value: row.value,
    }
}

fn op_from_proto(op: proto::Op) -> Op {
    let expect = match op.expect() {
        proto::Expect::Any => Expect::Any,
        proto::Expect::Absent => Expect::Absent,
        proto::Expect::Present => Expect::Present,
        proto::Expect::Version => Expect::Version(op.version),
    };
    let change = match op.write() {
        proto::Write::Keep => Change::Keep,
        proto::Write::Put => Change::Put(op.value.clone()),
        proto::Write::Delete => Change::Delete,
    };
    Op {
        key: op.key.into(),
        expect,
        change,
    }
}

/// Serves the platform without end.
pub async fn serve(platform: Platform, address: SocketAddr) -> eyre::Result<()> {
    let listener = crate::utils::listen::bind(address)?;
    let table = table_server::TableServer::new(platform.clone());
    let objects = object_store_server::ObjectStoreServer::new(platform.clone());
    let directory = directory_server::DirectoryServer::new(platform.clone());
    let faults = platform_faults_server::PlatformFaultsServer::new(platform);
    rpc::server::serve(listener, Drain::never(), move |request| {
        let (mut table, mut objects) = (table.clone(), objects.clone());
        let (mut directory, mut faults) = (directory.clone(), faults.clone());
        async move {
            use tower_service::Service;
            let service = request
                .uri()
                .path()
                .split('/')
                .nth(1)
                .unwrap_or("")
                .to_string();
            let reply = match service.as_str() {
                "willowpoint.v1.Table" => table.call(request).await,
                "willowpoint.v1.ObjectStore" => objects.call(request).await,
                "willowpoint.v1.Directory" => directory.call(request).await,
                "willowpoint.v1.PlatformFaults" => faults.call(request).await,
                _ => return rpc::server::unimplemented(),
            };
            reply.unwrap_or_else(|never| match never {})
        }
    })
    .await;
    Ok(())
}
