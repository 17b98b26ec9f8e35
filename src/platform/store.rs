//! Client of the platform's transactional store of rows.

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

/// Largest reply in bytes: a page of rows has up to 1 MB, and JSON and Base64 add to that.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Rows of one page. The platform allows five times as many, up to a megabyte, but such a page
/// takes 0.8 s over an otherwise idle link of 10 Mbit/s.
pub const PAGE: usize = 100;
/// Milliseconds added to a feed's own wait for the timeout of its call.
const FEED_MARGIN: Millis = 600;

/// Why a read failed.
#[derive(Debug)]
pub enum StoreError {
    /// The call failed or had no answer.
    Unavailable(WebError),
    /// The store answered with an error status: it does not serve this box now.
    Refused(StatusCode),
    /// The store no longer has the changes after the given version; the table must be read anew.
    HistoryGone,
    /// The reply does not decode.
    Malformed(String),
    /// The row with this key is there and does not decode.
    Undecodable(Name),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unavailable(e) => write!(f, "store unavailable: {e}"),
            Self::Refused(status) => write!(f, "store refused the call with status {status}"),
            Self::HistoryGone => f.write_str("store no longer has the requested changes"),
            Self::Malformed(e) => write!(f, "store's reply does not decode: {e}"),
            Self::Undecodable(key) => write!(f, "row {key} does not decode"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Rows of a table as of one version of the store.
#[derive(Debug, Default)]
pub struct Page {
    /// The rows; in a feed, those that changed.
    pub rows: Vec<table::Row>,
    /// Rows that were deleted; only in a feed.
    pub deleted: Vec<DeletedRow>,
    /// Version of the store.
    pub version: u64,
    /// Key from which the rest of the table is read; none on the last page.
    pub next: Option<String>,
}

/// A row that was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeletedRow {
    /// Key of the row.
    pub key: Name,
    /// Version of the store at its deletion.
    pub version: u64,
}

/// A condition on one row: its table, its key and its version, which is 0 if the row must not
/// exist.
pub type Condition = (&'static str, Name, u64);

/// Client of the store.
#[derive(Clone)]
pub struct Store {
    pool: Pool,
    address: SocketAddr,
}

impl Store {
    /// Returns a client that connects at the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            pool: Pool::new(MAX_REPLY_BYTES),
            address,
        }
    }

    /// Makes the next calls open new connections, as the open ones may be dead.
    pub fn reconnect(&self) {
        self.pool.close_idle(self.address);
    }

    /// Applies all writes to a part of the store if the condition is met, or else none.
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
        let mut rows = Vec::new();
        let add = |page: Page| rows.extend(page.rows);
        let version = self.read_pages(table, part, limit, add).await?;
        Ok(Page {
            rows,
            version,
            ..Page::default()
        })
    }

    /// Reads all rows of a part of a table and calls `apply` with each page as it arrives. Returns
    /// the version of the first page: a feed from there on finds changes made between two pages.
    pub async fn read_pages(
        &self,
        table: &str,
        part: &str,
        limit: Millis,
        mut apply: impl FnMut(Page),
    ) -> Result<u64, StoreError> {
        let mut version = None;
        let mut next = Some(String::new());
        while let Some(from) = next {
            let mut page = self.read_page(table, part, &from, PAGE, limit).await?;
            next = page.next.take();
            version.get_or_insert(page.version);
            apply(page);
        }
        Ok(version.unwrap_or(0))
    }

    /// Reads up to `count` rows of a part of a table, starting at key `from`.
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
        // The smallest key after the last one: a zero byte, URL-encoded, is appended.
        let last = page.rows.last().filter(|_| more);
        page.next = last.map(|row| format!("{}%00", row.key));
        Ok(page)
    }

    /// Returns the changes of a table after version `after`; waits up to `wait` milliseconds for
    /// the first one.
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

/// Returns a row with its value decoded from Base64. An unreadable value becomes empty, which
/// does not decode later on: one such row must not hide the others of its page.
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

/// Returns the rows in a reply's body.
fn decode_rows(reply: &Reply) -> Result<Rows, StoreError> {
    serde_json::from_slice(&reply.body).map_err(|e| StoreError::Malformed(e.to_string()))
}

/// Returns the outcome of a commit according to its reply.
fn commit_outcome(result: Result<Reply, WebError>) -> CommitOutcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(e) if e.is_unsent() => return CommitOutcome::NotDone,
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
            // A proxy may answer so although the store applies the commit.
            match status {
                StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => CommitOutcome::Refused,
                _ => CommitOutcome::Unknown,
            }
        }
    }
}

/// Returns the outcome of a commit whose condition failed, with the row as it is.
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
