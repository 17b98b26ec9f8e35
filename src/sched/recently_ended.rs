//! Processor use of best-effort tasks that ended on a worker within the last gauge window.
//!
//! A report lists what each running best-effort task used over the window. A task that ended
//! within the window is no longer listed, but its use still shows in the tail latencies of the
//! serving tasks beside it.

use super::worker::ImageShares;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds over which a worker measures its gauges.
pub(super) const GAUGE_WINDOW: Millis = 500;

/// A best-effort task that has ended.
#[derive(Clone, Debug)]
struct EndedTask {
    image: Name,
    /// Share of the worker's processors that it used.
    share: f64,
    began: Millis,
    ended: Millis,
}

/// The best-effort tasks of one worker that ended within the last gauge window.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentlyEnded {
    tasks: Vec<EndedTask>,
}

impl RecentlyEnded {
    /// Records that a best-effort task which began at `began` and used this share of the
    /// processors ended now.
    pub fn record(&mut self, image: &Name, share: f64, began: Millis, now: Millis) {
        self.tasks.retain(|task| task.ended + GAUGE_WINDOW > now);
        self.tasks.push(EndedTask {
            image: image.clone(),
            share,
            began,
            ended: now,
        });
    }

    /// Adds the shares that these tasks used over the last gauge window, by image.
    pub fn add_shares(&self, mix: &mut ImageShares, now: Millis) {
        let since = now.saturating_sub(GAUGE_WINDOW);
        for task in &self.tasks {
            let overlap = task.ended.saturating_sub(task.began.max(since));
            if overlap > 0 {
                let part = overlap as f64 / GAUGE_WINDOW as f64;
                *mix.entry(task.image.clone()).or_insert(0.0) += task.share * part;
            }
        }
    }
}
