//! The runners that the platform lists.

mod runner_entry;

pub use runner_entry::*;
