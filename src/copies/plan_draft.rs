//! A plan under construction: the projected fleet and the orders so far.

use {
    super::{
        AdapterCopy, CopyState, LeftOut, ModelCopy, ModelLoad, PlanInput, PlannedOrder,
        PlannedRunner, SharedLoad, model_index::ModelIndex,
    },
    crate::{
        node::Order,
        traffic::{AdapterId, ModelId},
    },
};

/// The requests in flight assumed per copy of a model with several copies while no load is known.
const PRESUMED_IN_FLIGHT_PER_COPY: f64 = 8.0;

/// The estimated requests in flight below which a model is idle, about 11 s after its last request.
const IDLE_IN_FLIGHT_MAX: f64 = 0.011;

/// A plan under construction: the fleet as it will be once the orders are done, and the orders.
#[derive(Debug)]
pub(super) struct PlanDraft<'a> {
    pub input: &'a PlanInput<'a>,
    /// The runners as they will be once the orders are done.
    pub runners: Vec<PlannedRunner>,
    /// The orders of this plan.
    pub orders: Vec<PlannedOrder>,
    /// How many more loads from the weight store the plan may contain.
    pub cold_loads_available: usize,
    /// How many of them may be loads of models without demand.
    pub idle_loads_available: usize,
    /// How many more adapter loads the plan may contain.
    pub adapter_loads_available: usize,
    /// The models and adapters that are asked for, have no copy and get none.
    pub left_out: Vec<LeftOut>,
    /// The load and the copies of each model, kept up to date with `runners`.
    pub index: ModelIndex<'a>,
}

impl<'a> PlanDraft<'a> {
    /// Creates a plan without orders.
    pub fn new(input: &'a PlanInput<'a>) -> Self {
        let mut draft = Self {
            input,
            runners: input.runners.to_vec(),
            orders: Vec::new(),
            cold_loads_available: input.cold_loads_available,
            idle_loads_available: 0,
            adapter_loads_available: input.adapter_loads_available,
            left_out: Vec::new(),
            index: ModelIndex::new(input),
        };
        let runners = draft.runners.iter();
        let pending = runners.filter(|runner| {
            let model = runner.pending_load.as_ref();
            model.is_some_and(|model| runner.is_cold(model) && !draft.is_wanted(model))
        });
        let pending = pending.count();
        draft.idle_loads_available = input.idle_loads_available.saturating_sub(pending);
        draft
    }

