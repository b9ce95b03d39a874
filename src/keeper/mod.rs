//! The keeper: configuration, membership, ownership and orders.

mod entry_service;
mod gate_service;
mod live_feed;
mod settings;
mod state;

pub use {entry_service::*, gate_service::*, live_feed::*, settings::*, state::*};
