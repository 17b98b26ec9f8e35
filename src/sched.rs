//! Scheduler of a cell: one owner at a time decides for all jobs and workers.
//!
//! All state is plain data without sockets or clocks: `owner` takes events in and returns actions,
//! both defined in `message`.
//!
//! - Jobs: `spec` and `job` hold their descriptions and state, `requests` handles callers' requests,
//!   `journal` (with `write_queue` and `refused_jobs`) and `commits` store changes as `job_rows`, and
//!   `history` keeps finished jobs.
//! - [`admission`] decides which submitted jobs are accepted.
//! - `ready` holds the tasks that wait for a worker, [`shares`] orders them, and [`placing`] places
//!   them.
//! - [`learned`] holds estimates that are learned from reports.
//! - [`copies`] runs tasks twice that are late.
//! - [`polls`] decides when workers are polled.
//! - Runs: `starts` starts and stops them, `fences` keeps late orders from taking effect, `reports`
//!   reconciles runs with what workers report in the order of `sequence`, `completions` ends them
//!   (with `completion_log`), `crashes` finds tasks that crash workers, and `losses` finds out
//!   whether silent workers have crashed.
//! - Workers: `worker` holds the state of one, `directory` and `lost_workers` add and remove them,
//!   `incarnation` distinguishes their restarts, and `cordon` excludes halls.
//! - `backlog` orders what waits for the owner, and `pacing` limits the time that the owner spends on work that may wait.
//! - Interference: `gauges` records reported loads (with `recently_ended` and `breaches`), and
//!   `throttling` limits how best-effort tasks slow serving tasks beside them (`colocation`).
//! - Owners: `predecessors` describes what earlier owners may still do, `failover` decides which
//!   box takes over next, and `mechanisms` lists which parts of the scheduler are enabled.

mod admission;
pub mod backlog;
mod breaches;
mod colocation;
mod commits;
mod completion_log;
mod completions;
mod copies;
mod cordon;
mod crashes;
mod directory;
pub mod failover;
pub mod fences;
pub mod followers;
mod gauges;
pub mod history;
pub mod incarnation;
pub mod job;
pub mod job_rows;
pub mod journal;
mod learned;
mod long_leases;
mod losses;
mod lost_workers;
pub mod mechanisms;
pub mod message;
pub mod owner;
mod pacing;
mod placing;
mod polls;
pub mod predecessors;
mod ready;
mod recently_ended;
mod refused_jobs;
mod reports;
mod requests;
pub mod sequence;
mod settings;
mod shares;
pub mod spec;
mod starts;
mod throttling;
pub mod worker;
mod write_queue;

pub use admission::rejection::RETRY_AFTER;

#[cfg(test)]
mod tests;
