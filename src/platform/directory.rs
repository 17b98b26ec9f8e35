//! The workers' entries in the store.

use super::store::Page;
use super::wire::Beat;
use crate::sched::spec::Room;
use crate::sched::worker::Listing;
use crate::table::{Row, decode};
use crate::utils::Name;

/// Table in which workers keep themselves.
pub const TABLE: &str = "servers";

/// Place of the rack among the labels.
const RACK: usize = 1;

/// Returns the listings of a page that decode, and `None` for each dropped one.
pub fn listings(page: Page) -> Vec<(Name, Option<Listing>)> {
    let dropped = page.dropped.into_iter().map(|id| (id, None));
    let rows = page.rows.iter().filter_map(listing);
    let listed = rows.map(|l| (l.id.clone(), Some(l)));
    dropped.chain(listed).collect()
}

fn listing(row: &Row) -> Option<Listing> {
    let beat: Beat = decode(row)?;
    Some(Listing {
        id: row.key.clone(),
        service: beat.service,
        address: beat.address,
        hall: beat.zone,
        // The platform lists the rack after the worker's kind.
        rack: beat.labels.get(RACK).cloned().unwrap_or_default(),
        labels: beat.labels,
        capacity: Room {
            cpu: beat.capacity.cpu,
            memory: beat.capacity.mem_mb,
            gpu: beat.capacity.gpu,
        },
        leaving: &*beat.state == "draining",
        stays: beat.remaining_ms,
    })
}
