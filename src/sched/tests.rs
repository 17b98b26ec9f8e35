//! Tests of the owner against fake workers and a fake store, in virtual time.

mod admission;
mod cordon;
mod crashes;
mod directory;
mod failover;
mod gang;
mod history;
mod incarnation;
mod interference;
mod jobs;
mod journal;
mod late_orders;
mod loads;
mod order;
mod overload;
mod pass_cost;
mod permits;
mod predecessors;
mod random;
mod resizing;
mod rolling_restart;
mod suspension;
mod swaps;
mod takeover;
mod throttling;
mod world;
