//! The named objects of the configuration.

use {
    crate::units::{
        AdapterName, BackendName, DataCentreName, MemoryMib, ModelName, PlacementName, RegionName,
        RunnerName, ServiceName,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One configured object; its `kind` field is the discriminant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// Limits and weights of the whole deployment; exactly one is needed.
    Deployment(Deployment),
    /// A data centre.
    DataCentre(DataCentre),
    /// A runner.
    Runner(Runner),
    /// A model.
    Model(Model),
    /// An adapter of a model.
    Adapter(Adapter),
    /// A service, with its class or its backend servers.
    Service(Service),
    /// A rule for where a model's copies may live.
    Placement(Placement),
}

/// Limits and weights of the whole deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// What one move costs, in answers within target per minute that it must win.
    pub move_weight: f64,
    /// Model loads that the weight store allows to start, per second.
    pub model_loads_per_s: f64,
    /// Model loads that run at full speed at once.
    pub model_loads_at_once_max: u32,
    /// Adapter loads that may be in flight at once, over all runners.
    pub adapter_loads_at_once_max: u32,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: DataCentreName,
    /// The region that it is in.
    pub region: RegionName,
}

/// Whether a model engine refuses orders that carry an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an old fencing number are refused.
    Honoured,
    /// The fencing number is not looked at.
    Ignored,
}

/// A runner: one model engine and its accelerators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Its name.
    pub name: RunnerName,
    /// Where its inference and order interface listens.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentreName,
    /// The number of accelerators.
    pub accelerators: u32,
    /// The accelerator memory that models and adapters may take.
    pub memory_mib: MemoryMib,
    /// The part of the memory that is kept for adapters.
    pub adapter_pool_mib: MemoryMib,
    /// Whether old fencing numbers are refused.
    pub fencing: Fencing,
    /// How late an order may still take effect after it was sent.
    pub order_lateness_max_ms: u64,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name, as callers give it.
    pub name: ModelName,
    /// The version of its weights in the weight store.
    pub version: String,
    /// The accelerator memory that one copy takes.
    pub memory_mib: MemoryMib,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name, as callers give it in place of a model.
    pub name: AdapterName,
    /// The model that it adapts.
    pub model: ModelName,
    /// The accelerator memory that it takes.
    pub memory_mib: MemoryMib,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// What stands behind it.
    pub target: ServiceTarget,
}

/// What stands behind a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceTarget {
    /// A service class for requests to models.
    Models {
        /// Lower numbers go first.
        priority: u8,
        /// The target for the first token.
        first_token_target_ms: u64,
        /// The target for the time between two tokens.
        between_tokens_target_ms: u64,
    },
    /// A plain service on backend servers of its own.
    Plain {
        /// The backend servers.
        backends: Vec<Backend>,
        /// The methods that may be repeated, such as `GET`.
        idempotent_methods: Vec<String>,
        /// The longest that a call may take.
        timeout_ms: u64,
    },
}

/// One backend server of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Its name.
    pub name: BackendName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentreName,
}

/// A rule for where a model's copies may live.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Its name.
    pub name: PlacementName,
    /// The model that it is for.
    pub model: ModelName,
    /// The data centres that may hold copies; all when empty.
    #[serde(default)]
    pub data_centres: Vec<DataCentreName>,
    /// Copies that are always kept.
    pub copies_min: u32,
    /// Copies that demand may raise it to.
    pub copies_max: u32,
}
