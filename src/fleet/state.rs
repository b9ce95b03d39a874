//! The last known state of a runner, and the moves planned for it.

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
    /// The runner.
    pub name: RunnerName,
    /// The fencing number of its owner.
    pub epoch: Epoch,
    /// The number of the engine's start.
    pub incarnation: Incarnation,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Whether its owner reaches it.
    pub reachable: bool,
    /// The models in its memory, sorted by name.
    pub models: Vec<ModelResident>,
    /// The adapters in its memory, sorted by name.
    pub adapters: Vec<AdapterName>,
}

/// The demand for one model, or for one of its adapters, since the last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The model.
    pub model: ModelName,
    /// The adapter, if the callers named one.
    pub adapter: Option<AdapterName>,
    /// Requests that arrived.
    pub requests: u32,
    /// Tokens that were generated.
    pub tokens: u32,
    /// Requests that missed their target.
    pub late: u32,
    /// Requests that were refused.
    pub refused: u32,
}

/// A change that the planner requests on a runner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Move {
    /// The runner.
    pub runner: RunnerName,
    /// The change.
    pub change: MoveChange,
    /// Whether callers wait for it.
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
