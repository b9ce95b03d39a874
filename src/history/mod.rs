//! Recorded events of concurrent runs, and the checkers of their histories.

mod copy_check;
mod execution_check;
mod leader_check;
mod memory_check;
mod response_check;
mod retry_check;
mod revision_check;
mod revision_event;
mod stream_check;
mod wish_check;

pub use {
    copy_check::*, execution_check::*, leader_check::*, memory_check::*, response_check::*,
    retry_check::*, revision_check::*, revision_event::*, stream_check::*, wish_check::*,
};
