//! Boxes as processes, with stand-ins for the store and the workers. The modules are shared with
//! the tests of the platform, which also use parts that a soak run does not.

#[allow(dead_code)]
#[path = "../../../tests/platform/calls.rs"]
pub mod calls;
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
