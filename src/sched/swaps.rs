//! Swapping the places of serving tasks, so that those which the same fillers
//! slow share their workers.
//!
//! A filler has to suit all serving tasks beside it. Where a task that bears a
//! filler stands among tasks that do not, the room beside it is of no use.

use std::collections::BTreeMap;

use super::interference::{ImageDistances, ImageNumber};
use super::job::TaskKey;
use super::owner::Owner;
use super::placement::Placement;
use super::preempt::SPARED;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two looks.
const LOOK: Millis = 500;
/// Fillers that have to wait before places are swapped: else there is room enough.
const WAITING: usize = 20;
/// Least gain of a swap, in distances between two images: that of one pair
/// which differs by a whole in the pressure of two fillers.
const GAIN: f64 = 2.0;
/// Swaps that are begun at one look.
const AT_ONCE: usize = 4;
/// Tasks that are looked at, those that fit worst: all pairs of them are compared.
const LOOKED_AT: usize = 80;

/// A serving task that stands among tasks unlike it.
struct Misfit {
    key: TaskKey,
    worker: Name,
    image: ImageNumber,
    /// Sum of its distances to the other tasks of its worker.
    distance: f64,
    /// Images of the serving tasks of its worker.
    images: Vec<ImageNumber>,
}

fn images(worker: &Worker) -> Vec<ImageNumber> {
    worker.colocation.serving.iter().map(|s| s.image).collect()
}

/// Returns the sum of the distances of an image to others.
fn distance_to(distances: &ImageDistances, image: ImageNumber, others: &[ImageNumber]) -> f64 {
    others
        .iter()
        .map(|other| distances.between(image, *other))
        .sum()
}

/// Returns by how much less the tasks of both workers are unlike each other after a swap.
fn gain(distances: &ImageDistances, a: &Misfit, b: &Misfit) -> f64 {
    // Each takes the place of the other, which is not beside it then.
    let apart = distances.between(a.image, b.image);
    let after = distance_to(distances, a.image, &b.images) - apart
        + distance_to(distances, b.image, &a.images)
        - apart;
    a.distance + b.distance - after
}

impl Owner {
    /// Begins swaps that make more room for waiting fillers.
    pub(super) fn swap_serving_tasks(&mut self) {
        let now = self.now.steady;
        if now < self.next_swap || !self.settings.mechanisms.swap {
            return;
        }
        self.next_swap = now + LOOK;
        let waits = |key: &&TaskKey| self.jobs[&key.job].step(**key).best_effort;
        if self.ready.keys().filter(waits).count() < WAITING {
            return;
        }
        let distances = self.interference.distances();
        let mut misfits = self.misfits(&distances);
        for _ in 0..AT_ONCE {
            let Some((a, b)) = self.best_swap(&misfits, &distances) else {
                return;
            };
            self.swap(a, b);
            let workers = [a.worker.clone(), b.worker.clone()];
            misfits.retain(|m| !workers.contains(&m.worker));
        }
    }

    /// Returns the tasks that are most unlike the others of their workers, for each
    /// worker one of each image at most.
    fn misfits(&self, distances: &ImageDistances) -> Vec<Misfit> {
        let open = |w: &&Worker| w.promise.is_none() && w.accepts_tasks(self.now.steady);
        let workers = self.workers.values().filter(open);
        let mut misfits: Vec<Misfit> = workers
            .flat_map(|w| self.misfits_of(w, distances))
            .collect();
        misfits.sort_by(|a, b| b.distance.total_cmp(&a.distance));
        misfits.truncate(LOOKED_AT);
        misfits
    }

    fn misfits_of(&self, worker: &Worker, distances: &ImageDistances) -> Vec<Misfit> {
        let images = images(worker);
        if images.iter().all(|image| *image == images[0]) {
            return Vec::new();
        }
        let rested = |run: &Placement| self.now.steady >= run.placed_at + SPARED;
        let movable =
            |run: &Placement| run.serving && run.lasting && run.is_running() && rested(run);
        let mut misfits: BTreeMap<ImageNumber, Misfit> = BTreeMap::new();
        for (key, run) in worker.placements.iter().filter(|(_, run)| movable(run)) {
            if misfits.contains_key(&run.image_number) || !self.may_disrupt(*key) {
                continue;
            }
            let misfit = Misfit {
                key: *key,
                worker: worker.listing.id.clone(),
                image: run.image_number,
                distance: distance_to(distances, run.image_number, &images),
                images: images.clone(),
            };
            misfits.insert(run.image_number, misfit);
        }
        misfits.into_values().collect()
    }

    /// Returns the two tasks whose swap brings most, if it brings enough.
    fn best_swap<'a>(
        &self,
        misfits: &'a [Misfit],
        distances: &ImageDistances,
    ) -> Option<(&'a Misfit, &'a Misfit)> {
        let mut best = GAIN;
        let mut pair = None;
        for (place, a) in misfits.iter().enumerate() {
            for b in &misfits[place + 1..] {
                // A swap can't gain more than both tasks lose where they are.
                if a.distance + b.distance <= best {
                    break;
                }
                if a.image == b.image || a.worker == b.worker {
                    continue;
                }
                let gain = gain(distances, a, b);
                if gain > best && self.fit_swapped(a, b) {
                    best = gain;
                    pair = Some((a, b));
                }
            }
        }
        pair
    }

    /// Returns true when each fits in the place of the other.
    fn fit_swapped(&self, a: &Misfit, b: &Misfit) -> bool {
        let (here, there) = (&self.workers[&a.worker], &self.workers[&b.worker]);
        let (Some(x), Some(y)) = (here.placements.get(&a.key), there.placements.get(&b.key)) else {
            return false;
        };
        let fits = here.fits_without(x, y.resources) && there.fits_without(y, x.resources);
        fits && self.could_run_on(a.key, there) && self.could_run_on(b.key, here)
    }

    /// Stops both tasks, and keeps the place of each for the other.
    fn swap(&mut self, a: &Misfit, b: &Misfit) {
        for (one, other) in [(a, b), (b, a)] {
            let task = self.task_name(one.key);
            log::info!(target: "task", "task={task} event=swapped worker={} with={}", one.worker, other.worker);
            let resources = self.jobs[&other.key.job].step(other.key).reserved();
            self.promise(other.key, resources, &one.worker);
            self.interrupted.insert(one.key);
        }
        self.stop_task(a.key);
        self.stop_task(b.key);
    }
}
