//! The bounds on what an entry holds at once.

mod body_memory_limit;
mod open_request_limit;

pub use {body_memory_limit::*, open_request_limit::*};
