//! Commits to the store, and finding out the outcome of a commit whose answer is late.

use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};
use monoio::time::sleep;

use super::owner_row::read_owner;
use super::shared::{STORE_PART, Shared};
use crate::sched::failover::FAST_READ;
use crate::sched::journal::{OWNER_KEY, OWNER_TABLE, OwnerRow};
use crate::sched::message::{CommitOutcome, Write};
use crate::utils::clock::{self, Millis};

/// Timeout of a commit in milliseconds: twice the time that a store 60 times slower than usual
/// takes.
const COMMIT_TIMEOUT: Millis = 1_500;
/// Milliseconds between two reads of a slow store.
const READ_PAUSE: Millis = 100;

/// Commits the writes if the owner's row has the given version.
pub async fn commit_if_version(
    shared: &Shared,
    version: u64,
    writes: &[Write],
    limit: Millis,
) -> CommitOutcome {
    crate::metrics::get().table_calls.inc();
    let condition = (OWNER_TABLE, OWNER_KEY.into(), version);
    shared
        .store
        .commit(STORE_PART, condition, writes, limit)
        .await
}

/// Makes commit `number` of the owner of `epoch` in this process.
///
/// If no answer comes within `answer_wait` milliseconds, reads the owner's row. The row may show
/// that the commit took effect; if not, a fast read shows that the answer was lost. If reads are
/// slow as well, the store is slow, and a retry would only queue behind the first commit.
pub async fn commit_as_owner(
    shared: &Shared,
    epoch: u64,
    number: u64,
    version: u64,
    writes: &[Write],
    answer_wait: Millis,
) -> CommitOutcome {
    let mut commit = pin!(commit_if_version(shared, version, writes, COMMIT_TIMEOUT));
    let pause = pin!(sleep(Duration::from_millis(answer_wait)));
    if let Either::Left((outcome, _)) = select(commit.as_mut(), pause).await {
        return outcome;
    }
    // The silence may come from a dead connection rather than from the store.
    shared.store.reconnect();
    let is_stored = |row: &OwnerRow| {
        // A later term of this process numbers its commits anew.
        shared.is_own_row(row) && row.epoch == epoch && row.seq >= number
    };
    loop {
        let asked = clock::now();
        let stored = match select(commit.as_mut(), pin!(read_owner(shared))).await {
            Either::Left((outcome, _)) => return outcome,
            Either::Right((stored, _)) => stored,
        };
        let took = clock::now() - asked;
        match stored {
            Ok(Some(stored)) if is_stored(&stored.row) => {
                log::info!(target: "store", "event=commit-found number={number} version={}", stored.version);
                return CommitOutcome::Done(stored.version);
            }
            Ok(_) if took < FAST_READ => {
                log::info!(target: "store", "event=commit-in-doubt number={number} cause=\"no answer\"");
                return CommitOutcome::Unknown;
            }
            Ok(_) => {}
            Err(e) => log::debug!(target: "store", "event=owner-unread cause=\"{e}\""),
        }
        let pause = pin!(sleep(Duration::from_millis(READ_PAUSE)));
        if let Either::Left((outcome, _)) = select(commit.as_mut(), pause).await {
            return outcome;
        }
    }
}
