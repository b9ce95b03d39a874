//! Logs and metrics of a process.

mod log_setup;
mod metric;

pub use {log_setup::*, metric::*};
