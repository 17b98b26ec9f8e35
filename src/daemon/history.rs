//! Loads the finished jobs while the owner already serves.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use super::message::Message;
use super::owner_row::READ_TIMEOUT;
use super::shared::{STORE_PART, Shared};
use crate::sched::history::{HistoryPage, HistoryRow};
use crate::sched::job::Outcome;
use crate::sched::journal::HISTORY_TABLE;
use crate::sched::message::Event;
use crate::table::{Row, decode};

/// Rows of one page: the platform's maximum, as these rows are small (a page has about 75 KB).
const PAGE: usize = 500;
/// Pause after a failed read of a page.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reads all finished jobs page by page and sends them to the owner of `epoch`, as long as that
/// owner is in this process.
pub async fn load(shared: Rc<Shared>, epoch: u64) {
    let mut from = String::new();
    while shared.local_epoch() == Some(epoch) {
        let read = shared
            .store
            .read_page(HISTORY_TABLE, STORE_PART, &from, PAGE, READ_TIMEOUT);
        match read.await {
            Ok(read) => {
                let page = decode_page(&read.rows, read.next.is_none());
                shared.send_to_owner(Message::Event(epoch, Event::History(page)));
                let Some(next) = read.next else {
                    return;
                };
                from = next;
            }
            Err(e) => {
                log::warn!(target: "owner", "event=past-unread epoch={epoch} cause=\"{e}\"");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the finished jobs decoded from their rows, and the ids of those that do not decode;
/// `last` says that no page follows.
pub(super) fn decode_page(rows: &[Row], last: bool) -> HistoryPage {
    let mut page = HistoryPage {
        last,
        ..HistoryPage::default()
    };
    for row in rows {
        let id = row.key.clone();
        let finished: Option<HistoryRow> = decode(row);
        match finished.filter(|f| f.outcome != Outcome::Open) {
            Some(finished) => page.rows.push((id, finished)),
            None => {
                log::error!(target: "owner", "job={id} event=unreadable past=false");
                page.unreadable.push(id);
            }
        }
    }
    page
}
