//! The order and status interface of model engines.

mod api;
mod error;
mod http_engine;

pub use {api::*, error::*, http_engine::*};
