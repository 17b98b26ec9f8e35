//! Scheduler of a cell: one owner at a time decides for all jobs and workers.
//!
//! All state is plain data without sockets or clocks: `owner` takes events in and returns actions,
//! both defined in `message`.
//!
//! - Jobs: `spec` and `job` hold their descriptions and state, `requests` and `admission` handle
//!   callers' requests, `journal` and `commits` store changes, and `history` keeps finished jobs.
//! - Placement: `placement_pass` places waiting tasks in the `order` of their value on the best
//!   workers by `scoring`, with `gang`, `permits` and `preemption`. `placement` describes a placed
//!   task.
//! - Runs: `starts` starts and stops them, `fences` keeps late orders from taking effect, `reports`
//!   reconciles runs with what workers report in the order of `sequence`, `completions` ends them
//!   (with `completion_log`), and `crashes` finds tasks that crash workers.
//! - Workers: `worker` holds the state of one, `directory` and `lost_workers` add and remove them,
//!   `incarnation` distinguishes their restarts, `poll_schedule` and `polls` poll them,
//!   `cordon` excludes halls, and `worker_index` finds workers by address and by rack.
//! - Interference: `gauges` records reported loads (with `recently_ended`, `loads` and `breaches`),
//!   `interference` learns from them how best-effort tasks slow serving tasks beside them
//!   (`colocation`), and `throttling` and `swaps` limit that interference. While the `backlog` is
//!   long, a little more of it is allowed.
//! - Owners: `predecessors` describes what earlier owners may still do, `failover` decides which
//!   box takes over next, and `mechanisms` lists which parts of the scheduler are enabled.

mod admission;
mod backlog;
mod breaches;
mod colocation;
mod commits;
mod completion_log;
mod completions;
mod cordon;
mod crashes;
mod directory;
pub mod failover;
pub mod fences;
mod gang;
mod gauges;
pub mod history;
pub mod incarnation;
mod interference;
pub mod job;
pub mod journal;
mod loads;
mod long_leases;
mod lost_workers;
pub mod mechanisms;
pub mod message;
mod order;
pub mod owner;
mod permits;
mod placement;
mod placement_pass;
mod poll_schedule;
mod polls;
pub mod predecessors;
mod preemption;
mod recently_ended;
mod reports;
mod requests;
mod scoring;
pub mod sequence;
mod settings;
pub mod spec;
mod starts;
mod swaps;
mod throttling;
pub mod worker;
mod worker_index;

pub use admission::RETRY_AFTER;

#[cfg(test)]
mod tests;
