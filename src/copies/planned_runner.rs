//! The state of a runner as the planner sees it.

use {
    crate::{
        discovery::RunnerKey,
        traffic::{AdapterId, EngineSpec, ModelId, ModelSpec, ZoneId},
    },
    tokio::time::Instant,
};

/// The state of a copy of a model or adapter; in each state the copy counts against the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyState {
    /// The copy is being loaded, or the order to load it has no reply yet.
    Loading,
    /// The copy is loaded and can serve requests.
    Loaded,
    /// The copy is being unloaded, or the order to unload it has no reply yet.
    Unloading,
}

/// A copy of an adapter at a runner.
#[derive(Debug, Clone, PartialEq)]
pub struct AdapterCopy {
    /// The adapter.
    pub adapter: AdapterId,
    /// The state of the copy.
    pub state: CopyState,
    /// Requests in flight that use the adapter.
    pub in_flight: u32,
    /// When a request last used the adapter.
    pub used_at: Instant,
}

/// A copy of a model at a runner.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCopy {
    /// The model.
    pub model: ModelId,
    /// The state of the copy.
    pub state: CopyState,
    /// When the copy was first tracked.
    pub since: Instant,
    /// Requests in flight that use the model.
    pub in_flight: u32,
    /// The model's adapters at the runner, sorted.
    pub adapters: Vec<AdapterCopy>,
}

/// A runner as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRunner {
    /// The runner and its incarnation.
    pub key: RunnerKey,
    /// The runner's data centre.
    pub zone: ZoneId,
    /// Whether the runner takes requests.
    pub is_ready: bool,
    /// Whether the runner can be sent an order now.
    pub accepts_orders: bool,
    /// The copies at the runner, sorted by model.
    pub models: Vec<ModelCopy>,
    /// The model to load once there is room.
    pub pending_load: Option<ModelId>,
    /// Models whose weights the runner caches in memory, sorted.
    pub in_memory: Vec<ModelId>,
    /// Models whose weights the runner caches on disk, sorted.
    pub on_disk: Vec<ModelId>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Memory that unanswered orders to an earlier incarnation may still use, in megabytes.
    pub reserved_mb: f64,
    /// Adapter slots that unanswered orders to an earlier incarnation may still use.
    pub reserved_slots: usize,
    /// An unloaded model whose memory its last requests may still use. Until the memory is
    /// released the runner refuses further models, but not further adapters.
    pub pending_release: Option<ModelCopy>,
}

impl PlannedRunner {
    /// Returns the copy of a model.
    pub fn copy(&self, model: &ModelId) -> Option<&ModelCopy> {
        self.position(model).ok().map(|at| &self.models[at])
    }

    /// Returns the position of a model's copy in `models`.
    ///
    /// # Errors
    ///
    /// Returns the position at which a copy of the model would be inserted if there is none.
    pub fn position(&self, model: &ModelId) -> Result<usize, usize> {
        self.models.binary_search_by(|copy| copy.model.cmp(model))
    }

    /// Returns the memory that models, adapters and reservations use, in megabytes.
    pub fn used_mb(&self, engine: &EngineSpec) -> f64 {
        let used = self.models.iter().map(|copy| copy_mb(copy, engine));
        used.sum::<f64>() + self.reserved_mb
    }

    /// Returns the number of adapter slots that are used or reserved.
    pub fn used_slots(&self) -> usize {
        let used = self.models.iter().map(|copy| copy.adapters.len());
        used.sum::<usize>() + self.reserved_slots
    }

    /// Returns the free memory, in megabytes.
    pub fn free_mb(&self, engine: &EngineSpec) -> f64 {
        engine.weights_memory_mb - self.used_mb(engine)
    }

    /// Returns the room for adapters: free memory in megabytes, and free slots.
    pub fn adapter_room(&self, engine: &EngineSpec) -> (f64, usize) {
        let pending_release = self.pending_release.as_ref();
        let mb = pending_release.map_or(0.0, |copy| copy_mb(copy, engine));
        let slots = pending_release.map_or(0, |copy| copy.adapters.len());
        let free_slots = engine
            .adapter_slots
            .saturating_sub(self.used_slots() + slots);
        (self.free_mb(engine) - mb, free_slots)
    }

    /// Returns how long the runner takes to load a model, in seconds.
    pub fn load_s(&self, spec: &ModelSpec) -> f64 {
        let has = |models: &[ModelId]| models.binary_search(&spec.name).is_ok();
        match (has(&self.in_memory), has(&self.on_disk)) {
            (true, _) => spec.load_from_memory_s,
            (false, true) => spec.load_from_disk_s,
            (false, false) => spec.load_from_store_s,
        }
    }

    /// Returns whether the runner would load a model from the weight store.
    pub fn is_cold(&self, model: &ModelId) -> bool {
        let has = |models: &[ModelId]| models.binary_search(model).is_ok();
        !has(&self.in_memory) && !has(&self.on_disk)
    }
}

/// Returns the memory of a copy with its adapters, in megabytes; a copy of a model that is not
/// configured counts as filling the runner.
pub fn copy_mb(copy: &ModelCopy, engine: &EngineSpec) -> f64 {
    match engine.model(&copy.model) {
        Some(spec) => spec.weights_mb + spec.adapter_mb * copy.adapters.len() as f64,
        None => engine.weights_memory_mb,
    }
}
