//! Order of the events that the owner handles and the polls that it sends.
//!
//! Many of them fall into one millisecond, so the clock does not show which came first.

/// Position in the order of handled events and sent polls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(u64);

impl Sequence {
    /// Advances to the next position and returns it.
    pub(super) fn advance(&mut self) -> Self {
        self.0 += 1;
        *self
    }
}
