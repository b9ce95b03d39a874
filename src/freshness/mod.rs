//! The age of a node's configuration, so that a key that was taken away is not served for long.

mod age_bound;
mod age_task;
mod config_age;
mod proof_table;

pub use {age_bound::*, age_task::*, config_age::*, proof_table::*};
