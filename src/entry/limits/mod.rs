//! The limit of the open requests of an entry.

mod open_request_limit;

pub use open_request_limit::*;
