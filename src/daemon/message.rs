//! What the task that holds the owner is told.

use futures::channel::oneshot;

use crate::sched::message::{Answer, Event, JobRequest};
use crate::sched::owner::{Bounds, Owner};
use crate::utils::clock::Millis;

/// What the task is told.
pub enum Message {
    /// A caller asks.
    Request(JobRequest, oneshot::Sender<Answer>),
    /// This box has become the owner of an epoch, in so many milliseconds.
    Begin(Box<Owner>, u64, Millis),
    /// Something happened to the owner of an epoch.
    Event(u64, Event),
    /// The owner before extends no lease any more.
    PredecessorEnded(u64),
    /// A later owner exists.
    Superseded(u64),
    /// The settings have changed.
    Bounds(Bounds),
    /// A box with more cores, in thousandths, could be the owner.
    StrongerBox(u32),
    /// Give the cell up.
    Resign,
}
