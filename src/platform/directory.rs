//! The workers' entries in the store.

use super::store::Page;
use super::wire::Beat;
use crate::queues::Queues;
use crate::sched::message::Entry;
use crate::sched::spec::Resources;
use crate::sched::worker::Listing;
use crate::table::{Row, decode};
use crate::utils::Name;

/// Table in which workers keep themselves.
pub const TABLE: &str = "servers";

/// Place of the rack among the labels.
const RACK: usize = 1;

/// State of a worker that takes tasks.
const READY: &str = "ready";
/// State of a worker that has said that it will leave.
const DRAINING: &str = "draining";

/// Why an entry names no worker to use.
enum Flaw {
    /// It does not decode.
    Unreadable,
    /// It has a state of another name.
    State(Name),
    /// No configuration in force names its service.
    Service(Name),
}

/// Returns what the entries of a page say.
pub fn entries(page: Page, queues: &Queues) -> Vec<(Name, Entry)> {
    let dropped = page.dropped.into_iter().map(|d| (d.key, Entry::Gone));
    let rows = page.rows.iter().map(|row| {
        let id = row.key.clone();
        match listing(row, queues) {
            Ok(listing) => (id, Entry::Listed(listing)),
            Err(flaw) => {
                tell(&id, &flaw);
                (id, Entry::Unusable)
            }
        }
    });
    dropped.chain(rows).collect()
}

fn tell(id: &str, flaw: &Flaw) {
    match flaw {
        // Told where it was decoded.
        Flaw::Unreadable => {}
        Flaw::State(state) => {
            log::warn!(target: "directory", "worker={id} event=passed-over reason=state state=\"{state}\"");
        }
        Flaw::Service(service) => {
            log::info!(target: "directory", "worker={id} event=passed-over reason=service service=\"{service}\"");
        }
    }
}

fn listing(row: &Row, queues: &Queues) -> Result<Listing, Flaw> {
    let beat: Beat = decode(row).ok_or(Flaw::Unreadable)?;
    let leaving = match &*beat.state {
        READY => false,
        DRAINING => true,
        _ => return Err(Flaw::State(beat.state)),
    };
    if !queues.names_service(&beat.service) {
        return Err(Flaw::Service(beat.service));
    }
    Ok(Listing {
        id: row.key.clone(),
        boot: beat.born,
        service: beat.service,
        address: beat.address,
        hall: beat.zone,
        // The platform lists the rack after the worker's kind.
        rack: beat.labels.get(RACK).cloned().unwrap_or_default(),
        labels: beat.labels,
        capacity: Resources {
            cpu: beat.capacity.cpu,
            memory: beat.capacity.mem_mb,
            gpu: beat.capacity.gpu,
        },
        leaving,
        stays: beat.remaining_ms,
    })
}
