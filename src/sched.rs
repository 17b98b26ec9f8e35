//! Jobs of steps on workers: one owner at a time decides for all of them.
//!
//! The way of a job: accepted (`asks`), kept (`journal`), placed (`place`,
//! `starts`), started and stopped (`starts`), held and ended (`reports`),
//! shown (`asks`). Everything here is plain state without sockets and clocks.

mod asks;
mod directory;
pub mod job;
pub mod journal;
pub mod message;
mod order;
pub mod owner;
mod paces;
mod place;
mod pressure;
mod reports;
pub mod spec;
mod starts;
pub mod worker;

pub use asks::COME_BACK;

#[cfg(test)]
mod tests;
