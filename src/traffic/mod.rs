//! The configuration of routes and services that the platform's operators publish.

mod active_config;
mod config;
mod config_follower;
mod names;
mod route_table;

pub use {active_config::*, config::*, config_follower::*, names::*, route_table::*};
