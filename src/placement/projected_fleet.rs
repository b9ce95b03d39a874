//! The fleet as it will be once the moves planned so far are done.

use {
    super::{PlanInput, home_map},
    crate::{
        config::{Catalog, Runner},
        fleet::RunnerState,
    },
};

/// A copy of a model on a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ModelCopy {
    /// The model's index in the catalog, or `None` if the model is not configured.
    pub model: Option<usize>,
    /// Whether the copy can serve requests.
    pub ready: bool,
    /// Whether the copy has the configured version.
    pub current: bool,
    /// Whether the copy is being unloaded, or this plan unloads it.
    pub unloading: bool,
}

/// A configured runner with its copies and planned loads.
#[derive(Debug, Clone)]
pub(super) struct ProjectedRunner<'a> {
    pub runner: &'a Runner,
    /// The last known state, if any.
    pub state: Option<&'a RunnerState>,
    /// Whether the runner is reachable and not leaving.
    pub usable: bool,
    /// Whether the runner is in the planned data centre.
    pub in_planned_data_centre: bool,
    /// Memory for models that is free and not planned for.
    pub free_mib: u64,
    /// The copies on the runner, in the order of the state.
    pub copies: Vec<ModelCopy>,
    /// The part of the memory being released that is planned for later loads.
    pub scheduled_mib: u64,
    /// Models that this plan loads, at once or once memory is released.
    pub loads: Vec<usize>,
}

/// The fleet as it will be once the moves planned so far are done, with runners in the order of
/// the catalog.
#[derive(Debug, Clone)]
pub(super) struct ProjectedFleet<'a> {
    pub catalog: &'a Catalog,
    pub runners: Vec<ProjectedRunner<'a>>,
}

impl<'a> ProjectedFleet<'a> {
    /// Creates the projection of the current fleet, without any planned move.
    pub fn new(input: &PlanInput<'a>) -> Self {
        let mut states: Vec<&RunnerState> = input.runners.iter().collect();
        states.sort_by(|a, b| a.name.cmp(&b.name));
        let project = |runner: &'a Runner| {
            let found = states.binary_search_by(|state| state.name.cmp(&runner.name));
            let state = found.ok().map(|position| states[position]);
            ProjectedRunner::new(input, runner, state)
        };
        Self {
            catalog: input.catalog,
            runners: input.catalog.runners.iter().map(project).collect(),
        }
    }

    /// Returns for each runner whether it is usable.
    pub fn usable_runners(&self) -> Vec<bool> {
        self.runners.iter().map(|runner| runner.usable).collect()
    }

    /// Returns the usable runners that hold a copy of a model's current version or will.
    pub fn holders(&self, model: usize) -> impl Iterator<Item = usize> + '_ {
        self.usable_where(move |runner| runner.will_serve(model))
    }

    /// Returns the usable runners that hold a ready copy of a model, of any version.
    pub fn ready_holders(&self, model: usize) -> impl Iterator<Item = usize> + '_ {
        self.usable_where(move |runner| runner.copies.iter().any(|copy| copy.serves(model)))
    }

    /// Returns the usable runners for which `holds` is true.
    fn usable_where(
        &self,
        holds: impl Fn(&ProjectedRunner<'a>) -> bool,
    ) -> impl Iterator<Item = usize> {
        let runners = self.runners.iter().enumerate();
        runners
            .filter(move |(_, runner)| runner.usable && holds(runner))
            .map(|(index, _)| index)
    }

    /// Returns whether a runner may get a copy of a model, regardless of free memory.
    pub fn may_host(&self, runner: usize, model: usize) -> bool {
        let projected = &self.runners[runner];
        let object = &self.catalog.models[model];
        projected.usable
            && !projected.holds_any(model)
            && projected.runner.model_memory_mib() >= object.memory_mib
            && home_map::is_allowed(self.catalog, &object.name, &projected.runner.data_centre)
    }

    /// Returns the memory that a model needs.
    pub fn size_mib(&self, model: usize) -> u64 {
        self.catalog.models[model].memory_mib.0
    }

    /// Adds a copy that this plan loads now.
    pub fn load(&mut self, runner: usize, model: usize) {
        let size_mib = self.size_mib(model);
        let projected = &mut self.runners[runner];
        projected.free_mib = projected.free_mib.saturating_sub(size_mib);
        projected.loads.push(model);
    }

    /// Adds a copy that a later plan loads, once memory is released.
    pub fn schedule_load(&mut self, runner: usize, model: usize) {
        let size_mib = self.size_mib(model);
        let projected = &mut self.runners[runner];
        let now_mib = projected.free_mib.min(size_mib);
        projected.free_mib -= now_mib;
        projected.scheduled_mib += size_mib - now_mib;
        projected.loads.push(model);
    }

    /// Marks a copy that this plan unloads; its memory stays in use until the unload is done.
    pub fn unload(&mut self, runner: usize, copy: usize) {
        self.runners[runner].copies[copy].unloading = true;
    }

    /// Counts the loads in progress and those of this plan.
    pub fn open_loads(&self) -> usize {
        let open = |runner: &ProjectedRunner<'_>| {
            let loading = |copy: &&ModelCopy| !copy.ready && !copy.unloading;
            let running = runner.copies.iter().filter(loading).count();
            running + runner.loads.len()
        };
        let usable = self.runners.iter().filter(|runner| runner.usable);
        usable.map(open).sum()
    }
}

