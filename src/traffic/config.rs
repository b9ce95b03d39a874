//! The published configuration of routes and services.

use super::{ModelId, ServiceId};

/// The version of a configuration; versions only ever rise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigVersion(pub u64);

/// A whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The services, sorted by name.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl TrafficConfig {
    /// Returns the service with a name.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSpec> {
        let found = self.services.binary_search_by(|spec| spec.name.cmp(name));
        found.ok().map(|position| &self.services[position])
    }
}

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with events; runs at most once unless it may be resumed.
    Streaming {
        /// Whether another runner may go on after the last event that arrived.
        resumable: bool,
        /// The longest pause between events that is still on time.
        gap_target_ms: u64,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable, .. } => resumable,
        }
    }
}

/// A share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// A rule that sends requests to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name, in lower case.
    pub host: String,
    /// The start of the paths; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request waits for its answer.
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth.
    pub target_latency_ms: u64,
    /// The rank; 0 comes first.
    pub priority: u8,
    /// The most runners that one request is sent to.
    pub attempts_max: u32,
    /// Whether requests share parts of their prompts.
    pub session_affinity: bool,
    /// Where requests go; never empty, weights sum to more than zero.
    pub targets: Vec<Target>,
}

/// A service of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// The connections that one runner takes from all callers together.
    pub connections_max: usize,
    /// How its model engines work; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// The model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that a runner processes at once.
    pub slots: u32,
    /// Tokens that running requests and kept prompt parts share.
    pub kv_capacity_tokens: u64,
    /// Memory for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Places for adapters on a runner.
    pub adapter_slots: usize,
    /// Loads a second that the weight store allows over all runners.
    pub loads_per_s: f64,
    /// The models, sorted by name.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns the model with a name.
    pub fn model(&self, name: &ModelId) -> Option<&ModelSpec> {
        let found = self.models.binary_search_by(|spec| spec.name.cmp(name));
        found.ok().map(|position| &self.models[position])
    }
}

/// A model that a service declares.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelId,
    /// The memory of its weights, in megabytes.
    pub weights_mb: f64,
    /// The time of a load from the weight store, in seconds.
    pub load_s: f64,
    /// The time of a load from a runner's memory, in seconds.
    pub warm_s: f64,
    /// The time of a load from a runner's disk, in seconds.
    pub disk_s: f64,
    /// The number of its adapters.
    pub adapters: u32,
    /// The memory of an adapter, in megabytes.
    pub adapter_mb: f64,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head.
    pub head_max_bytes: usize,
    /// The largest body.
    pub body_max_bytes: usize,
    /// The time for a head to arrive.
    pub head_timeout_ms: u64,
    /// The time that a connection may be idle.
    pub idle_timeout_ms: u64,
}
