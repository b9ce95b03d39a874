//! Decides which runners hold which models and adapters.
//!
//! [`plan`] is a pure function. Each data centre plans for its own runners; the planners agree
//! on the home of each model by rendezvous hashing, without communication.

mod adapter_step;
mod cleanup_step;
mod demand_tracker;
mod growth_step;
mod home_map;
mod load_spread;
mod minimum_step;
mod plan;
mod planner;
mod projected_fleet;
mod relocation;
mod room;
mod room_search;

pub use {
    demand_tracker::{DemandRate, DemandTracker},
    home_map::HomeMap,
    plan::*,
    planner::plan,
};
