//! Client of the platform: its table and its directory of workers.

use std::net::SocketAddr;

use crate::cell::ListedWorker;
use crate::lease::WriteOutcome;
use crate::proto::{self, directory_client::DirectoryClient, table_client::TableClient};
use crate::rpc::client::{CallError, Channel};
use crate::table::{Call, Change, Expect, Op, Outcome, Row};
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Number of rows in a page of a scan.
const PAGE_SIZE: u32 = 500;

/// Client of the platform's gRPC services.
#[derive(Clone)]
pub struct PlatformClient {
    channel: Channel,
    timeout: Millis,
}

impl PlatformClient {
    /// Returns a client whose calls time out after `timeout` milliseconds.
    pub fn new(address: SocketAddr, timeout: Millis) -> Self {
        Self {
            channel: Channel::new(address),
            timeout,
        }
    }

    /// Performs an operation on the table.
    pub async fn call(&self, call: Call) -> Outcome {
        crate::metrics::get().table_calls.inc();
        match call {
            Call::Read(keys) => self.read(keys).await,
            Call::Scan(prefix) => self.scan(prefix).await,
            Call::Commit(ops) => Outcome::Written(self.commit(ops).await),
        }
    }

    async fn read(&self, keys: Vec<Name>) -> Outcome {
        let keys = keys.iter().map(|k| k.to_string()).collect();
        let request = proto::ReadRequest { keys };
        let call = self.channel.call(self.timeout, |c| async move {
            TableClient::new(c).read(request).await
        });
        match call.await {
            Ok(reply) => Outcome::Rows(reply.rows.into_iter().map(row_from_proto).collect()),
            Err(e) => log_failure("read", &e),
        }
    }

    async fn scan(&self, prefix: Name) -> Outcome {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let request = proto::ScanRequest {
                prefix: prefix.to_string(),
                after: rows.last().map(|r| r.key.to_string()).unwrap_or_default(),
                limit: PAGE_SIZE,
            };
            let call = self.channel.call(self.timeout, |c| async move {
                TableClient::new(c).scan(request).await
            });
            match call.await {
                Ok(reply) => {
                    rows.extend(reply.rows.into_iter().map(row_from_proto));
                    if !reply.more {
                        return Outcome::Rows(rows);
                    }
                }
                Err(e) => return log_failure("scan", &e),
            }
        }
    }

    async fn commit(&self, ops: Vec<Op>) -> WriteOutcome {
        let ops = ops.into_iter().map(op_to_proto).collect();
        let request = proto::CommitRequest { ops };
        let call = self.channel.call(self.timeout, |c| async move {
            TableClient::new(c).commit(request).await
        });
        match call.await {
            Ok(reply) if reply.committed => WriteOutcome::Committed,
            Ok(reply) => {
                log::debug!(target: "store", "commit conflicts at row {}", reply.conflict);
                WriteOutcome::Conflict
            }
            Err(CallError::NotSent(e)) => {
                log::debug!(target: "store", "commit not sent: {e}");
                WriteOutcome::NotSent
            }
            // Even an error status does not prove that nothing was written.
            Err(e) => {
                log::debug!(target: "store", "commit in doubt: {e}");
                WriteOutcome::Unknown
            }
        }
    }

    /// Returns the listed workers, or `None` if the directory does not answer.
    pub async fn list_workers(&self) -> Option<Vec<ListedWorker>> {
        let call = self.channel.call(self.timeout, |c| async move {
            DirectoryClient::new(c)
                .list(proto::DirectoryRequest {})
                .await
        });
        match call.await {
            Ok(reply) => Some(
                reply
                    .entries
                    .into_iter()
                    .filter_map(listed_worker)
                    .collect(),
            ),
            Err(e) => {
                log::debug!(target: "store", "directory read failed: {e}");
                None
            }
        }
    }
}

/// Logs a failed read or scan and returns its outcome.
fn log_failure(operation: &str, e: &CallError) -> Outcome {
    log::debug!(target: "store", "{operation} failed: {e}");
    Outcome::Failed
}

fn row_from_proto(row: proto::Row) -> Row {
    Row {
        key: row.key.into(),
        version: row.version,
        value: row.value,
    }
}

fn op_to_proto(op: Op) -> proto::Op {
    let (expect, version) = match op.expect {
        Expect::Any => (proto::Expect::Any, 0),
        Expect::Absent | Expect::Version(0) => (proto::Expect::Absent, 0),
        Expect::Present => (proto::Expect::Present, 0),
        Expect::Version(version) => (proto::Expect::Version, version),
    };
    let (write, value) = match op.change {
        Change::Keep => (proto::Write::Keep, Default::default()),
        Change::Put(value) => (proto::Write::Put, value),
        Change::Delete => (proto::Write::Delete, Default::default()),
    };
    proto::Op {
        key: op.key.to_string(),
        expect: expect.into(),
        version,
        write: write.into(),
        value,
    }
}

/// Returns a worker from its directory entry, or `None` if an address is invalid.
fn listed_worker(entry: proto::DirectoryEntry) -> Option<ListedWorker> {
    let addresses = entry.http.parse().ok().zip(entry.rpc.parse().ok());
    let Some((http, rpc)) = addresses else {
        log::error!(target: "store", "worker {} is listed without valid addresses", entry.name);
        return None;
    };
    Some(ListedWorker {
        name: entry.name.into(),
        cell: format!("{}/{}", entry.hall, entry.rack).into(),
        http,
        rpc,
        leaving: entry.leaving,
    })
}
