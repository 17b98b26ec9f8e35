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
const CLASH: u64 = 6_000;
/// Score of a worker outside the rack that holds the data: the work takes
/// half as long again or longer there.
const FAR: u64 = 4_000;
/// Score of each failed run of late, to try sound workers first.
const FAILURE: u64 = 1_500;
/// Score of serving tasks of several images on one worker: more than an empty one,
/// as a filler has to suit all that it runs beside.
const MIXED: u64 = 2_500;
/// Score of the first serving task on a worker.
const OPENED: u64 = 300;
/// Load, in thousandths, above which fillers get less than they could use.
const FULL: u64 = 900;
/// Weight of load beyond that.
const FULL_WEIGHT: u64 = 3;
/// Score from which a filler had better wait: the worker is so full, or so
/// much would be slowed, that it would hardly run.
const UNHELPFUL: u64 = 1_700;
/// Milliseconds that a filler waits for a better worker; a job that could run
/// must not idle for 3 s.
const PATIENCE: Millis = 1_800;
/// Weight of the load of a worker that a suspect may crash, as all of it would be lost.
const AT_RISK: u64 = 4;
/// Whole of a load share.
const WHOLE: u64 = 1_000;

/// What is asked of a worker for one task.
pub struct Wish<'a> {
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
    pub last_try: bool,
    /// Worker on which it failed last; empty for none.
    pub avoid: &'a str,
    /// Tasks of the step and round by worker.
    pub beside: &'a BTreeMap<Name, u32>,
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
    order: BinaryHeap<Reverse<(u64, Name)>>,
}

impl Ranking {
    /// Scores all workers for a task.
    pub fn new(workers: &BTreeMap<Name, Worker>, wish: &Wish<'_>, now: Millis) -> Self {
        let fitting = workers.values().filter(|w| allowed(w, wish, now));
        let scored = fitting.map(|w| Reverse((score(w, wish), w.listing.id.clone())));
        let scored: Vec<_> = scored.collect();
        Self {
            step: wish.key.step_key(),
            order: scored.into(),
        }
    }

    /// Scores the best worker anew, which took a task.
    pub fn update(&mut self, worker: &Worker, wish: &Wish<'_>, now: Millis) {
        let id = &worker.listing.id;
        let best = self
            .order
            .peek()
            .is_some_and(|Reverse((_, best))| best == id);
        if best {
            self.order.pop();
        }
        if best && allowed(worker, wish, now) {
            self.order.push(Reverse((score(worker, wish), id.clone())));
        }
    }

    /// Returns the worker on which a task does best, none when it fits nowhere or
    /// had better wait.
    pub fn best(&self, wish: &Wish<'_>) -> Option<Name> {
        let Reverse((score, id)) = self.order.peek()?;
        let waits = wish.step.best_effort && *score > UNHELPFUL && wish.waited < PATIENCE;
        (!waits).then(|| id.clone())
    }
}

/// Returns true when a task could run on a worker once there is room.
pub fn could_run(worker: &Worker, wish: &Wish<'_>, now: Millis) -> bool {
    could_hold(worker, wish.step) && suits(worker, wish, now)
}

/// Returns true when a worker could hold a task of a step, were it empty.
fn could_hold(worker: &Worker, step: &StepSpec) -> bool {
    step.reserved().within(worker.listing.capacity) && labelled(worker, step)
}

/// Returns true when a worker could hold a task of a step, were it empty and had the most
/// room that it has had.
pub fn might_hold(worker: &Worker, step: &StepSpec) -> bool {
    step.reserved().within(worker.max_capacity) && labelled(worker, step)
}

/// Returns true when a worker has the label that a step asks for.
fn labelled(worker: &Worker, step: &StepSpec) -> bool {
    step.label.is_empty() || worker.listing.labels.contains(&step.label)
}

/// Returns true when the task may run there now.
fn allowed(worker: &Worker, wish: &Wish<'_>, now: Millis) -> bool {
    let id = &worker.listing.id;
    let permitted = wish.permits.is_none_or(|p| p.allow(id, now));
    permitted
        && worker.admits(wish.key, wish.suspect)
        && worker.fits_beside_reservation(wish.key, wish.step.reserved())
        && !(wish.step.best_effort && worker.is_over_target())
        && suits(worker, wish, now)
}

/// Returns true when the task may run there once there is room.
fn suits(worker: &Worker, wish: &Wish<'_>, now: Millis) -> bool {
    let listing = &worker.listing;
    let step = wish.step;
    if &*listing.service != wish.service || !worker.accepts_tasks(now) {
        return false;
    }
    if !labelled(worker, step) {
        return false;
    }
    let beside = wish.beside.get(&listing.id).copied().unwrap_or(0);
    step.max_per_worker == 0 || beside < step.max_per_worker
}

/// Lower is better: load in thousandths, and what speaks against the worker.
fn score(worker: &Worker, wish: &Wish<'_>) -> u64 {
    let step = wish.step;
    let all = worker.listing.capacity;
    let load = |cpu: u64| cpu * WHOLE / all.cpu.max(1);
    let mut score = match (step.latency_target > 0, step.best_effort) {
        (true, _) => packing(
            worker,
            wish.image,
            load(worker.allocated.cpu + step.resources.cpu),
        ),
        (_, true) => crowding(load(
            worker.busy_cpu() + worker.wanted_cpu + step.resources.cpu,
        )),
        _ => load(worker.allocated.cpu + worker.wanted_cpu + step.resources.cpu),
    };
    if (step.latency_target > 0 || step.best_effort)
        && let Some(interference) = wish.interference
    {
        let excess = interference.excess_with(worker, step, wish.image);
        score += (excess * CLASH as f64) as u64;
    }
    if !step.rack.is_empty() && worker.listing.rack != step.rack {
        score += FAR;
    }
    let failures = u64::from(worker.failures.min(4));
    score += failures * FAILURE * if wish.last_try { 4 } else { 1 };
    if &*worker.listing.id == wish.avoid {
        score += FAR;
    }
    if wish.suspect {
        score += load(worker.allocated.cpu) * AT_RISK;
    }
    score
}

/// Serving tasks are packed, each image by itself: so fillers find workers
/// without any, and workers with none that they would slow.
fn packing(worker: &Worker, image: ImageNumber, load: u64) -> u64 {
    let mixed = worker.colocation.serving.iter().any(|s| s.image != image);
    let opened = worker.colocation.serving.is_empty();
    let mut score = WHOLE.saturating_sub(load);
    if mixed {
        score += MIXED;
    }
    if opened {
        score += OPENED;
    }
    score
}

/// Fillers on a full worker slow each other.
fn crowding(load: u64) -> u64 {
    load + load.saturating_sub(FULL) * FULL_WEIGHT
}
