//! Expected own load of a serving task in the next seconds, from the level and trend of its step.
//!
//! Load pattern: long bursts of best-effort tasks beside serving tasks whose loads swing. A task
//! placed where the load rises is slowed soon after; one placed where it falls is not.

use crate::utils::clock::Millis;

/// Milliseconds that are looked ahead when a best-effort task is placed: such tasks run for about
/// this long.
const HORIZON: Millis = 2_000;
/// Milliseconds after which the load counts where it falls: a task placed now runs within this.
const START_DELAY: Millis = 500;
/// Milliseconds that throttling looks ahead: half the span of a gauge (500 ms), half the usual wait
/// for the next report (500 ms), and the time that an order takes (100 ms). Looking further ahead
/// slows runs that would have ended first.
const THROTTLE_LEAD: Millis = 600;
/// Rise of a load that has been level or falling, within the horizon. A load that swings by 0.25
/// in 14 s rises by 0.1 in the two seconds after its lowest point.
const TURN_RISE: f64 = 0.08;

/// Level and trend of the own load of a serving task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::sched) struct Outlook {
    /// Present busy share of the server without interference.
    pub level: f64,
    /// Change of the level per second.
    pub trend: f64,
}

impl Outlook {
    /// Returns the load after a time, if it goes on as now. A trend that is no number counts as 0.
    fn after(self, span: Millis) -> f64 {
        let trend = if self.trend.is_finite() {
            self.trend
        } else {
            0.0
        };
        (self.level + trend * span as f64 / 1_000.0).clamp(0.0, 1.0)
    }

    /// Returns the load that a best-effort task placed now has to leave free.
    pub fn while_placed(self) -> f64 {
        let rising = self.after(HORIZON);
        let falling = self.after(START_DELAY) + TURN_RISE;
        rising.max(falling).min(1.0)
    }

    /// Returns the load by which best-effort tasks are slowed. A falling load counts as it is, so
    /// that tasks are never sped up ahead of a report.
    pub fn while_throttled(self) -> f64 {
        self.after(THROTTLE_LEAD).max(self.level)
    }
}
