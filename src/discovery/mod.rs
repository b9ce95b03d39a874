//! The runners that the platform lists.

mod follow_runners;
mod runner_entry;
mod runner_list;

pub use {follow_runners::*, runner_entry::*, runner_list::*};
