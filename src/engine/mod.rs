//! The interface through which keepers send orders to model engines and query their status.

mod api;
mod error;
mod http_engine;

pub use {api::*, error::*, http_engine::*};
