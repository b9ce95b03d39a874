//! Checks of the whole configuration before any of it is published.

mod addresses;
mod capacity;
mod config_check;
mod context;
mod duplicates;
mod limits;
mod references;

pub use config_check::*;
