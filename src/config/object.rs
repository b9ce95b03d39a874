//! The kinds of object in the configuration, and their fields.

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
    /// The limits and weights of the whole deployment; exactly one is required.
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
    /// A rule for where a model's copies may be placed.
    Placement(Placement),
}

/// Limits and weights of the whole deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The cost of one move: the gain in responses within target per minute that it must bring.
    pub move_weight: f64,
    /// The highest rate at which the weight store allows model loads to start, per second.
    pub model_loads_per_s: f64,
    /// The number of model loads that run at full speed at once.
    pub model_loads_at_once_max: u32,
    /// The number of adapter loads that may be in progress at once, over all runners.
    pub adapter_loads_at_once_max: u32,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The name of the data centre.
    pub name: DataCentreName,
    /// The region of the data centre.
    pub region: RegionName,
}

/// Whether a model engine checks the fencing number of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine refuses orders with an old fencing number.
    Honoured,
    /// The engine ignores the fencing number.
    Ignored,
}

/// A runner: one model engine and its accelerators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// The name of the runner.
    pub name: RunnerName,
    /// The address of the engine's interface for inference and orders.
    pub address: SocketAddr,
    /// The data centre of the runner.
    pub data_centre: DataCentreName,
    /// The number of accelerators.
    pub accelerators: u32,
    /// The accelerator memory for models and adapters.
    pub memory_mib: MemoryMib,
    /// The part of `memory_mib` reserved for adapters.
    pub adapter_pool_mib: MemoryMib,
    /// Whether the engine refuses old fencing numbers.
    pub fencing: Fencing,
    /// The longest time after sending within which an order may still take effect.
    pub order_lateness_max_ms: u64,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name of the model, as callers give it.
    pub name: ModelName,
    /// The version of its weights in the weight store.
    pub version: String,
    /// The accelerator memory of one copy.
    pub memory_mib: MemoryMib,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name of the adapter, as callers give it in place of a model.
    pub name: AdapterName,
    /// The base model.
    pub model: ModelName,
    /// The accelerator memory of the adapter.
    pub memory_mib: MemoryMib,
}

/// A service that callers address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceName,
    /// Where the requests of the service are sent.
    pub target: ServiceTarget,
}

/// Where the requests of a service are sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceTarget {
    /// A service class of requests to models.
    Models {
        /// The priority of the requests; lower numbers are served first.
        priority: u8,
        /// The latency target for the first token.
        first_token_target_ms: u64,
        /// The latency target for the time between two tokens.
        between_tokens_target_ms: u64,
    },
    /// A plain HTTP service on its own backend servers.
    Plain {
        /// The backend servers.
        backends: Vec<Backend>,
        /// The HTTP methods whose requests may be retried, such as `GET`.
        idempotent_methods: Vec<String>,
        /// The timeout of a request.
        timeout_ms: u64,
    },
}

/// One backend server of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The name of the backend server.
    pub name: BackendName,
    /// The address that the backend server listens on.
    pub address: SocketAddr,
    /// The data centre of the backend server.
    pub data_centre: DataCentreName,
}

/// A rule for where a model's copies may be placed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The name of the placement.
    pub name: PlacementName,
    /// The model whose copies are placed.
    pub model: ModelName,
    /// The data centres that may hold copies; all when empty.
    #[serde(default)]
    pub data_centres: Vec<DataCentreName>,
    /// The number of copies that are always kept.
    pub copies_min: u32,
    /// The highest number of copies under demand.
    pub copies_max: u32,
}
