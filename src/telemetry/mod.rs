//! Logs and metrics of a process.

mod cpu_time;
mod log_setup;
mod metric;

pub use {cpu_time::*, log_setup::*, metric::*};
