//! The protocol between the system's own processes: capnp-rpc over TCP.
//!
//! A connection starts at the [`Gate`](crate::peer_capnp::gate) interface, which returns a
//! capability only for the right shared key.

mod connect;
mod convert;
mod credentials;
mod entry_link;
mod error;
mod limited_reader;
mod peer_blobs;
mod peer_client;
mod peer_connection_cache;
mod serve;

pub use crate::security::SharedKey;
pub use {
    connect::*, convert::*, credentials::*, entry_link::*, error::*, peer_blobs::*, peer_client::*,
    peer_connection_cache::*, serve::*,
};
