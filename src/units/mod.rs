//! Newtypes for identifiers, sizes and counters, so that they cannot be confused.

mod error;
mod id;
mod name;
mod rate;
mod size;
mod text_type;
mod wall_clock;

pub(crate) use text_type::text_type;
pub use {error::*, id::*, name::*, rate::*, size::*, wall_clock::*};
