//! Decides whether a task waits for a free place on the rack that holds its data.
//!
//! Load pattern: many jobs want one rack while workers elsewhere are free. A run outside the rack
//! takes longer by a known factor, so the task waits if a place is expected to be free before the
//! longer run would have cost as much.

use std::collections::BTreeMap;

use crate::sched::job::TaskKey;
use crate::sched::spec::Resources;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds that a task waits at most for its rack. A job that could run must not stand still
/// for 3 s, and the start of a task takes part of that.
pub(in crate::sched) const MAX_RACK_WAIT: Millis = 1_500;

/// Part of the time saved that a task may wait. A task that waits also delays all that come after
/// it: if each waited for as long as it gains, a rack in constant demand would get no more work
/// done, and its tasks would all end as late as elsewhere.
const WAIT_SHARE: f64 = 0.3;

/// A run on a worker of the rack.
#[derive(Clone, Copy, Debug)]
pub(in crate::sched) struct RackRun {
    /// Resources that its end frees.
    pub resources: Resources,
    /// When it was placed.
    pub placed_at: Millis,
    /// Expected run time; `None` for a run without an end.
    pub expected: Option<Millis>,
}

impl RackRun {
    /// Returns the milliseconds until the run is expected to end. A run that is overdue is
    /// expected to last as long again as it has been overdue, because few runs take much longer
    /// than expected, and those take several times as long.
    fn remaining(&self, now: Millis) -> Option<Millis> {
        let end = self.placed_at.saturating_add(self.expected?);
        Some(end.abs_diff(now))
    }
}

/// Returns in how many milliseconds places for tasks with these resources are expected to become
/// free on a worker with `free` resources, in order, up to `MAX_RACK_WAIT`.
pub(in crate::sched) fn places(
    mut free: Resources,
    runs: &[RackRun],
    wanted: Resources,
    now: Millis,
) -> Vec<Millis> {
    let ends = runs
        .iter()
        .filter_map(|run| Some((run.remaining(now)?, run.resources)));
    let mut ends: Vec<_> = ends.filter(|(end, _)| *end <= MAX_RACK_WAIT).collect();
    ends.sort_unstable_by_key(|(end, _)| *end);
    let mut found = Vec::new();
    for (end, freed) in ends {
        free = free.plus(freed);
        // One end makes at most one place: a task without resources would fit any number of times.
        if wanted.within(free) {
            free = free.minus(wanted);
            found.push(end);
        }
    }
    found
}

/// Returns true when a task ends sooner by waiting for a place on its rack than by running
/// elsewhere now. `place` is the expected wait and `waited` the time that it has waited already.
pub(in crate::sched) fn waits(
    place: Option<Millis>,
    waited: Millis,
    run_time: Millis,
    far_factor: f64,
) -> bool {
    let Some(place) = place else {
        return false;
    };
    let gain = (far_factor - 1.0) * run_time as f64;
    // The time already waited counts too: a wait that was in vain so far is a sign that the
    // expected place is wrong, and the task then ends late by the gain at most.
    let total = waited.saturating_add(place);
    waited < MAX_RACK_WAIT && total <= MAX_RACK_WAIT && (total as f64) < gain * WAIT_SHARE
}

/// Tasks that need the same place on a rack: rack, service, label and resources.
pub(in crate::sched) type PlaceKind = (Name, Name, Name, Resources);

/// Places on racks that are expected to become free, as tasks of one placement pass claim them.
#[derive(Default)]
pub(in crate::sched) struct RackClaims {
    places: BTreeMap<PlaceKind, Vec<Millis>>,
    /// Number of tasks that wait for each rack.
    claimed: BTreeMap<Name, usize>,
}

impl RackClaims {
    /// Returns the expected wait for the first place that no task before this one waits for.
    /// `find` returns all expected places of that kind.
    pub fn next(&mut self, kind: PlaceKind, find: impl FnOnce() -> Vec<Millis>) -> Option<Millis> {
        let claimed = self.claimed.get(&kind.0).copied().unwrap_or(0);
        let sorted = || {
            let mut all = find();
            all.sort_unstable();
            all
        };
        let places = self.places.entry(kind).or_insert_with(sorted);
        places.get(claimed).copied()
    }

    /// Records that a task waits for the next place on a rack.
    pub fn claim(&mut self, rack: &Name) {
        *self.claimed.entry(rack.clone()).or_default() += 1;
    }
}

/// Since when tasks have waited for their racks while they could have run elsewhere.
#[derive(Default)]
pub(in crate::sched) struct RackWaits {
    since: BTreeMap<TaskKey, (Millis, Name)>,
    /// Number of waiting tasks by rack.
    racks: BTreeMap<Name, usize>,
}

impl RackWaits {
    /// Returns how long a task has waited for its rack; 0 if it does not.
    pub fn waited(&self, key: TaskKey, now: Millis) -> Millis {
        let since = self.since.get(&key).map_or(now, |(since, _)| *since);
        now.saturating_sub(since)
    }

    /// Records that a task waits. Returns true when it did not wait before.
    pub fn begin(&mut self, key: TaskKey, rack: &Name, now: Millis) -> bool {
        if self.since.contains_key(&key) {
            return false;
        }
        self.since.insert(key, (now, rack.clone()));
        *self.racks.entry(rack.clone()).or_default() += 1;
        true
    }

    /// Returns true while tasks wait for a rack: others should leave its places to them.
    pub fn is_wanted(&self, rack: &Name) -> bool {
        self.racks.contains_key(rack)
    }

    /// Records that a task was placed. Returns how long it had waited, if it had.
    pub fn end(&mut self, key: TaskKey, now: Millis) -> Option<Millis> {
        let (since, rack) = self.since.remove(&key)?;
        if let Some(count) = self.racks.get_mut(&rack) {
            *count -= 1;
            if *count == 0 {
                self.racks.remove(&rack);
            }
        }
        Some(now.saturating_sub(since))
    }

    /// Removes the tasks for which `is_waiting` returns false, such as those of cancelled jobs.
    pub fn retain(&mut self, is_waiting: impl Fn(TaskKey) -> bool) {
        let gone = self.since.iter().filter(|(key, _)| !is_waiting(**key));
        let gone: Vec<_> = gone.map(|(key, (since, _))| (*key, *since)).collect();
        for (key, since) in gone {
            self.end(key, since);
        }
    }
}
