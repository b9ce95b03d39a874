//! Decides which runner a request goes to.
//!
//! [`RouteTable`] holds which runners can serve a model, [`LoadBoard`] how busy each one is and
//! whether it failed of late, and [`choose`] picks one.

mod choice;
mod load_board;
mod rendezvous;
mod route_table;
mod runner_load;

pub use {choice::*, load_board::*, rendezvous::*, route_table::*, runner_load::LoadReport};
