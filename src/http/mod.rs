//! HTTP servers, the HTTP client and problem documents.

mod acceptor;
mod body;
mod call;
mod client;
mod compression;
mod connection;
mod error;
mod head_guard;
mod header;
mod idle_connections;
mod listener;
mod liveness;
mod operations;
mod preface;
mod problem;
mod read;
mod retry_after;
mod stall_guard;

pub(crate) use {
    acceptor::Acceptor,
    head_guard::{HeadAllowance, HeadGuard},
    liveness::{set_up as set_up_liveness, set_up_with as set_up_liveness_with},
    stall_guard::StallGuard,
};
pub use {
    body::*, call::*, client::*, compression::*, connection::*, error::*, header::*, listener::*,
    liveness::Liveness, operations::*, problem::*, read::*, retry_after::*,
};
