//! gRPC over HTTP/2 on monoio sockets, without a second async runtime.

pub mod bridge;
pub mod client;
pub mod server;

#[cfg(test)]
mod tests;
