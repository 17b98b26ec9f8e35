//! Placement of waiting tasks on workers.
//!
//! `pass` places the tasks in order on the best workers by `scoring`, with `gang`, `permits` and
//! `preemption`; `expected_load` says what serving tasks will leave free, and `racks` with its glue
//! `rack_waits` whether a task waits for its rack; `swaps` moves serving tasks while best-effort tasks wait. `placement` describes a
//! placed task, and `worker_index` finds workers by address and by rack.

pub(in crate::sched) mod expected_load;
pub(in crate::sched) mod gang;
pub(in crate::sched) mod pass;
pub(in crate::sched) mod permits;
pub(in crate::sched) mod placement;
pub(in crate::sched) mod preemption;
pub(in crate::sched) mod rack_waits;
pub(in crate::sched) mod racks;
pub(in crate::sched) mod scoring;
pub(in crate::sched) mod swaps;
pub(in crate::sched) mod worker_index;
