//! One node: everything that runs on a VM, in one process.

mod control_port;
mod parts;
mod peer_config;
mod port;
mod run;
mod settings;
mod stop_signal;

pub use {control_port::*, parts::*, peer_config::*, port::*, run::*, settings::*};
