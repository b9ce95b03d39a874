//! What a runner says of itself.

use {
    crate::{
        dispatch::Variant,
        traffic::{AdapterId, ModelId, RunnerId, ServiceId, ZoneId},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One start of a runner: its name and the time of its start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunnerKey {
    /// Its name.
    pub id: RunnerId,
    /// When it started, in milliseconds since the Unix epoch; 0 if it does not say.
    pub born_unix_ms: u64,
}

/// Whether a runner takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerState {
    /// It takes requests.
    Ready,
    /// It is leaving and must get no more requests.
    Draining {
        /// The time until it is gone, where it says so.
        remaining_ms: Option<u64>,
    },
}

/// A model that a runner holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: u64,
    /// Its adapters that the runner holds, sorted.
    pub adapters: Vec<AdapterId>,
}

/// A runner's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerEntry {
    /// The runner and its start.
    pub key: RunnerKey,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneId,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: RunnerState,
    /// How much longer it remains slow after its start.
    pub cold_remaining_ms: u64,
    /// The models that it holds, sorted by name.
    pub models: Vec<ResidentModel>,
    /// The models whose weights lie in its memory, sorted.
    pub in_memory: Vec<ModelId>,
    /// The models whose weights lie on its disk, sorted.
    pub on_disk: Vec<ModelId>,
}

impl RunnerEntry {
    /// Returns whether the runner holds a model, or an adapter of it.
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
