//! gRPC over HTTP/2 on the runtime's own sockets, without a second runtime.

pub mod bridge;
pub mod client;
pub mod server;

#[cfg(test)]
mod tests;
