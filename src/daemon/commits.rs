//! Commits to the store, and what became of those without an answer.

use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};
use monoio::time::sleep;

use super::owner_row::read_owner;
use super::shared::{STORE_PART, Shared};
use crate::sched::journal::{OWNER_KEY, OWNER_TABLE};
use crate::sched::message::{Write, Written};
use crate::utils::clock::{self, Millis};

/// Longest wait for a commit's answer, in milliseconds: twice that of a store
/// 60 times slower than usual.
const COMMIT_TIMEOUT: Millis = 1_500;
/// Milliseconds of a read that tell of a store that is not slow; it usually
/// takes 5.
const FAST_READ: Millis = 60;
/// Pause before a slow store is asked again.
const READ_PAUSE: Millis = 100;

/// Writes rows on the condition that the owner's row has a version.
pub async fn commit_if_version(
    shared: &Shared,
    version: u64,
    writes: &[Write],
    limit: Millis,
) -> Written {
    crate::metrics::get().calls.inc();
    let condition = (OWNER_TABLE, OWNER_KEY.into(), version);
    shared
        .store
        .commit(STORE_PART, condition, writes, limit)
        .await
}

/// Writes the commit `number` of the owner in this process.
///
/// Without an answer after `answer_wait` milliseconds, the owner's row is read: it
/// may tell that the commit took effect, or, read quickly, that the answer was
/// lost. While reads are slow too, the store is slow, and another commit would
/// only wait behind this one.
pub async fn commit_as_owner(
    shared: &Shared,
    number: u64,
    version: u64,
    writes: &[Write],
    answer_wait: Millis,
) -> Written {
    let mut commit = pin!(commit_if_version(shared, version, writes, COMMIT_TIMEOUT));
    let pause = pin!(sleep(Duration::from_millis(answer_wait)));
    if let Either::Left((written, _)) = select(commit.as_mut(), pause).await {
        return written;
    }
    // A connection that fell silent tells nothing of the store.
    shared.store.reconnect();
    loop {
        let asked = clock::now();
        let seen = match select(commit.as_mut(), pin!(read_owner(shared))).await {
            Either::Left((written, _)) => return written,
            Either::Right((seen, _)) => seen,
        };
        let took = clock::now() - asked;
        match seen {
            Ok(Some(seen)) if shared.is_own_row(&seen.row) && seen.row.seq >= number => {
                log::info!(target: "store", "event=commit-found number={number} version={}", seen.version);
                return Written::Done(seen.version);
            }
            Ok(_) if took < FAST_READ => {
                log::info!(target: "store", "event=commit-in-doubt number={number} cause=\"no answer\"");
                return Written::Unknown;
            }
            Ok(_) => {}
            Err(e) => log::debug!(target: "store", "event=owner-unread cause=\"{e}\""),
        }
        let pause = pin!(sleep(Duration::from_millis(READ_PAUSE)));
        if let Either::Left((written, _)) = select(commit.as_mut(), pause).await {
            return written;
        }
    }
}
