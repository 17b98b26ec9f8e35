//! Where a task goes.

use std::collections::BTreeMap;

use super::spec::StepSpec;
use super::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Score of a worker that hosts work which this task would disturb, or that
/// would disturb it; above any load.
const CLASH: u64 = 10_000;
/// Score of a worker outside the rack that holds the data: the work takes
/// half as long again or longer there.
const FAR: u64 = 4_000;
/// Score of each failed run of late, to try sound workers first.
const FAILURE: u64 = 1_500;
/// Whole of a load share.
const WHOLE: u64 = 1_000;

/// What is asked of a worker for one task.
pub struct Wish<'a> {
    /// Service whose workers may run it.
    pub service: &'a str,
    /// Step of the task.
    pub step: &'a StepSpec,
    /// True when one more failure ends the job.
    pub last_try: bool,
    /// Worker on which it failed last; empty for none.
    pub avoid: &'a str,
    /// Tasks of the step and round by worker.
    pub beside: &'a BTreeMap<Name, u32>,
}

/// Returns the worker on which the task does best, none when it fits nowhere.
pub fn choose(workers: &BTreeMap<Name, Worker>, wish: &Wish<'_>, now: Millis) -> Option<Name> {
    let fitting = workers.values().filter(|w| allowed(w, wish, now));
    let best = fitting.min_by_key(|w| (score(w, wish), &w.listing.id));
    best.map(|w| w.listing.id.clone())
}

fn allowed(worker: &Worker, wish: &Wish<'_>, now: Millis) -> bool {
    let listing = &worker.listing;
    let step = wish.step;
    if &*listing.service != wish.service || !worker.open(now) || !worker.fits(step.held()) {
        return false;
    }
    if !step.label.is_empty() && !listing.labels.contains(&step.label) {
        return false;
    }
    let beside = wish.beside.get(&listing.id).copied().unwrap_or(0);
    step.spread == 0 || beside < step.spread
}

/// Lower is better: load in thousandths, and what speaks against the worker.
fn score(worker: &Worker, wish: &Wish<'_>) -> u64 {
    let step = wish.step;
    let all = worker.listing.capacity;
    let wanted = worker.used.cpu + worker.soft + step.room.cpu;
    let load = wanted * WHOLE / all.cpu.max(1);
    let memory = (worker.used.memory + step.room.memory) * WHOLE / all.memory.max(1);
    let mut score = load.max(memory);
    let serving = step.target > 0;
    if serving {
        // Serving tasks share few workers, so that fillers find others.
        score = if worker.serving > 0 { score / 2 } else { score + WHOLE };
    }
    let clash = (serving && worker.fillers > 0) || (step.filler && worker.serving > 0);
    if clash {
        score += CLASH;
    }
    if !step.rack.is_empty() && worker.listing.rack() != &*step.rack {
        score += FAR;
    }
    let failures = u64::from(worker.failures.min(4));
    score += failures * FAILURE * if wish.last_try { 4 } else { 1 };
    if &*worker.listing.id == wish.avoid {
        score += FAR;
    }
    score
}
