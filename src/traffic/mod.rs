//! The configuration of routes and services that the platform's operators publish.

mod config;
mod follow;
mod names;
mod route_map;
mod traffic_board;

pub use {config::*, follow::*, names::*, route_map::*, traffic_board::*};
