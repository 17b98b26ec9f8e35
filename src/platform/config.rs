//! The operator's configuration in the store.

use super::wire::Config;
use crate::queues::{Queues, Route};
use crate::sched::job::Queue;
use crate::table::{Row, decode};

/// Table in which the operator writes.
pub const TABLE: &str = "op";
/// Key of the configuration.
pub const KEY: &str = "config";

/// Returns the queues of a configuration, or `None` when it does not decode.
pub fn queues(row: &Row) -> Option<Queues> {
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
