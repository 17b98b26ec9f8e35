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
/// Pause between two reads of the directory's changes. Each worker writes its entry once per heartbeat,
/// so that of hundreds of workers some entry changes every few milliseconds.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a failed read or feed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the configuration and the cordoned halls until the process ends.
pub async fn follow_config(shared: Rc<Shared>) {
    let apply = |page: Page, as_of: Option<u64>| {
        shared.apply_cordons(config::cordon_changes(&page), as_of);
        let rows = page.rows.into_iter();
        for row in rows.filter(|r| &*r.key == config::KEY) {
            shared.apply_config(row, "store");
        }
    };
    let read = async || {
        let page = shared.store.read_all(config::TABLE, "", READ_TIMEOUT);
        let page = page.await?;
        let version = page.version;
        apply(page, Some(version));
        Ok(version)
    };
    let change = async |page| apply(page, None);
    follow_table(&shared, config::TABLE, read, change, || true).await;
}

/// Follows the directory while the owner of `epoch` is in this process.
pub async fn follow_directory(shared: Rc<Shared>, epoch: u64) {
    let send = |event| shared.send_to_owner(Message::Event(epoch, event));
    let decode = |page| directory::decode_entries(page, &shared.queues());
    // Each page is passed on at once, so that an owner of thousands of workers polls and uses the
    // first ones while it reads the others.
    let read = async || {
        let mut whole = Vec::new();
        let apply = |page| {
            let entries = decode(page);
            whole.extend(entries.iter().cloned());
            send(Event::DirectoryChanged(entries));
        };
        let store = &shared.store;
        let version = store.read_pages(directory::TABLE, "", READ_TIMEOUT, apply);
        let version = version.await?;
        // Only the whole directory shows which known workers are listed no more.
        send(Event::Directory(whole));
        Ok(version)
    };
    let change = async |page| {
        send(Event::DirectoryChanged(decode(page)));
        sleep(DIRECTORY_PAUSE).await;
    };
    let is_local = || shared.local_epoch() == Some(epoch);
    while is_local() {
        // Entries of services that the configuration does not name are skipped, so the table is
        // read anew when the named services change.
        let services = shared.queues().services().clone();
        let is_active = || is_local() && *shared.queues().services() == services;
        follow_table(&shared, directory::TABLE, read, &change, is_active).await;
    }
}

/// Has `read` apply a whole table and return its version, and then waits for the changes, while
/// `is_active`. Calls `change` with each page of changes.
async fn follow_table(
    shared: &Shared,
    table: &str,
    read: impl AsyncFn() -> Result<u64, StoreError>,
    change: impl AsyncFn(Page),
    is_active: impl Fn() -> bool,
) {
    let mut version = None;
    let mut healthy = true;
    while is_active() {
        let answer = match version {
            None => read().await,
            Some(version) => {
                let page = shared.store.wait_for_changes(table, version, FEED_WAIT);
                match page.await {
                    Ok(page) => {
                        let version = page.version;
                        if !page.rows.is_empty() || !page.deleted.is_empty() {
                            change(page).await;
                        }
                        Ok(version)
                    }
                    Err(e) => Err(e),
                }
            }
        };
        match answer {
            Ok(reached) => {
                shared.record_store_answer();
                if !healthy {
                    log::info!(target: "store", "event=feed-regained table={table}");
                    healthy = true;
                }
                version = Some(reached);
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
