//! Reads the owner's row from the store.

use std::time::Duration;

use monoio::time::sleep;

use super::shared::{KnownOwner, STORE_PART, Shared};
use crate::platform::store::StoreError;
use crate::sched::failover::OwnerProgress;
use crate::sched::journal::{OWNER_KEY, OWNER_TABLE};
use crate::table::decode;
use crate::utils::clock::{self, Millis};

/// Timeout of a read in milliseconds: several times what a slow store takes.
pub const READ_TIMEOUT: Millis = 1_500;
/// Pause in milliseconds after a failed call to the store.
pub const STORE_PAUSE: Millis = 250;

/// Pause in milliseconds after a read of an owner's row that does not decode.
const UNDECODABLE_PAUSE: Millis = 1_000;

/// Logs a failed read of the owner's row, and pauses.
pub async fn pause_after_failure(e: &StoreError) {
    let (level, pause) = match e {
        StoreError::Undecodable(_) => (log::Level::Warn, UNDECODABLE_PAUSE),
        _ => (log::Level::Debug, STORE_PAUSE),
    };
    log::log!(target: "member", level, "event=owner-unread cause=\"{e}\"");
    sleep(Duration::from_millis(pause)).await;
}

/// Returns the owner's row, or `None` if there is none. A row that does not decode is an error:
/// an owner of a later build may have written it, which must not be taken for a vacant cell.
pub async fn read_owner(shared: &Shared) -> Result<Option<KnownOwner>, StoreError> {
    let page = shared
        .store
        .read_all(OWNER_TABLE, STORE_PART, READ_TIMEOUT)
        .await?;
    let row = page.rows.iter().find(|r| &*r.key == OWNER_KEY);
    let Some(row) = row else {
        return Ok(None);
    };
    Ok(Some(KnownOwner {
        row: decode(row).ok_or_else(|| StoreError::Undecodable(row.key.clone()))?,
        version: row.version,
        progress: OwnerProgress {
            at: clock::now(),
            pages: None,
        },
    }))
}

/// Sets the owner read from the store as the known one; if its epoch was known already, keeps
/// what is known of its progress.
pub fn adopt_owner(shared: &Shared, mut known: Option<KnownOwner>) {
    if let Some(known) = &mut known {
        let before = shared.owner();
        match before.filter(|b| b.row.epoch == known.row.epoch) {
            Some(before) => known.progress = before.progress,
            None => {
                let row = &known.row;
                log::info!(target: "member", "event=owner owner={} epoch={} version={} unserved_ms={}", row.name, row.epoch, known.version, shared.unserved_ms());
            }
        }
    }
    shared.set_owner(known);
}
