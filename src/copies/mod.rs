//! Decides which runners hold which models and adapters, and sends the load and unload orders.
//!
//! The leader runs [`OrderTask`]. The task estimates the load of each model, plans the next
//! orders with [`plan`] and tracks what each runner holds from its entry, its reports and its
//! replies to orders.

mod adapter_step;
mod cold_load_limiter;
mod evictions;
mod first_copy;
mod left_out;
mod load_balance;
mod load_estimator;
mod model_index;
mod model_step;
mod order_calls;
mod order_controller;
mod order_counters;
mod order_log;
mod order_task;
mod plan;
mod plan_draft;
mod plan_input;
mod plan_pause;
mod planned_runner;
mod record_progress;
mod record_replies;
mod record_reports;
mod report_copies;
mod residency_broadcaster;
mod residency_diff;
mod residents;
mod runner_record;
mod service_state;
mod unanswered_orders;

pub use {
    cold_load_limiter::*,
    left_out::{LeftOut, LeftOutCause},
    load_balance::*,
    load_estimator::*,
    order_counters::*,
    order_task::*,
    plan::*,
    plan_input::*,
    plan_pause::*,
    planned_runner::*,
    residency_broadcaster::*,
    unanswered_orders::*,
};
