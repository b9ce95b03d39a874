//! Chooses runners for requests, from what all nodes know of their load and of what they hold.

mod board;
mod dispatcher;
mod types;

pub use {board::*, dispatcher::*, types::*};
