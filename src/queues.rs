//! The queues in force and how a request finds its own.

use std::collections::BTreeSet;

use crate::sched::job::Queue;
use crate::utils::Name;

/// Which requests belong to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Host that the request names.
    pub host: Name,
    /// Start of its path.
    pub prefix: Name,
    /// The queue.
    pub queue: Queue,
}

/// All queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queues {
    version: u64,
    /// By length of prefix, longest first.
    routes: Vec<Route>,
    /// Names of all services, of which some may have no queue.
    services: BTreeSet<Name>,
}

impl Queues {
    /// Returns the queues of a version.
    pub fn new(version: u64, mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        let services = routes.iter().map(|r| r.queue.service.clone()).collect();
        Self {
            version,
            routes,
            services,
        }
    }

    /// Returns the same queues with services beside those of the queues.
    pub fn with_services(mut self, services: impl IntoIterator<Item = Name>) -> Self {
        self.services.extend(services);
        self
    }

    /// Returns the names of all services.
    pub fn services(&self) -> &BTreeSet<Name> {
        &self.services
    }

    /// Returns true when the configuration names a service. A job keeps its service when
    /// its queue is dropped, so services without a queue count.
    pub fn names_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Returns the version; 0 before any was read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route with the longest fitting prefix, and the rest of the path.
    pub fn find<'p>(&self, host: &str, path: &'p str) -> Option<(&Route, &'p str)> {
        self.routes.iter().find_map(|route| {
            let rest = path.strip_prefix(&*route.prefix)?;
            route
                .host
                .eq_ignore_ascii_case(host)
                .then_some((route, rest))
        })
    }
}
