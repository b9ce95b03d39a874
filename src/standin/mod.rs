//! Small fakes of the platform and the backend servers, with fault switches.

mod http_server;
pub mod kv;

pub use http_server::*;
