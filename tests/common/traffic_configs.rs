//! Configurations of routes and services.

use greengagetrail::{
    traffic::{CallerLimits, ConfigVersion, Route, TrafficConfig},
    workspaces::WorkspaceDirectory,
};

/// Makes a configuration.
pub fn config(version: u64, routes: Vec<Route>) -> TrafficConfig {
    TrafficConfig {
        version: ConfigVersion(version),
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 100_000,
            head_timeout_ms: 1_000,
            idle_timeout_ms: 1_000,
        },
        workspaces: WorkspaceDirectory::default(),
    }
}
