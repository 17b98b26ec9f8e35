//! Scores workers for a task: filters those that can run it and ranks them by load, interference
//! and penalties.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::sched::job::{StepKey, TaskKey};
use crate::sched::learned::interference::{ImageNumber, InterferenceModel};
use crate::sched::learned::speeds::Speeds;
use crate::sched::placing::permits::Permits;
use crate::sched::placing::racks::RackWaits;
use crate::sched::spec::StepSpec;
use crate::sched::worker::Worker;
use crate::utils::Name;
use crate::utils::clock::Millis;

/// Score for an excess of 1.0 of interference over what a serving task tolerates. An excess of a
/// quarter counts as much as the load of a worker.
const INTERFERENCE_WEIGHT: u64 = 6_000;
/// The same when the excess follows from the expected load. A fixed rise overstates the excess of
/// most serving tasks, the expected load does not.
const EXPECTED_WEIGHT: u64 = 12_000;
/// Score of a worker outside the rack that holds the data, where work takes at least 1.5
/// times as long, and of the worker on which the task failed last.
const AVOID_PENALTY: u64 = 4_000;
/// Score of a worker on a rack that other tasks wait for: as much as the load of a worker, so that
/// a full one elsewhere is no worse.
const WANTED_PENALTY: u64 = 1_000;
/// Score of each recent failed run on a worker, so that healthy workers are tried first.
const FAILURE_PENALTY: u64 = 1_500;
/// Score of serving tasks of several images on one worker. It is above that of an empty worker,
/// as a best-effort task has to suit all serving tasks beside it.
const MIXED_IMAGES_PENALTY: u64 = 2_500;
/// Score of placing the first serving task on a worker.
const FIRST_SERVING_PENALTY: u64 = 300;
/// Load, in thousandths, above which best-effort tasks get less than they could use.
const CROWDED_LOAD: u64 = 900;
/// Weight of load above `CROWDED_LOAD`.
const CROWDED_WEIGHT: u64 = 3;
/// Score above which a best-effort task waits for a better worker: this one is so full, or serving
/// tasks would be slowed so much, that the task would hardly run.
const WAIT_SCORE: u64 = 1_700;
/// Milliseconds that a best-effort task waits at most for a better worker. A job that could run
/// must not idle for 3 s.
const MAX_WAIT: Millis = 1_800;
/// Weight of a worker's load in the score for a suspect, whose crash would lose all of it.
const SUSPECT_WEIGHT: u64 = 4;
/// Most workers that are ranked for a step, many times the tasks of a step. A ranking of all workers
/// would make the cost of a pass grow with both the workers and the steps.
pub const MAX_CANDIDATES: usize = 512;
/// Slowness below which a worker counts as normal: run times of one kind differ by as much.
const MIN_SLOWNESS: f64 = 1.5;
/// Score of a millisecond by which a run would end later on a slow worker. The load of a worker
/// delays no task that has processors reserved, so that a delay of a quarter of a second counts as
/// much as the load of a worker; and one of a second as much as a worker outside the rack.
const DELAY_WEIGHT: u64 = 4;
/// Longest run time that counts, in milliseconds: a minute outweighs all other penalties.
const MAX_RUN_TIME: Millis = 60_000;
/// Load of a fully used worker, in thousandths.
const FULL_LOAD: u64 = 1_000;

/// What a task requires of a worker.
pub struct PlacementRequest<'a> {
    /// The task.
    pub key: TaskKey,
    /// Service whose workers may run the task.
    pub service: &'a str,
    /// Step of the task.
    pub step: &'a StepSpec,
    /// Milliseconds that the task has waited.
    pub waited: Millis,
    /// True when the task may have crashed a worker.
    pub suspect: bool,
    /// Number of the step's image.
    pub image: ImageNumber,
    /// Interference between images; `None` when placement ignores it.
    pub interference: Option<&'a InterferenceModel>,
    /// True when one more failed run of the task fails the job.
    pub last_attempt: bool,
    /// Worker on which the task failed last; empty for none.
    pub last_failed_on: &'a str,
    /// Number of placed tasks of the same step and round, by worker.
    pub step_tasks: &'a BTreeMap<Name, u32>,
    /// Tasks that wait for a place on their rack; `None` when tasks do not wait for racks.
    pub rack_waits: Option<&'a RackWaits>,
    /// Permits to run the step; `None` when none are needed.
    pub permits: Option<&'a Permits>,
    /// Learned speeds of the workers; `None` when placement ignores them.
    pub speeds: Option<ExpectedRun<'a>>,
}

/// What is needed to compare the ends of a run on several workers.
#[derive(Clone, Copy)]
pub struct ExpectedRun<'a> {
    /// Learned speeds of the workers.
    pub speeds: &'a Speeds,
    /// Expected run time on a normal worker.
    pub run_time: Millis,
    /// The present time.
    pub now: Millis,
}

