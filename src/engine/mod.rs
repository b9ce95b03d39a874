//! The order and status interface of model engines.

mod api;
mod error;

pub use {api::*, error::*};
