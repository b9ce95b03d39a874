//! The platform's key-value service, as this system uses it.

mod error;
mod kv;

pub use {error::*, kv::*};
