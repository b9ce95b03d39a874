//! The entry: callers' HTTP, routing and streams.

mod settings;
mod view;

pub use {settings::*, view::*};
