//! Small helpers without a duty of their own.

pub mod clock;
pub mod drain;
pub mod hash;
pub mod listen;
pub mod peak;
pub mod random;
pub mod signals;
pub mod sockets;
pub mod suspension;

#[cfg(test)]
mod tests;

use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;
