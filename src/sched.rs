//! Jobs of steps on workers: one owner at a time decides for all of them.
//!
//! The way of a job: accepted (`asks`), kept (`journal`, `commits`), placed
//! (`order`, `placing`, `gang`, `choice`, `permits`, `preempt`), started and
//! stopped (`starts`, `late`), watched (`reports`), ended (`ends`), shown (`asks`); once it is
//! over, `history` knows what callers may still ask.
//! Workers come and go by `directory` and `silence`, get nothing new by `cordon`, and are
//! asked in turn by `agenda`; `addresses` tells who was listed where. What they report of
//! their load is taken in by `gauges` (with `recent` and `loads`) and becomes what `pressure`
//! knows; `paces` and `swaps` keep fillers from slowing serving tasks by it, a little less so
//! while `backlog` is long. `predecessors` tells what earlier owners may still do, `failover`
//! which box comes next; `switches` turns mechanisms off.
//! Everything here is plain state without sockets and clocks.

mod addresses;
mod admission;
mod agenda;
mod asks;
mod backlog;
mod beside;
mod choice;
mod commits;
mod cordon;
mod crashes;
mod directory;
mod ends;
pub mod failover;
mod gang;
mod gauges;
pub mod history;
pub mod job;
pub mod journal;
mod late;
pub mod lives;
mod loads;
pub mod message;
mod order;
pub mod owner;
mod paces;
mod permits;
mod placement;
mod placing;
pub mod predecessors;
mod preempt;
mod pressure;
mod recent;
mod reports;
mod silence;
pub mod spec;
mod spells;
mod starts;
mod swaps;
pub mod switches;
pub mod worker;

pub use admission::COME_BACK;

#[cfg(test)]
mod tests;
