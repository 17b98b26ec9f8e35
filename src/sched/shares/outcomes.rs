//! Decayed counts of how the jobs of each group ended. Load: one queue or one size of job floods
//! the others, which shows first in jobs that pass their limits.

use crate::sched::shares::groups::GroupId;
use crate::utils::clock::Millis;

/// Milliseconds in which a count falls to 37 %: the counts describe the last 10 s, about the time
/// in which a burst makes jobs late.
const DECAY: f64 = 10_000.0;

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sched) enum Verdict {
    /// It ended within the time allowed.
    OnTime,
    /// It passed the time allowed.
    Late,
    /// It passed the time after which it has no value.
    Worthless,
}

/// Decayed counts of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::sched) struct Tally {
    /// Jobs that ended on time.
    pub on_time: f64,
    /// Jobs that passed the time allowed and still have a value.
    pub late: f64,
    /// Jobs that have no value left.
    pub worthless: f64,
}

impl Tally {
    /// Returns the sum of the counts.
    pub fn total(&self) -> f64 {
        self.on_time + self.late + self.worthless
    }

    /// Returns the part of the jobs that ended on time; `None` without jobs.
    pub fn on_time_share(&self) -> Option<f64> {
        let total = self.total();
        (total > 0.0).then(|| self.on_time / total)
    }

    fn scale(&mut self, factor: f64) {
        self.on_time *= factor;
        self.late *= factor;
        self.worthless *= factor;
    }
}

/// Counts of all groups.
#[derive(Default)]
pub(in crate::sched) struct Outcomes {
    tallies: Vec<Tally>,
    /// Wall time up to which the counts are decayed.
    decayed_at: Millis,
}

impl Outcomes {
    /// Counts a job for which a verdict was reached at `at`. A job that was counted as late and
    /// is worthless now is counted once; `late_at` is when it became late.
    pub fn record(&mut self, group: GroupId, verdict: Verdict, at: Millis, late_at: Millis) {
        if self.tallies.len() <= group {
            self.tallies.resize(group + 1, Tally::default());
        }
        let weight = |time: Millis| factor(self.decayed_at.saturating_sub(time));
        let (added, moved) = (weight(at), weight(late_at));
        let tally = &mut self.tallies[group];
        match verdict {
            Verdict::OnTime => tally.on_time += added,
            Verdict::Late => tally.late += added,
            Verdict::Worthless => {
                tally.late = (tally.late - moved).max(0.0);
                tally.worthless += added;
            }
        }
    }

    /// Decays the counts up to `wall`. A clock that was set back changes nothing.
    /// Returns the factor by which they fell.
    pub fn decay(&mut self, wall: Millis) -> f64 {
        let factor = factor(wall.saturating_sub(self.decayed_at));
        self.decayed_at = self.decayed_at.max(wall);
        self.tallies.iter_mut().for_each(|t| t.scale(factor));
        factor
    }

    /// Clears the counts of a group.
    pub fn clear(&mut self, group: GroupId) {
        if let Some(tally) = self.tallies.get_mut(group) {
            *tally = Tally::default();
        }
    }

    /// Returns the counts of a group.
    pub fn tally(&self, group: GroupId) -> Tally {
        self.tallies.get(group).copied().unwrap_or_default()
    }
}

/// Returns the factor by which a count falls in a time.
fn factor(span: Millis) -> f64 {
    (-(span as f64) / DECAY).exp()
}
