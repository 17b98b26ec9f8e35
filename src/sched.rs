//! Jobs of steps on workers: one owner at a time decides for all of them.
//!
//! The way of a job: accepted (`asks`), kept (`journal`, `commits`), placed
//! (`order`, `placing`, `gang`, `choice`, `permits`, `preempt`), started and
//! stopped (`starts`), watched (`reports`), ended (`ends`), shown (`asks`).
//! Workers come and go by `directory` and `silence`; `pressure` and `paces` keep
//! fillers from slowing serving tasks. `legacy` tells what earlier owners may
//! still do.
//! Everything here is plain state without sockets and clocks.

mod agenda;
mod asks;
mod choice;
mod commits;
mod directory;
mod ends;
mod exchange;
mod gang;
pub mod job;
pub mod journal;
pub mod legacy;
mod loads;
pub mod message;
mod order;
pub mod owner;
mod paces;
mod permits;
mod placing;
mod preempt;
mod pressure;
mod recent;
mod reports;
mod silence;
pub mod spec;
mod starts;
pub mod succession;
pub mod switches;
pub mod worker;

pub use asks::COME_BACK;

#[cfg(test)]
mod tests;
