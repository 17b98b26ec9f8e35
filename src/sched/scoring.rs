//! Which worker suits a task best.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::interference::{ImageNumber, InterferenceModel};
use super::job::{StepKey, TaskKey};
use super::permits::Permits;
use super::spec::StepSpec;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Score of a whole of pressure beyond what a serving task bears; a quarter of
/// it counts as much as a worker's load.
const INTERFERENCE_WEIGHT: u64 = 6_000;
/// Score of a worker outside the rack that holds the data: the work takes
/// half as long again or longer there.
const WRONG_PLACE: u64 = 4_000;
/// Score of each failed run of late, to try sound workers first.
const FAILURE_PENALTY: u64 = 1_500;
/// Score of serving tasks of several images on one worker: more than an empty one,
/// as a filler has to suit all that it runs beside.
const MIXED_IMAGES: u64 = 2_500;
/// Score of the first serving task on a worker.
const FIRST_SERVING: u64 = 300;
/// Load, in thousandths, above which fillers get less than they could use.
const CROWDED_LOAD: u64 = 900;
/// Weight of load beyond that.
const CROWDED_WEIGHT: u64 = 3;
/// Score from which a filler had better wait: the worker is so full, or so
/// much would be slowed, that it would hardly run.
const DEFER_SCORE: u64 = 1_700;
/// Milliseconds that a filler waits for a better worker; a job that could run
/// must not idle for 3 s.
const MAX_DEFERRAL: Millis = 1_800;
/// Weight of the load of a worker that a suspect may crash, as all of it would be lost.
const SUSPECT_WEIGHT: u64 = 4;
/// Whole of a load share.
const FULL_LOAD: u64 = 1_000;

/// What is asked of a worker for one task.
pub struct PlacementRequest<'a> {
    /// The task.
    pub key: TaskKey,
    /// Service whose workers may run it.
    pub service: &'a str,
    /// Step of the task.
    pub step: &'a StepSpec,
    /// Milliseconds that the task has waited.
    pub waited: Millis,
    /// True when it may have crashed a worker.
    pub suspect: bool,
    /// Number of the step's image.
    pub image: ImageNumber,
    /// What is known of how fillers slow serving tasks; none when it does not count.
    pub interference: Option<&'a InterferenceModel>,
    /// True when one more failure ends the job.
    pub last_attempt: bool,
    /// Worker on which it failed last; empty for none.
    pub last_failed_on: &'a str,
    /// Tasks of the step and round by worker.
    pub step_tasks: &'a BTreeMap<Name, u32>,
    /// Workers that may run it; none when all may.
    pub permits: Option<&'a Permits>,
}

/// The workers on which tasks of one step fit, with their scores.
///
/// The tasks of a step are placed one after the other, and only the worker that
/// took the last one, the best, scores differently for the next, so that not all are
/// scored anew for each task.
pub struct Ranking {
    /// The step.
    pub step: StepKey,
    /// Scores and workers, the best on top.
    by_score: BinaryHeap<Reverse<(u64, Name)>>,
}

impl Ranking {
    /// Scores all workers for a task.
    pub fn new(workers: &BTreeMap<Name, Worker>, wish: &PlacementRequest<'_>, now: Millis) -> Self {
        let fitting = workers.values().filter(|w| fits_now(w, wish, now));
        let scored = fitting.map(|w| Reverse((score(w, wish), w.listing.id.clone())));
        let scored: Vec<_> = scored.collect();
        Self {
            step: wish.key.step_key(),
            by_score: scored.into(),
        }
    }

    /// Scores the best worker anew, which took a task.
    pub fn update(&mut self, worker: &Worker, wish: &PlacementRequest<'_>, now: Millis) {
        let id = &worker.listing.id;
        let best = self
            .by_score
            .peek()
            .is_some_and(|Reverse((_, best))| best == id);
        if best {
            self.by_score.pop();
        }
        if best && fits_now(worker, wish, now) {
            self.by_score
                .push(Reverse((score(worker, wish), id.clone())));
        }
    }

    /// Returns the worker on which a task does best, none when it fits nowhere or
    /// had better wait.
    pub fn best(&self, wish: &PlacementRequest<'_>) -> Option<Name> {
        let Reverse((score, id)) = self.by_score.peek()?;
        let waits = wish.step.best_effort && *score > DEFER_SCORE && wish.waited < MAX_DEFERRAL;
        (!waits).then(|| id.clone())
    }
}

