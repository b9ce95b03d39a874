//! Decides which runner holds which model, and gives the orders.

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
