//! Newtypes for identifiers, sizes and counters, so that they cannot be confused.

mod error;
mod id;
mod name;
mod size;
mod wall_clock;

pub use {error::*, id::*, name::*, size::*, wall_clock::*};
