//! Service discovery: follows the list of runners in the platform's store.

mod list_changes;
mod listed_runners;
mod runner_entry;
mod runner_follower;
mod runner_list;

pub use {list_changes::*, listed_runners::*, runner_entry::*, runner_follower::*, runner_list::*};
