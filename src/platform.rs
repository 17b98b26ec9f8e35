//! The users' platform: its names, formats and calls, and nothing that decides.
//!
//! Each name on the wire is decoded here, once, into the product's own types.

pub mod advice;
pub mod config;
pub mod directory;
pub mod ingress;
pub mod store;
mod wire;
pub mod worker;

#[cfg(test)]
mod tests;
