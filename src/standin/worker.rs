//! The worker's stand-in: an endpoint over HTTP and its control over gRPC.

mod serve;
pub mod state;

pub use serve::{Options, serve};
