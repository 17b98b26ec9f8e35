//! The queues in force and how a request finds its own.

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
}

impl Queues {
    /// Returns the queues of a version.
    pub fn new(version: u64, mut routes: Vec<Route>) -> Self {
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        Self { version, routes }
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
