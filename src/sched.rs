//! Jobs of steps on workers: one owner at a time decides for all of them.
//!
//! The way of a job: accepted (`requests`), kept (`journal`, `commits`), placed
//! (`order`, `placement_pass`, `gang`, `scoring`, `permits`, `preemption`), started and
//! stopped (`starts`, `late_starts`), watched (`reports`), ended (`completions`), shown (`requests`); once it is
//! over, `history` knows what callers may still ask.
//! Workers come and go by `directory` and `lost_workers`, get nothing new by `cordon`, and are
//! asked in turn by `poll_schedule`; `addresses` tells who was listed where. The load that they
//! report is recorded by `gauges` (with `recently_ended`, `loads` and `breaches`), from which
//! `interference` learns how best-effort tasks slow serving tasks; `throttling` and `swaps` limit
//! that, a little less while `backlog` is long. `predecessors` tells what earlier owners may still do, `failover`
//! which box comes next; `mechanisms` switches parts of the scheduler off.
//! Everything here is plain state without sockets and clocks.

mod addresses;
mod admission;
mod backlog;
mod breaches;
mod colocation;
mod commits;
mod completions;
mod cordon;
mod crashes;
mod directory;
pub mod failover;
mod gang;
mod gauges;
pub mod history;
pub mod incarnation;
mod interference;
pub mod job;
pub mod journal;
mod late_starts;
mod loads;
mod lost_workers;
pub mod mechanisms;
pub mod message;
mod order;
pub mod owner;
mod permits;
mod placement;
mod placement_pass;
mod poll_schedule;
pub mod predecessors;
mod preemption;
mod recently_ended;
mod reports;
mod requests;
mod scoring;
pub mod spec;
mod starts;
mod swaps;
mod throttling;
pub mod worker;

pub use admission::RETRY_AFTER;

#[cfg(test)]
mod tests;
