//! Stand-in for a worker: an endpoint over HTTP that is controlled over gRPC.

mod serve;
pub mod state;

pub use serve::{Options, serve};
