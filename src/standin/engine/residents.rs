//! The models and adapters in the memory of a stand-in engine.

use crate::{
    engine::ModelResident,
    units::{AdapterName, MemoryMib, ModelName},
};

/// Where a model or adapter stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It takes memory but is not there yet.
    Loading,
    /// It can serve.
    Ready,
    /// It serves no new request and still takes memory.
    Unloading,
}

/// A model in memory.
#[derive(Debug, Clone)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// The version of its weights.
    pub version: String,
    /// The memory that it takes.
    pub memory_mib: MemoryMib,
    /// Where it stands.
    pub stage: Stage,
    /// The requests that run on it.
    pub running: u32,
}

/// An adapter in memory.
#[derive(Debug, Clone)]
pub struct Adapter {
    /// Its name.
    pub name: AdapterName,
    /// The model that it adapts.
    pub model: ModelName,
    /// The memory that it takes.
    pub memory_mib: MemoryMib,
    /// Where it stands.
    pub stage: Stage,
    /// The requests that run on it.
    pub running: u32,
}

/// Why a model or adapter cannot be loaded or unloaded.
pub type Refusal = &'static str;

/// The models and adapters in memory, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Residents {
    models: Vec<Model>,
    adapters: Vec<Adapter>,
}

impl Residents {
    /// Adds a model that is about to load.
    ///
    /// # Errors
    ///
    /// Refuses a model that is already in memory.
    pub fn add_model(&mut self, model: Model) -> Result<(), Refusal> {
        match self.find_model(model.name.as_str()) {
            Ok(_) => Err("the model is already in memory"),
            Err(at) => {
                self.models.insert(at, model);
                Ok(())
            }
        }
    }

    /// Adds an adapter that is about to load.
    ///
    /// # Errors
    ///
    /// Refuses an adapter that is already in memory or whose model is not.
    pub fn add_adapter(&mut self, adapter: Adapter) -> Result<(), Refusal> {
        if self.find_model(adapter.model.as_str()).is_err() {
            return Err("the adapter's model is not in memory");
        }
        match self.find_adapter(adapter.name.as_str()) {
            Ok(_) => Err("the adapter is already in memory"),
            Err(at) => {
                self.adapters.insert(at, adapter);
                Ok(())
            }
        }
    }

    /// Returns a model.
    pub fn model_mut(&mut self, name: &str) -> Option<&mut Model> {
        let at = self.find_model(name).ok()?;
        Some(&mut self.models[at])
    }

    /// Returns an adapter.
    pub fn adapter_mut(&mut self, name: &str) -> Option<&mut Adapter> {
        let at = self.find_adapter(name).ok()?;
        Some(&mut self.adapters[at])
    }

    /// Removes a model together with its adapters.
    pub fn remove_model(&mut self, name: &str) {
        if let Ok(at) = self.find_model(name) {
            self.models.remove(at);
        }
        self.adapters
            .retain(|adapter| adapter.model.as_str() != name);
    }

    /// Removes an adapter.
    pub fn remove_adapter(&mut self, name: &str) {
        if let Ok(at) = self.find_adapter(name) {
            self.adapters.remove(at);
        }
    }

    /// Takes a place for a request on a model or adapter; returns whether it can serve.
    pub fn start_request(&mut self, name: &str) -> bool {
        let adapter = self.adapter_mut(name);
        let model_name = match &adapter {
            Some(adapter) if adapter.stage == Stage::Ready => adapter.model.to_string(),
            Some(_) => return false,
            None => name.to_owned(),
        };
        let Some(model) = self.model_mut(&model_name) else {
            return false;
        };
        if model.stage != Stage::Ready {
            return false;
        }
        model.running += 1;
        if let Some(adapter) = self.adapter_mut(name) {
            adapter.running += 1;
        }
        true
    }

    /// Gives back the place of a request.
    pub fn end_request(&mut self, name: &str) {
        let mut model_name = name.to_owned();
        if let Some(adapter) = self.adapter_mut(name) {
            adapter.running = adapter.running.saturating_sub(1);
            model_name = adapter.model.to_string();
        }
        if let Some(model) = self.model_mut(&model_name) {
            model.running = model.running.saturating_sub(1);
        }
    }

    /// Returns the memory taken beyond what there is, for models and adapters.
    pub fn overcommit(&self, memory_mib: MemoryMib, adapter_pool_mib: MemoryMib) -> MemoryMib {
        let models: MemoryMib = self.models.iter().map(|model| model.memory_mib).sum();
        let adapters: MemoryMib = self.adapters.iter().map(|adapter| adapter.memory_mib).sum();
        let for_models = memory_mib.saturating_sub(adapter_pool_mib);
        models.saturating_sub(for_models) + adapters.saturating_sub(adapter_pool_mib)
    }

    /// Returns the models as the status reports them.
    pub fn model_residents(&self) -> Vec<ModelResident> {
        let report = |model: &Model| ModelResident {
            model: model.name.clone(),
            version: model.version.clone(),
            ready: model.stage == Stage::Ready,
        };
        self.models.iter().map(report).collect()
    }

    /// Returns the adapters that can serve.
    pub fn adapter_residents(&self) -> Vec<AdapterName> {
        let ready = |adapter: &&Adapter| adapter.stage == Stage::Ready;
        let adapters = self.adapters.iter().filter(ready);
        adapters.map(|adapter| adapter.name.clone()).collect()
    }

    fn find_model(&self, name: &str) -> Result<usize, usize> {
        self.models
            .binary_search_by(|model| model.name.as_str().cmp(name))
    }

    fn find_adapter(&self, name: &str) -> Result<usize, usize> {
        self.adapters
            .binary_search_by(|adapter| adapter.name.as_str().cmp(name))
    }
}
