//! One node: everything that runs on a VM, in one process.

mod control_port;
mod node_view;
mod parts;
mod peer_config;
mod port;
mod run;
mod settings;
mod settings_follow;
mod signals;
mod status;

pub use {
    control_port::*, node_view::*, parts::*, peer_config::*, port::*, run::*, settings::*,
    settings_follow::*, status::*,
};
