//! willowpoint: a scheduler for latency-critical and batch work on the same boxes.
//!
//! Every box runs one daemon, of one of two kinds. The daemon of `entry` takes callers' requests,
//! forwards them to the owner of a suitable cell of workers, and owns some cells itself. The daemon
//! of `serve` schedules jobs on the workers of the platform, which form one cell that one of the
//! boxes owns. Durable state is kept in the platform's table or store. See `docs/DESIGN.md`.

pub mod cell;
pub mod claim;
pub mod config;
pub mod constants;
pub mod cordons;
pub mod daemon;
pub mod dedup;
pub mod demo;
pub mod engine;
pub mod entry;
pub mod explain;
pub mod interference;
pub mod invariant;
pub mod job;
pub mod lease;
pub mod load;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod options;
pub mod platform;
pub mod program;
pub mod proto;
pub mod queues;
pub mod request;
pub mod route;
pub mod rpc;
pub mod sched;
pub mod standin;
pub mod table;
pub mod trace;
pub mod utils;
pub mod web;
