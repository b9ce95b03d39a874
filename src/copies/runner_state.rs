//! What the planner knows of a runner.

use {
    crate::{
        discovery::RunnerKey,
        traffic::{AdapterId, EngineSpec, ModelId, ModelSpec, ZoneId},
    },
    tokio::time::Instant,
};

/// Where a copy of a model or adapter stands; in each state it counts against the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyState {
    /// It may be there: it is on its way, or an order for it was not answered.
    Coming,
    /// It is there.
    Held,
    /// It is going, or an order to drop it was not answered.
    Going,
}

/// An adapter at a runner.
#[derive(Debug, Clone, PartialEq)]
pub struct AdapterCopy {
    /// The adapter.
    pub adapter: AdapterId,
    /// Where it stands.
    pub state: CopyState,
    /// Requests in flight that use it.
    pub in_flight: u32,
    /// When a request last used it.
    pub used_at: Instant,
}

/// A model at a runner.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCopy {
    /// The model.
    pub model: ModelId,
    /// Where it stands.
    pub state: CopyState,
    /// Since when it is listed.
    pub since: Instant,
    /// Requests in flight that use it.
    pub in_flight: u32,
    /// Its adapters at the runner, sorted.
    pub adapters: Vec<AdapterCopy>,
}

/// A runner as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerState {
    /// The runner and its start.
    pub key: RunnerKey,
    /// Its data centre.
    pub zone: ZoneId,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it can be sent an order now.
    pub takes_orders: bool,
    /// What it holds, sorted by model.
    pub models: Vec<ModelCopy>,
    /// The model that is loaded once there is room.
    pub goal: Option<ModelId>,
    /// Models whose weights lie in its memory, sorted.
    pub in_memory: Vec<ModelId>,
    /// Models whose weights lie on its disk, sorted.
    pub on_disk: Vec<ModelId>,
    /// Requests in flight.
    pub in_flight: u32,
    /// Memory that orders to an earlier start may yet take, in megabytes.
    pub reserved_mb: f64,
    /// Adapter places that orders to an earlier start may yet take.
    pub reserved_slots: usize,
    /// A dropped model that its last requests may yet hold; further models are refused until it
    /// is gone, further adapters are not.
    pub leaving: Option<ModelCopy>,
}

impl RunnerState {
    /// Returns the copy of a model.
    pub fn copy(&self, model: &ModelId) -> Option<&ModelCopy> {
        self.position(model).ok().map(|at| &self.models[at])
    }

    /// Returns where a model is listed, or where it belongs.
    ///
    /// # Errors
    ///
    /// The place at which it belongs.
    pub fn position(&self, model: &ModelId) -> Result<usize, usize> {
        self.models.binary_search_by(|copy| copy.model.cmp(model))
    }

    /// Returns the memory that models and adapters take, in megabytes.
    pub fn used_mb(&self, engine: &EngineSpec) -> f64 {
        let used = self.models.iter().map(|copy| copy_mb(copy, engine));
        used.sum::<f64>() + self.reserved_mb
    }

    /// Returns the adapter places that are taken.
    pub fn used_slots(&self) -> usize {
        let used = self.models.iter().map(|copy| copy.adapters.len());
        used.sum::<usize>() + self.reserved_slots
    }

    /// Returns the memory that is free, in megabytes.
    pub fn free_mb(&self, engine: &EngineSpec) -> f64 {
        engine.weights_memory_mb - self.used_mb(engine)
    }

    /// Returns the room for adapters: memory in megabytes, and places.
    pub fn adapter_room(&self, engine: &EngineSpec) -> (f64, usize) {
        let leaving = self.leaving.as_ref();
        let mb = leaving.map_or(0.0, |copy| copy_mb(copy, engine));
        let slots = leaving.map_or(0, |copy| copy.adapters.len());
        let free_slots = engine
            .adapter_slots
            .saturating_sub(self.used_slots() + slots);
        (self.free_mb(engine) - mb, free_slots)
    }

    /// Returns the time that a load of a model takes here, in seconds.
    pub fn load_s(&self, spec: &ModelSpec) -> f64 {
        let has = |models: &[ModelId]| models.binary_search(&spec.name).is_ok();
        match (has(&self.in_memory), has(&self.on_disk)) {
            (true, _) => spec.load_from_memory_s,
            (false, true) => spec.load_from_disk_s,
            (false, false) => spec.load_from_store_s,
        }
    }

    /// Returns whether a load would come from the weight store.
    pub fn is_cold(&self, model: &ModelId) -> bool {
        let has = |models: &[ModelId]| models.binary_search(model).is_ok();
        !has(&self.in_memory) && !has(&self.on_disk)
    }
}

/// Returns the memory of a copy with its adapters; one of an unknown model fills a runner.
pub fn copy_mb(copy: &ModelCopy, engine: &EngineSpec) -> f64 {
    match engine.model(&copy.model) {
        Some(spec) => spec.weights_mb + spec.adapter_mb * copy.adapters.len() as f64,
        None => engine.weights_memory_mb,
    }
}
