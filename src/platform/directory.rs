//! Decodes the workers' entries in the platform's directory.

use super::store::Page;
use super::wire::WorkerEntry;
use crate::queues::Queues;
use crate::sched::message::DirectoryEntry;
use crate::sched::spec::Resources;
use crate::sched::worker::Listing;
use crate::table::{Row, decode};
use crate::utils::Name;

/// Table in which workers keep their entries.
pub const TABLE: &str = "servers";

/// Index of the rack in a worker's labels.
const RACK_LABEL: usize = 1;

/// State of a worker that takes tasks.
const READY: &str = "ready";
/// State of a worker that has announced that it will leave.
const DRAINING: &str = "draining";

/// Why an entry names no usable worker.
enum EntryError {
    /// The entry does not decode.
    Unreadable,
    /// The worker has this unknown state.
    State(Name),
    /// The configuration in force does not name the worker's service.
    Service(Name),
}

/// Returns the decoded entries of a page, deleted ones first, each with the worker's id.
pub fn decode_entries(page: Page, queues: &Queues) -> Vec<(Name, DirectoryEntry)> {
    let deleted = page
        .deleted
        .into_iter()
        .map(|d| (d.key, DirectoryEntry::Removed));
    let rows = page.rows.iter().map(|row| {
        let id = row.key.clone();
        match decode_listing(row, queues) {
            Ok(listing) => (id, DirectoryEntry::Listed(listing)),
            Err(error) => {
                log_unusable(&id, &error);
                (id, DirectoryEntry::Unusable)
            }
        }
    });
    deleted.chain(rows).collect()
}

/// Logs why an entry names no usable worker.
fn log_unusable(id: &str, error: &EntryError) {
    match error {
        // `decode` has logged it.
        EntryError::Unreadable => {}
        EntryError::State(state) => {
            log::warn!(target: "directory", "worker={id} event=passed-over reason=state state=\"{state}\"");
        }
        EntryError::Service(service) => {
            log::info!(target: "directory", "worker={id} event=passed-over reason=service service=\"{service}\"");
        }
    }
}

/// Returns the listing of a worker in a directory row, or why the worker is not usable.
fn decode_listing(row: &Row, queues: &Queues) -> Result<Listing, EntryError> {
    let entry: WorkerEntry = decode(row).ok_or(EntryError::Unreadable)?;
    let leaving = match &*entry.state {
        READY => false,
        DRAINING => true,
        _ => return Err(EntryError::State(entry.state)),
    };
    if !queues.has_service(&entry.service) {
        return Err(EntryError::Service(entry.service));
    }
    Ok(Listing {
        id: row.key.clone(),
        boot: entry.born,
        service: entry.service,
        address: entry.address,
        hall: entry.zone,
        // The platform lists the rack after the worker's kind.
        rack: entry.labels.get(RACK_LABEL).cloned().unwrap_or_default(),
        labels: entry.labels,
        capacity: Resources {
            cpu: entry.capacity.cpu,
            memory: entry.capacity.mem_mb,
            gpu: entry.capacity.gpu,
        },
        leaving,
        min_stay: entry.remaining_ms,
    })
}
