//! The node process: wires the parts of the system together on one VM.

mod change_page;
mod control_access;
mod control_port;
mod demand_metrics;
mod node_view;
mod parts;
mod peer_client;
mod peer_config;
mod peer_pages;
mod peer_runners;
mod port;
mod run;
mod settings;
mod settings_follow;
mod signals;
mod status;
mod upstream;

pub use {
    change_page::*, control_access::*, control_port::*, demand_metrics::*, node_view::*, parts::*,
    peer_client::*, peer_config::*, peer_pages::*, peer_runners::*, port::*, run::*, settings::*,
    settings_follow::*, status::*, upstream::*,
};
