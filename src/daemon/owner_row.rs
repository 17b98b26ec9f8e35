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

/// Logs a failed read of the owner's row, and pauses.
pub async fn pause_after_failure(e: &StoreError) {
    log::debug!(target: "member", "event=owner-unread cause=\"{e}\"");
    sleep(Duration::from_millis(STORE_PAUSE)).await;
}

/// Returns the owner's row; `None` if there is none or if it does not decode.
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
