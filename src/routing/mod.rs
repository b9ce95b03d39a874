//! Request routing: chooses the runner for each inference request.
//!
//! [`RouteTable`] lists the runners that can serve each model, [`LoadTracker`] tracks their load
//! and recent failures, and [`choose_runner`] selects one of them.

mod load_tracker;
mod rendezvous;
mod route_table;
mod runner_choice;
mod runner_load;

pub use {
    load_tracker::*, rendezvous::*, route_table::*, runner_choice::*, runner_load::LoadReport,
};