impl ExpectedRun<'_> {
    /// Returns the milliseconds by which the run would end later on a worker than on a normal one.
    fn delay(&self, worker: &Worker) -> u64 {
        let runs = worker.placements.len() - worker.lasting_tasks as usize;
        let id = &worker.listing.id;
        let slowness = self.speeds.slowness_beside(id, runs, self.now);
        if slowness < MIN_SLOWNESS {
            return 0;
        }
        ((slowness - 1.0) * self.run_time.min(MAX_RUN_TIME) as f64) as u64
    }
}

/// Score and id of a worker, and the part of the score for a worker outside the rack with the data.
type Scored = (u64, Name, u64);

impl PlacementRequest<'_> {
    /// Returns true when load is spread by what is expected.
    fn spreads(&self) -> bool {
        self.rack_waits.is_some()
    }
}

/// Workers on which the tasks of one step fit, ordered by score.
///
/// The tasks of a step are placed one after the other. Each changes only the score of the worker
/// that took it, which was the best one, so the other scores are kept for the next task.
pub struct Ranking {
    /// Step that the scores are for.
    pub step: StepKey,
    /// True when the scores are for suspects, which prefer workers with little to lose.
    pub suspects: bool,
    /// Number of workers that were examined and accept tasks.
    pub examined: usize,
    /// Number of workers that were passed over because they accept no tasks.
    pub passed_over: usize,
    /// Id of the last worker that was examined, unless all were.
    pub last_examined: Option<Name>,
    /// Scores and ids of the workers, the best on top.
    by_score: BinaryHeap<Reverse<Scored>>,
}

impl Ranking {
    /// Scores the first `MAX_CANDIDATES` of `workers` on which a task fits.
    pub fn new<'a>(
        workers: impl Iterator<Item = &'a Worker>,
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Self {
        let (mut examined, mut passed_over) = (0, 0);
        let mut last_examined = None;
        let mut scored = Vec::new();
        for worker in workers {
            if !worker.accepts_tasks(now) {
                passed_over += 1;
                continue;
            }
            examined += 1;
            if !fits_now(worker, request, now) {
                continue;
            }
            let id = &worker.listing.id;
            scored.push(Reverse(scored_worker(worker, request)));
            if scored.len() == MAX_CANDIDATES {
                last_examined = Some(id.clone());
                break;
            }
        }
        Self {
            step: request.key.step_key(),
            suspects: request.suspect,
            examined,
            passed_over,
            last_examined,
            by_score: scored.into(),
        }
    }

    /// Returns true when the scores hold for the task of a request.
    pub fn is_for(&self, key: TaskKey, suspect: bool) -> bool {
        self.step == key.step_key() && self.suspects == suspect
    }

    /// Updates the score of the best worker after it took a task.
    pub fn update(&mut self, worker: &Worker, request: &PlacementRequest<'_>, now: Millis) {
        let id = &worker.listing.id;
        let best = self
            .by_score
            .peek()
            .is_some_and(|Reverse((_, best, _))| best == id);
        if best {
            self.by_score.pop();
        }
        if best && fits_now(worker, request, now) {
            self.by_score.push(Reverse(scored_worker(worker, request)));
        }
    }

    /// Returns the best worker for a task, or `None` when the task fits nowhere or should wait for
    /// a better worker.
    pub fn best(&self, request: &PlacementRequest<'_>) -> Option<Name> {
        let Reverse((score, id, far)) = self.by_score.peek()?;
        // Whether a task waits for its rack is not decided by the score then.
        let ignored = if request.spreads() { *far } else { 0 };
        let unsuited = score - ignored > WAIT_SCORE;
        let waits = request.step.best_effort && unsuited && request.waited < MAX_WAIT;
        (!waits).then(|| id.clone())
    }
}

/// Returns the best of `workers` on which a task fits now.
pub fn best_worker<'a>(
    workers: impl Iterator<Item = &'a Worker>,
    request: &PlacementRequest<'_>,
    now: Millis,
) -> Option<Name> {
    let fitting = workers.filter(|w| fits_now(w, request, now));
    let best = fitting.min_by_key(|w| score(w, request) + rack_penalty(w, request.step))?;
    Some(best.listing.id.clone())
}

/// Returns true when a task could run on a worker once enough of its resources are free.
pub fn could_run(worker: &Worker, request: &PlacementRequest<'_>, now: Millis) -> bool {
    could_hold(worker, request.step) && is_eligible(worker, request, now)
}

/// Returns true when an empty worker could hold a task of a step.
fn could_hold(worker: &Worker, step: &StepSpec) -> bool {
    step.reserved().within(worker.listing.capacity) && has_label(worker, step)
}

/// Returns true when an empty worker with the most capacity that it has had could hold a task
/// of a step.
pub fn could_ever_hold(worker: &Worker, step: &StepSpec) -> bool {
    step.reserved().within(worker.max_capacity) && has_label(worker, step)
}

/// Returns true when a worker has the label that a step requires.
fn has_label(worker: &Worker, step: &StepSpec) -> bool {
    step.label.is_empty() || worker.listing.labels.contains(&step.label)
}

