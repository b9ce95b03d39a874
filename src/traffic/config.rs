//! The decoded form of the published configuration: routes, services and limits.

use {
    super::{ModelId, ServiceId},
    crate::workspaces::WorkspaceDirectory,
};

/// The version of a configuration; each published configuration has a higher one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigVersion(pub u64);

/// A published configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficConfig {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The services, sorted by name.
    pub services: Vec<ServiceSpec>,
    /// The limits on callers' connections and requests.
    pub limits: CallerLimits,
    /// The workspaces; callers need no key if there are none.
    pub workspaces: WorkspaceDirectory,
}

impl TrafficConfig {
    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSpec> {
        let found = self.services.binary_search_by(|spec| spec.name.cmp(name));
        found.ok().map(|position| &self.services[position])
    }
}

/// The kind of a route's requests, which decides whether a failed request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Responses are event streams; requests run at most once unless they are resumable.
    Streaming {
        /// Whether another runner may continue a broken stream after its last received event.
        resumable: bool,
        /// The target for the longest pause between two events.
        gap_target_ms: u64,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable, .. } => resumable,
        }
    }
}

/// A service to which a route sends a share of its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: ServiceId,
    /// The weight of the service among the targets of the route.
    pub weight: u32,
}

/// A rule that maps requests, by host and path, to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host of the requests, in lower case.
    pub host: String,
    /// The path prefix of the requests; begins and ends with a slash.
    pub path_prefix: String,
    /// The kind of the requests.
    pub kind: RouteKind,
    /// The longest time that a request waits for its response.
    pub timeout_ms: u64,
    /// The latency target of a response.
    pub target_latency_ms: u64,
    /// The priority of the requests; 0 is the highest.
    pub priority: u8,
    /// The largest number of attempts per request.
    pub attempts_max: u32,
    /// Whether requests share prompt prefixes.
    pub session_affinity: bool,
    /// Whether callers need no key of a workspace.
    pub is_anonymous: bool,
    /// The services of the route; at least one has a weight above zero.
    pub targets: Vec<RouteTarget>,
}

/// A service of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: ServiceId,
    /// The largest number of connections to one runner, over all nodes.
    pub connections_max: usize,
    /// The properties of the service's model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// The properties of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// The number of requests that a runner processes at the same time.
    pub slots: u32,
    /// The KV cache of a runner, in tokens, for running requests and cached prompt prefixes.
    pub kv_capacity_tokens: u64,
    /// The memory of a runner for weights and adapters, in megabytes.
    pub weights_memory_mb: f64,
    /// The number of adapters that a runner can hold.
    pub adapter_slots: usize,
    /// The rate of model loads that the weight store allows over all runners, per second.
    pub store_loads_per_s: f64,
    /// The models, sorted by name.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns the model with the given name.
    pub fn model(&self, name: &ModelId) -> Option<&ModelSpec> {
        let found = self.models.binary_search_by(|spec| spec.name.cmp(name));
        found.ok().map(|position| &self.models[position])
    }
}

/// A model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The name of the model.
    pub name: ModelId,
    /// The memory of the model's weights, in megabytes.
    pub weights_mb: f64,
    /// The time of a load from the weight store, in seconds.
    pub load_from_store_s: f64,
    /// The time of a load from a runner's host memory, in seconds.
    pub load_from_memory_s: f64,
    /// The time of a load from a runner's disk, in seconds.
    pub load_from_disk_s: f64,
    /// The number of the model's adapters.
    pub adapters: u32,
    /// The memory of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// The limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head.
    pub head_max_bytes: usize,
    /// The largest request body.
    pub body_max_bytes: usize,
    /// The time within which a request head must arrive.
    pub head_timeout_ms: u64,
    /// The time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}
