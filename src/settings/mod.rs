//! Settings of a process: one JSON file, checked whole, with overrides by argument.

mod daemon;
mod error;
mod field;
mod load;
mod macros;
mod settings_checker;

pub use {daemon::*, error::*, field::*, load::*, settings_checker::*};
