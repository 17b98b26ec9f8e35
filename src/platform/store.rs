//! The platform's transactional store of rows.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};

use super::wire::{self, Row, RowRef, Rows, Transaction};
use crate::sched::message::{CommitOutcome, Write};
use crate::table;
use crate::utils::Name;
use crate::utils::clock::Millis;
use crate::web::client::Pool;
use crate::web::{Reply, WebError};

/// Bytes of the largest answer: a page of rows has 1 MB, and JSON around it.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Rows of one page; the platform would give five times as many, up to a megabyte,
/// which takes 0.8 s over a link of 10 Mbit/s that carries nothing else.
pub const PAGE: usize = 100;
/// Milliseconds beyond its wait that the answer of a feed is waited for.
const FEED_MARGIN: Millis = 600;

/// Why a read has no rows.
#[derive(Debug)]
pub enum StoreError {
    /// No answer, or none that says anything.
    Unavailable(WebError),
    /// The store does not serve this box now.
    Refused(StatusCode),
    /// Older changes are forgotten; the rows must be read anew.
    HistoryGone,
    /// The answer does not decode.
    Malformed(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unavailable(e) => write!(f, "store away: {e}"),
            Self::Refused(status) => write!(f, "store refused: {status}"),
            Self::HistoryGone => f.write_str("history forgotten"),
            Self::Malformed(e) => write!(f, "store's answer does not decode: {e}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Rows as of one moment.
#[derive(Debug, Default)]
pub struct Page {
    /// The rows that are there.
    pub rows: Vec<table::Row>,
    /// Rows that were deleted, in a feed.
    pub deleted: Vec<DeletedRow>,
    /// Version of the store at that moment.
    pub version: u64,
    /// Key from which the rest of a table is read; none when this is all.
    pub next: Option<String>,
}

/// A row that was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeletedRow {
    /// Its key.
    pub key: Name,
    /// Version of the store at its end.
    pub version: u64,
}

/// A condition on one row: its table, its key and its version, 0 for none.
pub type Condition = (&'static str, Name, u64);

/// The client of the store.
#[derive(Clone)]
pub struct Store {
    pool: Pool,
    address: SocketAddr,
}

impl Store {
    /// Returns a client that connects at its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            pool: Pool::new(MAX_REPLY_BYTES),
            address,
        }
    }

    /// Has the next calls open new connections: those that are open may have
    /// fallen silent.
    pub fn reconnect(&self) {
        self.pool.clear(self.address);
    }

    /// Applies all writes to a part of the store, or none.
    pub async fn commit(
        &self,
        part: &str,
        condition: Condition,
        writes: &[Write],
        limit: Millis,
    ) -> CommitOutcome {
        let (table, key, version) = &condition;
        let row = |table, key, ver, value| RowRef {
            table,
            part,
            key,
            ver,
            value,
        };
        let puts = writes.iter().filter_map(|w| {
            let value = w.value.as_ref()?;
            Some(row(w.table, &w.key, None, Some(STANDARD.encode(value))))
        });
        let removed = writes.iter().filter(|w| w.value.is_none());
        let transaction = Transaction {
            expected_revision: vec![row(table, key, Some(*version), None)],
            put: puts.collect(),
            remove: removed.map(|w| row(w.table, &w.key, None, None)).collect(),
        };
        let body = table::encode(&transaction);
        let call = wire::call(
            &self.pool,
            self.address,
            Method::POST,
            "/rows-tx",
            Some(body),
            None,
            limit,
        );
        commit_outcome(call.await)
    }

    /// Reads all rows of a part of a table.
    pub async fn read_all(
        &self,
        table: &str,
        part: &str,
        limit: Millis,
    ) -> Result<Page, StoreError> {
        let mut whole = self.read_page(table, part, "", PAGE, limit).await?;
        // Changes between two pages are found by a feed from the first one on.
        while let Some(from) = whole.next.take() {
            let page = self.read_page(table, part, &from, PAGE, limit).await?;
            whole.rows.extend(page.rows);
            whole.next = page.next;
        }
        Ok(whole)
    }

    /// Reads up to `count` rows of a part of a table from a key on.
    pub async fn read_page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        count: usize,
        limit: Millis,
    ) -> Result<Page, StoreError> {
        let path = format!("/rows-get?table={table}&part={part}&from={from}&limit={count}");
        let rows = self.get(&path, limit).await?;
        let (version, more) = (rows.ver, rows.more);
        let mut page = Page {
            version,
            ..Page::default()
        };
        page.add(rows);
        // The smallest key after the last one: URL code of a zero byte.
        let last = page.rows.last().filter(|_| more);
        page.next = last.map(|row| format!("{}%00", row.key));
        Ok(page)
    }

