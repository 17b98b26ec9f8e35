//! Follows tables of the store by their feeds: the operator's configuration, and the workers'
//! directory for the owner.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use super::message::Message;
use super::owner_row::READ_TIMEOUT;
use super::shared::Shared;
use crate::platform::store::{Page, StoreError};
use crate::platform::{config, directory};
use crate::sched::message::Event;
use crate::utils::clock::Millis;

/// Milliseconds that a feed waits for a change. The platform allows 30,000, but a dead connection
/// is noticed only after this wait, and a configuration has to be in force 2 s after the store
/// accepted it.
const FEED_WAIT: Millis = 800;
/// Pause after a failed read or feed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the configuration and the cordoned halls until the process ends.
pub async fn follow_config(shared: Rc<Shared>) {
    let apply = |page: Page, whole: bool| {
        shared.apply_cordons(config::cordon_changes(&page), whole.then_some(page.version));
        let rows = page.rows.into_iter();
        for row in rows.filter(|r| &*r.key == config::KEY) {
            shared.apply_config(row, "store");
        }
    };
    follow_table(&shared, config::TABLE, apply, || true).await;
}

/// Follows the directory while the owner of `epoch` is in this process.
pub async fn follow_directory(shared: Rc<Shared>, epoch: u64) {
    let apply = |page: Page, whole: bool| {
        let entries = directory::decode_entries(page, &shared.queues());
        let event = match whole {
            true => Event::Directory(entries),
            false => Event::DirectoryChanged(entries),
        };
        shared.send_to_owner(Message::Event(epoch, event));
    };
    let is_local = || shared.local_epoch() == Some(epoch);
    while is_local() {
        // Entries of services that the configuration does not name are skipped, so the table is
        // read anew when the named services change.
        let services = shared.queues().services().clone();
        let is_active = || is_local() && *shared.queues().services() == services;
        follow_table(&shared, directory::TABLE, apply, is_active).await;
    }
}

/// Reads a table and then waits for its changes, while `is_active`. Calls `apply` with each page,
/// and with true if the page is the whole table.
async fn follow_table(
    shared: &Shared,
    table: &str,
    apply: impl Fn(Page, bool),
    is_active: impl Fn() -> bool,
) {
    let mut version = None;
    let mut healthy = true;
    while is_active() {
        let read = match version {
            None => shared.store.read_all(table, "", READ_TIMEOUT).await,
            Some(version) => {
                shared
                    .store
                    .wait_for_changes(table, version, FEED_WAIT)
                    .await
            }
        };
        match read {
            Ok(page) => {
                shared.record_store_answer();
                if !healthy {
                    log::info!(target: "store", "event=feed-regained table={table}");
                    healthy = true;
                }
                let whole = version.is_none();
                version = Some(page.version);
                if whole || !page.rows.is_empty() || !page.deleted.is_empty() {
                    apply(page, whole);
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!(target: "store", "event=feed-forgotten table={table} version={version:?}");
                version = None;
            }
            Err(e) => {
                if healthy {
                    log::warn!(target: "store", "event=feed-lost table={table} cause=\"{e}\"");
                    healthy = false;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
