//! Records of concurrent runs, and the checkers that judge them.

mod copies_check;
mod memory_check;

pub use {copies_check::*, memory_check::*};
