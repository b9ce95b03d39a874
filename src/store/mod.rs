//! The platform's key-value service, as this system uses it.

mod error;
pub mod keys;
mod kv;

pub use {error::*, kv::*};
