//! Swaps of serving tasks between workers, which bring together tasks that suffer from the same
//! best-effort tasks.
//!
//! A best-effort task has to suit all serving tasks beside it. Where a serving task that tolerates
//! it runs among tasks that do not, the free capacity beside that task can't be used.

use std::collections::BTreeMap;

use crate::sched::job::TaskKey;
use crate::sched::learned::interference::{ImageDistances, ImageNumber};
use crate::sched::owner::Owner;
use crate::sched::placing::placement::Placement;
use crate::sched::placing::preemption::MIN_RUN_TIME;
use crate::sched::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Milliseconds between two searches for swaps.
const SEARCH_INTERVAL: Millis = 500;
/// Least number of waiting best-effort tasks for swaps: with fewer there is enough capacity.
const MIN_WAITING: usize = 20;
/// Least gain of a swap, as a sum of image distances: that of one pair of images whose
/// interference factors differ by 1 for two best-effort images.
const MIN_GAIN: f64 = 2.0;
/// Most swaps that are begun in one search.
const MAX_SWAPS: usize = 4;
/// Most candidates that are compared, pair by pair: those that match their workers worst.
const MAX_CANDIDATES: usize = 80;

/// A serving task that runs beside serving tasks of other images.
struct Candidate {
    key: TaskKey,
    worker: Name,
    image: ImageNumber,
    /// Sum of the distances of its image to those of the serving tasks of its worker.
    distance: f64,
    /// Images of the serving tasks of its worker.
    images: Vec<ImageNumber>,
}

/// Returns the images of the serving tasks of a worker, one for each task.
fn serving_images(worker: &Worker) -> Vec<ImageNumber> {
    worker.colocation.serving.iter().map(|s| s.image).collect()
}

/// Returns the sum of the distances of an image to other images.
fn distance_to(distances: &ImageDistances, image: ImageNumber, others: &[ImageNumber]) -> f64 {
    others
        .iter()
        .map(|other| distances.between(image, *other))
        .sum()
}

/// Returns by how much a swap of two tasks lowers the sum of their distances to the other tasks
/// of their workers.
fn swap_gain(distances: &ImageDistances, a: &Candidate, b: &Candidate) -> f64 {
    // Each task takes the place of the other, which is then not among its neighbours.
    let apart = distances.between(a.image, b.image);
    let after = distance_to(distances, a.image, &b.images) - apart
        + distance_to(distances, b.image, &a.images)
        - apart;
    a.distance + b.distance - after
}

impl Owner {
    /// Begins swaps that free capacity for waiting best-effort tasks.
    pub(in crate::sched) fn swap_serving_tasks(&mut self) {
        let now = self.now.steady;
        if now < self.next_swap || !self.settings.mechanisms.swap {
            return;
        }
        self.next_swap = now + SEARCH_INTERVAL;
        let best_effort = |key: &&TaskKey| self.jobs[&key.job].step(**key).best_effort;
        if self.ready.keys().filter(best_effort).count() < MIN_WAITING {
            return;
        }
        let distances = self.interference.distances();
        let mut candidates = self.swap_candidates(&distances);
        for _ in 0..MAX_SWAPS {
            let Some((a, b)) = self.best_swap(&candidates, &distances) else {
                return;
            };
            self.swap(a, b);
            let workers = [a.worker.clone(), b.worker.clone()];
            candidates.retain(|c| !workers.contains(&c.worker));
        }
    }

    /// Returns the tasks that match the other tasks of their workers worst, at most one of each
    /// image per worker.
    fn swap_candidates(&self, distances: &ImageDistances) -> Vec<Candidate> {
        let open = |w: &&Worker| w.reservation.is_none() && w.accepts_tasks(self.now.steady);
        let workers = self.workers.values().filter(open);
        let mut candidates: Vec<Candidate> = workers
            .flat_map(|w| self.worker_candidates(w, distances))
            .collect();
        candidates.sort_by(|a, b| b.distance.total_cmp(&a.distance));
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    /// Returns the movable serving tasks of a worker, one of each image.
    fn worker_candidates(&self, worker: &Worker, distances: &ImageDistances) -> Vec<Candidate> {
        let images = serving_images(worker);
        if images.iter().all(|image| *image == images[0]) {
            return Vec::new();
        }
        let settled = |run: &Placement| self.now.steady >= run.placed_at + MIN_RUN_TIME;
        let movable =
            |run: &Placement| run.serving && run.lasting && run.is_running() && settled(run);
        let mut candidates: BTreeMap<ImageNumber, Candidate> = BTreeMap::new();
        for (key, run) in worker.placements.iter().filter(|(_, run)| movable(run)) {
            if candidates.contains_key(&run.image_number) || !self.may_disrupt(*key) {
                continue;
            }
            let candidate = Candidate {
                key: *key,
                worker: worker.listing.id.clone(),
                image: run.image_number,
                distance: distance_to(distances, run.image_number, &images),
                images: images.clone(),
            };
            candidates.insert(run.image_number, candidate);
        }
        candidates.into_values().collect()
    }

    /// Returns the two tasks whose swap gains most, if that is more than `MIN_GAIN`.
    fn best_swap<'a>(
        &self,
        candidates: &'a [Candidate],
        distances: &ImageDistances,
    ) -> Option<(&'a Candidate, &'a Candidate)> {
        let mut best = MIN_GAIN;
        let mut pair = None;
        for (index, a) in candidates.iter().enumerate() {
            for b in &candidates[index + 1..] {
                // A swap gains at most the distances of both tasks on their present workers.
                if a.distance + b.distance <= best {
                    break;
                }
                if a.image == b.image || a.worker == b.worker {
                    continue;
                }
                let gain = swap_gain(distances, a, b);
                if gain > best && self.can_swap(a, b) {
                    best = gain;
                    pair = Some((a, b));
                }
            }
        }
        pair
    }

    /// Returns true when each of two tasks fits on the worker of the other in its place.
    fn can_swap(&self, a: &Candidate, b: &Candidate) -> bool {
        let (worker_a, worker_b) = (&self.workers[&a.worker], &self.workers[&b.worker]);
        let (Some(run_a), Some(run_b)) = (
            worker_a.placements.get(&a.key),
            worker_b.placements.get(&b.key),
        ) else {
            return false;
        };
        let fits = worker_a.fits_without(run_a.resources, run_b.resources)
            && worker_b.fits_without(run_b.resources, run_a.resources);
        fits && self.could_run_on(a.key, worker_b) && self.could_run_on(b.key, worker_a)
    }

    /// Stops both tasks, and reserves the resources of each for the other.
    fn swap(&mut self, a: &Candidate, b: &Candidate) {
        for (mover, other) in [(a, b), (b, a)] {
            let task = self.task_name(mover.key);
            log::info!(target: "task", "task={task} event=swapped worker={} with={}", mover.worker, other.worker);
            let resources = self.jobs[&other.key.job].step(other.key).reserved();
            self.reserve_on(other.key, resources, &mover.worker);
            self.mark_interrupted(mover.key);
        }
        self.stop_task(a.key);
        self.stop_task(b.key);
    }
}
