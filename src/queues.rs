//! The configured queues, and the routing of requests to them by host and path.

use std::collections::BTreeSet;

use crate::sched::job::Queue;
use crate::utils::Name;

/// A route: requests to this host and path prefix belong to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Host name of the request.
    pub host: Name,
    /// Prefix of the request's path.
    pub prefix: Name,
    /// The queue.
    pub queue: Queue,
}

/// The queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queues {
    version: u64,
    /// Routes by length of prefix, longest first.
    routes: Vec<Route>,
    /// Names of all services; some may have no queue.
    services: BTreeSet<Name>,
}

impl Queues {
    /// Returns the queues of a version of the configuration.
    pub fn new(version: u64, mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        let services = routes.iter().map(|r| r.queue.service.clone()).collect();
        Self {
            version,
            routes,
            services,
        }
    }

    /// Adds services, which may have no queue.
    pub fn with_services(mut self, services: impl IntoIterator<Item = Name>) -> Self {
        self.services.extend(services);
        self
    }

    /// Returns the names of all services.
    pub fn services(&self) -> &BTreeSet<Name> {
        &self.services
    }

    /// Returns true when the configuration contains a service, with or without a queue: a job
    /// keeps its service when its queue is removed.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Returns the version of the configuration; 0 before one was read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route with the longest matching prefix, and the rest of the path.
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
