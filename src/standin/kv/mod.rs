//! A stand-in of the key-value service.

mod change_log;
mod control;
mod counts;
mod faults;
mod lease;
mod memory_store;
mod server;
mod state;
mod watch;

pub use {control::*, counts::*, faults::*, lease::*, memory_store::*, state::*};
