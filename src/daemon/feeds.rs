//! Feeds of the store: the configuration, and the directory for the owner.

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

/// Milliseconds that a feed waits for a change. The platform allows 30,000, but
/// a connection that fell silent is noticed only after this wait, and a
/// configuration has to be in force 2 s after the store took it.
const FEED_WAIT: Millis = 800;
/// Pause after a feed that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the configuration and which halls are cordoned for ever.
pub async fn follow_config(shared: Rc<Shared>) {
    let take = |page: Page, whole: bool| {
        shared.apply_cordons(config::cordon_changes(&page), whole.then_some(page.version));
        let rows = page.rows.into_iter();
        for row in rows.filter(|r| &*r.key == config::KEY) {
            shared.apply_config(row, "store");
        }
    };
    follow_table(&shared, config::TABLE, take, || true).await;
}

/// Follows the directory while the owner of `epoch` is in this process.
pub async fn follow_directory(shared: Rc<Shared>, epoch: u64) {
    let take = |page: Page, whole: bool| {
        let entries = directory::decode_entries(page, &shared.queues());
        let event = match whole {
            true => Event::Directory(entries),
            false => Event::DirectoryChanged(entries),
        };
        shared.send_to_owner(Message::Event(epoch, event));
    };
    let leading = || shared.local_epoch() == Some(epoch);
    while leading() {
        // Entries of a service that was not named when they were read were passed over.
        let read = shared.queues().services().clone();
        let go_on = || leading() && *shared.queues().services() == read;
        follow_table(&shared, directory::TABLE, take, go_on).await;
    }
}

/// Reads a table, then takes in its changes in their order.
async fn follow_table(
    shared: &Shared,
    table: &str,
    take: impl Fn(Page, bool),
    go_on: impl Fn() -> bool,
) {
    let mut version = None;
    let mut healthy = true;
    while go_on() {
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
                    take(page, whole);
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
