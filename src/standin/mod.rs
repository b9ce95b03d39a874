//! Small fakes of the platform and the backend servers, with fault switches.

mod control;
pub mod engine;
mod http_server;
pub mod kv;
pub mod plain;
mod reference_text;
mod run;
mod settings;
mod switched_io;
pub mod vms;
pub mod weights;

pub use {
    control::*, http_server::*, reference_text::*, run::*, settings::*,
    switched_io::ConnectionSwitch,
};
