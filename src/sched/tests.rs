//! Tests of the owner against fake workers and a fake store, in virtual time.

mod admission;
mod cordon;
mod crashes;
mod directory;
mod full;
mod gang;
mod jobs;
mod journal;
mod legacy;
mod lives;
mod loads;
mod order;
mod overload;
mod paces;
mod past;
mod permits;
mod pressure;
mod random;
mod rolling;
mod rooms;
mod succession;
mod suspension;
mod swaps;
mod takeover;
mod world;
