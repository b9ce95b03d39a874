//! Engines with models of given sizes.

use greengagetrail::traffic::{EngineSpec, ModelId, ModelSpec};

/// Returns the name of a model.
pub fn model_id(index: usize) -> ModelId {
    format!("m{index:02}").as_str().into()
}

/// Returns engines of 200 GB with models of the given sizes.
pub fn engine(sizes_mb: &[f64]) -> EngineSpec {
    let model = |(index, size_mb): (usize, &f64)| ModelSpec {
        name: model_id(index),
        weights_mb: *size_mb,
        load_from_store_s: 1.2,
        load_from_memory_s: 0.57,
        load_from_disk_s: 0.74,
        adapters: 10,
        adapter_mb: 40.0,
    };
    EngineSpec {
        slots: 32,
        kv_capacity_tokens: 120_000,
        weights_memory_mb: 200_000.0,
        adapter_slots: 8,
        store_loads_per_s: 2.5,
        models: sizes_mb.iter().enumerate().map(model).collect(),
    }
}
