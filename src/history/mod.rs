//! Records of concurrent runs, and the checkers that judge them.

mod answer_check;
mod copies_check;
mod holder_check;
mod memory_check;
mod repeat_check;
mod revision_check;
mod revision_event;
mod run_check;

pub use {
    answer_check::*, copies_check::*, holder_check::*, memory_check::*, repeat_check::*,
    revision_check::*, revision_event::*, run_check::*,
};
