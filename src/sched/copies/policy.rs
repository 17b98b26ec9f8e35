//! Decides which runs get a copy when a few workers are slow or one task of a step is late.

use crate::sched::job::Task;
use crate::sched::spec::StepSpec;
use crate::utils::clock::Millis;

/// Multiple of the expected run time after which a run counts as late while no tail is known.
/// Declared run times are too low by a factor of up to 1.9.
const FALLBACK_TAIL: u64 = 2;
/// Factor from which a worker counts as slow. Run times of equal tasks differ by less; slow workers
/// take four times as long.
pub const SLOW_FACTOR: f64 = 2.0;
/// Least age of a run that gets a copy, in milliseconds. The commit, the start and the first report
/// of a copy take up to 200 ms, so copies of shorter runs rarely end first. The worker must have
/// listed the run for as long: a task that crashes its workers would crash another one by a copy.
const MIN_AGE: Millis = 500;
/// Most copies that are started in one review, so that other events are not delayed and waiting
/// tasks are considered again in between.
pub const MAX_STARTS: usize = 8;

/// What is known of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunFacts {
    /// Milliseconds since its worker first reported it.
    pub age: Millis,
    /// Milliseconds from that report to the last answer of the worker.
    pub listed: Millis,
    /// Expected run time on a worker of usual speed; 0 when unknown.
    pub expected: Millis,
    /// Run time that one run in 20 exceeds; `None` while it is unknown.
    pub tail: Option<Millis>,
    /// Factor by which runs take longer on its worker than elsewhere.
    pub slowness: f64,
}

/// Why a run gets a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyReason {
    /// It has exceeded the tail of its kind.
    PastTail,
    /// Its worker is slow, and a run elsewhere is expected to end earlier.
    SlowWorker,
}

/// Returns true when runs of a task may have copies at all; `failures` is the number of its failed
/// runs, and `max_attempts` that after which its job fails.
///
/// While one more failed run fails the job, a copy would only add a run that may fail. A copy of
/// a suspect could crash a second worker.
pub fn may_have_copy(step: &StepSpec, task: &Task, max_attempts: u32) -> bool {
    let plain = !step.gang && !step.lasting && step.latency_target == 0 && !step.best_effort;
    let attempts_left = task.failures + 1 < max_attempts;
    step.speculative && plain && attempts_left && !task.suspect && task.copy.is_none()
}

/// Returns why a run should get a copy; `None` if it should not.
pub fn copy_reason(run: &RunFacts) -> Option<CopyReason> {
    if run.listed < MIN_AGE || (run.expected == 0 && run.tail.is_none()) {
        return None;
    }
    let tail = run.tail.unwrap_or(run.expected * FALLBACK_TAIL);
    if run.age > tail {
        return Some(CopyReason::PastTail);
    }
    let end = (run.expected as f64 * run.slowness) as Millis;
    let left = end.saturating_sub(run.age);
    let slow = run.slowness >= SLOW_FACTOR && left > run.expected + MIN_AGE;
    slow.then_some(CopyReason::SlowWorker)
}

/// Returns the runs that should get a copy with their reasons, those that are the latest relative to
/// their expected run time first.
pub fn choose_runs<T>(runs: Vec<(T, RunFacts)>) -> Vec<(T, RunFacts, CopyReason)> {
    let late = |(run, facts): (T, RunFacts)| copy_reason(&facts).map(|why| (run, facts, why));
    let mut chosen: Vec<_> = runs.into_iter().filter_map(late).collect();
    chosen
        .sort_by_key(|(_, facts, _)| std::cmp::Reverse(facts.age * 1_000 / facts.expected.max(1)));
    chosen
}
