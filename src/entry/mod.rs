//! The entry: callers' HTTP, routing and streams.

mod settings;

pub use settings::*;
