//! Admission of submitted jobs: `rejection` refuses those that could not run, and those that would
//! end worthless while more is submitted than the workers complete.
//!
//! `forecast` computes when a job would end, from the waiting work and the rate of `throughput`.
//! `returns` gives refused callers the times at which to retry. Only the owner refuses for load: a
//! box can't tell whether another one has passed the job on, and a refusal says that it never runs.

pub(in crate::sched) mod forecast;
mod overload;
pub(in crate::sched) mod rejection;
pub(in crate::sched) mod returns;
pub(in crate::sched) mod throughput;

use forecast::Load;
use returns::Returns;
use throughput::Throughput;

/// State of the admission by load, held by the owner.
#[derive(Default)]
pub(in crate::sched) struct Admission {
    /// Measured rates of ended work.
    pub throughput: Throughput,
    /// Inputs of the forecast as of the last sweep.
    pub load: Load,
    /// Retry times and first attempts of refused jobs.
    pub returns: Returns,
}
