//! Management of runners: ownership by keepers, memory accounting, and the orders that load and
//! unload models and adapters.

mod adapter_ledger;
mod adapter_moves;
mod adapter_permits;
mod adapter_pool;
mod audit_log;
mod audit_record;
mod doubt;
mod doubt_resolution;
mod error;
mod fleet_keeper;
mod ledger;
mod load_gate;
mod move_queue;
mod order_sender;
mod ownership;
mod queued_move;
mod record;
mod record_handle;
mod record_io;
mod runner_task;
mod state;
mod state_board;
mod supervisor;
mod task_context;
mod view;

pub use {
    adapter_ledger::*,
    adapter_permits::*,
    audit_log::*,
    audit_record::*,
    error::*,
    fleet_keeper::*,
    ledger::*,
    load_gate::*,
    ownership::*,
    record::*,
    record_handle::*,
    record_io::*,
    state::*,
    state_board::*,
    task_context::{EngineFactory, FleetTiming},
    view::*,
};
use {queued_move::QueuedMove, task_context::TaskContext};
