//! The runners: who owns each, what it holds, and the orders that change it.

mod state;

pub use state::*;
