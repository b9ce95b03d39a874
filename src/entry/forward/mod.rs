//! Calls that another entry must dispatch since it minted their ticket.

mod forward_call;
mod forward_link;
mod forward_service;
mod forward_wire;
mod forwarder;

pub use {forward_link::*, forward_wire::*, forwarder::*};
