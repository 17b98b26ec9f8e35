//! What the serving tasks and fillers of a worker are to each other.

use super::interference::ImageNumber;
use super::job::TaskKey;
use super::placement::Placement;

/// What a worker's serving tasks and fillers are to each other, apart from the rest of
/// their placements: scores of all workers look at this alone.
#[derive(Clone, Debug, Default)]
pub(super) struct Beside {
    /// Serving tasks.
    pub serving: Vec<Serving>,
    /// Fillers.
    pub fillers: Vec<Filling>,
    /// Processor share that serving tasks hold and hardly use.
    pub idle: u64,
}

/// A serving task, as it counts for fillers beside it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Serving {
    key: TaskKey,
    /// Number of its image.
    pub image: ImageNumber,
    /// Its own load as estimated; none before it was measured.
    pub own_load: Option<f64>,
}

/// A filler, as it counts for serving tasks beside it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Filling {
    key: TaskKey,
    /// Number of its image.
    pub image: ImageNumber,
    /// Processor share at full pace.
    pub cpu: u64,
    /// True when it runs until its job is cancelled.
    pub lasting: bool,
}

impl Beside {
    /// Returns true when fillers run beside serving tasks.
    pub fn mixed(&self) -> bool {
        !self.serving.is_empty() && !self.fillers.is_empty()
    }

    /// Takes in a task that was placed there.
    pub fn put(&mut self, key: TaskKey, placement: &Placement) {
        let image = placement.image_number;
        if placement.serving {
            self.idle += idle_part(placement);
            self.serving.push(Serving {
                key,
                image,
                own_load: placement.gauge.as_ref().map(|g| g.own_load),
            });
        }
        if placement.best_effort {
            self.fillers.push(Filling {
                key,
                image,
                cpu: placement.cpu,
                lasting: placement.lasting,
            });
        }
    }

    /// Takes in the own load of a serving task.
    pub fn measure(&mut self, key: TaskKey, own_load: f64) {
        if let Some(serving) = self.serving.iter_mut().find(|s| s.key == key) {
            serving.own_load = Some(own_load);
        }
    }

    /// Takes in that a task is there no more.
    pub fn take(&mut self, key: TaskKey, placement: &Placement) {
        if placement.serving {
            self.idle -= idle_part(placement);
        }
        self.serving.retain(|s| s.key != key);
        self.fillers.retain(|f| f.key != key);
    }
}

/// Returns the processor share that a serving task leaves to others: about half.
fn idle_part(placement: &Placement) -> u64 {
    placement.resources.cpu / 2
}
