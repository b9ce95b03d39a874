//! The runners that the platform lists.

mod runner_entry;
mod runner_follower;
mod runner_list;

pub use {runner_entry::*, runner_follower::*, runner_list::*};
