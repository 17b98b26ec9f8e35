//! Helpers for clocks, sockets, signals, hashing and random numbers.

pub mod clock;
pub mod drain;
pub mod hash;
pub mod listen;
pub mod log_limit;
pub mod peak;
pub mod random;
pub mod signals;
pub mod sockets;
pub mod suspension;

#[cfg(test)]
mod tests;

use std::sync::Arc;

/// A shared immutable string, for names, ids and keys.
pub type Name = Arc<str>;
