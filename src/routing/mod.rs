//! Request routing: chooses the runner for each inference request.
//!
//! [`RouteTable`] lists the runners that can serve each model, [`LoadBoard`] tracks their load and
//! recent failures, and [`choose`] selects one of them.

mod choice;
mod load_board;
mod rendezvous;
mod route_table;
mod runner_load;

pub use {choice::*, load_board::*, rendezvous::*, route_table::*, runner_load::LoadReport};
