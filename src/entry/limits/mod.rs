//! Limits of the open requests of an entry and of the memory for their bodies.

mod body_memory_limit;
mod open_request_limit;

pub use {body_memory_limit::*, open_request_limit::*};
