//! What a plan is made from, and what it holds.

use {
    super::RunnerState,
    crate::{
        discovery::RunnerKey,
        node::Order,
        traffic::{AdapterId, EngineSpec, ModelId},
    },
    tokio::time::Instant,
};

/// The load that the requests for a model bring.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelId,
    /// Requests that are expected in flight at once.
    pub in_flight: f64,
    /// Requests that wait for a copy now.
    pub waiting: u32,
    /// The requests for its adapters, sorted by adapter.
    pub adapters: Vec<AdapterLoad>,
}

/// The load that the requests for an adapter bring.
#[derive(Debug, Clone, PartialEq)]
pub struct AdapterLoad {
    /// The adapter.
    pub adapter: AdapterId,
    /// Requests that are expected in flight at once.
    pub in_flight: f64,
    /// Requests that wait for a copy now.
    pub waiting: u32,
}

/// What a plan for one service is made from.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// The service's engines and models.
    pub engine: &'a EngineSpec,
    /// Its runners, sorted by key.
    pub runners: &'a [RunnerState],
    /// The load of its models, sorted by model; a missing one has none.
    pub loads: &'a [ModelLoad],
    /// The mean time that a request is in flight, in seconds.
    pub run_time_s: f64,
    /// Whether models may be moved; adapters always may.
    pub moves_models: bool,
    /// Whether models may get further copies.
    pub adds_copies: bool,
    /// Loads from the weight store that may start now.
    pub cold_loads_left: usize,
    /// Adapters that may be set on their way now.
    pub adapters_left: usize,
    /// The present.
    pub now: Instant,
}

/// An order that a plan wants given.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// The runner.
    pub runner: RunnerKey,
    /// What to do.
    pub order: Order,
    /// The model that the order makes room for.
    pub goal: Option<ModelId>,
    /// Whether it is a load from the weight store.
    pub is_cold: bool,
}
