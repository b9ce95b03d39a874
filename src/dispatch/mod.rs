//! Assigns runners to requests by load, resident models and queue order.
//!
//! Each node keeps its own view of the runners' load, built from its own requests and from
//! reports of its peers, and decides without a central scheduler.

mod assignment;
mod attempt_counters;
mod brittleness;
mod capacity_wait;
mod choice;
mod copy_wait;
mod decaying_count;
mod demand_meter;
mod demand_sum;
mod dispatcher;
mod draws;
mod idle_connections;
mod load;
mod load_sum;
mod node_list;
mod pace_budget;
mod peak_rate;
mod peer_demand;
mod peer_loads;
mod pending_assignment;
mod prefix_cache_estimate;
mod prompt_pace;
mod queue_assignment;
mod registry;
mod registry_demand;
mod registry_limits;
mod registry_pace;
mod registry_quarantine;
mod registry_reach;
mod registry_shared;
mod registry_state;
mod registry_sums;
mod registry_wishes;
mod residency;
mod runner_health;
mod runner_limit;
mod send_check;
mod send_counters;
mod send_gate;
mod service_reach;
mod service_runners;
mod summed_usage;
mod tracked_runner;
mod types;
mod uneven_choice;
mod urgent_waits;
mod wait_decision;
mod wait_queue;

pub use {
    assignment::*, attempt_counters::*, choice::*, decaying_count::*, dispatcher::*,
    draws::seed_draws, load::*, load_sum::*, node_list::*, prefix_cache_estimate::*, registry::*,
    registry_pace::SpeedReport, registry_sums::*, residency::*, runner_health::*, runner_limit::*,
    send_check::*, send_counters::*, send_gate::SendDenial, types::*, uneven_choice::*,
};
