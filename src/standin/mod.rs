//! Small fakes of the platform and the backend servers, with fault switches.

mod control;
pub mod engine;
mod http_server;
pub mod kv;
mod reference_text;
pub mod weights;

pub use {control::*, http_server::*, reference_text::*};
