//! The serving and best-effort tasks of one worker, with the properties that matter to each other.

use super::job::TaskKey;
use super::learned::interference::ImageNumber;
use super::placing::placement::{Gauge, Placement};

/// The serving and best-effort tasks that share a worker.
///
/// Kept apart from the rest of their placements because scoring examines it for every worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Colocation {
    /// Tasks with a latency target.
    pub serving: Vec<ServingTask>,
    /// Tasks whose processors are not reserved.
    pub best_effort: Vec<BestEffortTask>,
    /// Thousandths of cores that serving tasks have reserved and hardly use.
    pub idle_cpu: u64,
}

/// The properties of a serving task that matter to best-effort tasks beside it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServingTask {
    key: TaskKey,
    /// Number of its image.
    pub image: ImageNumber,
    /// Estimated busy share of its server without interference; none before the first gauge.
    pub own_load: Option<f64>,
    /// Busy share that best-effort tasks placed now have to leave free; `None` unless placement
    /// follows the expected load.
    pub expected_load: Option<f64>,
}

/// The properties of a best-effort task that matter to serving tasks beside it.
#[derive(Clone, Copy, Debug)]
pub(super) struct BestEffortTask {
    key: TaskKey,
    /// Number of its image.
    pub image: ImageNumber,
    /// Thousandths of cores used at full speed.
    pub cpu: u64,
    /// True when it runs until its job is cancelled.
    pub lasting: bool,
}

impl Colocation {
    /// Returns true when best-effort tasks run beside serving tasks.
    pub fn is_mixed(&self) -> bool {
        !self.serving.is_empty() && !self.best_effort.is_empty()
    }

    /// Adds a task that was placed on the worker.
    pub fn insert(&mut self, key: TaskKey, placement: &Placement) {
        let image = placement.image_number;
        if placement.serving {
            self.idle_cpu += unused_cpu(placement);
            self.serving.push(ServingTask {
                key,
                image,
                own_load: placement.gauge.as_ref().map(|g| g.own_load),
                expected_load: placement.gauge.as_ref().and_then(Gauge::expected_load),
            });
        }
        if placement.best_effort {
            self.best_effort.push(BestEffortTask {
                key,
                image,
                cpu: placement.cpu,
                lasting: placement.lasting,
            });
        }
    }

    /// Updates the estimated own load of a serving task by its gauge.
    pub fn set_own_load(&mut self, key: TaskKey, gauge: &Gauge) {
        if let Some(serving) = self.serving.iter_mut().find(|s| s.key == key) {
            serving.own_load = Some(gauge.own_load);
            serving.expected_load = gauge.expected_load();
        }
    }

    /// Removes a task that is no longer placed on the worker.
    pub fn remove(&mut self, key: TaskKey, placement: &Placement) {
        if placement.serving {
            self.idle_cpu -= unused_cpu(placement);
        }
        self.serving.retain(|s| s.key != key);
        self.best_effort.retain(|f| f.key != key);
    }
}

/// Returns the thousandths of cores that a serving task leaves unused: about half of those
/// reserved.
fn unused_cpu(placement: &Placement) -> u64 {
    placement.resources.cpu / 2
}
