//! Decodes the operator's table: the configuration, and the cordons of halls.

use super::store::Page;
use super::wire::Config;
use crate::cordons::CordonChange;
use crate::queues::{Queues, Route};
use crate::sched::job::Queue;
use crate::table::{Row, decode};

/// Table that the operator writes.
pub const TABLE: &str = "op";
/// Key of the configuration's row.
pub const KEY: &str = "config";
/// Prefix of the keys that cordon halls; the name of the hall follows.
const CORDON_PREFIX: &str = "evacuate/";

/// Returns the changes of cordons in a page of the operator's table. Only the key counts: a row
/// cordons its hall even if its value does not decode.
pub fn cordon_changes(page: &Page) -> Vec<CordonChange> {
    let change = |key: &str, version, cordoned| {
        let hall = key.strip_prefix(CORDON_PREFIX).filter(|h| !h.is_empty())?;
        Some(CordonChange {
            hall: hall.into(),
            version,
            cordoned,
        })
    };
    let removed = page
        .deleted
        .iter()
        .map(|d| change(&d.key, d.version, false));
    let added = page.rows.iter().map(|r| change(&r.key, r.version, true));
    removed.chain(added).flatten().collect()
}

/// Returns the queues in a configuration's row, or `None` if the row does not decode.
pub fn decode_queues(row: &Row) -> Option<Queues> {
    let config: Config = decode(row)?;
    let services = config.services.into_iter().map(|service| service.name);
    let routes = config.routes.into_iter().map(|route| Route {
        host: route.host,
        prefix: route.path_prefix,
        queue: Queue {
            name: route.name,
            service: route.service,
            priority: route.priority,
            max_attempts: route.max_attempts.max(1),
            stretch: (route.stretch * 1_000.0) as u32,
            slack: route.target_latency_ms,
            advised: route.advice.is_some(),
        },
    });
    let queues = Queues::new(config.version, routes.collect());
    Some(queues.with_services(services))
}
