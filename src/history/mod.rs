//! Records of concurrent runs, and the checkers that judge them.

mod copies_check;
mod memory_check;
mod revision_check;

pub use {copies_check::*, memory_check::*, revision_check::*};
