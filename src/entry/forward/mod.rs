//! Forwards calls to the entry that minted their ticket and therefore must dispatch them.

mod forward_call;
mod forward_link;
mod forward_service;
mod forward_wire;
mod forwarder;

pub use {forward_link::*, forward_wire::*, forwarder::*};
