//! Messages to the task that runs the owner in this process.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::oneshot;

use crate::sched::message::{Answer, Event, JobRequest};
use crate::sched::owner::{Owner, OwnerSettings};
use crate::utils::clock::Millis;
use crate::web::callers::Charge;

/// A message to the owner's task, and when it was sent.
pub struct Sent {
    /// When the message was sent.
    pub at: Millis,
    /// The message.
    pub message: Message,
}

/// A message to the owner's task.
pub enum Message {
    /// A caller's request to the owner of an epoch, the memory that it holds, and where its answer
    /// is sent. The owner of another epoch gives no answer.
    Request(u64, JobRequest, Option<Rc<Charge>>, oneshot::Sender<Answer>),
    /// This box has become the owner: its state, its epoch, and the milliseconds that acquiring
    /// the cell and loading took.
    Begin(Box<Owner>, u64, Millis),
    /// An event for the owner of an epoch; ignored by the owner of another epoch.
    Event(u64, Event),
    /// The predecessor of the owner of this epoch has ended: it extends no lease any more.
    PredecessorEnded(u64),
    /// The box at this address has confirmed the owner of an epoch as of a reading of its clock.
    Confirmed(u64, SocketAddr, Millis),
    /// An owner of this later epoch exists.
    Superseded(u64),
    /// The owner's settings, reloaded.
    Settings(OwnerSettings),
    /// A box with more cores (this many thousandths) could be the owner.
    LargerBox(u32),
    /// The owner is to release the cell: this box is stopping.
    Release,
}
