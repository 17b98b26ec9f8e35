//! Small helpers without a duty of their own.

pub mod clock;
pub mod hash;
pub mod random;

use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;
