//! Registers the nodes, and elects the one that gives orders.

mod term;

pub use term::*;