/// Returns true when a task can start on a worker now.
pub(in crate::sched) fn fits_now(
    worker: &Worker,
    request: &PlacementRequest<'_>,
    now: Millis,
) -> bool {
    let id = &worker.listing.id;
    let permitted = request.permits.is_none_or(|p| p.allows(id, now));
    permitted
        && worker.admits(request.key, request.suspect)
        && worker.fits_beside_reservation(request.key, request.step.reserved())
        && !(request.step.best_effort && worker.is_over_target())
        && is_eligible(worker, request, now)
}

/// Returns true when a task may run on a worker, whatever resources are free.
fn is_eligible(worker: &Worker, request: &PlacementRequest<'_>, now: Millis) -> bool {
    let listing = &worker.listing;
    let step = request.step;
    if &*listing.service != request.service || !worker.accepts_tasks(now) {
        return false;
    }
    if !has_label(worker, step) {
        return false;
    }
    let placed = request.step_tasks.get(&listing.id).copied().unwrap_or(0);
    step.max_per_worker == 0 || placed < step.max_per_worker
}

/// Returns a worker with its score for a task.
fn scored_worker(worker: &Worker, request: &PlacementRequest<'_>) -> Scored {
    let far = rack_penalty(worker, request.step);
    let score = score(worker, request) + far;
    (score, worker.listing.id.clone(), far)
}

/// Returns the penalty of a worker outside the rack that holds the data of a step.
fn rack_penalty(worker: &Worker, step: &StepSpec) -> u64 {
    let far = !step.rack.is_empty() && worker.listing.rack != step.rack;
    if far { AVOID_PENALTY } else { 0 }
}

/// Returns the penalty of a worker on a rack that other tasks wait for.
fn wanted_penalty(worker: &Worker, request: &PlacementRequest<'_>) -> u64 {
    let (step, rack) = (request.step, &worker.listing.rack);
    let competes = !step.best_effort && step.rack != *rack;
    let wanted = request.rack_waits.is_some_and(|w| w.is_wanted(rack));
    if competes && wanted {
        WANTED_PENALTY
    } else {
        0
    }
}

/// Returns the score of a worker for a task, except for its rack: its load in thousandths plus penalties. Lower is
/// better.
fn score(worker: &Worker, request: &PlacementRequest<'_>) -> u64 {
    let step = request.step;
    let capacity = worker.listing.capacity;
    let load = |cpu: u64| cpu * FULL_LOAD / capacity.cpu.max(1);
    // Half of the task counts when workers differ in size: with all of it, the large ones would
    // get more than their share until all are full.
    let added = match request.spreads() {
        true => step.resources.cpu / 2,
        false => step.resources.cpu,
    };
    let mut score = match (step.latency_target > 0, step.best_effort) {
        (true, _) => serving_score(
            worker,
            request.image,
            load(worker.allocated.cpu + step.resources.cpu),
        ),
        (_, true) => best_effort_score(load(worker.busy_cpu() + worker.unreserved_cpu + added)),
        _ => load(worker.allocated.cpu + worker.unreserved_cpu + added),
    };
    if (step.latency_target > 0 || step.best_effort)
        && let Some(interference) = request.interference
    {
        let excess = interference.excess_with(worker, step, request.image);
        let weight = match request.spreads() {
            true => EXPECTED_WEIGHT,
            false => INTERFERENCE_WEIGHT,
        };
        score += (excess * weight as f64) as u64;
    }
    score += wanted_penalty(worker, request);
    let failures = u64::from(worker.failures.min(4));
    score += failures * FAILURE_PENALTY * if request.last_attempt { 4 } else { 1 };
    if &*worker.listing.id == request.last_failed_on {
        score += AVOID_PENALTY;
    }
    // What runs beside a best-effort task changes its run time more than the worker does.
    if let Some(run) = &request.speeds
        && !step.best_effort
    {
        score += run.delay(worker) * DELAY_WEIGHT;
    }
    if request.suspect {
        score += load(worker.allocated.cpu) * SUSPECT_WEIGHT;
    }
    score
}

/// Returns the score of a worker for a serving task, which is better the fuller the worker is.
/// Serving tasks are packed by image, so that best-effort tasks find workers without serving
/// tasks, or with none that they would slow.
fn serving_score(worker: &Worker, image: ImageNumber, load: u64) -> u64 {
    let mixed = worker.colocation.serving.iter().any(|s| s.image != image);
    let first = worker.colocation.serving.is_empty();
    let mut score = FULL_LOAD.saturating_sub(load);
    if mixed {
        score += MIXED_IMAGES_PENALTY;
    }
    if first {
        score += FIRST_SERVING_PENALTY;
    }
    score
}

/// Returns the score of a load for a best-effort task. Best-effort tasks on a crowded worker
/// slow each other.
fn best_effort_score(load: u64) -> u64 {
    load + load.saturating_sub(CROWDED_LOAD) * CROWDED_WEIGHT
}
