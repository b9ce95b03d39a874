//! Settings of a process: one JSON file with overrides by command-line arguments, checked as a whole.

mod daemon;
mod error;
mod field;
mod load;
mod macros;
mod settings_checker;

pub use {daemon::*, error::*, field::*, load::*, settings_checker::*};