/// Returns true when a task could run on a worker once there is room.
pub fn could_run(worker: &Worker, wish: &PlacementRequest<'_>, now: Millis) -> bool {
    could_hold(worker, wish.step) && is_eligible(worker, wish, now)
}

/// Returns true when a worker could hold a task of a step, were it empty.
fn could_hold(worker: &Worker, step: &StepSpec) -> bool {
    step.reserved().within(worker.listing.capacity) && has_label(worker, step)
}

/// Returns true when a worker could hold a task of a step, were it empty and had the most
/// room that it has had.
pub fn could_ever_hold(worker: &Worker, step: &StepSpec) -> bool {
    step.reserved().within(worker.max_capacity) && has_label(worker, step)
}

/// Returns true when a worker has the label that a step asks for.
fn has_label(worker: &Worker, step: &StepSpec) -> bool {
    step.label.is_empty() || worker.listing.labels.contains(&step.label)
}

/// Returns true when the task may run there now.
fn fits_now(worker: &Worker, wish: &PlacementRequest<'_>, now: Millis) -> bool {
    let id = &worker.listing.id;
    let permitted = wish.permits.is_none_or(|p| p.allows(id, now));
    permitted
        && worker.admits(wish.key, wish.suspect)
        && worker.fits_beside_reservation(wish.key, wish.step.reserved())
        && !(wish.step.best_effort && worker.is_over_target())
        && is_eligible(worker, wish, now)
}

/// Returns true when the task may run there once there is room.
fn is_eligible(worker: &Worker, wish: &PlacementRequest<'_>, now: Millis) -> bool {
    let listing = &worker.listing;
    let step = wish.step;
    if &*listing.service != wish.service || !worker.accepts_tasks(now) {
        return false;
    }
    if !has_label(worker, step) {
        return false;
    }
    let beside = wish.step_tasks.get(&listing.id).copied().unwrap_or(0);
    step.max_per_worker == 0 || beside < step.max_per_worker
}

/// Lower is better: load in thousandths, and what speaks against the worker.
fn score(worker: &Worker, wish: &PlacementRequest<'_>) -> u64 {
    let step = wish.step;
    let all = worker.listing.capacity;
    let load = |cpu: u64| cpu * FULL_LOAD / all.cpu.max(1);
    let mut score = match (step.latency_target > 0, step.best_effort) {
        (true, _) => serving_score(
            worker,
            wish.image,
            load(worker.allocated.cpu + step.resources.cpu),
        ),
        (_, true) => best_effort_score(load(
            worker.busy_cpu() + worker.wanted_cpu + step.resources.cpu,
        )),
        _ => load(worker.allocated.cpu + worker.wanted_cpu + step.resources.cpu),
    };
    if (step.latency_target > 0 || step.best_effort)
        && let Some(interference) = wish.interference
    {
        let excess = interference.excess_with(worker, step, wish.image);
        score += (excess * INTERFERENCE_WEIGHT as f64) as u64;
    }
    if !step.rack.is_empty() && worker.listing.rack != step.rack {
        score += WRONG_PLACE;
    }
    let failures = u64::from(worker.failures.min(4));
    score += failures * FAILURE_PENALTY * if wish.last_attempt { 4 } else { 1 };
    if &*worker.listing.id == wish.last_failed_on {
        score += WRONG_PLACE;
    }
    if wish.suspect {
        score += load(worker.allocated.cpu) * SUSPECT_WEIGHT;
    }
    score
}

/// Serving tasks are packed, each image by itself: so fillers find workers
/// without any, and workers with none that they would slow.
fn serving_score(worker: &Worker, image: ImageNumber, load: u64) -> u64 {
    let mixed = worker.colocation.serving.iter().any(|s| s.image != image);
    let opened = worker.colocation.serving.is_empty();
    let mut score = FULL_LOAD.saturating_sub(load);
    if mixed {
        score += MIXED_IMAGES;
    }
    if opened {
        score += FIRST_SERVING;
    }
    score
}

/// Fillers on a full worker slow each other.
fn best_effort_score(load: u64) -> u64 {
    load + load.saturating_sub(CROWDED_LOAD) * CROWDED_WEIGHT
}
