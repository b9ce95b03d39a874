//! Logging and metrics.

mod counter;
mod cpu_time;
mod log_rules;
mod log_setup;
mod metric;
mod recent_events;
mod timer_lag;

pub use {
    counter::*,
    cpu_time::*,
    log_rules::{LogRules, part_of, set_log_rules},
    log_setup::*,
    metric::*,
    recent_events::*,
    timer_lag::*,
};
