//! The entry with which a runner registers in the platform's store.

use {
    crate::{
        dispatch::Variant,
        traffic::{AdapterId, ModelId, RunnerId, ServiceId, SoftwareVersion, ZoneId},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Identifies one process of a runner by the runner's name and its start time.
///
/// A runner that restarts under the same name gets another key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunnerKey {
    /// The name of the runner.
    pub id: RunnerId,
    /// The start time in milliseconds since the Unix epoch; 0 if the entry has none.
    pub born_unix_ms: u64,
}

/// Whether a runner accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerState {
    /// The runner accepts requests.
    Ready,
    /// The runner is draining and must get no new requests.
    Draining {
        /// The time until the runner stops, if the entry has it.
        remaining_ms: Option<u64>,
    },
}

/// A model that is loaded on a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// The name of the model.
    pub model: ModelId,
    /// The version of the model's weights.
    pub version: u64,
    /// The loaded adapters of the model, sorted.
    pub adapters: Vec<AdapterId>,
}

/// A runner's entry in the platform's list of runners.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerEntry {
    /// The name and start time of the runner.
    pub key: RunnerKey,
    /// The service of the runner.
    pub service: ServiceId,
    /// The version of the runner's software, which may differ within a service.
    pub software: SoftwareVersion,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// The data centre of the runner.
    pub zone: ZoneId,
    /// The number of requests that the runner processes at the same time.
    pub slots: u32,
    /// Whether the runner accepts requests.
    pub state: RunnerState,
    /// The time for which the runner is still slow after its start.
    pub cold_remaining_ms: u64,
    /// The loaded models, sorted by name.
    pub models: Vec<ResidentModel>,
    /// The models whose weights are cached in host memory, sorted.
    pub in_memory: Vec<ModelId>,
    /// The models whose weights are cached on disk, sorted.
    pub on_disk: Vec<ModelId>,
}

impl RunnerEntry {
    /// Returns whether a model, or an adapter of a model, is loaded on the runner.
    pub fn holds(&self, variant: &Variant) -> bool {
        let found = self
            .models
            .binary_search_by(|held| held.model.cmp(&variant.model));
        match (found, &variant.adapter) {
            (Ok(_), None) => true,
            (Ok(position), Some(adapter)) => {
                let adapters = &self.models[position].adapters;
                adapters.binary_search(adapter).is_ok()
            }
            (Err(_), _) => false,
        }
    }
}
