//! The configuration of routes and services, as the platform's operators publish it.

mod config;
mod names;
mod route_map;
mod traffic_board;

pub use {config::*, names::*, route_map::*, traffic_board::*};
