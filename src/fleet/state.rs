//! The state of a runner, the demand for models, and the planner's moves.

use {
    crate::{
        engine::ModelResident,
        units::{AdapterName, Epoch, Incarnation, ModelName, RunnerName},
    },
    serde::{Deserialize, Serialize},
};

/// The last known state of one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerState {
    /// The runner's name.
    pub name: RunnerName,
    /// The fencing epoch of the runner's owner.
    pub epoch: Epoch,
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Whether the runner is leaving and accepts no new work.
    pub leaving: bool,
    /// Whether the owner reaches the engine.
    pub reachable: bool,
    /// The models in the runner's memory, sorted by name.
    pub models: Vec<ModelResident>,
    /// The adapters in the runner's memory, sorted by name.
    pub adapters: Vec<AdapterName>,
}

/// The demand for one model, or for one of its adapters, since the last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The model's name.
    pub model: ModelName,
    /// The adapter, if the callers named one.
    pub adapter: Option<AdapterName>,
    /// The number of requests that arrived.
    pub requests: u32,
    /// The number of generated tokens.
    pub tokens: u32,
    /// The number of requests that missed their latency target.
    pub late: u32,
    /// The number of refused requests.
    pub refused: u32,
}

/// A change that the planner requests on a runner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Move {
    /// The runner to change.
    pub runner: RunnerName,
    /// The requested change.
    pub change: MoveChange,
    /// Whether callers wait for the change.
    pub urgent: bool,
}

/// The change that a move makes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveChange {
    /// Loads a model.
    Load(ModelName),
    /// Unloads a model.
    Unload(ModelName),
    /// Loads an adapter.
    LoadAdapter(AdapterName),
    /// Unloads an adapter.
    UnloadAdapter(AdapterName),
}
