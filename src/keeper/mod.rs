//! The keeper process: it follows the configuration, the members and the runners of the fleet,
//! owns runners, plans placement and serves entries, other keepers and operators.

mod adapter_loader;
mod configuration_task;
mod demand_task;
mod entry_service;
mod error;
mod fleet_task;
mod gate_service;
mod keeper_gossip;
mod keeper_parts;
mod live_keys;
mod membership_task;
mod operator_service;
mod peer_service;
mod planning_task;
mod proposer;
mod run;
mod runner_subscriptions;
mod runner_versions;
mod settings;
mod state;
mod status;
mod vm_list;

pub use {
    adapter_loader::*, configuration_task::*, demand_task::*, entry_service::*, error::*,
    fleet_task::*, gate_service::*, keeper_gossip::*, live_keys::*, membership_task::*,
    operator_service::*, peer_service::*, planning_task::*, proposer::*, run::*,
    runner_subscriptions::*, runner_versions::*, settings::*, state::*, status::*, vm_list::*,
};
