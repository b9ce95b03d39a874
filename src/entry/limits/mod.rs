//! The bounds on what an entry holds at once.

mod body_space;
mod open_requests;

pub use {body_space::*, open_requests::*};
