//! The input of a plan and the orders that result from it.

use {
    super::PlannedRunner,
    crate::{
        discovery::RunnerKey,
        node::Order,
        traffic::{AdapterId, EngineSpec, ModelId},
    },
    tokio::time::Instant,
};

/// The load of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelId,
    /// The expected number of requests in flight.
    pub in_flight: f64,
    /// Requests that wait for a copy now.
    pub waiting: u32,
    /// The load of the model's adapters, sorted by adapter.
    pub adapters: Vec<AdapterLoad>,
}

/// The load of an adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct AdapterLoad {
    /// The adapter.
    pub adapter: AdapterId,
    /// The expected number of requests in flight.
    pub in_flight: f64,
    /// Requests that wait for a copy now.
    pub waiting: u32,
}

/// The input of a plan for one service.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// The engine configuration of the service, with its models.
    pub engine: &'a EngineSpec,
    /// The runners of the service, sorted by key.
    pub runners: &'a [PlannedRunner],
    /// The load of the service's models, sorted by model; a model that is missing has no load.
    pub loads: &'a [ModelLoad],
    /// The mean time that a request is in flight, in seconds.
    pub mean_request_time_s: f64,
    /// Whether models may be loaded and unloaded; adapters always may.
    pub may_move_models: bool,
    /// Whether models may get further copies.
    pub may_add_copies: bool,
    /// How many loads from the weight store may start now.
    pub cold_loads_available: usize,
    /// How many of them may be loads of models without demand.
    pub idle_loads_available: usize,
    /// How many adapter loads may start now.
    pub adapter_loads_available: usize,
    /// The current time.
    pub now: Instant,
}

/// An order that a plan contains.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// The runner to which the order is sent.
    pub runner: RunnerKey,
    /// The order.
    pub order: Order,
    /// The model that the order makes room for.
    pub makes_room_for: Option<ModelId>,
    /// Whether the order is a load from the weight store.
    pub is_cold_load: bool,
}
