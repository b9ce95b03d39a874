//! Validates a whole configuration before it is published.

mod addresses;
mod capacity;
mod config_check;
mod context;
mod duplicates;
mod limits;
mod references;

pub use config_check::*;
