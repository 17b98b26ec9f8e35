//! Faults of the calls to a worker: delays before and after an order is executed, and losses. Each
//! call draws its own, so that answers on several connections overtake each other.

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
