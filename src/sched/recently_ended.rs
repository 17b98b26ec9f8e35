//! Fillers that ended on a worker within the last half second, the span of its gauges.
//!
//! Reports tell what running fillers used over that span. One that has just ended
//! is not listed any more, and still shows in the tails of serving tasks.

use super::worker::ImageShares;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds over which a worker measures its gauges.
pub(super) const SPAN: Millis = 500;

/// A filler that has ended.
#[derive(Clone, Debug)]
struct Past {
    image: Name,
    /// Share of the worker's processors that it used.
    share: f64,
    began: Millis,
    ended: Millis,
}

/// The fillers that ended of late on one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    past: Vec<Past>,
}

impl Recent {
    /// Takes in that a filler ended now, which used this share since it began.
    pub fn end(&mut self, image: &Name, share: f64, began: Millis, now: Millis) {
        self.past.retain(|p| p.ended + SPAN > now);
        self.past.push(Past {
            image: image.clone(),
            share,
            began,
            ended: now,
        });
    }

    /// Adds the shares that they used over the last half second, by image.
    pub fn add_to(&self, mix: &mut ImageShares, now: Millis) {
        let since = now.saturating_sub(SPAN);
        for past in &self.past {
            let span = past.ended.saturating_sub(past.began.max(since));
            if span > 0 {
                let part = span as f64 / SPAN as f64;
                *mix.entry(past.image.clone()).or_insert(0.0) += past.share * part;
            }
        }
    }
}
