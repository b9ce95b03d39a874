//! Changes to the models and adapters of a runner's state.

use {
    super::{AdapterCopy, CopyState, ModelCopy, PlannedRunner},
    crate::{
        discovery::ResidentModel,
        traffic::{AdapterId, ModelId},
    },
    tokio::time::Instant,
};

impl PlannedRunner {
    /// Returns the loaded models and adapters, for which the runner can take requests, sorted.
    pub(super) fn residents(&self) -> Vec<(ModelId, Option<AdapterId>)> {
        let mut residents = Vec::new();
        let models = self.models.iter();
        for copy in models.filter(|copy| copy.state == CopyState::Loaded) {
            residents.push((copy.model.clone(), None));
            let adapters = copy.adapters.iter();
            for adapter in adapters.filter(|adapter| adapter.state == CopyState::Loaded) {
                residents.push((copy.model.clone(), Some(adapter.adapter.clone())));
            }
        }
        residents
    }

    /// Adds a model that is being loaded.
    pub(super) fn add_loading_model(&mut self, model: &ModelId, now: Instant) {
        if let Err(position) = self.position(model) {
            let copy = ModelCopy {
                model: model.clone(),
                state: CopyState::Loading,
                since: now,
                in_flight: 0,
                adapters: Vec::new(),
            };
            self.models.insert(position, copy);
        }
    }

    /// Sets the state of a model's copy.
    pub(super) fn set_model_state(&mut self, model: &ModelId, state: CopyState) {
        if let Ok(position) = self.position(model) {
            self.models[position].state = state;
        }
    }

    /// Removes a model.
    pub(super) fn remove_model(&mut self, model: &ModelId) {
        if let Ok(position) = self.position(model) {
            self.models.remove(position);
        }
    }

    /// Returns the adapters of a model.
    fn adapters(&mut self, model: &ModelId) -> Option<&mut Vec<AdapterCopy>> {
        let position = self.position(model).ok()?;
        Some(&mut self.models[position].adapters)
    }

    /// Adds an adapter that is being loaded.
    pub(super) fn add_loading_adapter(
        &mut self,
        model: &ModelId,
        adapter: &AdapterId,
        now: Instant,
    ) {
        let Some(adapters) = self.adapters(model) else {
            return;
        };
        let position = adapters.partition_point(|listed| listed.adapter < *adapter);
        let copy = AdapterCopy {
            adapter: adapter.clone(),
            state: CopyState::Loading,
            in_flight: 0,
            used_at: now,
        };
        adapters.insert(position, copy);
    }

    /// Sets the state of an adapter's copy.
    pub(super) fn set_adapter_state(
        &mut self,
        model: &ModelId,
        adapter: &AdapterId,
        state: CopyState,
    ) {
        let adapters = self.adapters(model).into_iter().flatten();
        for copy in adapters.filter(|copy| copy.adapter == *adapter) {
            copy.state = state;
        }
    }

    /// Records that requests use an adapter.
    pub(super) fn record_adapter_use(
        &mut self,
        model: &ModelId,
        adapter: &AdapterId,
        now: Instant,
    ) {
        let adapters = self.adapters(model).into_iter().flatten();
        for copy in adapters.filter(|copy| copy.adapter == *adapter) {
            copy.used_at = now;
        }
    }

    /// Removes an adapter.
    pub(super) fn remove_adapter(&mut self, model: &ModelId, adapter: &AdapterId) {
        if let Some(adapters) = self.adapters(model) {
            adapters.retain(|copy| copy.adapter != *adapter);
        }
    }
}

/// Returns the copy for a model that a runner's entry or report lists.
pub(super) fn loaded_copy(resident: &ResidentModel, now: Instant) -> ModelCopy {
    let adapter = |adapter: &AdapterId| AdapterCopy {
        adapter: adapter.clone(),
        state: CopyState::Loaded,
        in_flight: 0,
        used_at: now,
    };
    ModelCopy {
        model: resident.model.clone(),
        state: CopyState::Loaded,
        since: now,
        in_flight: 0,
        adapters: resident.adapters.iter().map(adapter).collect(),
    }
}
