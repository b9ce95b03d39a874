//! Decides which runners hold which models and adapters, and sends the load and unload orders.
//!
//! The leader runs [`OrderTask`]. The task estimates the load of each model, plans the next
//! orders with [`plan`] and tracks what each runner holds from its entry, its reports and its
//! replies to orders.

mod adapter_step;
mod balance;
mod doubts;
mod draft;
mod first_copy;
mod load_estimator;
mod load_pacer;
mod make_room;
mod model_step;
mod note_diff;
mod order_book;
mod order_counts;
mod order_desk;
mod order_log;
mod order_task;
mod plan;
mod plan_input;
mod record_answers;
mod report_reading;
mod residents;
mod runner_record;
mod runner_state;
mod service_desk;

pub use {
    balance::*, doubts::*, load_estimator::*, load_pacer::*, order_book::*, order_counts::*,
    order_task::*, plan::*, plan_input::*, runner_state::*,
};
