//! Groups of jobs by queue and size. Load: one queue or one size of job floods the others.
//!
//! The boundaries of the sizes are quantiles of the work of the last jobs of a queue, so that they
//! follow a queue whose jobs change.

use std::collections::{HashMap, VecDeque};

use crate::utils::Name;

/// Number of last jobs of a queue from which its boundaries are learned. The largest tenth is then
/// determined by 12 jobs.
const WINDOW: usize = 128;
/// Jobs of a queue before which all count as small: with fewer, the largest tenth is one job.
const MIN_JOBS: usize = 20;
/// Most queues that are told apart. Platforms have a few dozen; more are not weighed.
const MAX_QUEUES: usize = 64;
/// Number of size classes.
const CLASSES: usize = 3;

/// Size of a job in relation to the last jobs of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::sched) enum SizeClass {
    /// Below the 70th percentile.
    Small,
    /// The fifth beneath the largest tenth.
    Upper,
    /// The largest tenth.
    Largest,
}

/// Number of a group.
pub(in crate::sched) type GroupId = usize;

/// Work of the last jobs of a queue, and the boundaries that follow from it.
#[derive(Clone, Debug, Default)]
pub(in crate::sched) struct Sizes {
    last: VecDeque<f64>,
    /// Least work of the classes `Upper` and `Largest`, once enough jobs are known.
    bounds: Option<(f64, f64)>,
}

impl Sizes {
    /// Adds the work of a job. Work that is not a positive number is ignored.
    pub fn record(&mut self, work: f64) {
        if !work.is_finite() || work <= 0.0 {
            return;
        }
        if self.last.len() == WINDOW {
            self.last.pop_front();
        }
        self.last.push_back(work);
        if self.last.len() < MIN_JOBS {
            return;
        }
        let mut sorted: Vec<f64> = self.last.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let at = |tenths: usize| sorted[sorted.len() * tenths / 10];
        self.bounds = Some((at(7), at(9)));
    }

    /// Returns the class of a job with this work. In a queue of equal jobs all are small.
    pub fn class(&self, work: f64) -> SizeClass {
        let Some((upper, largest)) = self.bounds else {
            return SizeClass::Small;
        };
        let least = self.last.iter().copied().fold(f64::MAX, f64::min);
        match work {
            _ if work <= least => SizeClass::Small,
            _ if work >= largest => SizeClass::Largest,
            _ if work >= upper => SizeClass::Upper,
            _ => SizeClass::Small,
        }
    }
}

/// A queue and its sizes.
struct QueueSlot {
    name: Name,
    priority: u32,
    sizes: Sizes,
    /// Jobs of the queue that are tracked.
    open: usize,
    /// Value of the counter of jobs when the last job of the queue was added.
    last_used: u64,
}

/// Groups of all queues. Their number is bounded.
#[derive(Default)]
pub(in crate::sched) struct Groups {
    slots: Vec<QueueSlot>,
    by_name: HashMap<Name, usize>,
    /// Number of jobs that were added.
    added: u64,
}

/// A group that a job was added to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sched) struct Membership {
    /// The group.
    pub group: GroupId,
    /// True when the groups of its queue took the place of those of another queue.
    pub replaced: bool,
}

impl Groups {
    /// Adds a job and returns its group; `None` when too many queues have open jobs.
    pub fn add(&mut self, queue: &Name, priority: u32, work: f64) -> Option<Membership> {
        self.added += 1;
        let known = self.by_name.get(queue).copied();
        let (index, replaced) = match known {
            Some(index) => (index, false),
            None => self.add_queue(queue, priority)?,
        };
        let slot = &mut self.slots[index];
        slot.priority = priority;
        slot.last_used = self.added;
        slot.open += 1;
        slot.sizes.record(work);
        let group = index * CLASSES + slot.sizes.class(work) as usize;
        Some(Membership { group, replaced })
    }

    /// Adds a queue, in place of the least recently used one without open jobs when all slots
    /// are taken. Returns its slot, and whether it replaces another queue.
    fn add_queue(&mut self, queue: &Name, priority: u32) -> Option<(usize, bool)> {
        let slot = QueueSlot {
            name: queue.clone(),
            priority,
            sizes: Sizes::default(),
            open: 0,
            last_used: self.added,
        };
        if self.slots.len() < MAX_QUEUES {
            self.slots.push(slot);
            let index = self.slots.len() - 1;
            self.by_name.insert(queue.clone(), index);
            return Some((index, false));
        }
        let unused = self.slots.iter().enumerate().filter(|(_, s)| s.open == 0);
        let (index, _) = unused.min_by_key(|(_, s)| s.last_used)?;
        let old = std::mem::replace(&mut self.slots[index], slot);
        self.by_name.remove(&old.name);
        self.by_name.insert(queue.clone(), index);
        Some((index, true))
    }

    /// Records that a job of a group is no longer tracked.
    pub fn remove(&mut self, group: GroupId) {
        if let Some(slot) = self.slots.get_mut(group / CLASSES) {
            slot.open = slot.open.saturating_sub(1);
        }
    }

    /// Returns the groups of the queue of a group.
    pub fn siblings(group: GroupId) -> std::ops::Range<GroupId> {
        let first = group / CLASSES * CLASSES;
        first..first + CLASSES
    }

    /// Returns the first group of each queue that has open jobs, by priority.
    pub fn active_queues(&self) -> HashMap<u32, Vec<GroupId>> {
        let mut queues: HashMap<u32, Vec<GroupId>> = HashMap::new();
        for (index, slot) in self.slots.iter().enumerate().filter(|(_, s)| s.open > 0) {
            queues
                .entry(slot.priority)
                .or_default()
                .push(index * CLASSES);
        }
        queues
    }

    /// Returns the number of groups.
    pub fn len(&self) -> usize {
        self.slots.len() * CLASSES
    }

    /// Returns queue, size and priority of a group.
    pub fn describe(&self, group: GroupId) -> (&Name, SizeClass, u32) {
        let slot = &self.slots[group / CLASSES];
        let class = [SizeClass::Small, SizeClass::Upper, SizeClass::Largest][group % CLASSES];
        (&slot.name, class, slot.priority)
    }
}