impl<'a> ProjectedRunner<'a> {
    fn new(input: &PlanInput<'a>, runner: &'a Runner, state: Option<&'a RunnerState>) -> Self {
        let catalog = input.catalog;
        let residents = state
            .map(|state| state.models.as_slice())
            .unwrap_or_default();
        let mut held_mib = 0;
        let mut copies = Vec::with_capacity(residents.len());
        for model in residents {
            let found = catalog
                .models
                .binary_search_by(|object| object.name.cmp(&model.model))
                .ok();
            held_mib += found.map_or(0, |index| catalog.models[index].memory_mib.0);
            copies.push(ModelCopy {
                model: found,
                ready: model.ready,
                current: found.is_some_and(|index| catalog.models[index].version == model.version),
                unloading: input.unloading.iter().any(|unloading| {
                    unloading.runner == runner.name && unloading.model == model.model
                }),
            });
        }
        let reserved = input.reservations.iter();
        held_mib += reserved
            .filter(|reservation| reservation.runner == runner.name)
            .map(|reservation| reservation.memory_mib.0)
            .sum::<u64>();
        // The size of a model that is no longer configured is unknown, so nothing fits beside it.
        let size_unknown = copies.iter().any(|copy| copy.model.is_none());
        let free_mib = runner.model_memory_mib().0.saturating_sub(held_mib);
        Self {
            runner,
            state,
            usable: state.is_some_and(|state| state.reachable && !state.leaving),
            in_planned_data_centre: runner.data_centre == *input.data_centre,
            free_mib: if size_unknown { 0 } else { free_mib },
            copies,
            scheduled_mib: 0,
            loads: Vec::new(),
        }
    }

    /// Returns whether a copy of a model's current version is ready, loading or planned.
    pub fn will_serve(&self, model: usize) -> bool {
        self.loads.contains(&model) || self.copies.iter().any(|copy| copy.will_serve(model))
    }

    /// Returns whether the runner has a copy of a model in any state, or is planned to load one.
    fn holds_any(&self, model: usize) -> bool {
        let holds = |copy: &ModelCopy| copy.model == Some(model);
        self.loads.contains(&model) || self.copies.iter().any(holds)
    }

    /// Returns the memory that unloading copies will release, less what is planned for loads.
    pub fn releasing_mib(&self, catalog: &Catalog) -> u64 {
        let unloading = self.copies.iter().filter(|copy| copy.unloading);
        let sizes = unloading
            .filter_map(|copy| copy.model)
            .map(|model| catalog.models[model].memory_mib.0);
        sizes.sum::<u64>().saturating_sub(self.scheduled_mib)
    }

    /// Returns the free share of the memory for models.
    pub fn free_share(&self) -> f64 {
        self.free_mib as f64 / self.runner.model_memory_mib().0.max(1) as f64
    }
}

impl ModelCopy {
    /// Returns whether the copy can serve requests for a model.
    pub fn serves(&self, model: usize) -> bool {
        self.model == Some(model) && self.ready && !self.unloading
    }

    /// Returns whether the copy serves a model's current version, or will once it is loaded.
    pub fn will_serve(&self, model: usize) -> bool {
        self.model == Some(model) && self.current && !self.unloading
    }
}
