//! Boxes as processes, with stand-ins for the store and the workers. The modules are shared with
//! the tests of the platform, which also use parts that a soak run does not.

#[allow(dead_code)]
#[path = "../../../tests/platform/calls.rs"]
pub mod calls;
#[allow(dead_code)]
#[path = "../../../tests/support/crowd.rs"]
pub mod crowd;
#[allow(dead_code)]
#[path = "../../../tests/platform/deployment.rs"]
pub mod deployment;
#[path = "../../../tests/platform/link.rs"]
pub mod link;
#[path = "../../../tests/support/proxy.rs"]
pub mod proxy;
#[allow(dead_code)]
#[path = "../../../tests/platform/record.rs"]
pub mod record;
#[allow(dead_code)]
#[path = "../../../tests/platform/store.rs"]
pub mod store;
#[allow(dead_code)]
#[path = "../../../tests/support/mod.rs"]
pub mod support;
#[allow(dead_code)]
#[path = "../../../tests/platform/worker.rs"]
pub mod worker;

pub use deployment::{HOST, PATH};

use deployment::{Profile, QueueSettings};

/// Rack of the first worker.
pub const FIRST_RACK: &str = "r1";

const fn queue(path: &'static str, priority: u32) -> QueueSettings {
    QueueSettings { path, priority }
}

/// Queues of three priorities, two racks, and all mechanisms for hard load but adaptive polls.
pub const PROFILE: Profile = Profile {
    queues: &[queue(PATH, 0), queue("/orders/", 1), queue("/reports/", 2)],
    racks: 2,
    machine: "",
    settings: "[mechanisms]\nadmission = true\nshares = true\nlearning = true\n\
               copies = true\nspreading = true\nsnapshot = true\n",
};
