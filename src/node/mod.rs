//! One node: everything that runs on a VM, in one process.

mod control_port;
mod parts;
mod peer_client;
mod peer_config;
mod peer_runners;
mod port;
mod run;
mod settings;
mod stop_signal;

pub use {
    control_port::*, parts::*, peer_client::*, peer_config::*, peer_runners::*, port::*, run::*,
    settings::*,
};
