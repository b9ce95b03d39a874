//! A stand-in of the rate-limited weight store.

mod client;
mod server;
mod store;

pub use {client::*, store::*};
