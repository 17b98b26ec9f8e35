//! Polls of workers: `schedule` holds when they are due, and `calls` sends them and handles the
//! replies.

pub(in crate::sched) mod calls;
pub(in crate::sched) mod schedule;
