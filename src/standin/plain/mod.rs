//! A stand-in of a plain service that counts what it ran.

mod faults;
mod plain_service;
mod run_counts;
mod server;

pub use {faults::*, plain_service::*, run_counts::*};
