//! Management of runners: ownership by keepers, memory accounting, and the orders that load and
//! unload models and adapters.
//!
//! Each runner has a record in the store and at most one owner, which changes the record under a
//! fencing epoch. The owner writes an order about a model to the record before it sends the order.
//! An unanswered order keeps its memory reserved until evidence shows that it can have no further
//! effect.

mod adapter_accounting;
mod adapter_moves;
mod adapter_permits;
mod adapter_pool;
mod audit_log;
mod audit_record;
mod error;
mod fleet_keeper;
mod load_limiter;
mod memory_accounting;
mod move_queue;
mod order_evidence;
mod order_resolution;
mod order_sender;
mod ownership;
mod queued_move;
mod record;
mod record_handle;
mod record_io;
mod runner_states;
mod runner_task;
mod state;
mod supervisor;
mod task_context;
mod view;

pub use {
    adapter_accounting::*,
    adapter_permits::*,
    audit_log::*,
    audit_record::*,
    error::*,
    fleet_keeper::*,
    load_limiter::*,
    memory_accounting::*,
    ownership::*,
    record::*,
    record_handle::*,
    record_io::*,
    runner_states::*,
    state::*,
    task_context::{EngineFactory, FleetTiming},
    view::*,
};
use {queued_move::QueuedMove, task_context::TaskContext};
