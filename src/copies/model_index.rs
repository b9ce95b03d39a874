//! The models of a service by position, with their load and copies.

use {
    super::{CopyState, ModelLoad, PlanInput, PlannedRunner},
    crate::traffic::ModelId,
};

/// What a plan needs to know of one model.
#[derive(Debug, Clone)]
pub(super) struct IndexedModel {
    /// The known load; `None` if there is none.
    pub load: Option<usize>,
    /// The positions of the ready runners that hold the model, load it or are about to, sorted.
    pub copies: Vec<usize>,
    /// How many ready runners hold the model now.
    pub loaded: usize,
    /// Whether a ready runner has the weights in memory or on disk.
    pub is_cached: bool,
}

/// The models of a service in the order of the configuration.
///
/// Lookups by name are done once per change, so that the evaluation of a plan works with positions.
#[derive(Debug)]
pub(super) struct ModelIndex<'a> {
    input: &'a PlanInput<'a>,
    models: Vec<IndexedModel>,
}

impl<'a> ModelIndex<'a> {
    /// Indexes the models of a plan.
    pub fn new(input: &'a PlanInput<'a>) -> Self {
        let models = input.engine.models.iter().map(|spec| {
            let load = |load: &ModelLoad| load.model.cmp(&spec.name);
            IndexedModel {
                load: input.loads.binary_search_by(load).ok(),
                copies: Vec::new(),
                loaded: 0,
                is_cached: false,
            }
        });
        let mut index = Self {
            input,
            models: models.collect(),
        };
        for (position, runner) in input.runners.iter().enumerate() {
            index.add_runner(position, runner);
            if runner.is_ready {
                for model in runner.in_memory.iter().chain(&runner.on_disk) {
                    if let Some(at) = index.position(model) {
                        index.models[at].is_cached = true;
                    }
                }
            }
        }
        index
    }

    /// Returns the position of a configured model.
    pub fn position(&self, model: &ModelId) -> Option<usize> {
        let models = &self.input.engine.models;
        models.binary_search_by(|spec| spec.name.cmp(model)).ok()
    }

    /// Returns a model; `None` if it is not configured.
    pub fn get(&self, model: &ModelId) -> Option<&IndexedModel> {
        self.position(model).map(|at| &self.models[at])
    }

    /// Returns the model at a position.
    ///
    /// # Panics
    ///
    /// Panics if there are fewer models.
    pub fn at(&self, position: usize) -> &IndexedModel {
        &self.models[position]
    }

    /// Returns the load of the model at a position.
    pub fn load_at(&self, position: usize) -> Option<&'a ModelLoad> {
        self.models[position].load.map(|at| &self.input.loads[at])
    }

    /// Removes the copies of a runner, before it is changed.
    pub fn remove_runner(&mut self, position: usize, runner: &PlannedRunner) {
        if !runner.is_ready {
            return;
        }
        let copies = runner.models.iter().map(|copy| &copy.model);
        for model in copies.chain(runner.pending_load.as_ref()) {
            let Some(at) = self.position(model) else {
                continue;
            };
            let indexed = &mut self.models[at];
            if let Ok(found) = indexed.copies.binary_search(&position) {
                indexed.copies.remove(found);
            }
        }
        for copy in runner.models.iter().filter(|copy| is_loaded(copy.state)) {
            if let Some(at) = self.position(&copy.model) {
                self.models[at].loaded -= 1;
            }
        }
    }

    /// Adds the copies of a runner, after it was changed.
    pub fn add_runner(&mut self, position: usize, runner: &PlannedRunner) {
        if !runner.is_ready {
            return;
        }
        let kept = runner
            .models
            .iter()
            .filter(|copy| copy.state != CopyState::Unloading)
            .map(|copy| &copy.model);
        for model in kept.chain(runner.pending_load.as_ref()) {
            let Some(at) = self.position(model) else {
                continue;
            };
            let indexed = &mut self.models[at];
            if let Err(found) = indexed.copies.binary_search(&position) {
                indexed.copies.insert(found, position);
            }
        }
        for copy in runner.models.iter().filter(|copy| is_loaded(copy.state)) {
            if let Some(at) = self.position(&copy.model) {
                self.models[at].loaded += 1;
            }
        }
    }
}

fn is_loaded(state: CopyState) -> bool {
    state == CopyState::Loaded
}