    /// Returns the known load of a model.
    pub fn load(&self, model: &ModelId) -> Option<&'a ModelLoad> {
        let loads = self.input.loads;
        let found = loads.binary_search_by(|load| load.model.cmp(model));
        found.ok().map(|at| &loads[at])
    }

    /// Returns the requests in flight that are expected for a model.
    pub fn in_flight(&self, model: &ModelId) -> f64 {
        if self.input.loads.is_empty() {
            return self.presumed_in_flight(model);
        }
        self.load(model).map_or(0.0, |load| load.in_flight)
    }

    /// Estimates the load of a model from its number of copies, which shows the busy models as
    /// long as no request has been seen.
    fn presumed_in_flight(&self, model: &ModelId) -> f64 {
        match self.copies(model).len() {
            0 | 1 => 0.0,
            copies => copies as f64 * PRESUMED_IN_FLIGHT_PER_COPY,
        }
    }

    /// Returns whether a model has had no recent requests.
    pub fn is_idle(&self, model: &ModelId) -> bool {
        !self.input.loads.is_empty() && !self.is_wanted(model)
    }

    /// Returns whether requests wait for a model or have used it recently.
    pub fn is_wanted(&self, model: &ModelId) -> bool {
        let load = self.load(model);
        load.is_some_and(|load| load.waiting > 0 || load.in_flight >= IDLE_IN_FLIGHT_MAX)
    }

    /// Returns whether a ready runner has the weights of a model in memory or on disk.
    pub fn is_cached(&self, model: &ModelId) -> bool {
        self.index.get(model).is_some_and(|model| model.is_cached)
    }

    /// Returns whether a ready runner holds a model now.
    pub fn is_loaded(&self, runner: usize, model: &ModelId) -> bool {
        let runner = &self.runners[runner];
        let listed = runner.copy(model);
        runner.is_ready && listed.is_some_and(|copy| copy.state == CopyState::Loaded)
    }

    /// Returns the positions of the ready runners that hold a model, load it or are about to.
    pub fn copies(&self, model: &ModelId) -> &[usize] {
        let indexed = self.index.get(model);
        indexed.map_or(&[], |model| &model.copies)
    }

    /// Returns how many ready runners hold a model now.
    pub fn count_loaded(&self, model: &ModelId) -> usize {
        self.index.get(model).map_or(0, |model| model.loaded)
    }

    /// Returns the load and the copies of each configured model.
    pub fn shared_loads(&self) -> Vec<SharedLoad> {
        let models = self.input.engine.models.iter().enumerate();
        let loads = models.map(|(position, spec)| SharedLoad {
            in_flight: match self.input.loads.is_empty() {
                true => self.presumed_in_flight(&spec.name),
                false => self
                    .index
                    .load_at(position)
                    .map_or(0.0, |load| load.in_flight),
            },
            runners: self.index.at(position).copies.clone(),
        });
        loads.collect()
    }

    /// Sets or clears the model that a runner is to load once there is room.
    pub fn set_pending_load(&mut self, runner: usize, model: Option<ModelId>) {
        self.change_runner(runner, |state| state.pending_load = model);
    }

    /// Changes a runner and keeps the index up to date.
    fn change_runner(&mut self, runner: usize, change: impl FnOnce(&mut PlannedRunner)) {
        let state = &mut self.runners[runner];
        self.index.remove_runner(runner, state);
        change(state);
        self.index.add_runner(runner, state);
    }

    /// Adds an order to unload a model, to make room for `next`.
    pub fn unload_model(&mut self, runner: usize, model: ModelId, next: ModelId) {
        self.change_runner(runner, |state| {
            if let Ok(position) = state.position(&model) {
                state.models[position].state = CopyState::Unloading;
            }
            state.pending_load = Some(next.clone());
        });
        self.push(runner, Order::UnloadModel(model), Some(next), false);
    }

    /// Adds an order to load a model.
    pub fn load_model(&mut self, runner: usize, model: ModelId) {
        let is_cold = self.runners[runner].is_cold(&model);
        let copy = ModelCopy {
            model: model.clone(),
            state: CopyState::Loading,
            since: self.input.now,
            in_flight: 0,
            adapters: Vec::new(),
        };
        self.change_runner(runner, |state| {
            if let Err(position) = state.position(&model) {
                state.models.insert(position, copy);
            }
            state.pending_load = None;
        });
        self.cold_loads_available -= usize::from(is_cold).min(self.cold_loads_available);
        self.push(runner, Order::LoadModel(model), None, is_cold);
    }

    /// Adds an order to unload an adapter.
    pub fn unload_adapter(&mut self, runner: usize, model: ModelId, adapter: AdapterId) {
        let state = &mut self.runners[runner];
        if let Ok(position) = state.position(&model) {
            let adapters = &mut state.models[position].adapters;
            if let Some(copy) = adapters.iter_mut().find(|copy| copy.adapter == adapter) {
                copy.state = CopyState::Unloading;
            }
        }
        self.push(runner, Order::UnloadAdapter(model, adapter), None, false);
    }

    /// Adds an order to load an adapter.
    pub fn load_adapter(&mut self, runner: usize, model: ModelId, adapter: AdapterId) {
        let copy = AdapterCopy {
            adapter: adapter.clone(),
            state: CopyState::Loading,
            in_flight: 0,
            used_at: self.input.now,
        };
        let state = &mut self.runners[runner];
        if let Ok(position) = state.position(&model) {
            let adapters = &mut state.models[position].adapters;
            let position = adapters.partition_point(|copy| copy.adapter < adapter);
            adapters.insert(position, copy);
        }
        self.adapter_loads_available = self.adapter_loads_available.saturating_sub(1);
        self.push(runner, Order::LoadAdapter(model, adapter), None, false);
    }

    /// Adds an order; its runner gets no further one in this plan.
    fn push(
        &mut self,
        runner: usize,
        order: Order,
        makes_room_for: Option<ModelId>,
        is_cold_load: bool,
    ) {
        let state = &mut self.runners[runner];
        state.accepts_orders = false;
        self.orders.push(PlannedOrder {
            runner: state.key.clone(),
            order,
            makes_room_for,
            is_cold_load,
        });
    }
}
