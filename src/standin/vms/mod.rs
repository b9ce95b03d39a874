//! A stand-in of the platform's VM list, which lags behind reality.

mod server;
mod vm_list;

pub use vm_list::*;
