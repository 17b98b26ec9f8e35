//! Boxes as processes, and stand-ins of what they meet; the tests of processes have them too,
//! and use what a soak does not.

#[allow(dead_code)]
#[path = "../../../tests/platform/deployment.rs"]
pub mod deployment;
#[path = "../../../tests/support/proxy.rs"]
pub mod proxy;
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
