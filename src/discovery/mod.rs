//! Service discovery: follows the list of runners in the platform's store.

mod runner_changes;
mod runner_entry;
mod runner_follower;
mod runner_list;
mod runner_snapshot;

pub use {
    runner_changes::*, runner_entry::*, runner_follower::*, runner_list::*, runner_snapshot::*,
};
