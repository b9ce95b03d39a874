//! Settings of a process: one JSON file, checked whole, with overrides by argument.

mod error;
mod field;
mod load;
mod macros;

pub use {error::*, field::*, load::*};
