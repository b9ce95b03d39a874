//! Checks of the whole configuration before any of it is published.

mod addresses;
mod capacity;
mod context;
mod duplicates;
mod limits;
mod references;
mod whole;

pub use whole::*;
