//! Faults of the calls to a worker: delays before and after an order is executed, and losses. Each
//! call draws its own, so that answers on several connections overtake each other. A gate holds
//! back acknowledgements.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use willowpoint::utils::random::Random;

/// How calls to a worker fail from now on.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// Longest delay before an order is executed.
    pub order_delay: Duration,
    /// Longest delay of an answer after the order was executed.
    pub answer_delay: Duration,
    /// Share of the orders that are not executed, and not answered.
    pub lost_orders: f64,
    /// Share of the answers that are lost after the order was executed.
    pub lost_answers: f64,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFate {
    /// Delay before the order is executed.
    pub order_delay: Duration,
    /// Delay of the answer.
    pub answer_delay: Duration,
    /// True if the order is not executed.
    pub order_lost: bool,
    /// True if the answer is not sent.
    pub answer_lost: bool,
}

/// Holds back acknowledgements, as a network may that carries out calls much later; clones share
/// it.
#[derive(Clone, Default)]
pub struct Gate {
    state: Arc<GateState>,
}

#[derive(Default)]
struct GateState {
    closed: AtomicBool,
    held: AtomicU64,
    /// Number of times that the gate has let the held calls go.
    releases: AtomicU64,
}

impl Gate {
    /// Holds the calls that arrive from now on, or lets them pass. Those held stay so.
    pub fn set_closed(&self, closed: bool) {
        self.state.closed.store(closed, Ordering::Relaxed);
    }

    /// Returns how many calls are held.
    pub fn held(&self) -> u64 {
        self.state.held.load(Ordering::Relaxed)
    }

    /// Lets all held calls go.
    pub fn release(&self) {
        self.state.releases.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the pass of a call that has to wait; none if the gate is open.
    pub fn hold(&self) -> Option<HeldCall> {
        let closed = self.state.closed.load(Ordering::Relaxed);
        closed.then(|| {
            self.state.held.fetch_add(1, Ordering::Relaxed);
            let state = self.state.clone();
            let release = state.releases.load(Ordering::Relaxed) + 1;
            HeldCall { state, release }
        })
    }
}

/// A call that is held; it counts as held until this value is dropped.
pub struct HeldCall {
    state: Arc<GateState>,
    /// Number of the release that lets it go.
    release: u64,
}

impl HeldCall {
    /// Returns true once the call may go on.
    pub fn is_released(&self) -> bool {
        self.state.releases.load(Ordering::Relaxed) >= self.release
    }
}

impl Drop for HeldCall {
    fn drop(&mut self) {
        self.state.held.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallFaults {
    /// Returns the worse of both faults in each respect.
    pub fn combine(self, other: Self) -> Self {
        Self {
            order_delay: self.order_delay.max(other.order_delay),
            answer_delay: self.answer_delay.max(other.answer_delay),
            lost_orders: self.lost_orders.max(other.lost_orders),
            lost_answers: self.lost_answers.max(other.lost_answers),
        }
    }

    /// Draws what happens to a call.
    pub fn draw(&self, random: &mut Random) -> CallFate {
        let mut below = |max: Duration| {
            let millis = random.below(max.as_millis() as u64 + 1);
            Duration::from_millis(millis)
        };
        let (order_delay, answer_delay) = (below(self.order_delay), below(self.answer_delay));
        CallFate {
            order_delay,
            answer_delay,
            order_lost: random.chance(self.lost_orders),
            answer_lost: random.chance(self.lost_answers),
        }
    }
}
