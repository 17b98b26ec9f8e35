//! The operator's configuration in the store.

use super::store::Page;
use super::wire::Config;
use crate::cordons::Change;
use crate::queues::{Queues, Route};
use crate::sched::job::Queue;
use crate::table::{Row, decode};

/// Table in which the operator writes.
pub const TABLE: &str = "op";
/// Key of the configuration.
pub const KEY: &str = "config";
/// Start of the keys under which halls are cordoned; the name of the hall follows.
const CORDON_PREFIX: &str = "evacuate/";

/// Returns what a page of the operator's table says of halls. A row holds by its key alone:
/// one whose value does not decode cordons its hall all the same.
pub fn cordon_changes(page: &Page) -> Vec<Change> {
    let change = |key: &str, version, cordoned| {
        let hall = key.strip_prefix(CORDON_PREFIX).filter(|h| !h.is_empty())?;
        Some(Change {
            hall: hall.into(),
            version,
            cordoned,
        })
    };
    let gone = page
        .deleted
        .iter()
        .map(|d| change(&d.key, d.version, false));
    let set = page.rows.iter().map(|r| change(&r.key, r.version, true));
    gone.chain(set).flatten().collect()
}

/// Returns the queues of a configuration, or `None` when it does not decode.
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
            attempts: route.max_attempts.max(1),
            stretch: (route.stretch * 1_000.0) as u32,
            slack: route.target_latency_ms,
            advised: route.advice.is_some(),
        },
    });
    let queues = Queues::new(config.version, routes.collect());
    Some(queues.with_services(services))
}