    /// Waits for changes of a table after a version.
    pub async fn wait_for_changes(
        &self,
        table: &str,
        after: u64,
        wait: Millis,
    ) -> Result<Page, StoreError> {
        let path = format!("/rows-feed?table={table}&after={after}&waitMs={wait}");
        let rows = self.get(&path, wait + FEED_MARGIN).await?;
        let mut page = Page {
            version: rows.ver.max(after),
            ..Page::default()
        };
        page.add(rows);
        Ok(page)
    }

    async fn get(&self, path: &str, limit: Millis) -> Result<Rows, StoreError> {
        let call = wire::call(
            &self.pool,
            self.address,
            Method::GET,
            path,
            None,
            None,
            limit,
        );
        let reply = call.await.map_err(StoreError::Unavailable)?;
        match reply.status {
            StatusCode::OK => decode_rows(&reply),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => Err(StoreError::Refused(status)),
        }
    }
}

impl Page {
    fn add(&mut self, rows: Rows) {
        for row in rows.rows {
            match row.gone {
                true => self.deleted.push(DeletedRow {
                    key: row.key,
                    version: row.ver,
                }),
                false => self.rows.push(decode_row(row)),
            }
        }
    }
}

/// Returns a row with its value's bytes; none when they can't be read, which decodes as
/// nothing: one such row must not hide the others of its page.
fn decode_row(row: Row) -> table::Row {
    let value = STANDARD.decode(&row.value).unwrap_or_else(|e| {
        log::warn!(target: "store", "event=unreadable-row key={} cause=\"{e}\"", row.key);
        Vec::new()
    });
    table::Row {
        key: row.key,
        version: row.ver,
        value: value.into(),
    }
}

fn decode_rows(reply: &Reply) -> Result<Rows, StoreError> {
    serde_json::from_slice(&reply.body).map_err(|e| StoreError::Malformed(e.to_string()))
}

fn commit_outcome(result: Result<Reply, WebError>) -> CommitOutcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(WebError::NotSent(_) | WebError::Held) => return CommitOutcome::NotDone,
        Err(e) => {
            log::info!(target: "store", "event=commit-in-doubt cause=\"{e}\"");
            return CommitOutcome::Unknown;
        }
    };
    match reply.status {
        StatusCode::OK => match decode_rows(&reply) {
            Ok(rows) => CommitOutcome::Done(rows.ver),
            Err(e) => {
                log::error!(target: "store", "event=commit-in-doubt cause=\"{e}\"");
                CommitOutcome::Unknown
            }
        },
        StatusCode::PRECONDITION_FAILED => conflict_outcome(&reply),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => CommitOutcome::NotDone,
        status => {
            let text = String::from_utf8_lossy(&reply.body);
            log::error!(target: "store", "event=commit-refused status={status} body=\"{text}\"");
            CommitOutcome::NotDone
        }
    }
}

fn conflict_outcome(reply: &Reply) -> CommitOutcome {
    let rows = match decode_rows(reply) {
        Ok(rows) => rows,
        Err(e) => {
            log::error!(target: "store", "event=commit-in-doubt cause=\"{e}\"");
            return CommitOutcome::Unknown;
        }
    };
    let row = rows.rows.into_iter().find(|r| !r.gone && r.ver > 0);
    let row = row.map(decode_row);
    CommitOutcome::Conflict(row.map(|r| (r.version, r.value)))
}
