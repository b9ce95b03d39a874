//! The node process: wires the parts of the system together on one VM.

mod age_endpoint;
mod age_peers;
mod changes_endpoint;
mod control_access;
mod control_port;
mod demand_metrics;
mod follow_nodes;
mod node_parts;
mod node_view;
mod peer_client;
mod peer_config;
mod peer_endpoints;
mod peer_runners;
mod platform;
mod reach_task;
mod response_budget;
mod run;
mod settings;
mod settings_follower;
mod signals;
mod status;
mod stream_peers;
mod upstream_peer;
mod verdict_task;

pub use {
    age_endpoint::*, changes_endpoint::*, control_access::*, control_port::*, demand_metrics::*,
    node_parts::*, node_view::*, peer_client::*, peer_config::*, peer_endpoints::*,
    peer_runners::*, platform::*, response_budget::*, run::*, settings::*, settings_follower::*,
    status::*, stream_peers::*, upstream_peer::*, verdict_task::*,
};
