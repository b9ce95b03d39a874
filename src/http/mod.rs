//! HTTP servers, the HTTP client and problem documents.

mod acceptor;
mod body;
mod call;
mod client;
mod compression;
mod connection;
mod error;
mod head_guard;
mod head_memory;
mod header;
mod idle_connections;
mod listener;
mod liveness;
mod open_connections;
mod operations;
mod preface;
mod problem;
mod read;
mod retry_after;
mod stall_guard;

pub(crate) use {
    acceptor::Acceptor,
    head_guard::{HeadAllowance, HeadGuard},
    head_memory::{HeadCount, HeadMemory, share_of_head},
    liveness::{set_up as set_up_liveness, set_up_with as set_up_liveness_with},
    open_connections::{OpenConnections, OpenGuard},
    stall_guard::StallGuard,
};
pub use {
    body::*,
    call::*,
    client::*,
    compression::*,
    connection::*,
    error::*,
    header::*,
    listener::*,
    liveness::Liveness,
    open_connections::{ConnectionId, ConnectionTable},
    operations::*,
    problem::*,
    read::*,
    retry_after::*,
};
