//! The owner's row in the store, as the tasks of a box read it.

use std::time::Duration;

use monoio::time::sleep;

use super::shared::{KnownOwner, STORE_PART, Shared};
use crate::platform::store::StoreError;
use crate::sched::failover::OwnerProgress;
use crate::sched::journal::{OWNER_KEY, OWNER_TABLE};
use crate::table::decode;
use crate::utils::clock::{self, Millis};

/// Milliseconds for the answer to a read, several times that of a slow store.
pub const READ_TIMEOUT: Millis = 1_500;
/// Milliseconds of the pause after a call to the store that failed.
pub const STORE_PAUSE: Millis = 250;

/// Lets some time pass after a failed call to the store.
pub async fn pause_after_failure(e: &StoreError) {
    log::debug!(target: "member", "event=owner-unread cause=\"{e}\"");
    sleep(Duration::from_millis(STORE_PAUSE)).await;
}

/// Reads the owner's row.
pub async fn read_owner(shared: &Shared) -> Result<Option<KnownOwner>, StoreError> {
    let page = shared
        .store
        .read_all(OWNER_TABLE, STORE_PART, READ_TIMEOUT)
        .await?;
    let row = page.rows.iter().find(|r| &*r.key == OWNER_KEY);
    Ok(row.and_then(|row| {
        Some(KnownOwner {
            row: decode(row)?,
            version: row.version,
            progress: OwnerProgress {
                at: clock::now(),
                pages: None,
            },
        })
    }))
}

/// Follows the owner that the store names.
pub fn adopt_owner(shared: &Shared, mut seen: Option<KnownOwner>) {
    if let Some(seen) = &mut seen {
        let before = shared.owner();
        match before.filter(|b| b.row.epoch == seen.row.epoch) {
            Some(before) => seen.progress = before.progress,
            None => {
                let row = &seen.row;
                log::info!(target: "member", "event=owner owner={} epoch={} version={} unserved_ms={}", row.name, row.epoch, seen.version, shared.unserved_ms());
            }
        }
    }
    shared.set_owner(seen);
}
