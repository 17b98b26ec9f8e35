//! Shares of the workers' capacity: the `order` of waiting tasks, and the `backlog` of best-effort
//! work, which decides how highly serving tasks may be loaded, and the `floor` of tasks that end.
//!
//! Load: one queue or one size of job floods the others. `groups` sorts jobs by queue and size,
//! `outcomes` counts how the jobs of each group ended, `weights` computes from that which group
//! moves ahead, and `ledger` holds this state for the owner. `drains` keeps workers free for tasks
//! that are larger than what ends there.

pub(in crate::sched) mod backlog;
pub(in crate::sched) mod drains;
pub(in crate::sched) mod floor;
pub(in crate::sched) mod groups;
pub(in crate::sched) mod ledger;
pub(in crate::sched) mod order;
pub(in crate::sched) mod outcomes;
pub(in crate::sched) mod weights;
