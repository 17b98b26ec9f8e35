//! Adapter to the users' platform: its names, formats and calls; it makes no decisions.
//!
//! Everything on the wire is decoded here, once, into this crate's own types.

pub mod advice;
pub mod config;
pub mod directory;
pub mod ingress;
pub mod store;
mod wire;
pub mod worker;

#[cfg(test)]
mod tests;
