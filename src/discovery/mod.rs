//! The runners that the platform lists.

mod listed_runners;
mod runner_entry;
mod runner_follower;
mod runner_list;

pub use {listed_runners::*, runner_entry::*, runner_follower::*, runner_list::*};
