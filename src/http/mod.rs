//! HTTP listeners, the client for backend servers, and problem documents.

mod body;
mod client;
mod connection;
mod error;
mod header;
mod idle;
mod listener;
mod liveness;
mod operations;
mod preface;
mod problem;
mod read;
mod stall_guard;

pub use {
    body::*, client::*, connection::*, error::*, header::*, listener::*, operations::*, problem::*,
    read::*,
};
pub(crate) use {liveness::set_up as set_up_liveness, stall_guard::StallGuard};
