//! Copies of slow runs, for a few slow workers or a late task of a step: `policy` decides which runs
//! get one, `running` holds the present copies, and `runs` starts and ends them.

pub(in crate::sched) mod policy;
pub(in crate::sched) mod running;
pub(in crate::sched) mod runs;
