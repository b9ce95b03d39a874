//! The keeper: configuration, membership, ownership and orders.

mod settings;

pub use settings::*;
