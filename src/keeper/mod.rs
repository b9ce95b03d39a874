//! The keeper: configuration, membership, ownership and orders.

mod entry_service;
mod gate_service;
mod gossip;
mod live_feed;
mod peer_service;
mod settings;
mod state;

pub use {
    entry_service::*, gate_service::*, gossip::*, live_feed::*, peer_service::*, settings::*,
    state::*,
};
