//! Simple stand-ins for the systems around willowpoint, the platform and the workers, for demos,
//! tests and benchmarks.

pub mod platform;
pub mod table;
pub mod worker;
