//! Exchanges the load of runners and the demand for models between nodes.
//!
//! Every node sends datagrams to every other: at most one round in 30 ms, at least one in
//! 500 ms. A round holds one item for each runner at which the node has requests in flight, so its
//! size follows the node's own load and not the number of runners. See
//! `docs/design/load-signals.md` for what that comes to.

mod datagram;
#[allow(clippy::module_inception)]
mod gossip;
mod note_outbox;
mod seal;
mod sender_table;

pub use {datagram::*, gossip::*, seal::*};
