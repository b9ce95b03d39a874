//! A small discrete-time replay of engines under seeded demand, shared by the measurements.

pub mod deployment;
pub mod engine;
pub mod trace;
